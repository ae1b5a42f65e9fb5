package listener

import (
	"errors"
	"os"
	"time"

	"harrierhoist/internal/gateway/resp"
)

// memoryTimeout is how long a command waits for memory. Another gateway may serve a client that is
// rejected.
const memoryTimeout = 500 * time.Millisecond

// pendingCommand is a command as it was read, with the memory reserved for it.
type pendingCommand struct {
	*resp.Command
	memory          int           // in bytes
	waitedForMemory time.Duration // how long its reading was delayed
}

// isSingleWord reports whether the command may be a health check. The client of one may close its
// sending half with it, and gets its answer at any time.
func (p *pendingCommand) isSingleWord() bool { return len(p.Words) <= 1 }

// discard releases what a command holds that is not executed.
func (c *client) discard(command *pendingCommand) {
	command.Body.Free()
	c.listener.memory.release(command.memory)
	command.memory = 0
}

// readCommand reads a command. If no memory becomes free for it in time, its value is discarded as
// it arrives. Meanwhile nothing more is read from the client.
func (c *client) readCommand() (*pendingCommand, error) {
	command := &pendingCommand{}
	deadline := time.Now().Add(commandTimeout)
	_ = c.conn.SetReadDeadline(deadline) // fails on a closed connection only, where reading fails as well
	reserve := func(valueSize int) bool { return c.reserveMemory(command, maxRequestOverhead+valueSize, deadline) }
	var err error
	command.Command, err = c.conn.ReadCommand(maxCommandWords, reserve)
	if err == nil && command.memory == 0 && len(command.Words) == maxCommandWords { // a request without a value
		command.Discarded = command.Discarded || !reserve(0)
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	if err != nil {
		c.listener.memory.release(command.memory)
	}
	return command, err
}

// readOutcome is what reading a command came to.
type readOutcome uint8

const (
	readComplete  readOutcome = iota
	readMalformed             // answered with its error, as the last one of the connection
	readPartial               // has no answer of its own: the commands before it get theirs
	readFailed                // the client has disconnected, or sent too little in time with nothing in flight
)

// readOutcomeOf classifies an error of reading a command; nil says that it is complete.
func (c *client) readOutcomeOf(err error) readOutcome {
	var malformed resp.ProtocolError
	switch {
	case err == nil:
		return readComplete
	case errors.Is(err, os.ErrDeadlineExceeded) && c.conn.isPipelined():
		return readPartial
	case errors.As(err, &malformed):
		return readMalformed
	default:
		return readFailed
	}
}

// reserveMemory reserves memory for a command, and reports whether it got it. Time spent waiting is
// added to the deadline for reading the command.
func (c *client) reserveMemory(command *pendingCommand, size int, deadline time.Time) bool {
	if c.listener.memory.acquire(size, c.conn.isPipelined()) == nil {
		command.memory = size
		return true
	}
	began := time.Now()
	if c.waitForMemory(size) {
		command.memory = size
	}
	command.waitedForMemory = time.Since(began)
	_ = c.conn.SetReadDeadline(deadline.Add(command.waitedForMemory))
	return command.memory > 0
}

// waitForMemory waits until size bytes are reserved. It returns false if that takes too long, or if
// the client disconnects.
func (c *client) waitForMemory(size int) bool {
	limit := time.After(memoryTimeout)
	for {
		freed := c.listener.memory.acquire(size, c.conn.isPipelined())
		if freed == nil {
			return true
		}
		if !c.conn.waitConnected(freed, limit) {
			return false
		}
	}
}
