// Package counter is the client of the counter that all gateways share: it sends calls in lines of
// text, pipelined on a few persistent connections that answer in order, and decides when a
// connection is given up. It bounds no request's wait for a count: the decision module does. The
// dispatcher calls Add, by way of the gateway's wiring.
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
	shardCount      = 8                      // connections: a slow one delays only some names
	maxQueued       = 256                    // calls of a shard that are not written yet; more fail at once
	minNameLifetime = time.Millisecond       // the shortest lifetime of a name in the protocol
	writeTimeout    = 250 * time.Millisecond // of a few bytes
	lossLogInterval = 10 * time.Second       // between log lines on lost connections

	decimalBase = 10
	floatBits   = 64
)

// Counter is the client of one counter. Names are spread over its shards, each with a connection of
// its own.
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

// New makes a client for the counter at an address, host:port. It connects with the first calls;
// the timeout bounds a dial, and how long a connection's oldest call may have no answer.
func New(addr string, timeout time.Duration, log *zap.Logger) *Counter {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Counter{cancel: cancel, goroutines: &sync.WaitGroup{}}
	losses := &lossLog{log: log}
	for i := range c.shards {
		c.shards[i] = &shard{
			addr:       addr,
			timeout:    timeout,
			losses:     losses,
			queue:      make(chan *call, maxQueued),
			ctx:        ctx,
			goroutines: c.goroutines,
			open:       map[*connection]struct{}{},
		}
		c.goroutines.Go(c.shards[i].writeCalls)
	}
	return c
}

// Close closes all connections and waits until they are down. Pending calls end as timed out: they
// may have been added. Later calls fail.
func (c *Counter) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// SetAddress sends new calls to another address, host:port; pending ones are answered by the old
// one.
func (c *Counter) SetAddress(addr string) {
	for _, s := range c.shards {
		s.setAddress(addr)
	}
}

// Add adds units to the number under a name, which the counter drops when its lifetime ends, and
// passes the total to done, however late. Calls for one name are answered in order. Outcomes are
// Answered; Rejected and ConnectFailed, where nothing was added; TimedOut, where the connection
// ended without an answer: the units may have been added.
func (c *Counter) Add(name uint64, units float64, lifetime time.Duration, done func(float64, policy.Outcome)) {
	text := "incr " + strconv.FormatUint(name, decimalBase) +
		" " + strconv.FormatFloat(units, 'f', -1, floatBits) +
		" " + strconv.FormatInt(max(lifetime, minNameLifetime).Milliseconds(), decimalBase)
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
	loggedAt    time.Time // of the latest line; zero: none
	calls       int       // that were pending on connections lost since
	connections int       // lost since with pending calls
}

// add counts a connection that was lost with pending calls, and logs the sums since the latest line
// unless that is recent.
func (l *lossLog) add(reason error, calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls += calls
	l.connections++
	if !l.shouldLog() {
		return
	}
	l.log.Info("counter: connection lost", zap.String("reason", reason.Error()), zap.Int("calls", l.calls),
		zap.Int("connections", l.connections))
	l.loggedAt = time.Now()
	l.calls = 0
	l.connections = 0
}

// shouldLog decides whether a loss is logged now. A counter that ends each connection as it comes
// up would have a line for every call otherwise.
func (l *lossLog) shouldLog() bool {
	hasLogged := !l.loggedAt.IsZero()
	return !hasLogged || time.Since(l.loggedAt) >= lossLogInterval
}
