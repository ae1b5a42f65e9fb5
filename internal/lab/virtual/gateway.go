package virtual

import (
	"maps"
	"slices"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/pool"
	"harrierhoist/policy"
)

// gateway is one machine with an instance of the decisions.
type gateway struct {
	e     *engine
	n     int
	hall  int
	d     baseline.Decider
	life  int // counts its starts; what was meant for an earlier one does not come
	alive bool
	still time.Duration // it does nothing until then
	deaf  bool          // discovery tells it nothing
	held  []policy.Listed
	heard time.Duration // when the latest of what discovery tells it comes
	list  map[uint32]policy.Listed
	pool  *pool.Pool
	tries map[uint32]*try
	next  uint32
	wakes map[uint64]*wake
	conns map[uint32]*conns
}

type wake struct{ off bool }

// conns are the connections to one server that rest; each end of a push puts one back.
type conns struct {
	rest []time.Duration // when each was used last
}

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

// start makes a new instance, which knows the list as it is.
func (g *gateway) start(seed uint64) error {
	e := g.e
	g.life++
	g.alive = true
	g.list, g.tries, g.wakes, g.conns = map[uint32]policy.Listed{}, map[uint32]*try{}, map[uint64]*wake{}, map[uint32]*conns{}
	kept := time.Duration(0)
	if e.w.Gateways.Pool {
		kept = e.w.Servers.Idle.D() / 2
	}
	g.pool = pool.New(g.n, e.w.Gateways.Count, kept)
	var err error
	if g.d, err = e.make(e.w.Deployment(g.n), int64(seed), g); err != nil {
		return err
	}
	for _, s := range e.servers {
		if s.stage != policy.Gone {
			g.list[s.id] = s.listed()
			e.ledger.Told(e.now, g.n, s.id, s.stage)
		}
	}
	g.hand()
	return nil
}

// do runs what comes to a gateway: now, when it no longer stands still, or never.
func (g *gateway) do(life int, run func()) {
	switch {
	case !g.alive || g.life != life:
	case g.e.now < g.still:
		g.e.at(g.still, func() { g.do(life, run) })
	default:
		run()
	}
}

// told takes a change of the list.
func (g *gateway) told(l policy.Listed) {
	if !g.alive {
		return // its next life is told all
	}
	if g.deaf {
		g.held = append(g.held, l)
		return
	}
	g.e.ledger.Told(g.e.now, g.n, l.Server, l.Stage)
	g.do(g.life, func() {
		if l.Stage == policy.Gone {
			delete(g.list, l.Server)
		} else {
			g.list[l.Server] = l
		}
		g.hand()
	})
}

// hand gives the decisions the servers of the part that are ready.
func (g *gateway) hand() {
	numbers := slices.Sorted(maps.Keys(g.list))
	all := make([]pool.Server, 0, len(numbers))
	for _, n := range numbers {
		all = append(all, pool.Server{Mark: g.e.servers[n-1].mark, Listed: g.list[n]})
	}
	part, sharers := g.pool.Part(g.e.now, all)
	g.d.Shared(sharers)
	g.d.List(g.e.now, policy.ListWhole, part)
}

// take takes a try that has come whole.
func (g *gateway) take(t *try) {
	e := g.e
	if g.pool.Due(e.now) {
		g.hand()
	}
	g.next++
	t.local = g.next
	g.tries[t.local] = t
	r := t.request
	g.d.Take(e.now, policy.Task{ID: t.local, Lane: t.lane, Plan: r.customer.plan, Customer: r.customer.id, First: r.customer.first,
		Width: r.customer.width, Units: r.told, Expires: t.expires, Repeat: t.number > 0 && e.w.Clients.Marks})
}

