// Package upstream maintains a pool of connections to the servers and sends commands on them. For
// each attempt it selects a connection and reports whether the command was never sent, may have
// run, or was answered. The listener calls it to make attempts, and the dispatcher calls it to
// check the health of servers; the caller selects the server. A connection carries one command at
// a time, so a command never waits behind a slower one.
package upstream

import (
	"context"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/policy"
)

// idleTimeoutDivisor divides the servers' idle limit to get the pool's idle timeout. The margin
// allows for servers that close connections somewhat early, and for delays on a slow machine.
const idleTimeoutDivisor = 2

// Pool sends commands to servers on the connections that it owns. It is safe for concurrent use.
type Pool struct {
	connections    *connectionSet
	connectTimeout time.Duration
	loadFields     []string // names of the values in a load report; empty if servers report no load
}

// New returns a pool that opens at most maxConnections connections. connectTimeout bounds the time
// to establish a connection. idleLimit is the time for which servers keep an idle connection open.
// loadFields are the names of the values in the servers' load reports, empty if servers report no
// load.
func New(connectTimeout, idleLimit time.Duration, loadFields []string, maxConnections int) *Pool {
	return &Pool{
		connections:    newConnectionSet(connectTimeout, idleLimit/idleTimeoutDivisor, maxConnections),
		connectTimeout: connectTimeout,
		loadFields:     loadFields,
	}
}

// IdleTimeout returns how long the pool keeps an idle connection.
func (p *Pool) IdleTimeout() time.Duration { return p.connections.idleTimeout }

// RunIdleCleanup periodically closes connections that have been idle for IdleTimeout. It blocks
// until the context is done.
func (p *Pool) RunIdleCleanup(ctx context.Context) { p.connections.runCleanup(ctx) }

// CheckHealth requests a server's load report, or sends PING if servers report no load. It blocks
// until the check has ended, and calls done exactly once, before it returns.
func (p *Pool) CheckHealth(server dispatch.Server, done func(dispatch.Result)) {
	done(p.checkHealth(server))
}

// checkHealth runs a health check and returns its result. If no connection is established, the
// outcome is NotSent if the cause is on this machine, and ConnectFailed otherwise. If no
// well-formed reply is read on the connection, for whatever reason, it is TimedOut. If the reply is
// an error line, it is Errored, and otherwise Answered.
func (p *Pool) checkHealth(server dispatch.Server) dispatch.Result {
	ctx := context.Background()
	key := endpointKeyOf(server)
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
		p.parseAttribute(&result, reply.Value.String())
		reply.Value.Free()
	}
	return result
}
