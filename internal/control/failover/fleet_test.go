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
	// digestInterval is the time between two digests of a gateway.
	digestInterval = 200 * time.Millisecond
	// digestsPerLoss is the average number of digests of which one is lost.
	digestsPerLoss = 20
	// failureMemory is how long a gateway avoids a server after a failed attempt.
	failureMemory = time.Second
)

// fleet connects the real recorders, digests, merger, controller and subsets of a number of
// gateways. Some of the digests are lost. Servers and the decision module are emulated: each
// gateway makes attempts at a constant rate. It sends each to a random server of its subset without
// a recent failure.
type fleet struct {
	random            *rand.Rand
	rate              float64 // attempts a second of each gateway
	firstZoneDown     bool    // all servers of the first zone are down
	errorRate         float64 // part of all attempts that fail, in any zone
	downServersSilent bool    // servers that are down do not answer, instead of refusing connections
	now               time.Duration
	members           []*member
	merger            *observation.Merger
	controller        *Controller
	entry             statemachine.Table
	plans             []*Plan
	endpoints         []subset.Candidate
	attempts          [3]int // number of attempts by zone, since the test last reset it
}

// member is a gateway of the fleet.
type member struct {
	zone            int
	allAttemptsFail bool // all of its attempts fail
	recorder        *zonestats.Recorder
	subset          *subset.Subset
	endpoints       []policy.Endpoint
	planCount       int                      // number of plans when the endpoints were selected; -1 before that
	failedUntil     map[uint32]time.Duration // time until which a server is avoided
	digest          observation.Digest
	nextDigest      time.Duration
	inFlight        []attempt
}

// attempt is an attempt in flight, with its predetermined result.
type attempt struct {
	server   uint32
	zone     int
	endsAt   time.Duration
	duration time.Duration
	outcome  policy.Outcome
}

// newFleet returns a fleet of three zones with the given number of gateways each. The rate is in
// attempts a second per gateway. The demand is half of each zone's capacity.
func newFleet(seed uint64, gateways int, rate float64) *fleet {
	sim := &fleet{random: rand.New(rand.NewPCG(seed, 9)), rate: rate, now: time.Hour, merger: observation.NewMerger()}
	template := threeZones(0)
	template.settings.Capacity = 2 * float64(gateways) * rate / (fleetServers / 3)
	sim.controller = New(template.settings, template.lease)
	var list []policy.Endpoint
	for i := range fleetServers {
		list = append(list, policy.Endpoint{Server: uint32(i), State: policy.Ready, Zone: i % 3, Rack: i})
		candidate := subset.Candidate{NameHash: subset.HashName(fmt.Sprint(i)), Endpoint: list[i]}
		sim.endpoints = append(sim.endpoints, candidate)
	}
	for i := range 3 * gateways {
		gateway := &member{
			zone: i % 3, planCount: -1, subset: subset.New(i, 3*gateways, 15*time.Second),
			failedUntil: map[uint32]time.Duration{}, recorder: zonestats.New(template.zones, i%3, &policy.Settings{}),
			digest:     observation.Digest{Process: fmt.Sprint(i), Incarnation: 1},
			nextDigest: sim.now + time.Duration(sim.random.IntN(200))*time.Millisecond,
		}
		gateway.recorder.SetEndpoints(sim.now, list)
		sim.members = append(sim.members, gateway)
	}
	return sim
}

// run advances the time by a span.
func (f *fleet) run(span time.Duration) { f.runUntil(span, func() bool { return false }) }

// runUntil advances the time until done returns true, but by no more than limit. It returns the
// time that has passed.
func (f *fleet) runUntil(limit time.Duration, done func() bool) time.Duration {
	const step = 10 * time.Millisecond
	for start := f.now; ; f.now += step {
		if elapsed := f.now - start; elapsed >= limit || done() {
			return elapsed
		}
		for _, m := range f.members {
			f.stepMember(m, step)
		}
		if f.now%tick == 0 {
			f.decide()
		}
	}
}

// decide runs the controller on the merged sums and stores its plan, if any.
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

// stepMember completes a gateway's attempts that are due, may start a new one, and sends its digest
// if that is due.
func (f *fleet) stepMember(gateway *member, step time.Duration) {
	gateway.inFlight = slices.DeleteFunc(gateway.inFlight, func(a attempt) bool {
		if f.now < a.endsAt {
			return false
		}
		gateway.recorder.AddResult(f.now, a.zone, a.server, a.outcome, a.duration)
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
	if f.random.IntN(digestsPerLoss) > 0 {
		f.merger.Add(gateway.digest)
	}
}

// selectEndpoints selects a gateway's endpoints according to the latest plan.
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

// sendAttempt starts an attempt for one request, or sheds the request.
func (f *fleet) sendAttempt(gateway *member) {
	if gateway.planCount != len(f.plans) || gateway.subset.NeedsSelection(f.now) {
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
	sent.duration = time.Duration(50+f.random.IntN(200)) * time.Millisecond
	sent.outcome = policy.Answered
	switch {
	case f.firstZoneDown && server.Zone == 0 && f.downServersSilent:
		sent.duration = 3 * time.Second
		sent.outcome = policy.TimedOut
	case f.firstZoneDown && server.Zone == 0:
		sent.duration = time.Millisecond
		sent.outcome = policy.ConnectFailed
	case gateway.allAttemptsFail || f.random.Float64() < f.errorRate:
		sent.duration = 5 * time.Millisecond
		sent.outcome = policy.Errored
	}
	sent.endsAt = f.now + sent.duration
	f.attempts[server.Zone]++
	gateway.subset.CountAttempt(f.now)
	gateway.recorder.AddAttempt(f.now, server.Zone, 1, true)
	gateway.inFlight = append(gateway.inFlight, sent)
}
