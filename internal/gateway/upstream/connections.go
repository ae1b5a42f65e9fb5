package upstream

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
)

// errPoolExhausted is returned by acquire when maxConnections are open and none of them is idle.
var errPoolExhausted = errors.New("connection pool exhausted")

// minIdleBeforeReuse is how long a connection must be idle before it is reused. A server may send
// extra bytes shortly after an answer, which would be read as the answer to the next request. After
// this time they have arrived, and IsIdle detects them.
const minIdleBeforeReuse = 20 * time.Millisecond

const (
	// cleanupDivisor divides the idle timeout to get the interval between cleanups of idle
	// connections.
	cleanupDivisor = 4
	// minCleanupInterval is the shortest interval between cleanups.
	minCleanupInterval = time.Second
)

// endpointKey identifies the process of a connection's server. It includes the name and the start, so that
// a new process at a reused address does not get connections to the previous one.
type endpointKey struct {
	name, address string
	startedAt     time.Duration // see policy.Endpoint
}

func endpointKeyOf(server dispatch.Server) endpointKey {
	return endpointKey{server.Name, server.Address, server.Endpoint.StartedAt}
}

// connection is a connection to a server, with the time of its last use.
type connection struct {
	*resp.Conn
	lastUsed time.Time // time when it last became idle; zero if it was never idle, see wasIdle
}

// wasIdle reports whether the connection has ever been idle. If not, lastUsed is zero.
func (c *connection) wasIdle() bool { return !c.lastUsed.IsZero() }

// controlFunc is the type of net.Dialer.Control.
type controlFunc func(network, address string, raw syscall.RawConn) error

// connectionSet owns the pool's connections. It limits the number of open connections and holds the
// idle ones. It is safe for concurrent use.
type connectionSet struct {
	connectTimeout, idleTimeout time.Duration
	maxConnections              int
	controlSocket               controlFunc // called for each socket before it connects; nil except in tests

	mu     sync.Mutex
	open   int // number of connections that are established or being dialed
	losses idleLosses
	idle   map[endpointKey][]*connection // idle connections, least recently used first
}

func newConnectionSet(connectTimeout, idleTimeout time.Duration, maxConnections int) *connectionSet {
	return &connectionSet{
		connectTimeout: connectTimeout, idleTimeout: idleTimeout, maxConnections: maxConnections,
		idle: map[endpointKey][]*connection{},
	}
}

// acquire returns an idle connection that is open, has no unread input and is not stale, or dials a
// new one. It returns errPoolExhausted if maxConnections are in use, or the dial error if no
// connection is established within connectTimeout, by the deadline and before the context is done.
func (s *connectionSet) acquire(ctx context.Context, key endpointKey, deadline time.Time) (*connection, error) {
	for conn := s.takeIdle(key); conn != nil; conn = s.takeIdle(key) {
		if !s.isStale(conn) && conn.IsIdle() {
			return conn, nil
		}
		s.close(conn)
	}
	if !s.reserveSlot() {
		return nil, errPoolExhausted
	}
	dialer := net.Dialer{Timeout: s.connectTimeout, Deadline: deadline, Control: s.controlSocket}
	conn, err := dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		s.releaseSlot()
		return nil, err
	}
	return &connection{Conn: resp.NewConn(conn)}, nil
}

// takeIdle removes from the idle list, and returns, the server's most recently used connection that
// has been idle for at least minIdleBeforeReuse. It returns nil if there is none.
func (s *connectionSet) takeIdle(key endpointKey) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	connections := s.idle[key]
	i := len(connections) - 1
	for i >= 0 && time.Since(connections[i].lastUsed) < minIdleBeforeReuse {
		i--
	}
	if i < 0 {
		return nil
	}
	conn := connections[i]
	s.idle[key] = slices.Delete(connections, i, i+1)
	return conn
}

// isStale reports whether a connection has been idle for too long to be reused.
func (s *connectionSet) isStale(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idleFor := time.Since(conn.lastUsed)
	return idleFor >= s.idleTimeout || s.losses.isStale(idleFor)
}

// recordUse records an attempt on a connection that had been idle for idleFor, and whether the
// attempt lost the connection.
func (s *connectionSet) recordUse(idleFor time.Duration, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses.record(time.Now(), idleFor, lost)
}

// reserveSlot reserves a slot for a new connection. If maxConnections are open, it closes the
// connection that has been idle longest and reuses its slot; if none is idle, it returns false.
func (s *connectionSet) reserveSlot() bool {
	s.mu.Lock()
	if s.open < s.maxConnections {
		s.open++
		s.mu.Unlock()
		return true
	}
	var longestIdleKey endpointKey
	var longestIdle *connection
	for key, connections := range s.idle {
		if len(connections) > 0 && (longestIdle == nil || connections[0].lastUsed.Before(longestIdle.lastUsed)) {
			longestIdleKey = key
			longestIdle = connections[0]
		}
	}
	if longestIdle == nil {
		s.mu.Unlock()
		return false
	}
	s.idle[longestIdleKey] = s.idle[longestIdleKey][1:]
	s.mu.Unlock()
	closeIgnoringError(longestIdle) // the new connection takes over its slot
	return true
}

func (s *connectionSet) releaseSlot() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// close closes a connection that is not in the idle list, and releases its slot.
func (s *connectionSet) close(conn *connection) {
	closeIgnoringError(conn)
	s.releaseSlot()
}

// closeIgnoringError closes a connection and ignores the error, as the connection is no longer
// used. It does not release the connection's slot.
func closeIgnoringError(conn *connection) { _ = conn.Close() }

// returnUnwritten returns a connection on which nothing was written. A new connection becomes idle,
// so the next attempt may use it. One that had been idle before is closed, because putIdle would
// restart its idle time although the server has received nothing on it since.
func (s *connectionSet) returnUnwritten(key endpointKey, conn *connection) {
	if conn.wasIdle() {
		s.close(conn)
	} else {
		s.putIdle(key, conn)
	}
}

// putIdle adds a connection to the idle list. It closes the connection instead if unread bytes
// follow the reply, as they would be read as the next reply.
func (s *connectionSet) putIdle(key endpointKey, conn *connection) {
	if !conn.IsDrained() {
		s.close(conn)
		return
	}
	s.mu.Lock()
	conn.lastUsed = time.Now() // set under the lock to keep s.idle ordered by lastUsed
	s.idle[key] = append(s.idle[key], conn)
	s.mu.Unlock()
}

// runCleanup periodically closes connections that have been idle for idleTimeout, until the context
// is done.
func (s *connectionSet) runCleanup(ctx context.Context) {
	ticker := time.NewTicker(max(s.idleTimeout/cleanupDivisor, minCleanupInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		keys := slices.Collect(maps.Keys(s.idle))
		s.mu.Unlock()
		for _, key := range keys {
			s.closeIdleBefore(key, time.Now().Add(-s.idleTimeout))
		}
	}
}

// closeIdleBefore closes a server's idle connections that were last used before the given time.
func (s *connectionSet) closeIdleBefore(key endpointKey, before time.Time) {
	s.mu.Lock()
	connections := s.idle[key]
	n := 0
	for n < len(connections) && connections[n].lastUsed.Before(before) {
		n++
	}
	stale := connections[:n]
	s.idle[key] = connections[n:]
	if n == len(connections) {
		delete(s.idle, key)
	}
	s.open -= n
	s.mu.Unlock()
	for _, conn := range stale {
		closeIgnoringError(conn)
	}
}
