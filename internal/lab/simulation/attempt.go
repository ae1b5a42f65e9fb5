package simulation

import (
	"time"

	"harrierhoist/policy"
)

// resetBeforeRunShare is the part of the resets that strike before the server begins.
const resetBeforeRunShare = 0.5

const (
	// waysOfRoundTrip is how many delays of the network a message and its answer take.
	waysOfRoundTrip = 2
	// waysOfNewConnection is how many delays a request takes on a new connection: the connection's
	// round trip, and its own way.
	waysOfNewConnection = waysOfRoundTrip + 1
)

// attempt is a request on its way to one server and back.
type attempt struct {
	gateway       *gateway
	incarnation   int // of the gateway
	try           *try
	requestID     uint32 // by which the gateway calls the try
	number        int    // within the try, from 0
	server        *server
	startedAt     time.Duration
	deadline      time.Duration
	work          time.Duration
	newConnection bool // no idle connection was left
	done          bool // the gateway knows its outcome
}

// Attempt implements policy.Host: it sends a request to a server.
func (g *gateway) Attempt(requestID, to uint32, until time.Duration) {
	engine := g.engine
	t := g.tries[requestID]
	server := engine.servers[to-1]
	attempt := &attempt{
		gateway: g, incarnation: g.incarnation, try: t, requestID: requestID, number: len(t.attempts), server: server,
		startedAt: engine.clock.Now(), deadline: until, work: t.request.work,
	}
	t.attempts = append(t.attempts, attempt)
	g.subset.CountAttempt(engine.clock.Now())
	engine.recordAttempt(attempt)
	if f := g.follower; f != nil {
		f.recorder.AddAttempt(
			engine.clock.Now(),
			server.zone,
			t.request.declaredUnits,
			attempt.number == 0 && !f.isRepeat(t),
		)
	}
	delay := engine.delay(g.zone, server.zone)
	reused := g.takeIdleConnection(server)
	engine.clock.At(until, func() { engine.endAttempt(attempt, policy.TimedOut, 0) })
	if !engine.connect(attempt, reused, delay) {
		return
	}
	if !reused {
		delay *= waysOfNewConnection
	}
	engine.clock.After(delay, func() { engine.deliver(attempt, delay) })
}

// takeIdleConnection takes the idle connection to a server that was used last, and closes those
// that were idle too long. It returns false if none is left.
func (g *gateway) takeIdleConnection(server *server) bool {
	c := g.idle[server.id]
	if c == nil {
		c = &idleConnections{}
		g.idle[server.id] = c
	}
	for len(c.lastUsed) > 0 {
		last := c.lastUsed[len(c.lastUsed)-1]
		c.lastUsed = c.lastUsed[:len(c.lastUsed)-1]
		if g.engine.clock.Now()-last < g.engine.keepAlive() {
			return true
		}
		server.connections = max(server.connections-1, 0)
	}
	return false
}

// connect makes the connection of an attempt that has none to reuse. It returns false if the
// request does not reach the server; it then has scheduled the outcome, other than the timeout.
func (e *engine) connect(attempt *attempt, reused bool, delay time.Duration) bool {
	server := attempt.server
	end := func(after time.Duration, outcome policy.Outcome) {
		e.clock.After(after, func() { e.endAttempt(attempt, outcome, 0) })
	}
	isReachable := !attempt.gateway.isCutFrom(server) && !server.silent
	switch {
	case server.dead && (reused || isReachable):
		// A reused connection is found closed before anything is sent on it.
		end(waysOfRoundTrip*delay, policy.ConnectFailed)
		return false
	case !reused && !isReachable:
		end(e.scenario.Network.ConnectTimeout.D(), policy.ConnectFailed)
		return false
	case !reused && server.connections >= e.scenario.Servers.MaxConnections:
		e.result.Handshakes++
		end(waysOfRoundTrip*delay, policy.Rejected)
		return false
	case !isReachable:
		return false
	}
	if !reused {
		attempt.newConnection = true
		server.connections++
		e.result.Handshakes++
	}
	return true
}

// deliver hands a request to its server, unless it is lost on the way.
func (e *engine) deliver(a *attempt, delay time.Duration) {
	if a.gateway.isCutFrom(a.server) {
		return
	}
	if e.faults.resetRate > 0 && e.modelRandom.Float64() < e.faults.resetRate {
		e.clock.After(delay, func() { e.endAttempt(a, policy.Reset, 0) })
		if e.modelRandom.Float64() < resetBeforeRunShare {
			return
		}
	}
	a.server.receive(a)
}

// isCutFrom reports whether nothing passes between a gateway and a server.
func (g *gateway) isCutFrom(s *server) bool { return g.isolated || g.engine.isCut(g.zone, s.zone) }

// reply sends a server's answer back.
func (e *engine) reply(a *attempt, outcome policy.Outcome, actualUnits float64) {
	if e.faults.answerLoss > 0 && e.modelRandom.Float64() < e.faults.answerLoss {
		return
	}
	if a.server.silent || a.gateway.isCutFrom(a.server) {
		return
	}
	e.clock.After(e.delay(a.gateway.zone, a.server.zone), func() { e.endAttempt(a, outcome, actualUnits) })
}

// endAttempt reports an attempt's first outcome to its gateway; later ones are ignored.
func (e *engine) endAttempt(attempt *attempt, outcome policy.Outcome, actualUnits float64) {
	gateway := attempt.gateway
	gateway.run(attempt.incarnation, func() {
		if attempt.done {
			return
		}
		attempt.done = true
		now := e.clock.Now()
		if gateway.follower != nil {
			gateway.follower.recorder.AddResult(
				now,
				attempt.server.zone,
				attempt.server.id,
				outcome,
				now-attempt.startedAt,
			)
		}
		e.releaseConnection(attempt, outcome)
		t := attempt.try
		if outcome == policy.Answered && !t.done {
			gateway.finishTry(t, served)
		}
		gateway.policy.HandleAttemptResult(now, policy.AttemptResult{
			RequestID: attempt.requestID, Attempt: attempt.number, Server: attempt.server.id, Outcome: outcome,
			Latency: now - attempt.startedAt, Final: t.done, ActualUnits: actualUnits,
		})
	})
}

// releaseConnection keeps the connection of an attempt that got an answer, and closes any other.
func (e *engine) releaseConnection(a *attempt, outcome policy.Outcome) {
	switch outcome {
	case policy.Answered, policy.Errored, policy.Rejected:
		if c := a.gateway.idle[a.server.id]; !a.server.dead {
			c.lastUsed = append(c.lastUsed, e.clock.Now())
		}
	default:
		a.server.connections = max(a.server.connections-1, 0)
		if outcome == policy.TimedOut || outcome == policy.Cancelled {
			e.abandon(a)
		}
	}
}

// abandon has a server learn that nobody waits for an attempt any longer.
func (e *engine) abandon(a *attempt) {
	if !a.gateway.isCutFrom(a.server) {
		e.clock.After(e.delay(a.gateway.zone, a.server.zone), func() { a.server.cancel(a) })
	}
}

// Cancel implements policy.Host: it gives an attempt up. The policy gets the outcome after the call
// that it makes now.
func (g *gateway) Cancel(requestID uint32, number int) {
	t := g.tries[requestID]
	if t == nil || number >= len(t.attempts) {
		return
	}
	a := t.attempts[number]
	g.engine.clock.After(0, func() { g.engine.endAttempt(a, policy.Cancelled, 0) })
}
