package listener

import (
	"testing"
	"time"
)

// Guards against attempts that begin after their client has closed: a process that was paused has not
// noticed the close yet when it retries. The reader is held before it can report the close.
func TestDisconnect_noAttemptBeginsAfterAnUnnoticedClose(t *testing.T) {
	seen, resume, release := make(chan bool), make(chan bool), make(chan bool)
	f := newDrainFixture(t, 8, func(tapped *tappedConn) {
		hold := runOnce(func() { seen <- true; <-resume })
		tapped.afterWait = func() {
			if tapped.readBytes.Load() > 0 {
				hold()
			}
		}
	}, func([]string) string { <-release; return "-ERR failed\r\n" })
	c := f.dial()
	c.send(numberedQuery(1))
	f.server.NextCommand(t)
	_ = c.Close()
	<-seen
	time.Sleep(2 * disconnectPollInterval)
	close(release) // the request may be retried now
	time.Sleep(200 * time.Millisecond)
	if n := f.server.PendingCommands(); n > 0 {
		t.Errorf("%d attempts began after the close", n)
	}
	close(resume)
	f.awaitIdle()
}
