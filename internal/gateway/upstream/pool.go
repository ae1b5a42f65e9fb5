// Package upstream decides which connection to a server an attempt uses, and whether the attempt
// was never sent, may have run, or was answered. The listener calls it to make attempts, and the
// dispatcher to check servers' health; both say which server. A connection carries one command at a
// time, so that none waits behind a longer one.
package upstream

import (
	"context"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/policy"
)

// idleTimeoutDivisor gives the part of the servers' idle limit after which the pool closes a
// connection. Servers may close one somewhat early, and a machine may be slow.
const idleTimeoutDivisor = 2

// Pool makes attempts at servers on the connections that it owns. It is safe for concurrent use.
type Pool struct {
	connections    *connectionSet
	connectTimeout time.Duration
	loadFields     []string // the names of the figures of a load report; none: servers report no load
}

// New returns a pool that holds at most maxConnections. A connection has connectTimeout to come up;
// idleLimit is how long servers keep an idle one. Servers report the load fields named.
func New(connectTimeout, idleLimit time.Duration, loadFields []string, maxConnections int) *Pool {
	return &Pool{
		connections:    newConnectionSet(connectTimeout, idleLimit/idleTimeoutDivisor, maxConnections),
		connectTimeout: connectTimeout,
		loadFields:     loadFields,
	}
}

// IdleTimeout returns how long an idle connection is kept.
func (p *Pool) IdleTimeout() time.Duration { return p.connections.idleTimeout }

// RunIdleCleanup closes connections that were idle for IdleTimeout, until the context ends.
func (p *Pool) RunIdleCleanup(ctx context.Context) { p.connections.runCleanup(ctx) }

// CheckHealth asks a server for its load report, or sends PING where servers report no load. It
// calls done once, before it returns.
func (p *Pool) CheckHealth(server dispatch.Server, done func(dispatch.Result)) {
	done(p.checkHealth(server))
}

// checkHealth decides how a health check ended: no answer counts as timed out wherever the exchange
// ended, an error line as errored. What failed on this machine counts as not sent.
func (p *Pool) checkHealth(server dispatch.Server) dispatch.Result {
	ctx := context.Background()
	key := keyOf(server)
	deadline := time.Now().Add(p.connectTimeout)
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
