package simulation

import (
	"math/rand/v2"
	"time"
)

// delay draws the time that a message takes from one zone to another.
func (e *engine) delay(from, to int) time.Duration { return e.delayBy(e.modelRandom, from, to) }

// delayBy is delay with a generator of its own.
func (e *engine) delayBy(random *rand.Rand, from, to int) time.Duration {
	network := &e.scenario.Network
	mean := network.SameZone.D()
	switch {
	case e.regions[from] != e.regions[to] && network.CrossRegion > 0:
		mean = network.CrossRegion.D()
	case from != to:
		mean = network.CrossZone.D()
	}
	return time.Duration(float64(mean) * (1 + network.Jitter*(2*random.Float64()-1)))
}

// isCut reports whether nothing passes between two zones.
func (e *engine) isCut(a, b int) bool {
	f := &e.faults
	if a == b {
		return false
	}
	return f.isolatedZones[a] || f.isolatedZones[b] || f.cutLinks[[2]int{min(a, b), max(a, b)}]
}

// announce has discovery notify every gateway of a server's state, each after a lag of its own. One
// gateway gets its notifications in order.
func (e *engine) announce(s *server) {
	endpoint := s.endpoint()
	for _, g := range e.gateways {
		lag := e.scenario.Discovery.Lag[0].D()
		lag += time.Duration(e.modelRandom.Float64() * float64(e.scenario.Discovery.Lag[1].D()-lag))
		g.lastChangeAt = max(g.lastChangeAt, e.clock.Now()+time.Duration(float64(lag)*e.faults.lagFactor))
		e.clock.At(g.lastChangeAt, func() { g.notify(endpoint) })
	}
}
