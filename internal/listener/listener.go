// Package front serves clients: it accepts, reads tasks, has each carried, and answers in the order of the
// tasks on a connection.
package listener

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/resp"
	"harrierhoist/internal/upstream"
	"harrierhoist/policy"
)

const (
	acceptAfterTerm       = 450 * time.Millisecond // after SIGTERM clients come for 0.4 s, and every limit has 50 ms more
	maxCommandWords       = 4                      // of a command, besides a value
	writeTimeout          = 3 * time.Second        // the longest deadline counted: who takes longer over an answer has gone
	commandTimeout        = time.Second            // who takes longer over a command is no client; with mumMost under 3 s
	relaxedSlotShare      = 0.6                    // of the places: more are for floods. Clients keep to a third of the sockets
	silentTimeout         = 1500 * time.Millisecond
	minIdleBeforeEvict    = 2 * time.Second        // clients ask again within this, if they do
	idleTimeout           = 10 * time.Second       // a client that asks no more has gone, or opens another connection
	sweepInterval         = 250 * time.Millisecond // at idle connections
	newClientGrace        = 100 * time.Millisecond // who has just connected is about to send; after this it is idle like others
	slotRetryInterval     = 20 * time.Millisecond  // how often a place is looked for
	malformedCloseTimeout = time.Second            // a client whose words were no command has so long to read that
	rejectedCommandPause  = 10 * time.Millisecond  // between commands of a client after one that could not be used
	maxInFlightPerConn    = 16                     // tasks in hand of one connection: clients send one, floods hundreds
	maxCustomer           = 1 << 33                // their numbers are below
)

// Listener owns the connections of clients.
type Listener struct {
	dispatcher  *dispatch.Dispatcher
	upstream    *upstream.Pool
	log         *zap.Logger
	ready       atomic.Bool
	idleWorkers chan job // to carriers that are free
	memory      memoryLimiter

	settingsLock sync.RWMutex // held for reading from a task's first word to its admission
	parser       atomic.Pointer[requestParser]

	slots       chan struct{} // one a connection; one more may have come and wait
	mu          sync.Mutex
	clients     map[*client]struct{}
	openIDs     map[string]struct{} // of open tasks
	draining    atomic.Bool
	readUntil   time.Time      // in a front that closes: until then, more is read behind what is in hand
	answerUntil time.Time      // in a front that closes: by then all is answered
	acceptDone  chan struct{}  // closed once nothing more is accepted
	drainDone   chan struct{}  // closed once nobody waits for clients any more
	clientsDone sync.WaitGroup // clients
}

// New makes a front that holds at most so many connections, and so many bytes of what clients ask; 0: no bound on them.
func New(site *policy.Settings, g *dispatch.Dispatcher, f *upstream.Pool, most, bytes int, log *zap.Logger) *Listener {
	fr := &Listener{
		dispatcher: g, upstream: f, log: log, openIDs: map[string]struct{}{},
		slots: make(chan struct{}, max(most, 1)), clients: map[*client]struct{}{},
		acceptDone: make(chan struct{}), drainDone: make(chan struct{}), idleWorkers: make(chan job),
	}
	if bytes > 0 {
		fr.memory.limit = max(bytes, minMemory)
	}
	fr.setParser(site)
	return fr
}

// Ready lets PING be answered well from here on.
func (f *Listener) Ready() { f.ready.Store(true) }

// Serve accepts clients until the listener is closed, by itself or by Drain.
func (f *Listener) Serve(l net.Listener) error {
	defer close(f.acceptDone)
	var lack acceptBackoff
	for {
		conn, err := f.accept(l)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			lack.wait(f, err)
			continue
		}
		if !f.acquireSlot() {
			resp.NewConn(conn).Reset()
			return nil
		}
		if easy := int(relaxedSlotShare * float64(cap(f.slots))); len(f.slots) > easy {
			f.evict(easy)
		}
		c := &client{
			listener: f, conn: resp.NewConn(conn), inFlightTokens: make(chan struct{}, maxInFlightPerConn),
			requests: map[*dispatch.Request]struct{}{}, lastUsed: time.Now(), unanswered: true,
		}
		for range maxInFlightPerConn {
			c.inFlightTokens <- struct{}{}
		}
		f.mu.Lock()
		f.clients[c] = struct{}{}
		f.mu.Unlock()
		f.clientsDone.Add(1)
		go c.serve()
	}
}
