package upstream

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"harrierhoist/internal/resp"
)

// errPoolExhausted says that all connections that we may have are in use.
var errPoolExhausted = errors.New("no connection to spare")

// acquire gives an idle connection that stands and is not stale, or a new one.
func (p *Pool) acquire(ctx context.Context, key endpointKey, deadline time.Time) (*connection, error) {
	for {
		conn := p.takeIdle(key)
		if conn == nil {
			break
		}
		p.mu.Lock()
		idleFor := time.Since(conn.lastUsed)
		stale := idleFor >= p.idleTimeout || p.idleLosses.isStale(idleFor)
		p.mu.Unlock()
		if !stale && conn.IsQuiet() {
			return conn, nil
		}
		p.closeConnection(conn)
	}
	if !p.reserveSlot() {
		return nil, errPoolExhausted
	}
	dialer := net.Dialer{Timeout: p.connectTimeout, Deadline: deadline}
	netConn, err := dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return &connection{Conn: resp.NewConn(netConn)}, nil
}

// takeIdle takes the idle connection used last, of those that have rested.
func (p *Pool) takeIdle(key endpointKey) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idleConnections[key]
	i := len(connections) - 1
	for i >= 0 && time.Since(connections[i].lastUsed) < minIdleBeforeReuse {
		i--
	}
	if i < 0 {
		return nil
	}
	conn := connections[i]
	p.idleConnections[key] = slices.Delete(connections, i, i+1)
	return conn
}

// reserveSlot makes room for one connection more, if need be by dropping one that stood idle longest.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	if p.open < p.maxConnections {
		p.open++
		p.mu.Unlock()
		return true
	}
	var oldest endpointKey
	var conn *connection
	for key, connections := range p.idleConnections {
		if len(connections) > 0 && (conn == nil || connections[0].lastUsed.Before(conn.lastUsed)) {
			oldest, conn = key, connections[0]
		}
	}
	if conn == nil {
		p.mu.Unlock()
		return false
	}
	p.idleConnections[oldest] = p.idleConnections[oldest][1:]
	p.mu.Unlock()
	_ = conn.Close() // the new one takes its place
	return true
}

func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeConnection closes a connection that is not idle.
func (p *Pool) closeConnection(conn *connection) {
	_ = conn.Close()
	p.releaseSlot()
}

// returnUnwritten gives back a connection on which nothing was written. A new one may serve the next push; one that had rested is
// dropped, as how long it has would be lost.
func (p *Pool) returnUnwritten(key endpointKey, conn *connection) {
	if conn.lastUsed.IsZero() {
		p.putIdle(key, conn)
	} else {
		p.closeConnection(conn)
	}
}

// putIdle makes a connection idle, unless something stands behind the reply: it would be taken for the next one's.
func (p *Pool) putIdle(key endpointKey, conn *connection) {
	if !conn.IsDrained() {
		p.closeConnection(conn)
		return
	}
	p.mu.Lock()
	conn.lastUsed = time.Now() // under the lock: the list is in this order
	p.idleConnections[key] = append(p.idleConnections[key], conn)
	p.mu.Unlock()
}

// RunIdleCleanup drops connections in time that nobody uses, until the context ends.
func (p *Pool) RunIdleCleanup(ctx context.Context) {
	ticker := time.NewTicker(max(p.idleTimeout/4, time.Second))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		all := slices.Collect(maps.Keys(p.idleConnections))
		p.mu.Unlock()
		for _, key := range all {
			p.closeIdleBefore(key, time.Now().Add(-p.idleTimeout))
		}
	}
}

// closeIdleBefore drops a server's idle connections that were last used before a time.
func (p *Pool) closeIdleBefore(key endpointKey, before time.Time) {
	p.mu.Lock()
	connections := p.idleConnections[key]
	n := 0
	for n < len(connections) && connections[n].lastUsed.Before(before) {
		n++
	}
	stale := connections[:n]
	if p.idleConnections[key] = connections[n:]; n == len(connections) {
		delete(p.idleConnections, key)
	}
	p.open -= n
	p.mu.Unlock()
	for _, conn := range stale {
		_ = conn.Close()
	}
}
