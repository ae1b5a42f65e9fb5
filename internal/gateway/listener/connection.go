package listener

import (
	"errors"
	"os"
	"sync"
	"time"

	"harrierhoist/internal/gateway/resp"
)

const (
	// writeTimeout is how long a client may take to receive an answer. A client that takes longer
	// is assumed to have disconnected. It is also the longest request timeout that killDelay allows
	// for.
	writeTimeout = 3 * time.Second
	// newClientGrace is the time in which a new client is expected to send its first command. After
	// it, the connection counts as idle.
	newClientGrace = 100 * time.Millisecond
)

// readerState is the position of a connection's reader between two commands.
type readerState uint8

const (
	readerBetweenCommands readerState = iota // the next command is counted when its first byte arrives
	readerInNextCommand                      // part of the next command was read, and the command is counted
)

// connection is a client's connection. It counts the commands in flight and decides when the
// connection can be closed. It is shared by the client's reader, its workers and the goroutines
// that close idle connections.
type connection struct {
	*resp.Conn
	drain         *drainState
	abortRequests func()      // makes the requests in flight complete as failed
	reader        readerState // used only by the reading goroutine

	mu    sync.Mutex // protects state; taken after connectionTable.mu
	state connectionState
}

func newConnection(conn *resp.Conn, drain *drainState) *connection {
	return &connection{Conn: conn, drain: drain, state: connectionState{lastUsed: time.Now(), connectedAt: time.Now()}}
}

// awaitCommand waits for a command, and counts it unless countReadAhead has done so. It returns
// false if no further command is to be read.
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

// beginCommand counts a command whose first byte has arrived. It returns false if the connection
// was closed in the meantime, or if a drain has stopped reading and the command is not the first on
// the connection. In the latter case, the answers to the commands in flight close the connection.
func (c *connection) beginCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.isClosed() || !c.state.isUnused() && c.hasStoppedReading() {
		return false
	}
	c.state.beginCommand()
	return true
}

// countReadAhead counts the next command if part of it was read ahead. It is called while the
// previous command is still counted. Otherwise, the previous answer could close the connection, and
// the bytes read ahead would be lost.
func (c *connection) countReadAhead() {
	if c.IsDrained() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasStoppedReading() {
		c.StopReadAhead()
	}
	c.reader = readerInNextCommand
	c.state.beginCommand()
}

// hasStoppedReading reports whether a drain reads no further command on the connection, unless it is
// the first. The caller must hold c.mu.
func (c *connection) hasStoppedReading() bool {
	return c.drain.hasStoppedReading(c.state.lastBlocked(time.Now()))
}

// setReading records whether the reader waits for the rest of a command.
func (c *connection) setReading(isReading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.isReading = isReading
}

// abortStalledRead aborts the reading of a command if nothing else is in flight and nothing of the command
// has arrived for stallTimeout. It reports whether it did. The reader then closes the connection, unless
// it has the whole command.
func (c *connection) abortStalledRead(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isStalled := c.state.isReading && c.state.inFlight == 1 && now.Sub(c.LastRead()) >= stallTimeout
	if !isStalled || !c.IsIdle() {
		return false
	}
	_ = c.SetReadDeadline(now)
	return true
}

// beginRequest counts a request in flight: a command that was admitted.
func (c *connection) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.requests++
}

// endRequest marks a request as completed. Its answer may not be written yet.
func (c *connection) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.endRequest(time.Now())
}

// endCommands marks commands as answered.
func (c *connection) endCommands(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.endCommands(count, time.Now())
}

// rejectIfLate reports whether a drain rejects the command that was just read, and records the
// rejection.
func (c *connection) rejectIfLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isLate() {
		return false
	}
	c.state.hasRejected = true
	return true
}

// willReject reports whether a drain rejects the command that is being read.
func (c *connection) willReject() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isLate()
}

// isLate reports whether a drain rejects the latest command that was counted. Once a drain has
// stopped forwarding, it rejects every command unless it is the only one ever counted on its
// connection. The caller must hold c.mu.
func (c *connection) isLate() bool {
	return !c.state.isFirstCommandInFlight() && c.drain.hasStoppedForwarding()
}

// hasBlockedRejections reports whether a drain has rejected commands whose answers may wait behind
// requests in flight.
func (c *connection) hasBlockedRejections() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.hasRejected && c.state.requests > 0
}

// commandsInFlight returns the number of commands that have no answer yet.
func (c *connection) commandsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.inFlight
}

// isPipelined reports whether commands are in flight besides the one that is being read.
func (c *connection) isPipelined() bool { return c.commandsInFlight() > 1 }

// holdsNoRequest reports whether commands have arrived, and none of them is a request in flight.
func (c *connection) holdsNoRequest(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.holdsNoRequest(now)
}

// currentActivity returns the activity of the connection, and the time since which it is idle if
// the activity is an idle one.
func (c *connection) currentActivity(now time.Time) (activity activity, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.activity(now), c.state.lastUsed
}

// closeIfIdle resets the connection if it is idle, and reports whether it did. A connection with
// unread bytes is not idle: they belong to a command that must be answered, and no byte of a
// command is read before beginCommand. A client whose command arrives during the reset can tell
// from the reset that the command was not read, and can send it to another gateway.
func (c *connection) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := c.state.activity(time.Now()).isIdle()
	if !isIdle || !c.IsIdle() || c.isAnswerInTransit() {
		return false
	}
	c.state.markEnded()
	c.Reset()
	return true
}

// isAnswerInTransit reports whether a slow client may not have received all of an answer. A reset
// would discard the rest. The caller must hold c.mu.
func (c *connection) isAnswerInTransit() bool {
	return c.HasUnacknowledged() && time.Since(c.state.lastUsed) < writeTimeout
}

// markEnded makes the connection count no further command. The connection is no longer considered
// idle.
func (c *connection) markEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.markEnded()
}
