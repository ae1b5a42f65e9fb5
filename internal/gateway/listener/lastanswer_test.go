package listener

import (
	"sync/atomic"
	"testing"
	"time"
)

// A request arrives between the check for unread bytes and the half-close after the last answer.
// The answer arrives complete, the request is not read, and its client sees an orderly close.
func TestDrain_requestDuringHalfCloseIsNotRead(t *testing.T) {
	for name, dial := range map[string]func(*fixture) *testClient{
		"fast": (*fixture).dial,
		"slow": (*fixture).dialWithSmallReadBuffer,
	} {
		t.Run(name, func(t *testing.T) {
			var client *testClient
			var isHalfClosing atomic.Bool
			// noticed receives a value when the reader closes the connection or continues to wait.
			noticed := make(chan bool, 100)
			notice := func() {
				if isHalfClosing.Load() {
					noticed <- true
				}
			}
			f := newDrainFixture(t, 8, func(tapped *tappedConn) {
				tapped.beforeClose, tapped.onReadDeadline = notice, func(time.Time) { notice() }
				tapped.beforeCloseWrite = runOnce(func() {
					isHalfClosing.Store(true)
					client.send(numberedQuery(2))
					<-noticed
					isHalfClosing.Store(false)
				})
			}, answerLongValue)
			client = dial(f.fixture)
			first, tapped := numberedQuery(1), <-f.accepted
			f.activateDrain(time.Hour)
			client.send(first)
			client.wantAnswer(longValue)
			client.wantClose()
			if n := tapped.readBytes.Load(); int(n) != len(first) || f.server.PendingCommands() != 1 {
				t.Errorf("%d bytes read, want %d; %d requests forwarded", n, len(first), f.server.PendingCommands())
			}
			_ = client.Close()
			f.awaitIdle()
		})
	}
}

// A request has arrived, and the reader has seen it but has not counted it yet, when an answer is
// written that would otherwise be the last. The request is answered.
func TestDrain_requestReceivedBeforeTheLastAnswerIsAnswered(t *testing.T) {
	release := map[int]chan bool{1: make(chan bool)}
	seen, resume := make(chan bool), make(chan bool)
	f := newDrainFixture(t, 8, func(tapped *tappedConn) {
		hold := runOnce(func() { seen <- true; <-resume })
		tapped.afterWait = func() {
			if tapped.readBytes.Load() > 0 {
				hold()
			}
		}
	}, answerByNumber(release))
	c := f.dial()
	f.activateDrain(time.Hour)
	c.send(numberedQuery(1))
	f.server.NextCommand(t)
	c.send(numberedQuery(2))
	<-seen
	close(release[1])
	c.wantAnswer("value 1")
	close(resume)
	c.wantAnswer("value 2")
	c.wantClose()
}

// Bytes that arrive after the half-close are not read, and the connection is closed even if the
// client does not close it.
func TestDrain_clientThatNeverClosesIsClosed(t *testing.T) {
	for name, later := range map[string]string{"silent": "", "sends another request": numberedQuery(2)} {
		t.Run(name, func(t *testing.T) {
			f := newDrainFixture(t, 8, nil, answerHello)
			client := f.dial()
			tapped := <-f.accepted
			f.activateDrain(time.Hour)
			first := numberedQuery(1)
			client.send(first)
			client.wantAnswer("hello")
			client.wantClose()
			client.send(later)
			f.awaitIdle()
			if n := tapped.readBytes.Load(); int(n) != len(first) {
				t.Errorf("%d bytes read, want %d", n, len(first))
			}
			if later != "" {
				client.wantWriteError()
			}
		})
	}
}
