package simulation

import (
	"time"

	"harrierhoist/policy"
)

// attempt is a push on its way.
type attempt struct {
	gateway       *gateway
	incarnation   int
	try           *try
	requestID     uint32 // the gateway's number for the task
	number        int
	server        *server
	startedAt     time.Duration
	deadline      time.Duration
	work          time.Duration
	newConnection bool // it made its connection
	done          bool // its outcome was told
}

// Attempt sends a task to a server.
func (g *gateway) Attempt(task, to uint32, until time.Duration) {
	e := g.engine
	t := g.tries[task]
	s := e.servers[to-1]
	a := &attempt{
		gateway: g, incarnation: g.incarnation, try: t, requestID: task, number: len(t.attempts), server: s, startedAt: e.clock.Now(), deadline: until,
		work: t.request.work,
	}
	t.attempts = append(t.attempts, a)
	g.subset.CountAttempt(e.clock.Now())
	e.result.Attempts++
	e.recordAttempt(a)
	e.checker.AttemptSent(e.clock.Now(), g.index, to, t.id)
	if f := g.follower; f != nil {
		f.recorder.AddAttempt(e.clock.Now(), s.zone, t.request.declaredUnits, a.number == 0 && !f.isRepeat(t))
	}
	c := g.idle[to]
	if c == nil {
		c = &idleConnections{}
		g.idle[to] = c
	}
	hop := e.delay(g.zone, s.zone)
	reach := !g.isCutFrom(s) && !s.silent
	kept := false
	for len(c.lastUsed) > 0 && !kept {
		last := c.lastUsed[len(c.lastUsed)-1]
		c.lastUsed = c.lastUsed[:len(c.lastUsed)-1]
		kept = e.clock.Now()-last < e.scenario.Servers.IdleTimeout.D()/2
		if !kept {
			s.connections = max(s.connections-1, 0)
		}
	}
	e.clock.At(until, func() { e.endAttempt(a, policy.TimedOut, 0) })
	switch {
	case kept && s.dead:
		e.clock.After(2*hop, func() { e.endAttempt(a, policy.ConnectFailed, 0) }) // seen closed before it was used
		return
	case !kept && s.dead && reach:
		e.clock.After(2*hop, func() { e.endAttempt(a, policy.ConnectFailed, 0) })
		return
	case !kept && !reach:
		e.clock.After(e.scenario.Network.ConnectTimeout.D(), func() { e.endAttempt(a, policy.ConnectFailed, 0) })
		return
	case !kept && s.connections >= e.scenario.Servers.MaxConnections:
		e.result.Handshakes++
		e.clock.After(2*hop, func() { e.endAttempt(a, policy.Rejected, 0) })
		return
	case !reach:
		return
	}
	if !kept {
		a.newConnection = true
		s.connections++
		e.result.Handshakes++
		hop *= 3 // there, back and there with the task
	}
	e.clock.After(hop, func() {
		if g.isCutFrom(s) {
			return
		}
		if e.resetRate > 0 && e.modelRandom.Float64() < e.resetRate {
			e.clock.After(hop, func() { e.endAttempt(a, policy.Reset, 0) })
			if e.modelRandom.Float64() < 0.5 {
				return // it never ran
			}
		}
		s.receive(a)
	})
}

// cutFrom tells whether nothing passes between a gateway and a server.
func (g *gateway) isCutFrom(s *server) bool { return g.isolated || g.engine.isCut(g.zone, s.zone) }

// reply brings a server's answer back.
func (e *engine) reply(a *attempt, how policy.Outcome, cost float64) {
	if e.answerLoss > 0 && e.modelRandom.Float64() < e.answerLoss {
		return
	}
	if a.server.silent || a.gateway.isCutFrom(a.server) {
		return
	}
	e.clock.After(e.delay(a.gateway.zone, a.server.zone), func() { e.endAttempt(a, how, cost) })
}

// outcome tells a gateway how a push ended, once.
func (e *engine) endAttempt(a *attempt, how policy.Outcome, cost float64) {
	g := a.gateway
	g.run(a.incarnation, func() {
		if a.done {
			return
		}
		a.done = true
		if g.follower != nil {
			g.follower.recorder.AddResult(e.clock.Now(), a.server.zone, a.server.id, how, e.clock.Now()-a.startedAt)
		}
		switch how {
		case policy.Answered, policy.Errored, policy.Rejected:
			if c := g.idle[a.server.id]; !a.server.dead {
				c.lastUsed = append(c.lastUsed, e.clock.Now())
			}
		default:
			a.server.connections = max(a.server.connections-1, 0)
			if how == policy.TimedOut || how == policy.Cancelled {
				e.abandon(a)
			}
		}
		t := a.try
		if how == policy.Answered && !t.done {
			g.answer(t, served)
		}
		g.policy.HandleAttemptResult(e.clock.Now(), policy.AttemptResult{
			RequestID: a.requestID, Attempt: a.number, Server: a.server.id, Outcome: how, Latency: e.clock.Now() - a.startedAt,
			Final: t.done, ActualUnits: cost,
		})
	})
}

// giveUp tells a server that nobody waits.
func (e *engine) abandon(a *attempt) {
	if !a.gateway.isCutFrom(a.server) {
		e.clock.After(e.delay(a.gateway.zone, a.server.zone), func() { a.server.cancel(a) })
	}
}

// final gives a try its one answer.
func (g *gateway) answer(t *try, what answer) {
	t.done = true
	delete(g.tries, t.requestID)
	g.engine.clients.handleAnswer(t, what)
}

// Cancel gives a push up; the gateway hears how it ended behind what it does now.
func (g *gateway) Cancel(task uint32, number int) {
	t := g.tries[task]
	if t == nil || number >= len(t.attempts) {
		return
	}
	a := t.attempts[number]
	g.engine.clock.After(0, func() { g.engine.endAttempt(a, policy.Cancelled, 0) })
}
