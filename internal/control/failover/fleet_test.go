package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

const (
	// fleetServers is how many servers the fleet's three zones have together.
	fleetServers = 42
	// digestInterval is how often a gateway of the fleet sends a digest. One in lostDigests is
	// lost.
	digestInterval = 200 * time.Millisecond
	lostDigests    = 20
	// failureMemory is how long a gateway of the fleet avoids a server that failed.
	failureMemory = time.Second
)

// fleet is the program's own recorders, digests some of which are lost, the merger, the controller,
// and the subsets that act on its plans. Servers and the decision module are emulated: each gateway
// makes attempts at a steady rate on servers of its subset, drawn from those without a recent
// failure.
type fleet struct {
	random     *rand.Rand
	rate       float64 // attempts a second of each gateway
	zoneDown   bool    // the first zone
	errors     float64 // part of all attempts that fail anywhere
	silent     bool    // servers that are down say nothing, in place of refusing
	now        time.Duration
	members    []*member
	merger     *observation.Merger
	controller *Controller
	entry      statemachine.Table
	plans      []*Plan
	endpoints  []subset.Candidate
	attempts   [3]int // by zone since last reset
}

// member is a gateway of the fleet.
type member struct {
	zone        int
	allFail     bool // all of its attempts fail
	recorder    *zonestats.Recorder
	subset      *subset.Subset
	endpoints   []policy.Endpoint
	planCount   int // how many plans there were when the endpoints were selected
	failedUntil map[uint32]time.Duration
	digest      observation.Digest
	nextDigest  time.Duration
	inFlight    []attempt
}

type attempt struct {
	server  uint32
	zone    int
	ends    time.Duration
	took    time.Duration
	outcome policy.Outcome
}

// newFleet makes three zones with so many gateways each, all at half of their capacity.
func newFleet(seed uint64, gateways int, rate float64) *fleet {
	sim := &fleet{random: rand.New(rand.NewPCG(seed, 9)), rate: rate, now: time.Hour, merger: observation.NewMerger()}
	three := threeZones(0)
	three.settings.Capacity = 2 * float64(gateways) * rate / (fleetServers / 3)
	sim.controller = New(three.settings, three.lease)
	var list []policy.Endpoint
	for i := range fleetServers {
		list = append(list, policy.Endpoint{Server: uint32(i), State: policy.Ready, Zone: i % 3, Rack: i})
		candidate := subset.Candidate{NameHash: subset.HashName(fmt.Sprint(i)), Endpoint: list[i]}
		sim.endpoints = append(sim.endpoints, candidate)
	}
	for i := range 3 * gateways {
		gateway := &member{
			zone: i % 3, planCount: -1, subset: subset.New(i, 3*gateways, 15*time.Second),
			failedUntil: map[uint32]time.Duration{}, recorder: zonestats.New(three.zones, i%3, &policy.Settings{}),
			digest:     observation.Digest{Process: fmt.Sprint(i), Incarnation: 1},
			nextDigest: sim.now + time.Duration(sim.random.IntN(200))*time.Millisecond,
		}
		gateway.recorder.SetEndpoints(sim.now, list)
		sim.members = append(sim.members, gateway)
	}
	return sim
}

// run lets time pass.
func (f *fleet) run(span time.Duration) { f.runUntil(span, func() bool { return false }) }

// runUntil lets time pass until a condition holds or a time is over, and tells how long that was.
func (f *fleet) runUntil(most time.Duration, done func() bool) time.Duration {
	const step = 10 * time.Millisecond
	for start := f.now; ; f.now += step {
		if took := f.now - start; took >= most || done() {
			return took
		}
		for _, m := range f.members {
			f.stepMember(m, step)
		}
		if f.now%tick == 0 {
			f.decide()
		}
	}
}

// decide has the controller decide by what was merged so far.
func (f *fleet) decide() {
	table := func(string) statemachine.Table { return f.entry }
	input := coordination.ControllerInput{Sums: f.merger.Sums(), Table: table}
	value, write := f.controller.Decide(f.now, input)
	if !write {
		return
	}
	plan, err := DecodePlan(value)
	if err != nil {
		panic(err)
	}
	f.entry = statemachine.Table{Epoch: f.entry.Epoch + 1, Value: value}
	f.plans = append(f.plans, plan)
}

// stepMember ends a gateway's attempts, makes new ones, and sends its digest when it is due.
func (f *fleet) stepMember(gateway *member, step time.Duration) {
	gateway.inFlight = slices.DeleteFunc(gateway.inFlight, func(a attempt) bool {
		if f.now < a.ends {
			return false
		}
		gateway.recorder.AddResult(f.now, a.zone, a.server, a.outcome, a.took)
		if a.outcome != policy.Answered {
			gateway.failedUntil[a.server] = f.now + failureMemory
		}
		return true
	})
	if f.random.Float64() < f.rate*step.Seconds() {
		f.sendAttempt(gateway)
	}
	if f.now < gateway.nextDigest {
		return
	}
	gateway.nextDigest += digestInterval
	gateway.digest.Serial++
	gateway.digest.Counts = map[string]uint64{}
	gateway.recorder.WriteCounts(f.now, func(name string, n uint64) { gateway.digest.Counts[name] = n })
	if f.random.IntN(lostDigests) > 0 {
		f.merger.Add(gateway.digest)
	}
}

// selectEndpoints has a gateway act on the latest plan.
func (f *fleet) selectEndpoints(m *member) {
	m.planCount = len(f.plans)
	assignment := local(f.controller.zones[m.zone])
	if m.planCount > 0 {
		assignment = f.plans[m.planCount-1].Assignment(f.controller.zones[m.zone])
	}
	weights := make([]float64, len(f.controller.zones))
	for i, zone := range f.controller.zones {
		weights[i] = assignment.Weights[zone]
	}
	m.subset.SetWeights(weights, assignment.Shed)
	m.endpoints, _ = m.subset.Select(f.now, f.endpoints)
}

// sendAttempt has a request sent, or shed.
func (f *fleet) sendAttempt(gateway *member) {
	if gateway.planCount != len(f.plans) || gateway.subset.IsDue(f.now) {
		f.selectEndpoints(gateway)
	}
	if gateway.subset.ShouldShed() {
		gateway.recorder.AddShed(1)
		return
	}
	hasFailed := func(endpoint policy.Endpoint) bool { return f.now < gateway.failedUntil[endpoint.Server] }
	candidates := slices.DeleteFunc(slices.Clone(gateway.endpoints), hasFailed)
	if len(candidates) == 0 {
		candidates = gateway.endpoints
	}
	server := candidates[f.random.IntN(len(candidates))]
	sent := attempt{server: server.Server, zone: server.Zone}
	sent.took = time.Duration(50+f.random.IntN(200)) * time.Millisecond
	sent.outcome = policy.Answered
	switch {
	case f.zoneDown && server.Zone == 0 && f.silent:
		sent.took = 3 * time.Second
		sent.outcome = policy.TimedOut
	case f.zoneDown && server.Zone == 0:
		sent.took = time.Millisecond
		sent.outcome = policy.ConnectFailed
	case gateway.allFail || f.random.Float64() < f.errors:
		sent.took = 5 * time.Millisecond
		sent.outcome = policy.Errored
	}
	sent.ends = f.now + sent.took
	f.attempts[server.Zone]++
	gateway.subset.CountAttempt(f.now)
	gateway.recorder.AddAttempt(f.now, server.Zone, 1, true)
	gateway.inFlight = append(gateway.inFlight, sent)
}
