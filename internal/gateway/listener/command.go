package listener

import (
	"time"

	"harrierhoist/internal/gateway/resp"
)

// memoryTimeout is how long a command waits for memory. A client that is rejected sooner is served sooner by another gateway.
const memoryTimeout = 500 * time.Millisecond

// pendingCommand is a command as it was read, with the memory reserved for it.
type pendingCommand struct {
	*resp.Command
	memory          int           // in bytes
	waitedForMemory time.Duration // how long its reading was delayed
}

// discard releases what a command holds that is not executed.
func (c *client) discard(command *pendingCommand) {
	command.Body.Free()
	c.listener.memory.release(command.memory)
	command.memory = 0
}

// readCommand reads a command. If no memory becomes free for it in time, its value is discarded as it arrives. Meanwhile
// nothing more is read from the client.
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

// reserveMemory reserves memory for a command, and reports whether it got it. Time spent waiting is added to the deadline for
// reading the command.
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

// waitForMemory waits until size bytes are reserved. It returns false if that takes too long, or if the client disconnects.
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
