// Package upstream keeps the connections to servers: it makes attempts of requests on them, cancels these, and checks the
// servers' health. Where an attempt goes is said by others. One command goes on a connection at a time, so that none waits
// behind a longer one.
package upstream

import (
	"context"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/policy"
)

// idleTimeoutDivisor is the part of the servers' idle limit after which we close a connection. The limit is theirs and may
// be kept early; half leaves room for that and for a slow machine.
const idleTimeoutDivisor = 2

// Pool makes attempts at servers on the connections that it owns. It is safe for concurrent use.
type Pool struct {
	connections    *connectionSet
	connectTimeout time.Duration
	loadFields     []string // the names of the figures of a load report; none: servers report no load
}

// New makes a pool that holds at most maxConnections. A connection has connectTimeout to come up; idleLimit is how long
// servers keep one that nobody uses.
func New(connectTimeout, idleLimit time.Duration, loadFields []string, maxConnections int) *Pool {
	return &Pool{
		connections:    newConnectionSet(connectTimeout, idleLimit/idleTimeoutDivisor, maxConnections),
		connectTimeout: connectTimeout, loadFields: loadFields,
	}
}

// IdleTimeout is how long a connection that nobody uses is kept.
func (p *Pool) IdleTimeout() time.Duration { return p.connections.idleTimeout }

// RunIdleCleanup closes connections in time that nobody uses, until the context ends.
func (p *Pool) RunIdleCleanup(ctx context.Context) { p.connections.runCleanup(ctx) }

// CheckHealth asks a server for its load report, or only whether it is there where servers report no load. Done is called
// once, before CheckHealth returns.
func (p *Pool) CheckHealth(server dispatch.Server, done func(dispatch.Result)) {
	done(p.checkHealth(server))
}

func (p *Pool) checkHealth(server dispatch.Server) dispatch.Result {
	ctx, key, deadline := context.Background(), keyOf(server), time.Now().Add(p.connectTimeout)
	conn, err := p.connections.acquire(ctx, key, deadline)
	if isLocalFailure(err) {
		return dispatch.Result{Outcome: policy.NotSent}
	}
	if err != nil {
		return dispatch.Result{Outcome: policy.ConnectFailed}
	}
	words := []string{"PING"}
	if len(p.loadFields) > 0 {
		words = []string{"INFO", "load"}
	}
	reply, state := p.exchange(ctx, conn, &resp.Command{Words: words}, deadline, deadline)
	if state != exchangeAnswered {
		p.connections.close(conn)
		return dispatch.Result{Outcome: policy.TimedOut}
	}
	p.connections.putIdle(key, conn)
	result := dispatch.Result{Outcome: policy.Errored}
	if reply.Kind != '-' {
		result.Outcome = policy.Answered
	}
	if reply.Value != nil {
		p.readFigures(&result, reply.Value.String())
		reply.Value.Free()
	}
	return result
}
