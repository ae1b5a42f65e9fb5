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

// errPoolExhausted says that all connections that we may have are in use.
var errPoolExhausted = errors.New("no connection to spare")

// minIdleBeforeReuse is how long a connection rests after an answer: what a server sends some milliseconds behind it, which
// would be taken for the next request's answer, is here by then, and the connection is not quiet. The price: a request that
// comes sooner costs a handshake. Measured on a day of 30 gateways with such answers: one in 70 of those that find a
// connection.
const minIdleBeforeReuse = 20 * time.Millisecond

// Idle connections are looked through so often: a part of their timeout, but not more often than minCleanupInterval.
const (
	cleanupDivisor     = 4
	minCleanupInterval = time.Second
)

// endpointKey is where a connection goes: a new server at an old address gets none of the earlier one's.
type endpointKey struct{ name, address string }

func keyOf(server dispatch.Server) endpointKey { return endpointKey{server.Name, server.Address} }

// connection is a connection and when it was last used.
type connection struct {
	*resp.Conn
	lastUsed time.Time // zero: not yet
}

// connectionSet owns the connections: those in use are counted, the idle ones are held.
type connectionSet struct {
	connectTimeout, idleTimeout time.Duration
	maxConnections              int
	controlSocket               func(network, address string, raw syscall.RawConn) error // of each dial; nil but in tests

	mu     sync.Mutex
	open   int // connections that are up, or coming up
	losses idleLosses
	idle   map[endpointKey][]*connection // in the order of their last use
}

func newConnectionSet(connectTimeout, idleTimeout time.Duration, maxConnections int) *connectionSet {
	return &connectionSet{
		connectTimeout: connectTimeout, idleTimeout: idleTimeout, maxConnections: maxConnections,
		idle: map[endpointKey][]*connection{},
	}
}

// acquire gives an idle connection that is good and not stale, or a new one. Its errors are errPoolExhausted and what the
// network says of a connection that did not come up by the deadline, in time, or before the context ended.
func (s *connectionSet) acquire(ctx context.Context, key endpointKey, deadline time.Time) (*connection, error) {
	for conn := s.takeIdle(key); conn != nil; conn = s.takeIdle(key) {
		if !s.isStale(conn) && conn.IsQuiet() {
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

// takeIdle takes the idle connection used last, of those that have rested; nil: there is none.
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

// isStale tells whether a connection was idle too long to be used again.
func (s *connectionSet) isStale(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idleFor := time.Since(conn.lastUsed)
	return idleFor >= s.idleTimeout || s.losses.isStale(idleFor)
}

// recordUse takes whether an attempt on a connection that was idle so long lost it.
func (s *connectionSet) recordUse(idleFor time.Duration, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses.record(time.Now(), idleFor, lost)
}

// reserveSlot makes room for one connection more, if need be by closing the one that was idle longest.
func (s *connectionSet) reserveSlot() bool {
	s.mu.Lock()
	if s.open < s.maxConnections {
		s.open++
		s.mu.Unlock()
		return true
	}
	var longestKey endpointKey
	var longest *connection
	for key, connections := range s.idle {
		if len(connections) > 0 && (longest == nil || connections[0].lastUsed.Before(longest.lastUsed)) {
			longestKey, longest = key, connections[0]
		}
	}
	if longest == nil {
		s.mu.Unlock()
		return false
	}
	s.idle[longestKey] = s.idle[longestKey][1:]
	s.mu.Unlock()
	closeQuietly(longest) // the new one takes its place
	return true
}

func (s *connectionSet) releaseSlot() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// close closes a connection that is not idle.
func (s *connectionSet) close(conn *connection) {
	closeQuietly(conn)
	s.releaseSlot()
}

// closeQuietly closes a connection that is of no use any more: an error says nothing that matters to anybody.
func closeQuietly(conn *connection) { _ = conn.Close() }

// returnUnwritten takes back a connection on which nothing was written. A new one may serve the next attempt; one that had
// been idle is closed, as how long it was would be lost.
func (s *connectionSet) returnUnwritten(key endpointKey, conn *connection) {
	if conn.lastUsed.IsZero() {
		s.putIdle(key, conn)
	} else {
		s.close(conn)
	}
}

// putIdle makes a connection idle, unless something stands behind the reply: it would be taken for the next one's.
func (s *connectionSet) putIdle(key endpointKey, conn *connection) {
	if !conn.IsDrained() {
		s.close(conn)
		return
	}
	s.mu.Lock()
	conn.lastUsed = time.Now() // under the lock: the connections are in this order
	s.idle[key] = append(s.idle[key], conn)
	s.mu.Unlock()
}

// runCleanup closes connections that were idle for the timeout, until the context ends.
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

// closeIdleBefore closes a server's idle connections that were last used before a moment.
func (s *connectionSet) closeIdleBefore(key endpointKey, before time.Time) {
	s.mu.Lock()
	connections := s.idle[key]
	n := 0
	for n < len(connections) && connections[n].lastUsed.Before(before) {
		n++
	}
	stale := connections[:n]
	if s.idle[key] = connections[n:]; n == len(connections) {
		delete(s.idle, key)
	}
	s.open -= n
	s.mu.Unlock()
	for _, conn := range stale {
		closeQuietly(conn)
	}
}
