package simulation

import (
	"time"

	"harrierhoist/policy"
)

// attempt is a push on its way.
type attempt struct {
	g      *gateway
	life   int
	try    *try
	local  uint32 // the gateway's number for the task
	number int
	server *server
	at     time.Duration
	until  time.Duration
	work   time.Duration
	fresh  bool // it made its connection
	over   bool // its outcome was told
}

// Attempt sends a task to a server.
func (g *gateway) Attempt(task, to uint32, until time.Duration) {
	e := g.e
	t := g.tries[task]
	s := e.servers[to-1]
	a := &attempt{
		g: g, life: g.life, try: t, local: task, number: len(t.attempts), server: s, at: e.clock.Now(), until: until,
		work: t.request.work,
	}
	t.attempts = append(t.attempts, a)
	g.pool.CountAttempt(e.clock.Now())
	e.result.Pushes++
	e.pushed(a)
	e.ledger.Pushed(e.clock.Now(), g.n, to, t.id)
	if f := g.follower; f != nil {
		f.w.AddAttempt(e.clock.Now(), s.hall, t.request.told, a.number == 0 && !f.again(t))
	}
	c := g.conns[to]
	if c == nil {
		c = &conns{}
		g.conns[to] = c
	}
	hop := e.hop(g.hall, s.hall)
	reach := !g.cutFrom(s) && !s.silent
	kept := false
	for len(c.rest) > 0 && !kept {
		last := c.rest[len(c.rest)-1]
		c.rest = c.rest[:len(c.rest)-1]
		kept = e.clock.Now()-last < e.w.Servers.Idle.D()/2
		if !kept {
			s.conns = max(s.conns-1, 0)
		}
	}
	e.clock.At(until, func() { e.outcome(a, policy.TimedOut, 0) })
	switch {
	case kept && s.dead:
		e.clock.After(2*hop, func() { e.outcome(a, policy.ConnectFailed, 0) }) // seen closed before it was used
		return
	case !kept && s.dead && reach:
		e.clock.After(2*hop, func() { e.outcome(a, policy.ConnectFailed, 0) })
		return
	case !kept && !reach:
		e.clock.After(e.w.Network.Connect.D(), func() { e.outcome(a, policy.ConnectFailed, 0) })
		return
	case !kept && s.conns >= e.w.Servers.Connections:
		e.result.Handshakes++
		e.clock.After(2*hop, func() { e.outcome(a, policy.Rejected, 0) })
		return
	case !reach:
		return
	}
	if !kept {
		a.fresh = true
		s.conns++
		e.result.Handshakes++
		hop *= 3 // there, back and there with the task
	}
	e.clock.After(hop, func() {
		if g.cutFrom(s) {
			return
		}
		if e.resets > 0 && e.chance.Float64() < e.resets {
			e.clock.After(hop, func() { e.outcome(a, policy.Reset, 0) })
			if e.chance.Float64() < 0.5 {
				return // it never ran
			}
		}
		s.arrive(a)
	})
}

// cutFrom tells whether nothing passes between a gateway and a server.
func (g *gateway) cutFrom(s *server) bool { return g.blind || g.e.parted(g.hall, s.hall) }

// reply brings a server's answer back.
func (e *engine) reply(a *attempt, how policy.Outcome, cost float64) {
	if e.answersLost > 0 && e.chance.Float64() < e.answersLost {
		return
	}
	if a.server.silent || a.g.cutFrom(a.server) {
		return
	}
	e.clock.After(e.hop(a.g.hall, a.server.hall), func() { e.outcome(a, how, cost) })
}

// outcome tells a gateway how a push ended, once.
func (e *engine) outcome(a *attempt, how policy.Outcome, cost float64) {
	g := a.g
	g.do(a.life, func() {
		if a.over {
			return
		}
		a.over = true
		if g.follower != nil {
			g.follower.w.AddResult(e.clock.Now(), a.server.hall, a.server.id, how, e.clock.Now()-a.at)
		}
		switch how {
		case policy.Answered, policy.Errored, policy.Rejected:
			if c := g.conns[a.server.id]; !a.server.dead {
				c.rest = append(c.rest, e.clock.Now())
			}
		default:
			a.server.conns = max(a.server.conns-1, 0)
			if how == policy.TimedOut || how == policy.Cancelled {
				e.giveUp(a)
			}
		}
		t := a.try
		if how == policy.Answered && !t.over {
			g.final(t, served)
		}
		g.d.HandleAttemptResult(e.clock.Now(), policy.AttemptResult{
			RequestID: a.local, Attempt: a.number, Server: a.server.id, Outcome: how, Latency: e.clock.Now() - a.at,
			Final: t.over, ActualUnits: cost,
		})
	})
}

// giveUp tells a server that nobody waits.
func (e *engine) giveUp(a *attempt) {
	if !a.g.cutFrom(a.server) {
		e.clock.After(e.hop(a.g.hall, a.server.hall), func() { a.server.stop(a) })
	}
}

// final gives a try its one answer.
func (g *gateway) final(t *try, what verdict) {
	t.over = true
	delete(g.tries, t.local)
	g.e.clients.answered(t, what)
}

// Cancel gives a push up; the gateway hears how it ended behind what it does now.
func (g *gateway) Cancel(task uint32, number int) {
	t := g.tries[task]
	if t == nil || number >= len(t.attempts) {
		return
	}
	a := t.attempts[number]
	g.e.clock.After(0, func() { g.e.outcome(a, policy.Cancelled, 0) })
}
