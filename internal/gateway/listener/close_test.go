package listener

import (
	"errors"
	"io"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Several commands are read together. The answer to the first does not close the connection before
// the others are answered.
func TestDrain_answersAllCommandsReadTogether(t *testing.T) {
	f := newDrainFixture(t, 8, nil, answerHello)
	f.activateDrain(time.Hour)
	c := f.dial()
	unknown := fakes.FormatCommand("ODD") // answered immediately; the reader then pauses
	c.send(unknown + unknown + unknown + unknown)
	for range 4 {
		c.wantAnswer("-ERR unknown command")
	}
	c.wantClose()
	_ = c.Close()
	f.awaitIdle()
}

// One of three pipelined requests is answered when the drain begins, and the others follow in
// order.
func TestDrain_answersPipelinedRequestsInOrder(t *testing.T) {
	release := map[int]chan bool{2: make(chan bool), 3: make(chan bool)}
	f := newDrainFixture(t, 8, nil, answerByNumber(release))
	idle := f.dial()
	c := f.dial()
	c.send(numberedQuery(1) + numberedQuery(2) + numberedQuery(3))
	c.wantAnswer("value 1")
	finished := f.startDrain()
	idle.wantReset()
	close(release[3])
	close(release[2])
	c.wantAnswer("value 2")
	c.wantAnswer("value 3")
	c.wantClose()
	_ = c.Close()
	f.awaitDrained(finished)
}

// Half of a command was read when the drain begins, and the other half arrives later.
func TestDrain_answersPartiallyReadCommand(t *testing.T) {
	f := newDrainFixture(t, 8, nil, answerHello)
	c := f.dial()
	text := numberedQuery(1)
	c.send(text[:20])
	tapped := <-f.accepted
	fakes.Eventually(t, "the first half read", func() bool { return tapped.readBytes.Load() == 20 })
	f.activateDrain(time.Hour)
	f.connections.closeIdle(shouldCloseInDrain)
	c.send(text[20:])
	c.wantAnswer("hello")
	c.wantClose()
	_ = c.Close()
	f.awaitIdle()
}

// A command that is never completed closes the connection, but only after the earlier commands are
// answered.
func TestPartialCommand_earlierRequestsAreAnswered(t *testing.T) {
	release := map[int]chan bool{1: make(chan bool)}
	isRead := make(chan bool, 100)
	f := newDrainFixture(t, 8, func(c *tappedConn) {
		c.onReadDeadline = func(deadline time.Time) { isRead <- deadline.IsZero() }
	}, answerByNumber(release))
	c := f.dial()
	c.send(numberedQuery(1) + numberedQuery(2)[:30])
	for n := 0; n < 2; { // the first command is read, and reading the second one has timed out
		if <-isRead {
			n++
		}
	}
	close(release[1])
	c.wantAnswer("value 1")
	c.wantClose()
}

// After an answer was written in part, the next one is not written: the client would read it as the
// rest of the first.
func TestFailedAnswer_nextIsNotWritten(t *testing.T) {
	release := map[int]chan bool{1: make(chan bool)}
	events := make(chan string, 10)
	var conn *connection
	f := newDrainFixture(t, 8, func(tapped *tappedConn) {
		// Holding the lock delays the end of the command until the test has seen the next event.
		hold := runOnce(func() { conn.mu.Lock() })
		tapped.write = func(p []byte) (int, error) {
			hold()
			events <- "write"
			n, _ := tapped.TCPConn.Write(p[:3])
			return n, errors.New("write fails")
		}
		tapped.beforeClose = runOnce(func() { events <- "close" })
	}, answerByNumber(release))
	client := f.dial()
	conn = f.connectionOf(client)
	client.send(numberedQuery(1) + pingCommand)
	f.server.NextCommand(t)
	close(release[1])
	first, second := <-events, <-events
	conn.mu.Unlock()
	if first != "write" || second != "close" {
		t.Errorf("events %s, %s; want write, close", first, second)
	}
	if received, _ := io.ReadAll(client.reader); len(received) != 3 {
		t.Errorf("the client received %q, want 3 bytes", received)
	}
	f.awaitIdle()
}
