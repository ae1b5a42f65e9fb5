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

// errPoolExhausted says that all connections of the pool are in use.
var errPoolExhausted = errors.New("no connection to spare")

// minIdleBeforeReuse is how long a connection is idle before it is used again. What a server sends
// shortly behind an answer, which would be taken for the next request's answer, has arrived by
// then, and the connection is not quiet.
const minIdleBeforeReuse = 20 * time.Millisecond

const (
	// cleanupDivisor gives the part of the idle timeout between searches for idle connections to
	// close.
	cleanupDivisor = 4
	// minCleanupInterval is the shortest time between them.
	minCleanupInterval = time.Second
)

// endpointKey is where a connection goes. A new server at an old address gets no connection of the
// earlier one.
type endpointKey struct{ name, address string }

func keyOf(server dispatch.Server) endpointKey { return endpointKey{server.Name, server.Address} }

// connection is a connection and when it was last used.
type connection struct {
	*resp.Conn
	lastUsed time.Time // when it became idle last; see wasIdle
}

// wasIdle reports whether the connection was ever idle. If not, lastUsed is not set.
func (c *connection) wasIdle() bool { return !c.lastUsed.IsZero() }

// controlFunc is the type of net.Dialer.Control.
type controlFunc func(network, address string, raw syscall.RawConn) error

// connectionSet owns the connections: it counts those in use, and holds the idle ones.
type connectionSet struct {
	connectTimeout, idleTimeout time.Duration
	maxConnections              int
	controlSocket               controlFunc // called with each socket that is dialed; nil except in tests

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

// acquire returns an idle connection that is quiet and not stale, or a new one. It returns
// errPoolExhausted, or the error of a dial that did not succeed within connectTimeout, by the
// deadline and before the context ended.
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

// takeIdle takes the idle connection that was used last, of those idle for minIdleBeforeReuse. It
// returns nil if there is none.
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

// isStale reports whether a connection was idle for too long to be used again.
func (s *connectionSet) isStale(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idleFor := time.Since(conn.lastUsed)
	return idleFor >= s.idleTimeout || s.losses.isStale(idleFor)
}

// recordUse records whether an attempt lost its connection, which had been idle for idleFor.
func (s *connectionSet) recordUse(idleFor time.Duration, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses.record(time.Now(), idleFor, lost)
}

// reserveSlot counts one more connection. If maxConnections are open it closes the one that was
// idle longest, and returns false if none is idle.
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
			longestKey = key
			longest = connections[0]
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

// closeQuietly closes a connection that is not used any more. An error changes nothing.
func closeQuietly(conn *connection) { _ = conn.Close() }

// returnUnwritten takes back a connection on which nothing was written. A new one may serve the
// next attempt. One that had been idle is closed, as its idle time would count from now.
func (s *connectionSet) returnUnwritten(key endpointKey, conn *connection) {
	if conn.wasIdle() {
		s.close(conn)
	} else {
		s.putIdle(key, conn)
	}
}

// putIdle makes a connection idle, unless unread bytes follow the reply: they would be read as the
// next one.
func (s *connectionSet) putIdle(key endpointKey, conn *connection) {
	if !conn.IsDrained() {
		s.close(conn)
		return
	}
	s.mu.Lock()
	conn.lastUsed = time.Now() // under the lock, as s.idle is in this order
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
	s.idle[key] = connections[n:]
	if n == len(connections) {
		delete(s.idle, key)
	}
	s.open -= n
	s.mu.Unlock()
	for _, conn := range stale {
		closeQuietly(conn)
	}
}
