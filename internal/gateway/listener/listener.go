// Package listener decides when a client's connection is accepted, read and closed, and has each
// request executed by the dispatcher's decisions and answered in order. The gateway's wiring calls
// it: Serve and Sweep while it runs, Reconfigure at a reload, Drain at SIGTERM.
//
// Two pairs of locks nest: Listener.settingsMu around the dispatcher's own lock and the leaves
// openRequestIDs.mu and client.mu, and connectionTable.mu around connection.mu. Nothing else is
// locked while one of the others is held.
package listener

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/policy"
)

// Listener serves the connections of clients. It is safe for concurrent use.
type Listener struct {
	dispatcher  *dispatch.Dispatcher
	upstream    *upstream.Pool
	log         *zap.Logger
	ready       atomic.Bool
	workers     *workerPool
	memory      *memoryLimiter
	requestIDs  *openRequestIDs
	connections *connectionTable
	drain       *drainState

	settingsMu sync.RWMutex // held for reading from a request's parsing to its admission, for writing by Reconfigure
	parser     atomic.Pointer[requestParser]
}

// New returns a listener that holds at most maxConnections connections and maxMemory bytes of
// requests in flight; without a bound on memory if maxMemory is 0.
func New(
	settings *policy.Settings, dispatcher *dispatch.Dispatcher, upstreams *upstream.Pool, maxConnections, maxMemory int,
	log *zap.Logger,
) *Listener {
	l := &Listener{
		dispatcher:  dispatcher,
		upstream:    upstreams,
		log:         log,
		workers:     newWorkerPool(),
		memory:      newMemoryLimiter(maxMemory),
		requestIDs:  newOpenRequestIDs(),
		connections: newConnectionTable(maxConnections),
		drain:       newDrainState(),
	}
	l.parser.Store(newRequestParser(settings))
	return l
}

// Ready makes PING succeed from here on.
func (l *Listener) Ready() { l.ready.Store(true) }

// Reconfigure applies new settings to the dispatcher and the parser, and returns them as they are
// in force. No request is parsed by the old settings and admitted under the new ones: a class may
// keep its name and get another effect, and a request that was sent as non-idempotent would be
// retried.
func (l *Listener) Reconfigure(settings policy.Settings) (policy.Settings, error) {
	l.settingsMu.Lock()
	defer l.settingsMu.Unlock()
	settings, err := l.dispatcher.Reconfigure(settings)
	if err == nil {
		l.parser.Store(newRequestParser(&settings))
		l.drain.limitKillDelay(l.killDelay())
	}
	return settings, err
}

// Serve accepts connections until socket is closed, by the caller or by Drain. It returns nil then.
func (l *Listener) Serve(socket net.Listener) error {
	defer close(l.drain.acceptDone)
	var backoff acceptBackoff
	for {
		conn, err := l.accept(socket)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.handleAcceptError(&backoff, err)
			continue
		}
		if !l.connections.acquireSlot(l.drain.finished) {
			resp.NewConn(conn).Reset()
			return nil
		}
		l.connections.evictOverRelaxedLimit()
		c := newClient(l, resp.NewConn(conn))
		l.connections.add(c.conn)
		go c.serve()
	}
}

// accept returns the next connection. While the listener drains, the socket is closed once the
// backlog is empty: a connection that the system has accepted may hold a request, and closing the
// socket would reset it.
func (l *Listener) accept(socket net.Listener) (net.Conn, error) {
	for {
		isDraining := l.drain.active.Load()
		if d, ok := socket.(deadlineSetter); ok && isDraining {
			// SetDeadline fails on a closed socket only, where Accept fails as well.
			_ = d.SetDeadline(time.Now().Add(backlogTimeout))
		}
		conn, err := socket.Accept()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return conn, err
		case isDraining:
			_ = socket.Close() // the next Accept reports the close
		default:
			time.Sleep(time.Millisecond) // Drain is about to mark the drain as active
		}
	}
}

// deadlineSetter is a socket whose Accept can be given a deadline.
type deadlineSetter interface {
	SetDeadline(deadline time.Time) error
}
