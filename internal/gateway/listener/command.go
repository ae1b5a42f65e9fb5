package listener

import (
	"errors"
	"os"
	"time"

	"harrierhoist/internal/gateway/resp"
)

// memoryTimeout is how long a command waits for memory before it is rejected. A rejected client may
// be served by another gateway.
const memoryTimeout = 500 * time.Millisecond

// pendingCommand is a command that was read, with the memory reserved for it.
type pendingCommand struct {
	*resp.Command
	memory          int           // in bytes
	waitedForMemory time.Duration // time that reading the command waited for memory
}

// mayBePing reports whether the command may be a PING. A PING is answered even if the client closes
// its sending half right after it, and even late in a drain.
func (p *pendingCommand) mayBePing() bool { return len(p.Words) <= 1 }

// isRequest reports whether the command has the form of a request.
func (p *pendingCommand) isRequest() bool {
	return len(p.Words) == maxCommandWords && (p.Words[0] == verbQuery || p.Words[0] == verbSubmit)
}

// discard releases the value and the memory of a command that is not executed.
func (c *client) discard(command *pendingCommand) {
	command.Body.Free()
	c.listener.memory.release(command.memory)
	command.memory = 0
}

// readCommand reads a command. If no memory becomes available in time, the command's value is
// discarded as it arrives. While the command waits for memory, nothing is read from the client. A
// command that a drain rejects does not wait, as others may wait behind it.
func (c *client) readCommand() (*pendingCommand, error) {
	command := &pendingCommand{}
	deadline := time.Now().Add(commandTimeout)
	_ = c.conn.SetReadDeadline(deadline) // fails only on a closed connection, where reading fails as well
	reserve := func(valueSize int) bool {
		return !c.conn.willReject() && c.reserveMemory(command, valueSize, deadline)
	}
	c.conn.setReading(true)
	var err error
	command.Command, err = c.conn.ReadCommand(maxCommandWords, reserve)
	c.conn.setReading(false)
	if err == nil && command.memory == 0 && len(command.Words) == maxCommandWords { // a request without a value
		command.BodyDiscarded = command.BodyDiscarded || !reserve(0)
	}
	_ = c.conn.SetReadDeadline(time.Time{}) // also ends an abort of the read
	if err != nil {
		c.listener.memory.release(command.memory)
	}
	return command, err
}

// readOutcome is the result of reading a command.
type readOutcome uint8

const (
	readComplete  readOutcome = iota
	readMalformed             // the command is answered with an error, and the connection is closed
	readPartial               // the rest did not arrive in time; only the earlier commands are answered
	readFailed                // the client disconnected, or sent a partial command with no other in flight
)

// classifyReadError returns the outcome of a read that ended with err. A nil error means
// readComplete.
func (c *client) classifyReadError(err error) readOutcome {
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

// reserveMemory reserves memory for a command with a value of the size in bytes, and reports whether it is
// reserved. The time spent waiting is added to the deadline for reading the command.
func (c *client) reserveMemory(command *pendingCommand, valueSize int, deadline time.Time) bool {
	size := maxRequestOverhead + valueSize
	if c.acquireMemory(valueSize) == nil {
		command.memory = size
		return true
	}
	began := time.Now()
	if c.waitForMemory(valueSize) {
		command.memory = size
	}
	command.waitedForMemory = time.Since(began)
	_ = c.conn.SetReadDeadline(deadline.Add(command.waitedForMemory))
	return command.memory > 0
}

// acquireMemory reserves memory for a command with a value of the size in bytes and returns nil. If the
// memory is not available, it returns a channel that is closed when the caller may try again. Pipelined
// commands, and those whose value has not arrived completely, share a part of the memory: floods and
// slow clients must not take all of it.
func (c *client) acquireMemory(valueSize int) (wait <-chan struct{}) {
	isShared := c.conn.isPipelined() || valueSize > 0 && !c.conn.HasArrived(valueSize)
	return c.listener.memory.acquire(maxRequestOverhead+valueSize, isShared)
}

// waitForMemory waits until memory is reserved, see acquireMemory. It returns false after memoryTimeout, if the
// client disconnects or if a drain rejects the command or must answer it at once.
func (c *client) waitForMemory(valueSize int) bool {
	timeout := time.NewTimer(memoryTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(disconnectPollInterval)
	defer poll.Stop()
	for !c.conn.willReject() && !c.listener.drain.mustAnswer() {
		freed := c.acquireMemory(valueSize)
		if freed == nil {
			return true
		}
		select {
		case <-freed:
		case <-poll.C:
			if c.conn.IsPeerClosed() {
				return false
			}
		case <-timeout.C:
			return false
		}
	}
	return false
}
