// Package listener accepts, reads and closes the connections of clients. It passes each request to
// the dispatcher, carries out the dispatcher's decisions and writes the answers in order. The
// gateway's wiring calls Serve and Sweep while the gateway runs, Reconfigure on a reload, and Drain
// on SIGTERM.
//
// Lock order: Listener.settingsMu is taken before the dispatcher's lock, requestIDs.mu and
// client.mu; the dispatcher's lock and connectionTable.mu are taken before connection.mu. No other
// locks are nested.
package listener

import (
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/policy"
)

// Listener serves client connections. It is safe for concurrent use.
type Listener struct {
	dispatcher  *dispatch.Dispatcher
	upstream    *upstream.Pool
	log         *zap.Logger
	ready       atomic.Bool
	workers     *workerPool
	memory      *memoryLimiter
	requestIDs  *requestIDs
	connections *connectionTable
	drain       *drainState
	pauses      *pauseDetector
	pacer       pacer // of commands
	acceptPacer pacer

	settingsMu sync.RWMutex // read-locked from parsing a request to admitting it; locked to change settings
	parser     atomic.Pointer[requestParser]
}

// New returns a listener that holds at most maxConnections connections. Requests in flight hold at
// most maxMemory bytes; 0 means no limit.
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
		requestIDs:  newRequestIDs(maxMemory),
		connections: newConnectionTable(maxConnections),
		drain:       newDrainState(),
		pauses:      newPauseDetector(sweepInterval),
	}
	l.applySettings(settings)
	return l
}

// MarkReady makes PING succeed. Before the call, PING is answered with an error.
func (l *Listener) MarkReady() { l.ready.Store(true) }

// Reconfigure applies new settings to the dispatcher and the parser, and returns the settings in
// force. No request is parsed under the old settings and admitted under the new ones: a class may
// keep its name but change its effect, and a request that was sent as non-idempotent would then be
// retried.
func (l *Listener) Reconfigure(settings policy.Settings) (policy.Settings, error) {
	l.settingsMu.Lock()
	defer l.settingsMu.Unlock()
	settings, err := l.dispatcher.Reconfigure(settings)
	if err == nil {
		l.applySettings(&settings)
		l.drain.shortenKillDelay(l.killDelay())
	}
	return settings, err
}

// applySettings makes requests be parsed under settings, and IDs be kept as long as these ask. The
// dispatcher has the settings already.
func (l *Listener) applySettings(settings *policy.Settings) {
	l.requestIDs.keepFor(settings.RepeatSpan())
	l.parser.Store(newRequestParser(settings))
}

// Serve accepts connections until the caller or Drain closes socket, or until Drain returns while
// an accepted connection waits for a slot. It returns nil in each case.
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
		if !l.serveConn(resp.NewConn(conn)) {
			return nil
		}
	}
}

// serveConn starts serving an accepted connection, once there is a slot for it. It returns false if Drain
// returns first.
func (l *Listener) serveConn(conn *resp.Conn) bool {
	if conn.IsAtEnd() {
		_ = conn.Close()
		l.pauseAfterAccept()
		return true
	}
	if !l.connections.acquireSlot(l.drain.finished) {
		conn.Reset()
		return false
	}
	l.connections.evictAboveIdleLimit()
	c := newClient(l, conn)
	l.connections.add(c.conn)
	go c.serve()
	runtime.Gosched() // connections that are over after one command must not pile up
	l.pauseAfterAccept()
	return true
}

// accept returns the next connection. During a drain it closes the socket only once the backlog is
// empty: closing the socket resets the connections in the backlog, and they may hold requests.
func (l *Listener) accept(socket net.Listener) (net.Conn, error) {
	for {
		isDraining := l.drain.active.Load()
		if d, ok := socket.(deadlineSetter); ok && isDraining {
			// SetDeadline fails only on a closed socket, and Accept then fails as well.
			_ = d.SetDeadline(time.Now().Add(backlogTimeout))
		}
		conn, err := socket.Accept()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return conn, err
		case isDraining:
			_ = socket.Close() // the next Accept returns net.ErrClosed
		default:
			time.Sleep(time.Millisecond) // Drain has set the deadline, but has not activated the drain yet
		}
	}
}

// deadlineSetter is a listening socket with a deadline for Accept.
type deadlineSetter interface {
	SetDeadline(deadline time.Time) error
}
