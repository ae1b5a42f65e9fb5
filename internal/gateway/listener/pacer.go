package listener

import (
	"runtime"
	"sync"
	"time"
)

// Costs of work that serves no request. All of it together is done at a rate of one unit of cost per
// unit of time, so that it takes only a part of the processor.
const (
	replyCost          = 500 * time.Microsecond // answer to a command that is not admitted
	drainReplyCost     = 200 * time.Microsecond // the same during a drain
	rejectionCost      = 250 * time.Microsecond // request that is rejected without an attempt
	connectionLossCost = 2 * time.Millisecond   // connection that ends with a malformed command: the next one follows
	acceptCost         = 100 * time.Microsecond // accepted connection
)

// acceptBurst is how far accepts may be ahead of their rate. A crowd of clients that connect at the same
// time does not wait.
const acceptBurst = 100 * time.Millisecond

// Shortest pauses in reading from a client after a command that was answered without being admitted.
const (
	minReplyPause      = 10 * time.Millisecond
	minDrainReplyPause = 2 * time.Millisecond // what waits behind the command must be answered before SIGKILL
)

// maxPace is the longest time until reserved work begins. What is reserved beyond it is not counted: a
// flood must not delay others after its end, and connections that wait hold slots.
const maxPace = 250 * time.Millisecond

// pacer spreads the work of all connections that serves no request over time. It is safe for
// concurrent use.
type pacer struct {
	mu     sync.Mutex
	freeAt time.Time // end of the latest work
}

// reserve reserves time for work and returns how long the caller must wait until its time begins.
func (p *pacer) reserve(now time.Time, cost time.Duration) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	wait = p.freeAt.Sub(now)
	if wait+cost <= maxPace {
		p.freeAt = p.freeAt.Add(cost)
	}
	return wait
}

// pauseAfterAccept delays the next accept if connections arrive at a high rate, unless a drain has to
// empty the backlog.
func (l *Listener) pauseAfterAccept() {
	if !l.drain.active.Load() {
		time.Sleep(l.acceptPacer.reserve(time.Now(), acceptCost) - acceptBurst)
	}
}

// pauseAfterReply delays the next read from a client whose command was answered without being
// admitted. It returns false if the client disconnects.
func (c *client) pauseAfterReply() bool {
	if c.conn.mustFinish() || c.conn.IsAtEnd() {
		runtime.Gosched()
		return true
	}
	cost, minPause := replyCost, minReplyPause
	if c.listener.drain.active.Load() {
		cost, minPause = drainReplyCost, minDrainReplyPause
	}
	return c.conn.pause(max(c.listener.pacer.reserve(time.Now(), cost), minPause))
}

// pauseBeforeClose delays the answer to a malformed command, with which the connection ends. It
// returns false if the client disconnects.
func (c *client) pauseBeforeClose() bool {
	if c.conn.mustFinish() {
		return true
	}
	return c.conn.pause(c.listener.pacer.reserve(time.Now(), connectionLossCost))
}

// returnTokenWithoutAttempt returns the token of a request that ended without an attempt, once there is
// time for the next one. The answer has been written.
func (c *client) returnTokenWithoutAttempt() {
	wait := c.listener.pacer.reserve(time.Now(), rejectionCost)
	if wait <= 0 {
		c.returnTokens(1)
		return
	}
	time.AfterFunc(wait, func() { c.returnTokens(1) })
}

// mustFinish reports whether a drain answers the commands that have arrived without any delay, because
// it reads no others on the connection or SIGKILL is near.
func (c *connection) mustFinish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drain.mustAnswer() || c.hasStoppedReading()
}

// pause waits for a time while nothing is read from the client. It returns false if the client
// disconnects.
func (c *connection) pause(duration time.Duration) bool {
	if duration <= disconnectPollInterval {
		time.Sleep(duration)
		return true
	}
	done := make(chan struct{})
	timer := time.AfterFunc(duration, func() { close(done) })
	defer timer.Stop()
	return c.waitConnected(done)
}
