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
	engine        *engine
	index         int
	zone          int
	policy        baseline.Policy
	incarnation   int // counts its starts; what was meant for an earlier one does not come
	alive         bool
	pausedUntil   time.Duration // it does nothing until then
	discoveryLost bool          // discovery tells it nothing
	isolated      bool          // nothing passes between it and servers
	missedChanges []policy.Endpoint
	lastChangeAt  time.Duration // when the latest of what discovery tells it comes
	endpoints     map[uint32]policy.Endpoint
	subset        *subset.Subset
	tries         map[uint32]*try
	lastRequestID uint32
	timers        map[uint64]*timer
	idle          map[uint32]*idleConnections
	// follower is its part in what is held in common; nil: nothing is.
	follower *follower
}

// conns are the connections to one server that rest; each end of a push puts one back.
type idleConnections struct {
	lastUsed []time.Duration // when each was used last
}

// start makes a new instance, which knows the list as it is.
func (g *gateway) start(seed uint64) error {
	e := g.engine
	g.incarnation++
	g.alive = true
	g.endpoints, g.tries, g.timers, g.idle = map[uint32]policy.Endpoint{}, map[uint32]*try{}, map[uint64]*timer{},
		map[uint32]*idleConnections{}
	kept := time.Duration(0)
	if e.scenario.Gateways.Subset {
		kept = e.scenario.Servers.IdleTimeout.D() / 2
	}
	g.subset = subset.New(g.index, e.scenario.Gateways.Count, kept)
	var err error
	if g.policy, err = e.newPolicy(e.scenario.PolicySettings(g.index), int64(seed), g); err != nil {
		return err
	}
	for _, s := range e.servers {
		if s.state != policy.Removed {
			g.endpoints[s.id] = s.endpoint()
			e.checker.EndpointNotified(e.clock.Now(), g.index, s.id, s.state)
		}
	}
	if g.follower != nil {
		g.follower.start(g)
		return nil
	}
	g.updateEndpoints()
	return nil
}

// do runs what comes to a gateway: now, when it no longer stands still, or never.
func (g *gateway) run(life int, run func()) {
	switch {
	case !g.alive || g.incarnation != life:
	case g.engine.clock.Now() < g.pausedUntil:
		g.engine.clock.At(g.pausedUntil, func() { g.run(life, run) })
	default:
		run()
	}
}

// told takes a change of the list.
func (g *gateway) notify(l policy.Endpoint) {
	if !g.alive {
		return // its next life is told all
	}
	if g.discoveryLost {
		g.missedChanges = append(g.missedChanges, l)
		return
	}
	g.engine.checker.EndpointNotified(g.engine.clock.Now(), g.index, l.Server, l.State)
	g.run(g.incarnation, func() {
		if l.State == policy.Removed {
			delete(g.endpoints, l.Server)
		} else {
			g.endpoints[l.Server] = l
		}
		g.updateEndpoints()
	})
}

// hand gives the decisions the servers of the part that are ready.
func (g *gateway) updateEndpoints() {
	numbers := slices.Sorted(maps.Keys(g.endpoints))
	all := make([]subset.Candidate, 0, len(numbers))
	for _, n := range numbers {
		all = append(all, subset.Candidate{NameHash: g.engine.servers[n-1].nameHash, Endpoint: g.endpoints[n]})
	}
	if g.follower != nil {
		g.follower.setEndpoints(all)
	}
	part, sharers := g.subset.Select(g.engine.clock.Now(), all)
	g.policy.SetSharers(sharers)
	g.policy.HandleEndpoints(g.engine.clock.Now(), policy.ListFull, part)
}

// take takes a try that has come whole.
func (g *gateway) accept(t *try) {
	e := g.engine
	if g.follower != nil {
		g.follower.expireSteering()
	}
	if g.subset.IsDue(e.clock.Now()) {
		g.updateEndpoints()
	}
	g.lastRequestID++
	t.requestID = g.lastRequestID
	g.tries[t.requestID] = t
	r := t.request
	if g.follower != nil && g.follower.shedIfFull(t) {
		return
	}
	g.policy.HandleRequest(e.clock.Now(), policy.Request{
		ID: t.requestID, Class: t.class, Plan: r.customer.plan, Customer: r.customer.id,
		FirstGateway: r.customer.firstGateway, GatewayCount: r.customer.gatewayCount, Units: r.declaredUnits, Deadline: t.deadline, Repeat: t.number > 0 &&
			e.scenario.Clients.MarkRepeats,
	})
}

// kill ends a gateway; what it held is its clients' to repeat, and its servers go on with what they have.
func (g *gateway) kill() {
	g.alive = false
	g.engine.checker.GatewayDied(g.engine.clock.Now(), g.index)
	held := slices.Sorted(maps.Keys(g.tries))
	for _, id := range held {
		t := g.tries[id]
		t.done = true
		g.engine.clients.handleAnswer(t, connectionLost)
	}
	for id, c := range g.idle {
		s := g.engine.servers[id-1]
		s.connections = max(s.connections-len(c.lastUsed), 0)
	}
	g.tries, g.missedChanges, g.discoveryLost = nil, nil, false
}
