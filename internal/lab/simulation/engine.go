// Package simulation runs a scenario in virtual time: servers, counter, discovery, network and
// clients are models, and every gateway is an instance of the policy, in this process. Package
// experiment calls it for each scenario, variant and seed.
//
// A scenario and a seed give the same run to the last byte. docs/lab.md lists what the models leave
// out against real gateways on sockets.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/lab/virtualtime"
	"harrierhoist/policy"
)

// origin is the time of all clocks when a run starts. It is not 0, which the policy takes for
// "never".
const origin = 1000 * time.Hour

// Streams of random numbers, a generator for each purpose: two policies meet the same customers and
// the same faults.
const (
	modelStream = iota + 1
	arrivalStream
	faultStream
	gatewayStream
	clientStream
	coordinationStream
)

// engine is one run of a scenario. All its parts run on the goroutine that runs its clock.
type engine struct {
	scenario *scenario.Scenario
	seed     uint64
	clock    *virtualtime.Scheduler
	settings policy.Settings // of any gateway; they differ in their index and zone alone

	modelRandom   *rand.Rand // work of servers, delays of the network
	arrivalRandom *rand.Rand // requests of customers: the same whatever the gateways do
	faultRandom   *rand.Rand // which servers and gateways a fault affects

	servers     []*server // all that ever ran, by their number less 1
	gateways    []*gateway
	counter     *counter
	coordinator *coordinator // nil: the gateways share nothing
	clients     *clients
	checker     *invariants.Checker
	newPolicy   baseline.Constructor

	faults            faultState
	regions           []int           // by zone
	zoneWork          []time.Duration // work sent to each zone in the present second
	recentUtilisation [][]float64     // of each zone, in the latest seconds in a row in which it had its capacity
	result            Result
}

// faultState is what faults change besides servers, gateways, counter and voters.
type faultState struct {
	loadFactor      float64
	planLoadFactors []float64
	lagFactor       float64         // of discovery
	answerLoss      float64         // probability
	resetRate       float64         // probability
	isolatedZones   map[int]bool    // nothing passes between one of these and another zone
	cutLinks        map[[2]int]bool // pairs of zones, the lower first, between which nothing passes
	hotspot         *hotspot        // nil: none
}

// Run runs a scenario under a policy. The error is of the policy's constructor or of a fault of
// unknown kind.
func Run(spec *scenario.Scenario, seed uint64, newPolicy baseline.Constructor) (*Result, error) {
	e, err := newEngine(spec, seed, newPolicy)
	if err != nil {
		return nil, err
	}
	end := origin + spec.Length.D()
	for _, class := range e.settings.Classes {
		end = max(end, origin+spec.Length.D()+class.Timeout+time.Second)
	}
	e.clock.RunUntil(end)
	e.checker.Finish(end)
	return e.finish(), nil
}

// newEngine sets a run up. The order of its steps is the order of their draws and events.
func newEngine(spec *scenario.Scenario, seed uint64, newPolicy baseline.Constructor) (*engine, error) {
	engine := &engine{
		scenario: spec, seed: seed, clock: virtualtime.New(origin), newPolicy: newPolicy,
		settings: spec.PolicySettings(0), faults: newFaultState(len(spec.Plans)), regions: spec.ZoneRegions(),
		zoneWork:          make([]time.Duration, spec.Gateways.Zones),
		recentUtilisation: make([][]float64, spec.Gateways.Zones),
		result:            newResult(spec, seed),
	}
	engine.modelRandom = engine.random(modelStream)
	engine.arrivalRandom = engine.random(arrivalStream)
	engine.faultRandom = engine.random(faultStream)
	engine.checker = invariants.New(invariants.Limits{
		AnswerSlack: spec.Rules.AnswerSlack.D(), DrainGrace: spec.Rules.DrainGrace.D(),
		Plans: engine.settings.Plans,
	})
	engine.clock.BeforeEvent = func(time.Duration, uint64) { engine.result.Events++ }
	engine.addServers()
	engine.counter = newCounter(engine)
	engine.coordinator = newCoordinator(engine, engine.random(coordinationStream))
	if err := engine.addGateways(); err != nil {
		return nil, err
	}
	engine.clients = newClients(engine, engine.random(clientStream))
	for _, f := range spec.Faults {
		if err := engine.scheduleFault(f); err != nil {
			return nil, err
		}
	}
	engine.clients.scheduleArrival()
	for s := 1; s <= int(math.Ceil(spec.Length.D().Seconds())); s++ {
		engine.clock.At(origin+time.Duration(s)*time.Second, engine.closeSecond)
	}
	return engine, nil
}

// newFaultState is the state without any fault.
func newFaultState(plans int) faultState {
	f := faultState{
		loadFactor: 1, planLoadFactors: make([]float64, plans), lagFactor: 1,
		isolatedZones: map[int]bool{}, cutLinks: map[[2]int]bool{},
	}
	for i := range f.planLoadFactors {
		f.planLoadFactors[i] = 1
	}
	return f
}

// random makes the generator of a stream.
func (e *engine) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(e.seed, stream)) }

// addServers starts the first servers, in the zones in turn; a rack is of one zone.
func (e *engine) addServers() {
	zones := e.scenario.Gateways.Zones
	rackSize := e.scenario.Servers.RackSize
	for i := range e.scenario.Servers.Count {
		zone := i % zones
		e.addServer(zone, i/zones/rackSize*zones+zone, 0)
	}
}

// addGateways starts the gateways, in the zones in turn.
func (e *engine) addGateways() error {
	seeds := e.random(gatewayStream)
	for n := range e.scenario.Gateways.Count {
		g := &gateway{engine: e, index: n, zone: n % e.scenario.Gateways.Zones}
		if e.coordinator != nil {
			g.follower = e.coordinator.followers[n]
		}
		e.gateways = append(e.gateways, g)
		if err := g.start(seeds.Uint64()); err != nil {
			return err
		}
	}
	return nil
}

// pick draws a fraction of n things for a fault, at least one where the fraction is over 0, and
// returns their indices.
func (e *engine) pick(n int, fraction float64) []int {
	if n == 0 || fraction <= 0 {
		return nil
	}
	count := min(max(int(math.Round(fraction*float64(n))), 1), n)
	return e.faultRandom.Perm(n)[:count]
}

// readyServers returns the servers that discovery lists as ready.
func (e *engine) readyServers() []*server {
	var ready []*server
	for _, s := range e.servers {
		if s.state == policy.Ready {
			ready = append(ready, s)
		}
	}
	return ready
}
