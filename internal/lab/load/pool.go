package load

import (
	"context"
	"net"
	"sync"
	"time"

	"harrierhoist/internal/gateway/resp"
)

// pool keeps idle connections by address.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*resp.Conn
}

// acquire returns an idle connection, or a new one, for which it waits at most the timeout.
func (p *pool) acquire(ctx context.Context, addr string, timeout time.Duration) (*resp.Conn, error) {
	for conn := p.takeIdle(addr); conn != nil; conn = p.takeIdle(addr) {
		if conn.IsIdle() {
			return conn, nil
		}
		_ = conn.Close() // the gateway has closed it, or sent an answer to no request
	}
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return resp.NewConn(conn), nil
}

// takeIdle returns the connection that was released last; nil if there is none.
func (p *pool) takeIdle(addr string) *resp.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	p.idle[addr] = conns[:len(conns)-1]
	return conns[len(conns)-1]
}

func (p *pool) release(addr string, conn *resp.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], conn)
}

// close closes the idle connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, conn := range conns {
			_ = conn.Close() // all its answers were read
		}
	}
}
