package listener

import (
	"sync"
	"time"

	"harrierhoist/internal/resp"
)

// maxRequestOverhead is what a task may hold besides its value: its words, and a server's answer, as resp bounds them.
const maxRequestOverhead = 68 << 10

// minMemory is the least that all tasks in hand may hold at once: two of the largest, and as much again for those that
// have a connection to themselves.
const minMemory = 4 * (maxRequestOverhead + 64<<10)

// memoryTimeout is how long a task waits for room: refused sooner, its client is sooner served elsewhere.
const memoryTimeout = 500 * time.Millisecond

// memoryLimiter bounds the bytes that tasks in hand may hold: places alone would let sixteen values a connection add up beyond
// any memory. A task takes the most that it may hold at once, before its value is read, so that none waits for room
// while it holds some; all comes back with its answer. Those written behind others of their connection get half:
// clients send one at a time, floods many. Harm: an answer counts as the longest, so that with many sockets for little
// memory tasks wait, and are refused, while there is memory left.
type memoryLimiter struct {
	mu    sync.Mutex
	limit int // 0: no bound
	used  int
	freed chan struct{} // closed when something comes back; nil: nobody waits
}

// acquire takes so many bytes, or tells what to wait for.
func (r *memoryLimiter) acquire(n int, behind bool) (wait <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := r.limit
	if behind {
		most /= 2
	}
	if r.limit == 0 || r.used+n <= most {
		r.used += n
		return nil
	}
	if r.freed == nil {
		r.freed = make(chan struct{})
	}
	return r.freed
}

// release gives them back.
func (r *memoryLimiter) release(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= n
	if r.freed != nil && n > 0 {
		close(r.freed)
		r.freed = nil
	}
}

// pendingCommand is one as it was read, and the room that it has.
type pendingCommand struct {
	*resp.Command
	memory          int
	waitedForMemory time.Duration // for room
}

// discard gives back what a command holds that is not passed on.
func (c *client) discard(cmd *pendingCommand) {
	cmd.Body.Free()
	c.listener.memory.release(cmd.memory)
	cmd.memory = 0
}

// readCommand reads a command. If in time there is no room for it, it is thrown away as it comes: the client is held up
// meanwhile, and no more of what it sends is read.
func (c *client) readCommand() (*pendingCommand, error) {
	cmd := &pendingCommand{}
	until := time.Now().Add(commandTimeout)
	_ = c.conn.SetReadDeadline(until)
	hold := func(size int) bool {
		if c.listener.memory.acquire(maxRequestOverhead+size, c.isPipelined()) == nil {
			cmd.memory = maxRequestOverhead + size
			return true
		}
		began := time.Now()
		if c.waitMemory(maxRequestOverhead + size) {
			cmd.memory = maxRequestOverhead + size
		}
		cmd.waitedForMemory = time.Since(began)
		_ = c.conn.SetReadDeadline(until.Add(cmd.waitedForMemory)) // that time was not its own
		return cmd.memory > 0
	}
	var err error
	if cmd.Command, err = c.conn.ReadCommand(maxCommandWords, hold); err == nil && cmd.memory == 0 && len(cmd.Words) == maxCommandWords {
		cmd.Discarded = cmd.Discarded || !hold(0)
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	if err != nil {
		c.listener.memory.release(cmd.memory)
	}
	return cmd, err
}

// waitMemory waits for room, and tells whether it was had in time, and the client has not gone.
func (c *client) waitMemory(size int) bool {
	limit := time.After(memoryTimeout)
	for {
		freed := c.listener.memory.acquire(size, c.isPipelined())
		if freed == nil {
			return true
		}
		if !c.waitConnected(freed, limit) {
			return false
		}
	}
}

// isPipelined tells whether a command stands behind others in hand.
func (c *client) isPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands > 1
}
