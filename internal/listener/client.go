package listener

import (
	"errors"
	"net/textproto"
	"os"
	"sync"
	"time"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/resp"
)

// client is one connection.
type client struct {
	listener       *Listener
	conn           *resp.Conn
	inFlightTokens chan struct{}      // one a task that may yet come in hand: bounds them
	pipeline       textproto.Pipeline // answers go in the order of their tasks

	mu         sync.Mutex
	requests   map[*dispatch.Request]struct{}
	commands   int       // commands in hand
	lastUsed   time.Time // when it came, or was last answered
	unanswered bool      // nothing was answered yet
	closed     bool      // the connection has ended
	closedAt   time.Time // when its last answer ended it; zero: not so

	readAhead bool // the reader's own: it has read on into the next command, which is counted
}

// serve reads commands until the client goes, which it sees also while tasks are out. It owns the connection.
func (c *client) serve() {
	defer c.disconnect()
	for c.awaitCommand() && c.waitConnected(c.inFlightTokens, nil) {
		cmd, err := c.readCommand()
		var bad resp.ProtocolError
		stuck := errors.Is(err, os.ErrDeadlineExceeded) && c.hasOtherCommands() // half a command: those before it are answered yet
		if err != nil && !stuck && !errors.As(err, &bad) {
			return
		}
		c.countReadAhead()
		turn := c.pipeline.Next()
		if err != nil {
			c.answerMalformed(turn, stuck, bad)
			return
		}
		age, gone := c.conn.PeerState()
		if gone && len(cmd.Words) > 1 { // who only asks whether we are there may end its sending with that
			c.discard(cmd)
			return
		}
		if e, what, line := c.admitCommand(cmd, age); line != "" {
			c.discard(cmd)
			go c.answer(turn, func() error { return c.conn.WriteLine(line) })
			if line != answerPong {
				time.Sleep(rejectedCommandPause) // else one that goes on and on takes all of our time
			}
		} else {
			c.listener.startWork(job{c, turn, e, what, cmd.memory})
		}
	}
}

// answer writes an answer when its turn has come. In a front that closes, the last one ends the connection.
func (c *client) answer(turn uint, write func() error) {
	c.pipeline.StartResponse(turn)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var err error
	if c.listener.draining.Load() {
		err = c.answerLast(write)
	} else {
		err = write()
	}
	if err != nil {
		_ = c.conn.Close() // before the next one's turn: behind part of this answer, it would be read as the rest
	}
	c.mu.Lock()
	c.commands--
	c.lastUsed, c.unanswered = time.Now(), false
	c.mu.Unlock()
	c.pipeline.EndResponse(turn)
	c.inFlightTokens <- struct{}{}
}

// idleState tells since when the connection has been idle, if it is, and whether it never asked anything: closed then,
// it costs its client nothing but a new one. Who has just connected has sent a task, or is about to; closed on, it
// would take that for lost.
func (c *client) idleState() (since time.Time, mum, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.unanswered && c.commands == 0, c.isIdle()
}

func (c *client) isIdle() bool {
	return c.commands == 0 && !c.closed && (!c.unanswered || time.Since(c.lastUsed) >= newClientGrace)
}

// closeIfIdle ends the connection if it is idle, and tells whether it did. What has come and was not read yet is to be
// read and answered: no byte of a command is read before begin. What crosses the end is not taken: the client can
// tell, and sends it again elsewhere. An answer that is still on its way to a slow client would go with the end.
func (c *client) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || !c.conn.IsQuiet() || c.conn.HasUnacknowledged() && time.Since(c.lastUsed) < writeTimeout {
		return false
	}
	c.closed = true
	c.conn.Reset()
	return true
}

// awaitCommand waits for a command and counts it; false: nothing more is read.
func (c *client) awaitCommand() bool {
	if c.readAhead {
		c.readAhead = false
		return c.conn.Await() == nil
	}
	if err := c.conn.Await(); err == nil && c.beginCommand() {
		return true
	} else if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.awaitClose()
	}
	return false
}

// beginCommand counts a command whose first byte has come, unless the connection was given up meanwhile, or ends with the
// answers that are in hand.
func (c *client) beginCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || (c.commands > 0 || !c.unanswered) && c.listener.isReadOver() {
		return false
	}
	c.commands++
	return true
}

// countReadAhead counts the next command as soon as a byte of it was read, while the one before is still counted: in between,
// its answer would end the connection, and what was read on would be lost.
func (c *client) countReadAhead() {
	if c.conn.IsDrained() {
		return
	}
	if c.listener.isReadOver() {
		c.conn.StopReadAhead()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = true
	c.commands++
}

// hasOtherCommands tells whether other commands are in hand than the one that is being read.
func (c *client) hasOtherCommands() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands > 1
}

// disconnect tells the gate which tasks have lost their client, and gives the place back.
func (c *client) disconnect() {
	c.mu.Lock()
	c.closed = true
	var left []*dispatch.Request
	for e := range c.requests {
		left = append(left, e)
	}
	c.mu.Unlock()
	for _, e := range left {
		e.Disconnect()
	}
	_ = c.conn.Close()
	f := c.listener
	f.mu.Lock()
	delete(f.clients, c)
	f.mu.Unlock()
	<-f.slots
	f.clientsDone.Done()
}
