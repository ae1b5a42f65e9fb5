// Package simulation runs a scenario in virtual time: servers, counter, discovery, network and clients are models, and every
// gateway is an instance of the policy, in this process. A scenario and a seed give the same run to the last byte, whatever
// else runs. What it leaves out, against real gateways on sockets, stands in docs/lab.md.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/virtualtime"
	"harrierhoist/policy"
)

// origin is where the clock of all machines stands when a play starts: not at nought, which decisions take for never.
const origin = 1000 * time.Hour

// engine is one play.
type engine struct {
	scenario *scenario.Scenario
	clock    *virtualtime.Scheduler
	settings policy.Settings

	modelRandom   *rand.Rand // of servers' work and the network
	arrivalRandom *rand.Rand // of what customers ask: the same whatever the gateways do
	faultRandom   *rand.Rand // of troubles: whom they strike

	servers     []*server // all that ever were; the number is the place and 1
	gateways    []*gateway
	counter     *counter
	coordinator *coordinator // nil: nothing is held in common
	clients     *clients
	checker     *invariants.Checker
	newPolicy   baseline.Constructor

	loadFactor        float64 // what burst makes of the load
	planLoadFactors   []float64
	lagFactor         float64
	answerLoss        float64
	resetRate         float64
	isolatedZones     map[int]bool // halls cut off from the others
	hotspot           *hotspot
	cutLinks          map[[2]int]bool // pairs of halls, the lower first, between which nothing passes
	regions           []int           // of each hall
	zoneWork          []time.Duration // work sent to each hall in this second
	recentUtilisation [][]float64     // of each hall, its utilisation in the latest seconds in which it stood whole
	result            Result
}

// Play plays a world with a policy under a seed.
func Run(spec *scenario.Scenario, seed uint64, made baseline.Constructor) (*Result, error) {
	e, err := newEngine(spec, seed, made)
	if err != nil {
		return nil, err
	}
	end := origin + spec.Length.D()
	for _, l := range e.settings.Classes {
		end = max(end, origin+spec.Length.D()+l.Timeout+time.Second)
	}
	e.clock.RunUntil(end)
	e.checker.Finish(end)
	return e.finish(), nil
}

// begin sets a play up.
func newEngine(spec *scenario.Scenario, seed uint64, made baseline.Constructor) (*engine, error) {
	e := &engine{
		scenario: spec, clock: virtualtime.New(origin), newPolicy: made, settings: spec.PolicySettings(0), loadFactor: 1, lagFactor: 1, isolatedZones: map[int]bool{},
		cutLinks: map[[2]int]bool{}, regions: spec.ZoneRegions(),
		zoneWork:          make([]time.Duration, spec.Gateways.Zones),
		recentUtilisation: make([][]float64, spec.Gateways.Zones),
	}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	e.modelRandom, e.arrivalRandom, e.faultRandom = stream(1), stream(2), stream(3)
	e.checker = invariants.New(invariants.Limits{
		AnswerSlack: spec.Rules.AnswerSlack.D(), DrainGrace: spec.Rules.DrainGrace.D(),
		Plans: e.settings.Plans,
	})
	e.planLoadFactors = make([]float64, len(spec.Plans))
	for i := range e.planLoadFactors {
		e.planLoadFactors[i] = 1
	}
	e.result = newResult(spec, seed)
	e.clock.BeforeEvent = func(time.Duration, uint64) { e.result.Events++ }
	for i := range spec.Servers.Count {
		e.addServer(i%spec.Gateways.Zones, i/spec.Gateways.Zones/spec.Servers.RackSize*spec.Gateways.Zones+i%spec.Gateways.Zones, 0)
	}
	e.counter = newCounter(e)
	e.coordinator = newCoordinator(e, stream(6))
	setup := stream(4)
	for n := range spec.Gateways.Count {
		g := &gateway{engine: e, index: n, zone: n % spec.Gateways.Zones}
		if e.coordinator != nil {
			g.follower = e.coordinator.followers[n]
		}
		e.gateways = append(e.gateways, g)
		if err := g.start(setup.Uint64()); err != nil {
			return nil, err
		}
	}
	e.clients = newClients(e, stream(5))
	for i := range spec.Faults {
		if err := e.scheduleFault(spec.Faults[i]); err != nil {
			return nil, err
		}
	}
	e.clients.scheduleArrival()
	for s := 1; s <= int(math.Ceil(spec.Length.D().Seconds())); s++ {
		e.clock.At(origin+time.Duration(s)*time.Second, e.closeSecond)
	}
	return e, nil
}

// hop is the time that a message takes between two halls.
func (e *engine) delay(a, b int) time.Duration { return e.delayBy(e.modelRandom, a, b) }

func (e *engine) delayBy(chance *rand.Rand, a, b int) time.Duration {
	d := e.scenario.Network.SameZone.D()
	switch {
	case e.regions[a] != e.regions[b] && e.scenario.Network.CrossRegion > 0:
		d = e.scenario.Network.CrossRegion.D()
	case a != b:
		d = e.scenario.Network.CrossZone.D()
	}
	return time.Duration(float64(d) * (1 + e.scenario.Network.Jitter*(2*chance.Float64()-1)))
}

// parted tells whether nothing passes between two halls.
func (e *engine) isCut(a, b int) bool {
	return a != b && (e.isolatedZones[a] || e.isolatedZones[b] || e.cutLinks[[2]int{min(a, b), max(a, b)}])
}

// some draws a part of n things, at least one where the part is more than nought.
func (e *engine) pick(n int, part float64) []int {
	if n == 0 || part <= 0 {
		return nil
	}
	k := min(max(int(math.Round(part*float64(n))), 1), n)
	drawn := e.faultRandom.Perm(n)[:k]
	return drawn
}

// up are the places of the servers that a list would call ready.
func (e *engine) readyServers() []*server {
	var all []*server
	for _, s := range e.servers {
		if s.state == policy.Ready {
			all = append(all, s)
		}
	}
	return all
}

// tell has discovery tell a change to every gateway, each after a lag of its own; to one gateway, changes come in
// their order.
func (e *engine) announce(s *server) {
	listed := s.endpoint()
	for _, g := range e.gateways {
		lag := e.scenario.Discovery.Lag[0].D()
		lag += time.Duration(e.modelRandom.Float64() * float64(e.scenario.Discovery.Lag[1].D()-lag))
		g.lastChangeAt = max(g.lastChangeAt, e.clock.Now()+time.Duration(float64(lag)*e.lagFactor))
		e.clock.At(g.lastChangeAt, func() { g.notify(listed) })
	}
}
