package listener

import (
	"errors"
	"os"
	"sync"
	"time"

	"harrierhoist/internal/gateway/resp"
)

const (
	// writeTimeout is the longest deadline that counts: a client that takes longer over an answer
	// is gone.
	writeTimeout = 3 * time.Second
	// newClientGrace is the time in which a client that has just connected is expected to send a
	// command. After it the connection is idle like others.
	newClientGrace = 100 * time.Millisecond
)

// readerState is where the reader of a connection stands between two commands.
type readerState uint8

const (
	readerBetweenCommands readerState = iota // the next command is counted when its first byte arrives
	readerInNextCommand                      // a part of the next command was read with the last one, and it is counted
)

// connection is a client's connection: it counts the commands in flight on it and decides when it
// can be closed. The client's reader, its workers and those who close idle connections share it.
type connection struct {
	*resp.Conn
	drain  *drainState
	giveUp func()      // has the requests in flight answered as failed
	reader readerState // used by the goroutine that reads

	mu    sync.Mutex // protects state; taken after connectionTable.mu
	state connectionState
}

func newConnection(conn *resp.Conn, drain *drainState) *connection {
	return &connection{Conn: conn, drain: drain, state: connectionState{lastUsed: time.Now()}}
}

// awaitCommand waits for a command and counts it. It returns false if nothing more is to be read.
func (c *connection) awaitCommand() bool {
	if c.reader == readerInNextCommand {
		c.reader = readerBetweenCommands
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

// beginCommand counts a command whose first byte has arrived, unless the connection was closed
// meanwhile, or is to close with the answers to the commands in flight. A drain reads the first
// command of a connection at any time.
func (c *connection) beginCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.isClosed() || !c.state.isUnused() && c.drain.isReadOver() {
		return false
	}
	c.state.beginCommand()
	return true
}

// countReadAhead counts the next command as soon as a byte of it was read, while the previous one
// is still counted: in between, the previous one's answer could close the connection, and what was
// read ahead would be lost.
func (c *connection) countReadAhead() {
	if c.IsDrained() {
		return
	}
	if c.drain.isReadOver() {
		c.StopReadAhead()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader = readerInNextCommand
	c.state.beginCommand()
}

// endCommand counts a command as answered.
func (c *connection) endCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.endCommand(time.Now())
}

// rejectsCommand decides whether a drain rejects the command that was just read, and records it if
// so: after forwardAfterTerm, unless it is the only one ever counted on the connection.
func (c *connection) rejectsCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.isAtFirstCommand() || !c.drain.isForwardOver() {
		return false
	}
	c.state.hasRejected = true
	return true
}

// hasRejectedBehind reports whether rejections wait behind other commands.
func (c *connection) hasRejectedBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.hasRejected && c.state.commands > 1
}

// commandsInFlight returns how many commands have no answer yet.
func (c *connection) commandsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.commands
}

// isPipelined reports whether other commands are in flight besides the one that is being read.
func (c *connection) isPipelined() bool { return c.commandsInFlight() > 1 }

// currentActivity returns what the connection is doing, and since when if it is idle.
func (c *connection) currentActivity() (activity activity, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.activity(time.Now()), c.state.lastUsed
}

// closeIfIdle resets the connection if it is idle, and reports whether it did. Bytes that have
// arrived unread are a command to be answered, and no byte of a command is read before
// beginCommand. A client whose command crosses the reset can tell, and sends it again elsewhere.
func (c *connection) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := c.state.activity(time.Now()).isIdle()
	if !isIdle || !c.IsQuiet() || c.isAnswerInTransit() {
		return false
	}
	c.state.end()
	c.Reset()
	return true
}

// isAnswerInTransit reports whether an answer may still be on its way to a slow client. A reset
// would discard it. The caller holds c.mu.
func (c *connection) isAnswerInTransit() bool {
	return c.HasUnacknowledged() && time.Since(c.state.lastUsed) < writeTimeout
}

// markClosed makes the connection count no further command, and never idle.
func (c *connection) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.end()
}
