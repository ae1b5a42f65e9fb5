// Package rulesimulation simulates counting rules in virtual time: a few gateways, each with the
// decision module itself, around a switch of rules with faults, and beside a canary. What it shows
// is what the rules and their switch do, not what a network does. Bugs can be injected, to see that
// its checks find them.
package rulesimulation

import (
	"math/rand/v2"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/lab/virtualtime"
	"harrierhoist/policy"
)

const (
	epoch        = time.Hour              // when a simulation begins, on the clock that windows go by
	tableLease   = 2 * time.Second        // of the table
	switchLead   = 4 * time.Second        // from an entry to its switch: a lease and two waits
	readInterval = 200 * time.Millisecond // between two reads of the table
)

// Bug is a bug that is injected.
type Bug string

// The bugs.
const (
	NoBug        Bug = ""
	BugNoLease   Bug = "no lease"   // a process goes by the table that it has, past its lease
	BugWrongRule Bug = "wrong rule" // an answer weighs what the rule in force then says
)

// Simulation is the gateways, a counter, servers that always answer and the table.
type Simulation struct {
	random       *rand.Rand
	clock        *virtualtime.Scheduler
	counter      map[uint64]float64
	charged      map[uint64]float64 // by name, without what was carried over
	table        countingrule.Table
	resolved     map[uint64]*countingrule.Resolved
	settings     policy.Settings
	gateways     []*gateway
	requests     []*request
	bug          Bug
	onAdmission  func(*gateway, *request) // nil, or called for each request that is admitted
	onCompletion func(*gateway, *request) // and for its end
}

// request is a request as its server and its client know it.
type request struct {
	id             uint32
	customer       uint64
	class          int
	acceptedAt     time.Duration // when its gateway took it
	forwardedAt    time.Duration
	assignment     countingrule.Assignment
	reservations   []countingrule.Reservation
	forwarded      bool
	passed         []bool // by reservation
	answers        int    // final ones: one is right
	lost           bool   // its gateway died: its client's connection was closed
	weight, billed float64
	deadline       time.Duration
}

func newSimulation(seed uint64, settings policy.Settings, rules []countingrule.Rule) *Simulation {
	simulation := &Simulation{
		random:   rand.New(rand.NewPCG(seed, 11)),
		clock:    virtualtime.New(epoch),
		counter:  map[uint64]float64{},
		charged:  map[uint64]float64{},
		resolved: map[uint64]*countingrule.Resolved{},
		settings: countingrule.WithRulePlans(settings, rules),
		table:    countingrule.Table{Rules: rules},
	}
	for _, rule := range append([]countingrule.Rule{{}}, rules...) {
		simulation.resolved[rule.Version] = must(countingrule.Resolve(rule, simulation.settings))
	}
	for range settings.Gateways {
		g := &gateway{sim: simulation, config: &countingrule.Config{DesiredVersion: rules[0].Version, Rules: rules}}
		simulation.gateways = append(simulation.gateways, g)
		g.start()
		simulation.clock.Every(0, readInterval, g.renewLease)
	}
	return simulation
}

// must is for settings and rules that a simulation is made of: an error in them is a fault of its
// caller.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// between draws a time.
func (s *Simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// acceptAnywhere brings a request to a gateway that is drawn.
func (s *Simulation) acceptAnywhere(customer func() uint64) {
	g := s.gateways[s.random.IntN(len(s.gateways))]
	g.accept(customer(), s.random.IntN(len(s.settings.Classes)))
}

// baseSettings are those of four gateways without plans.
func baseSettings() policy.Settings {
	return policy.Settings{
		Gateways: 4, Zones: 1, ClockTick: time.Millisecond, HasCounter: true, LateCountAfter: time.Second,
		MaxAttempts: 3,
		Classes: []policy.TrafficClass{
			{Name: "look", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1},
			{Name: "pay", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 2},
		},
	}
}