// Push sends a task to a server.
func (g *gateway) Push(task, to uint32, until time.Duration) {
	e := g.e
	t := g.tries[task]
	s := e.servers[to-1]
	a := &attempt{g: g, life: g.life, try: t, local: task, number: len(t.attempts), server: s, at: e.now, until: until, work: t.request.work}
	t.attempts = append(t.attempts, a)
	g.pool.Pushed(e.now)
	e.result.Pushes++
	e.ledger.Pushed(e.now, g.n, to, t.id)
	c := g.conns[to]
	if c == nil {
		c = &conns{}
		g.conns[to] = c
	}
	hop := e.hop(g.hall, s.hall)
	reach := !e.parted(g.hall, s.hall) && !s.silent
	kept := false
	for len(c.rest) > 0 && !kept {
		last := c.rest[len(c.rest)-1]
		c.rest = c.rest[:len(c.rest)-1]
		kept = e.now-last < e.w.Servers.Idle.D()/2
		if !kept {
			s.conns = max(s.conns-1, 0)
		}
	}
	e.at(until, func() { e.outcome(a, policy.TimedOut, 0) })
	switch {
	case kept && s.dead:
		e.after(2*hop, func() { e.outcome(a, policy.NoConnect, 0) }) // seen closed before it was used
		return
	case !kept && s.dead && reach:
		e.after(2*hop, func() { e.outcome(a, policy.NoConnect, 0) })
		return
	case !kept && !reach:
		e.after(e.w.Network.Connect.D(), func() { e.outcome(a, policy.NoConnect, 0) })
		return
	case !kept && s.conns >= e.w.Servers.Connections:
		e.result.Handshakes++
		e.after(2*hop, func() { e.outcome(a, policy.Full, 0) })
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
	e.after(hop, func() {
		if e.parted(g.hall, s.hall) {
			return
		}
		if e.resets > 0 && e.chance.Float64() < e.resets {
			e.after(hop, func() { e.outcome(a, policy.Reset, 0) })
			if e.chance.Float64() < 0.5 {
				return // it never ran
			}
		}
		s.arrive(a)
	})
}

// reply brings a server's answer back.
func (e *engine) reply(a *attempt, how policy.Outcome, cost float64) {
	if e.answersLost > 0 && e.chance.Float64() < e.answersLost {
		return
	}
	if a.server.silent || e.parted(a.g.hall, a.server.hall) {
		return
	}
	e.after(e.hop(a.g.hall, a.server.hall), func() { e.outcome(a, how, cost) })
}

// outcome tells a gateway how a push ended, once.
func (e *engine) outcome(a *attempt, how policy.Outcome, cost float64) {
	g := a.g
	g.do(a.life, func() {
		if a.over {
			return
		}
		a.over = true
		switch how {
		case policy.Answered, policy.Errored, policy.Full:
			if c := g.conns[a.server.id]; !a.server.dead {
				c.rest = append(c.rest, e.now)
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
		g.d.Ended(e.now, policy.Push{Task: a.local, Number: a.number, Server: a.server.id, Outcome: how, Took: e.now - a.at,
			Done: t.over, Billed: cost})
	})
}

// giveUp tells a server that nobody waits.
func (e *engine) giveUp(a *attempt) {
	if !e.parted(a.g.hall, a.server.hall) {
		e.after(e.hop(a.g.hall, a.server.hall), func() { a.server.stop(a) })
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
	g.e.after(0, func() { g.e.outcome(a, policy.Cancelled, 0) })
}

// Reject is a final answer that makes trying again harmless.
func (g *gateway) Reject(task uint32, away time.Duration) {
	if t := g.tries[task]; t != nil {
		t.away = away
		g.final(t, rejected)
	}
}

// Terminate is a final answer that promises nothing.
func (g *gateway) Terminate(task uint32) {
	if t := g.tries[task]; t != nil {
		g.final(t, terminated)
	}
}

// Count calls the counter.
func (g *gateway) Count(name uint64, keep time.Duration, units float64) {
	g.e.counter.call(g, name, keep, units)
}

// Probe is not played.
func (g *gateway) Probe(uint32) {}

// Tell reaches nobody, as on sockets.
func (g *gateway) Tell(int, []byte) {}

// Watch is not needed: discovery tells unasked.
func (g *gateway) Watch() {}

// Wake calls Woke after a time.
func (g *gateway) Wake(token uint64, after time.Duration) {
	w := &wake{}
	g.wakes[token] = w
	life := g.life
	g.e.after(after, func() {
		g.do(life, func() {
			if w.off {
				return
			}
			if g.wakes[token] == w {
				delete(g.wakes, token)
			}
			g.d.Woke(g.e.now, token)
		})
	})
}

// Forget takes a wake back.
func (g *gateway) Forget(token uint64) {
	if w := g.wakes[token]; w != nil {
		w.off = true
		delete(g.wakes, token)
	}
}

// Log is not kept.
func (g *gateway) Log(string) {}

// kill ends a gateway; what it held is its clients' to repeat, and its servers go on with what they have.
func (g *gateway) kill() {
	g.alive = false
	g.e.ledger.Died(g.e.now, g.n)
	held := slices.Sorted(maps.Keys(g.tries))
	for _, id := range held {
		t := g.tries[id]
		t.over = true
		g.e.clients.answered(t, died)
	}
	for id, c := range g.conns {
		s := g.e.servers[id-1]
		s.conns = max(s.conns-len(c.rest), 0)
	}
	g.tries, g.held, g.deaf = nil, nil, false
}
