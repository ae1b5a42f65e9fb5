package listener

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Commands read on with the one before, whose answer comes first: it does not end the connection over them.
func TestDrain_answersAllCommandsReadAtOnce(t *testing.T) {
	h := newDrainFixture(t, 8, nil, answerHello)
	h.startDraining()
	c := h.dial()
	odd := fakes.FormatCommand("ODD") // answered at once, and the reader pauses behind it
	c.send(odd + odd + odd + odd)
	for range 4 {
		c.want("-ERR unknown command")
	}
	c.wantEnd(nil)
	_ = c.Close()
	h.awaitEmpty()
}

// One answer of three is out as the front closes.
func TestDrain_answersPipelinedRequestsInOrder(t *testing.T) {
	let := map[int]chan bool{2: make(chan bool), 3: make(chan bool)}
	h := newDrainFixture(t, 8, nil, answerByNumber(let))
	rests := h.dial()
	c := h.dial()
	c.send(query(1) + query(2) + query(3))
	c.want("value 1")
	ended := h.drain()
	rests.wantEnd(syscall.ECONNRESET)
	close(let[3])
	close(let[2])
	c.want("value 2")
	c.want("value 3")
	c.wantEnd(nil)
	_ = c.Close()
	h.awaitDrained(ended)
}

// Half a command stands as the front closes; the other half comes.
func TestDrain_answersCommandReadInPart(t *testing.T) {
	h := newDrainFixture(t, 8, nil, answerHello)
	c := h.dial()
	text := query(1)
	c.send(text[:20])
	near := <-h.came
	fakes.Eventually(t, "its half", func() bool { return near.read.Load() == 20 })
	h.startDraining()
	h.f.closeIdle()
	c.send(text[20:])
	c.want("hello")
	c.wantEnd(nil)
	_ = c.Close()
	h.awaitEmpty()
}

// Half a command that never becomes whole ends the connection, but not before what was read before it is answered.
func TestPartialCommand_earlierRequestsAreAnswered(t *testing.T) {
	let := map[int]chan bool{1: make(chan bool)}
	given := make(chan bool, 100)
	h := newDrainFixture(t, 8, func(c *tappedConn) {
		c.words = func(at time.Time) { given <- at.IsZero() }
	}, answerByNumber(let))
	c := h.dial()
	c.send(query(1) + query(2)[:30])
	for n := 0; n < 2; { // the words of the first are read, those of the second given up
		if <-given {
			n++
		}
	}
	close(let[1])
	c.want("value 1")
	c.wantEnd(nil)
}

// An answer that fails half-way is not followed by the next one, which would be read as its rest.
func TestFailedAnswer_nextIsNotWritten(t *testing.T) {
	let := map[int]chan bool{1: make(chan bool)}
	events := make(chan string, 10)
	var at *client
	h := newDrainFixture(t, 8, func(c *tappedConn) {
		hold := once(func() { at.mu.Lock() }) // nobody counts the answer as over before it is seen what follows it
		c.write = func(p []byte) (int, error) {
			hold()
			events <- "write"
			n, _ := c.TCPConn.Write(p[:3])
			return n, errors.New("it failed")
		}
		c.closes = once(func() { events <- "close" })
	}, answerByNumber(let))
	c := h.dial()
	at = h.clientOf(c)
	c.send(query(1) + ping)
	h.server.NextCommand(t)
	close(let[1])
	first, then := <-events, <-events
	at.mu.Unlock()
	if first != "write" || then != "close" {
		t.Errorf("%s, then %s", first, then)
	}
	if rest, _ := io.ReadAll(c.in); len(rest) != 3 {
		t.Errorf("the client got %q", rest)
	}
	h.awaitEmpty()
}
