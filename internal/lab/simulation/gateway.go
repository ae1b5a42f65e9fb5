package simulation

import (
	"maps"
	"slices"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/upstream/subset"
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
	blind bool          // nothing passes between it and servers
	held  []policy.Endpoint
	heard time.Duration // when the latest of what discovery tells it comes
	list  map[uint32]policy.Endpoint
	pool  *subset.Subset
	tries map[uint32]*try
	next  uint32
	wakes map[uint64]*wake
	conns map[uint32]*conns
	// follower is its part in what is held in common; nil: nothing is.
	follower *follower
}

// conns are the connections to one server that rest; each end of a push puts one back.
type conns struct {
	rest []time.Duration // when each was used last
}

// start makes a new instance, which knows the list as it is.
func (g *gateway) start(seed uint64) error {
	e := g.e
	g.life++
	g.alive = true
	g.list, g.tries, g.wakes, g.conns = map[uint32]policy.Endpoint{}, map[uint32]*try{}, map[uint64]*wake{},
		map[uint32]*conns{}
	kept := time.Duration(0)
	if e.w.Gateways.Pool {
		kept = e.w.Servers.Idle.D() / 2
	}
	g.pool = subset.New(g.n, e.w.Gateways.Count, kept)
	var err error
	if g.d, err = e.make(e.w.Deployment(g.n), int64(seed), g); err != nil {
		return err
	}
	for _, s := range e.servers {
		if s.stage != policy.Removed {
			g.list[s.id] = s.listed()
			e.ledger.Told(e.clock.Now(), g.n, s.id, s.stage)
		}
	}
	if g.follower != nil {
		g.follower.begin(g)
		return nil
	}
	g.hand()
	return nil
}

// do runs what comes to a gateway: now, when it no longer stands still, or never.
func (g *gateway) do(life int, run func()) {
	switch {
	case !g.alive || g.life != life:
	case g.e.clock.Now() < g.still:
		g.e.clock.At(g.still, func() { g.do(life, run) })
	default:
		run()
	}
}

// told takes a change of the list.
func (g *gateway) told(l policy.Endpoint) {
	if !g.alive {
		return // its next life is told all
	}
	if g.deaf {
		g.held = append(g.held, l)
		return
	}
	g.e.ledger.Told(g.e.clock.Now(), g.n, l.Server, l.State)
	g.do(g.life, func() {
		if l.State == policy.Removed {
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
	all := make([]subset.Candidate, 0, len(numbers))
	for _, n := range numbers {
		all = append(all, subset.Candidate{NameHash: g.e.servers[n-1].mark, Endpoint: g.list[n]})
	}
	if g.follower != nil {
		g.follower.told(all)
	}
	part, sharers := g.pool.Select(g.e.clock.Now(), all)
	g.d.SetSharers(sharers)
	g.d.HandleEndpoints(g.e.clock.Now(), policy.ListFull, part)
}

// take takes a try that has come whole.
func (g *gateway) take(t *try) {
	e := g.e
	if g.follower != nil {
		g.follower.keep()
	}
	if g.pool.IsDue(e.clock.Now()) {
		g.hand()
	}
	g.next++
	t.local = g.next
	g.tries[t.local] = t
	r := t.request
	if g.follower != nil && g.follower.shed(t) {
		return
	}
	g.d.HandleRequest(e.clock.Now(), policy.Request{
		ID: t.local, Class: t.lane, Plan: r.customer.plan, Customer: r.customer.id,
		FirstGateway: r.customer.first, GatewayCount: r.customer.width, Units: r.told, Deadline: t.expires, Repeat: t.number > 0 &&
			e.w.Clients.Marks,
	})
}

// kill ends a gateway; what it held is its clients' to repeat, and its servers go on with what they have.
func (g *gateway) kill() {
	g.alive = false
	g.e.ledger.Died(g.e.clock.Now(), g.n)
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
