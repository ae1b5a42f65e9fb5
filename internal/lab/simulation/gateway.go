package simulation

import (
	"maps"
	"slices"
	"time"

	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/internal/lab/baseline"
	"harrierhoist/policy"
)

// gateway is one machine with an instance of the policy, which it hosts (gateway_host.go,
// attempt.go).
type gateway struct {
	engine        *engine
	index         int
	zone          int
	policy        baseline.Policy
	incarnation   int // counts its starts; what was meant for an earlier one is dropped
	alive         bool
	pausedUntil   time.Duration // it does nothing until then
	discoveryLost bool          // it gets no notifications of discovery
	isolated      bool          // nothing passes between it and any server
	missedChanges []policy.Endpoint
	lastChangeAt  time.Duration // when the latest notification that is under way arrives
	endpoints     map[uint32]policy.Endpoint
	subset        *subset.Subset
	tries         map[uint32]*try // without an answer
	lastRequestID uint32
	timers        map[uint64]*timer
	idle          map[uint32]*idleConnections // by server
	follower      *follower                   // nil: the gateways share nothing
}

// idleConnections are the connections to one server that no attempt uses.
type idleConnections struct {
	lastUsed []time.Duration // of each, when its last attempt ended
}

// keepAliveDivisor is how many times shorter gateways keep idle connections than servers do, so
// that a reused connection is rarely found closed.
const keepAliveDivisor = 2

// keepAlive is how long a gateway keeps an idle connection.
func (e *engine) keepAlive() time.Duration {
	return e.scenario.Servers.IdleTimeout.D() / keepAliveDivisor
}

// start makes a new instance of the policy, which knows the endpoints as they are.
func (g *gateway) start(seed uint64) error {
	engine := g.engine
	g.incarnation++
	g.alive = true
	g.endpoints = map[uint32]policy.Endpoint{}
	g.tries = map[uint32]*try{}
	g.timers = map[uint64]*timer{}
	g.idle = map[uint32]*idleConnections{}
	keepAlive := time.Duration(0)
	if engine.scenario.Gateways.Subset {
		keepAlive = engine.keepAlive()
	}
	g.subset = subset.New(g.index, engine.scenario.Gateways.Count, keepAlive)
	var err error
	g.policy, err = engine.newPolicy(engine.scenario.PolicySettings(g.index), int64(seed), g)
	if err != nil {
		return err
	}
	for _, s := range engine.servers {
		if s.state != policy.Removed {
			g.endpoints[s.id] = s.endpoint()
			engine.checker.EndpointNotified(engine.clock.Now(), g.index, s.id, s.state)
		}
	}
	if g.follower != nil {
		g.follower.start(g)
		return nil
	}
	g.updateEndpoints()
	return nil
}

// run runs what happens to an incarnation of a gateway: now, after its pause, or never if that
// incarnation has ended.
func (g *gateway) run(incarnation int, action func()) {
	switch {
	case !g.alive || g.incarnation != incarnation: // nothing is left to run it
	case g.engine.clock.Now() < g.pausedUntil:
		g.engine.clock.At(g.pausedUntil, func() { g.run(incarnation, action) })
	default:
		action()
	}
}

// notify takes a change of an endpoint.
func (g *gateway) notify(endpoint policy.Endpoint) {
	if !g.alive {
		return // its next incarnation starts with all of them
	}
	if g.discoveryLost {
		g.missedChanges = append(g.missedChanges, endpoint)
		return
	}
	g.engine.checker.EndpointNotified(g.engine.clock.Now(), g.index, endpoint.Server, endpoint.State)
	g.run(g.incarnation, func() {
		if endpoint.State == policy.Removed {
			delete(g.endpoints, endpoint.Server)
		} else {
			g.endpoints[endpoint.Server] = endpoint
		}
		g.updateEndpoints()
	})
}

// updateEndpoints hands the policy the endpoints of the gateway's subset.
func (g *gateway) updateEndpoints() {
	ids := slices.Sorted(maps.Keys(g.endpoints))
	candidates := make([]subset.Candidate, 0, len(ids))
	for _, id := range ids {
		candidates = append(
			candidates,
			subset.Candidate{NameHash: g.engine.servers[id-1].nameHash, Endpoint: g.endpoints[id]},
		)
	}
	if g.follower != nil {
		g.follower.setEndpoints(candidates)
	}
	selected, sharers := g.subset.Select(g.engine.clock.Now(), candidates)
	g.policy.SetSharingGateways(sharers)
	g.policy.HandleEndpoints(g.engine.clock.Now(), policy.ListFull, selected)
}

// accept takes a complete request.
func (g *gateway) accept(try *try) {
	engine := g.engine
	request := try.request
	if g.follower != nil {
		g.follower.expireSteering()
	}
	if g.subset.NeedsSelection(engine.clock.Now()) {
		g.updateEndpoints()
	}
	g.lastRequestID++
	try.requestID = g.lastRequestID
	g.tries[try.requestID] = try
	if g.follower != nil && g.follower.shedIfFull(try) {
		return
	}
	g.policy.HandleRequest(engine.clock.Now(), policy.Request{
		ID:           try.requestID,
		Class:        try.class,
		Plan:         request.customer.plan,
		Customer:     request.customer.id,
		FirstGateway: request.customer.firstGateway,
		GatewayCount: request.customer.gatewayCount,
		Units:        request.declaredUnits,
		Deadline:     try.deadline,
		Repeat:       try.number > 0 && engine.scenario.Clients.MarkRepeats,
	})
}

// finishTry gives a try its only answer.
func (g *gateway) finishTry(t *try, with answer) {
	t.done = true
	delete(g.tries, t.requestID)
	g.engine.clients.handleAnswer(t, with)
}

// kill ends a gateway. Its clients may retry what it held; its servers go on with the attempts they
// have.
func (g *gateway) kill() {
	g.alive = false
	g.engine.checker.GatewayDied(g.engine.clock.Now(), g.index)
	for _, id := range slices.Sorted(maps.Keys(g.tries)) {
		t := g.tries[id]
		t.done = true
		g.engine.clients.handleAnswer(t, connectionLost)
	}
	for id, c := range g.idle {
		s := g.engine.servers[id-1]
		s.connections = max(s.connections-len(c.lastUsed), 0)
	}
	g.tries = nil
	g.missedChanges = nil
	g.discoveryLost = false
}
