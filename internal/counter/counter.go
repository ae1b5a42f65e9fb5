// Package counter calls the counter that all gateways share: lines of text, one behind another on a few kept
// connections, answered in order. It knows nothing of what is counted, and sets no time limit on answers.
// Once it has moved, new calls go to the new address; those that are out at the old one are answered there.
package counter

import (
	"context"
	"net"
	"net/textproto"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/policy"
)

const (
	shardCount      = 8                      // connections: one that is slow or silent holds up only some names
	maxQueued       = 256                    // calls that wait for a connection to come up; more are turned away
	minNameLifetime = time.Millisecond       // the least life of a name in the protocol
	writeTimeout    = 250 * time.Millisecond // a few bytes that take longer to write go nowhere

	// Lost connections are told of at once, and then no more often than this: a counter that ends each connection as
	// it comes would else have a line for every call. Harm: the reasons in between are not told, only how many.
	lossLogInterval = 10 * time.Second
)

// Counter is the few connections.
type Counter struct {
	shards     [shardCount]*shard
	cancel     context.CancelFunc
	goroutines *sync.WaitGroup
}

type call struct {
	text      string
	done      func(float64, policy.Outcome)
	writtenAt time.Time // when it was written
}

// shard is a share of the names: the calls for them, in order, and the connection that new ones go on.
type shard struct {
	timeout    time.Duration
	losses     *lossLog
	queue      chan *call
	ctx        context.Context // ends with the counter
	goroutines *sync.WaitGroup

	mu         sync.Mutex // also of the links
	addr       string
	current    *connection              // nil: none is up
	open       map[*connection]struct{} // it, and those of earlier addresses with calls out
	cancelDial context.CancelFunc       // of the connection that comes up; nil: none does
}

// connection is one connection and the calls on it. Whoever closes it sets over.
type connection struct {
	text    *textproto.Conn
	socket  net.Conn
	pending []*call // written and not answered, oldest first
	closed  bool
}

// New makes a counter at an address; connections come up with the first calls, within a time.
func New(addr string, timeout time.Duration, log *zap.Logger) *Counter {
	ctx, end := context.WithCancel(context.Background())
	c := &Counter{cancel: end, goroutines: &sync.WaitGroup{}}
	told := &lossLog{log: log}
	for i := range c.shards {
		s := &shard{addr: addr, timeout: timeout, losses: told, queue: make(chan *call, maxQueued), ctx: ctx, goroutines: c.goroutines,
			open: map[*connection]struct{}{}}
		c.shards[i] = s
		c.goroutines.Go(s.writeCalls)
	}
	return c
}

// Close ends all connections and waits until they are down. Calls that are out may have been added; those that come
// from now on are turned away.
func (c *Counter) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// SetAddress sends the calls from here on to another address.
func (c *Counter) SetAddress(addr string) {
	for _, s := range c.shards {
		s.setAddress(addr)
	}
}

// Add adds to a number and tells the total, in the order of the calls for that number: they share a
// connection.
func (c *Counter) Add(name uint64, units float64, lifetime time.Duration, done func(float64, policy.Outcome)) {
	text := "incr " + strconv.FormatUint(name, 10) + " " + strconv.FormatFloat(units, 'f', -1, 64) + " " +
		strconv.FormatInt(max(lifetime, minNameLifetime).Milliseconds(), 10)
	made, s := &call{text: text, done: done}, c.shards[name%shardCount]
	if s.ctx.Err() != nil {
		go done(0, policy.ConnectFailed)
		return
	}
	select {
	case s.queue <- made:
	default:
		go done(0, policy.ConnectFailed)
	}
}

// lossLog tells of lost connections.
type lossLog struct {
	log *zap.Logger

	mu          sync.Mutex
	loggedAt    time.Time // when it was last told; zero: never
	calls       int       // out on those lost since
	connections int
}

// add takes one that was lost with calls out on it.
func (l *lossLog) add(why string, calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls += calls
	l.connections++
	if !l.loggedAt.IsZero() && time.Since(l.loggedAt) < lossLogInterval {
		return
	}
	l.log.Info("a connection to the counter is lost", zap.String("why", why), zap.Int("calls", l.calls),
		zap.Int("connections", l.connections))
	l.loggedAt, l.calls, l.connections = time.Now(), 0, 0
}
