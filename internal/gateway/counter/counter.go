// Package counter is the client of the counter that all gateways share. It pipelines calls, which
// are lines of text, on a few persistent connections, and closes connections that fail or stop
// answering. It does not limit how long a request waits for a count; the decision module does. The
// dispatcher calls Add through a function that the gateway passes to it.
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
	shardCount      = 8                      // connections; a slow one delays only its names
	maxQueued       = 256                    // unwritten calls of a shard; more fail immediately
	minNameLifetime = time.Millisecond       // shortest lifetime that the protocol can express
	writeTimeout    = 250 * time.Millisecond // for calls of a few bytes each
	lossLogInterval = 10 * time.Second       // between log lines about lost connections

	decimalBase = 10
	floatBits   = 64
)

// Counter is the client of one counter. Names are distributed over its shards, each with its own
// connection.
type Counter struct {
	shards     [shardCount]*shard
	cancel     context.CancelFunc
	goroutines *sync.WaitGroup
}

// call is one call of the counter.
type call struct {
	line      string                        // as written, without its line end
	done      func(float64, policy.Outcome) // called once, with the total
	writtenAt time.Time                     // zero: not written yet
}

// New returns a client of the counter at addr, host:port. It connects when calls are made. timeout
// limits each dial, and how long the oldest pending call of a connection may wait for its answer.
func New(addr string, timeout time.Duration, log *zap.Logger) *Counter {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Counter{cancel: cancel, goroutines: &sync.WaitGroup{}}
	losses := &lossLog{log: log}
	for i := range c.shards {
		c.shards[i] = &shard{
			addr:        addr,
			timeout:     timeout,
			losses:      losses,
			queue:       make(chan *call, maxQueued),
			ctx:         ctx,
			goroutines:  c.goroutines,
			connections: map[*connection]struct{}{},
		}
		c.goroutines.Go(c.shards[i].writeCalls)
	}
	return c
}

// Close closes all connections and waits for the client's goroutines. Pending calls end with
// TimedOut, because their units may have been added. Later calls fail.
func (c *Counter) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// SetAddress sends new calls to addr, host:port. Pending calls are still answered by the previous
// address.
func (c *Counter) SetAddress(addr string) {
	for _, s := range c.shards {
		s.setAddress(addr)
	}
}

// Add adds units to the counter's total for a name, which the counter deletes after lifetime. It
// calls done once with the total, no matter how late the answer arrives. It does not block. Calls
// for one name are answered in order. The outcome is Answered; Rejected or ConnectFailed if nothing
// was added; or TimedOut if the connection ended without an answer, in which case the units may
// have been added.
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
	case s.queue <- &call{line: text, done: done}:
	default:
		go done(0, policy.ConnectFailed)
	}
}

// lossLog logs the lost connections of all shards, at most one line per lossLogInterval.
type lossLog struct {
	log *zap.Logger

	mu          sync.Mutex
	loggedAt    time.Time // time of the latest line; zero: none
	calls       int       // number of calls pending on the connections lost since then
	connections int       // number of connections lost since then with pending calls
}

// add counts a connection that was lost with pending calls. It logs the totals since the latest
// line, unless that line is recent.
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

// shouldLog reports whether to log a loss now. Without the limit, a counter that closes each
// connection as soon as it is established would cause a log line for every call.
func (l *lossLog) shouldLog() bool {
	hasLogged := !l.loggedAt.IsZero()
	return !hasLogged || time.Since(l.loggedAt) >= lossLogInterval
}
