package listener

import (
	"errors"
	"os"
	"sync"
	"time"

	"harrierhoist/internal/gateway/resp"
)

const (
	writeTimeout   = 3 * time.Second        // the longest deadline counted: a client that takes longer over an answer is gone
	newClientGrace = 100 * time.Millisecond // a client that has just connected is about to send; after this it is idle like others
)

// connection is a client's connection: it counts the commands in flight on it and decides when it can be closed. The client's
// reader, its workers and those who close idle connections share it.
type connection struct {
	*resp.Conn
	drain  *drainState
	giveUp func() // has the requests in flight answered as failed

	mu         sync.Mutex // guards the fields up to the next blank line; taken after connectionTable.mu
	commands   int        // commands in flight: begun to be read, and not answered
	lastUsed   time.Time  // when it was accepted, or when its latest answer was written
	unanswered bool       // nothing was answered yet
	closed     bool       // it has ended, or its sending half has: no further command is counted
	rejects    bool       // commands are rejected behind those in flight
	closedAt   time.Time  // when the last answer of a drain closed its sending half; zero if none did

	isCountedAhead bool // of the reader alone: it has read ahead into the next command, which is counted
}

func newConnection(conn *resp.Conn, drain *drainState) *connection {
	return &connection{Conn: conn, drain: drain, lastUsed: time.Now(), unanswered: true}
}

// awaitCommand waits for a command and counts it. It returns false if nothing more is to be read.
func (c *connection) awaitCommand() bool {
	if c.isCountedAhead {
		c.isCountedAhead = false
		return c.Await() == nil
	}
	err := c.Await()
	if err == nil && c.beginCommand() {
		return true
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.awaitClose()
	}
	return false
}

// beginCommand counts a command whose first byte has arrived, unless the connection was closed meanwhile, or is to close with
// the answers to the commands in flight.
func (c *connection) beginCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || (c.commands > 0 || !c.unanswered) && c.drain.isReadOver() {
		return false
	}
	c.commands++
	return true
}

// countReadAhead counts the next command as soon as a byte of it was read, while the previous one is still counted: in between,
// the previous one's answer could close the connection, and what was read ahead would be lost.
func (c *connection) countReadAhead() {
	if c.IsDrained() {
		return
	}
	if c.drain.isReadOver() {
		c.StopReadAhead()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCountedAhead = true
	c.commands++
}

// endCommand counts a command as answered.
func (c *connection) endCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands--
	c.lastUsed, c.unanswered = time.Now(), false
}

// rejectsCommand reports whether the command that was just read is to be rejected because a drain has come far. The first of a
// connection is executed still.
func (c *connection) rejectsCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isRejected := (!c.unanswered || c.commands > 1) && c.drain.isForwardOver()
	c.rejects = c.rejects || isRejected
	return isRejected
}

// hasRejectedBehind reports whether rejections wait behind other commands.
func (c *connection) hasRejectedBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejects && c.commands > 1
}

// commandsInFlight returns how many commands have no answer yet.
func (c *connection) commandsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands
}

// isPipelined reports whether other commands are in flight besides the one that is being read.
func (c *connection) isPipelined() bool { return c.commandsInFlight() > 1 }

// idleState returns since when the connection has been idle, if it is, and whether it is silent, which is to say that nothing
// was ever asked on it: closing it costs its client only a new connection. A client that has just connected has sent a request
// or is about to, and would take that for lost if the connection were closed.
func (c *connection) idleState() (since time.Time, isSilent, isIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.unanswered && c.commands == 0, c.isIdle()
}

// isIdle reports whether the connection is idle. The caller holds c.mu.
func (c *connection) isIdle() bool {
	return c.commands == 0 && !c.closed && (!c.unanswered || time.Since(c.lastUsed) >= newClientGrace)
}

// closeIfIdle resets the connection if it is idle, and reports whether it did. Bytes that have arrived unread are a command
// to be answered, and no byte of a command is read before beginCommand. A command that crosses the reset is not read: its
// client can tell, and sends it again elsewhere. An answer still on its way to a slow client would be lost with the reset.
func (c *connection) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || !c.IsQuiet() || c.HasUnacknowledged() && time.Since(c.lastUsed) < writeTimeout {
		return false
	}
	c.closed = true
	c.Reset()
	return true
}

// markClosed makes the connection count no further command, and never idle.
func (c *connection) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
