// Package fleet keeps connections to servers: it pushes tasks to them, gives pushes up and probes. Where to is
// said by others. One push goes on a connection at a time, so that none waits behind a longer one.
package upstream

import (
	"context"
	"sync"
	"time"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/resp"
	"harrierhoist/policy"
)

const (
	// The part of the servers' idle limit after which we drop a connection. The limit is theirs and may be kept
	// early; half leaves room for that and for a slow machine.
	idleTimeoutDivisor = 2
	// So long a connection rests after an answer: what a server sends some milliseconds behind it, which would be taken
	// for the next task's answer, is here by then, and the connection is not quiet. Harm: a task that comes sooner costs a
	// handshake. Measured on a day of 30 gateways with such answers: one in 70 of those that find a connection.
	minIdleBeforeReuse = 20 * time.Millisecond
	// percentPerUnit is the unit in which servers tell a customer's use of its rate.
	percentPerUnit = 100
)

// Pool owns the connections to servers.
type Pool struct {
	connectTimeout, idleTimeout time.Duration
	loadFields                  []string // the figures of a load report

	maxConnections  int
	mu              sync.Mutex
	open            int // connections that are up, or coming up
	idleLosses      idleLosses
	idleConnections map[endpointKey][]*connection // idle ones, the latest used last
}

// endpointKey is where a connection goes: a new server at an old address gets none of the earlier one's.
type endpointKey struct{ name, address string }

func keyOf(s dispatch.Server) endpointKey { return endpointKey{s.Name, s.Address} }

// connection is a connection and when it was last used.
type connection struct {
	*resp.Conn
	lastUsed time.Time // zero: not yet
}

// New makes a fleet that holds at most so many connections.
func New(connectTimeout, idleLimit time.Duration, loadFields []string, maxConnections int) *Pool {
	return &Pool{connectTimeout: connectTimeout, idleTimeout: idleLimit / idleTimeoutDivisor, loadFields: loadFields, maxConnections: maxConnections,
		idleConnections: map[endpointKey][]*connection{}}
}

// IdleTimeout is how long a connection that nobody uses is kept.
func (p *Pool) IdleTimeout() time.Duration { return p.idleTimeout }

// CheckHealth asks a server for its load, or only whether it is there where servers tell no load.
func (p *Pool) CheckHealth(server dispatch.Server, done func(dispatch.Result)) {
	deadline := time.Now().Add(p.connectTimeout)
	conn, err := p.acquire(context.Background(), keyOf(server), deadline)
	if err != nil {
		done(dispatch.Result{Outcome: policy.ConnectFailed})
		return
	}
	words := []string{"PING"}
	if len(p.loadFields) > 0 {
		words = []string{"INFO", "load"}
	}
	reply, state := p.exchange(context.Background(), conn, &resp.Command{Words: words}, deadline, deadline)
	if state != exchangeAnswered {
		p.closeConnection(conn)
		done(dispatch.Result{Outcome: policy.TimedOut})
		return
	}
	p.putIdle(keyOf(server), conn)
	result := dispatch.Result{Outcome: policy.Errored}
	if reply.Kind != '-' {
		result.Outcome = policy.Answered
	}
	if reply.Value != nil {
		p.readFigures(&result, reply.Value.String())
		reply.Value.Free()
	}
	done(result)
}
