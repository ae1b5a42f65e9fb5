// Package counter calls the counter that all gateways share: lines of text, pipelined on a few persistent connections and
// answered in order. It knows nothing of what is counted, and bounds no call: however late, an answer is handed on. After
// a change of address new calls go to the new one; pending calls are answered by the old one.
package counter

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/policy"
)

const (
	shardCount      = 8                      // connections: one that is slow or silent delays only some names
	maxQueued       = 256                    // calls of a shard that wait for its connection; more fail at once
	minNameLifetime = time.Millisecond       // the shortest lifetime of a name in the protocol
	writeTimeout    = 250 * time.Millisecond // of a few bytes

	// lossLogInterval is the shortest time between two log lines on lost connections: a counter that ends each connection
	// as it comes up would else have a line for every call. Cost: of the reasons in between only their number is logged.
	lossLogInterval = 10 * time.Second
)

// Counter is the client of one counter. Names are spread over its shards, each with a connection of its own.
type Counter struct {
	shards     [shardCount]*shard
	cancel     context.CancelFunc
	goroutines *sync.WaitGroup
}

// call is one line and its caller.
type call struct {
	text      string
	done      func(float64, policy.Outcome) // called once, with the total
	writtenAt time.Time
}

// New makes a client for the counter at an address, host:port. It connects with the first calls; the timeout bounds a dial,
// and the wait for the oldest answer of a connection.
func New(addr string, timeout time.Duration, log *zap.Logger) *Counter {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Counter{cancel: cancel, goroutines: &sync.WaitGroup{}}
	losses := &lossLog{log: log}
	for i := range c.shards {
		c.shards[i] = &shard{
			addr: addr, timeout: timeout, losses: losses, queue: make(chan *call, maxQueued), ctx: ctx,
			goroutines: c.goroutines, open: map[*connection]struct{}{},
		}
		c.goroutines.Go(c.shards[i].writeCalls)
	}
	return c
}

// Close closes all connections and waits until they are down. Pending calls end as timed out: they may have been added.
// Later calls fail.
func (c *Counter) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// SetAddress sends calls to another address, host:port, from here on.
func (c *Counter) SetAddress(addr string) {
	for _, s := range c.shards {
		s.setAddress(addr)
	}
}

// Add adds units to the number under a name, which the counter drops when its lifetime ends, and passes the total to done.
// Calls for one name are answered in their order, as they share a connection. Outcomes are Answered; Rejected and
// ConnectFailed, where nothing was added; and TimedOut, where it may have been.
func (c *Counter) Add(name uint64, units float64, lifetime time.Duration, done func(float64, policy.Outcome)) {
	text := "incr " + strconv.FormatUint(name, 10) + " " + strconv.FormatFloat(units, 'f', -1, 64) + " " +
		strconv.FormatInt(max(lifetime, minNameLifetime).Milliseconds(), 10)
	s := c.shards[name%shardCount]
	if s.ctx.Err() != nil {
		go done(0, policy.ConnectFailed)
		return
	}
	select {
	case s.queue <- &call{text: text, done: done}:
	default:
		go done(0, policy.ConnectFailed)
	}
}

// lossLog logs lost connections, of all shards together.
type lossLog struct {
	log *zap.Logger

	mu          sync.Mutex
	loggedAt    time.Time // of the latest line; zero: none yet
	calls       int       // pending on connections lost since
	connections int       // lost since
}

// add counts a connection that was lost with pending calls, and logs what was counted unless a line was logged of late.
func (l *lossLog) add(reason error, calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls += calls
	l.connections++
	if !l.loggedAt.IsZero() && time.Since(l.loggedAt) < lossLogInterval {
		return
	}
	l.log.Info("counter: connection lost", zap.String("reason", reason.Error()), zap.Int("calls", l.calls),
		zap.Int("connections", l.connections))
	l.loggedAt, l.calls, l.connections = time.Now(), 0, 0
}
