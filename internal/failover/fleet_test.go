package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/upstream/subset"
	"harrierhoist/internal/zonestats"
	"harrierhoist/policy"
)

// fleet is the program's own witnesses, digests each 200 ms of which one in twenty is lost, the book, the decider, and
// the pools that act on its plans. Servers and the module are emulated: each gateway pushes at a steady rate to a server of
// its part, drawn by lot of those that have not failed within a second.
type fleet struct {
	random     *rand.Rand
	rate       float64 // pushes a second of each gateway
	zoneDown   bool    // the first hall
	errors     float64 // part of all pushes that fail anywhere
	silent     bool    // dead servers say nothing, in place of refusing
	now        time.Duration
	members    []*member
	merger     *observation.Merger
	controller *Controller
	entry      statemachine.Table
	plans      []*Plan
	endpoints  []subset.Candidate
	attempts   [3]int // pushes by hall since counted anew
}

type member struct {
	zone        int
	allFail     bool // all that it pushes fails
	recorder    *zonestats.Recorder
	subset      *subset.Subset
	endpoints   []policy.Endpoint
	planCount   int // of the plan that the part is of, by number
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

func newFleet(seed uint64, gateways int, rate float64) *fleet {
	fl := &fleet{random: rand.New(rand.NewPCG(seed, 9)), rate: rate, now: time.Hour, merger: observation.NewMerger()}
	fx := threeZones(0)
	fx.settings.Capacity = 2 * float64(gateways) * rate / 14 // all halls at half of what they bear
	fl.controller = New(fx.settings, fx.lease)
	var list []policy.Endpoint
	for i := range 42 {
		list = append(list, policy.Endpoint{Server: uint32(i), State: policy.Ready, Zone: i % 3, Rack: i})
		fl.endpoints = append(fl.endpoints, subset.Candidate{NameHash: subset.HashName(fmt.Sprint(i)), Endpoint: list[i]})
	}
	for i := range 3 * gateways {
		m := &member{zone: i % 3, planCount: -1, subset: subset.New(i, 3*gateways, 15*time.Second), failedUntil: map[uint32]time.Duration{},
			recorder: zonestats.New(fx.zones, i%3, &policy.Settings{})}
		m.digest = observation.Digest{Process: fmt.Sprint(i), Incarnation: 1}
		m.nextDigest = fl.now + time.Duration(fl.random.IntN(200))*time.Millisecond
		m.recorder.SetEndpoints(fl.now, list)
		fl.members = append(fl.members, m)
	}
	return fl
}

// runUntil lets the fleet go on until a condition holds or a time is over, and tells how long that was.
func (fl *fleet) runUntil(most time.Duration, done func() bool) time.Duration {
	const step = 10 * time.Millisecond
	for start := fl.now; ; fl.now += step {
		if took := fl.now - start; took >= most || done() {
			return took
		}
		for _, m := range fl.members {
			fl.stepMember(m, step)
		}
		if fl.now%tick != 0 {
			continue
		}
		seen := coordination.ControllerInput{Sums: fl.merger.Sums(), Table: func(string) statemachine.Table { return fl.entry }}
		if value, write := fl.controller.Decide(fl.now, seen); write {
			plan, _ := DecodePlan(value)
			fl.entry = statemachine.Table{Epoch: fl.entry.Epoch + 1, Value: value}
			fl.plans = append(fl.plans, plan)
		}
	}
}

func (fl *fleet) stepMember(m *member, step time.Duration) {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(p attempt) bool {
		if fl.now >= p.ends {
			m.recorder.AddResult(fl.now, p.zone, p.server, p.outcome, p.took)
			if p.outcome != policy.Answered {
				m.failedUntil[p.server] = fl.now + time.Second
			}
		}
		return fl.now >= p.ends
	})
	if fl.random.Float64() < fl.rate*step.Seconds() {
		fl.sendAttempt(m)
	}
	if fl.now < m.nextDigest {
		return
	}
	m.nextDigest += 200 * time.Millisecond
	m.digest.Serial++
	m.digest.Counts = map[string]uint64{}
	m.recorder.WriteCounts(fl.now, func(name string, n uint64) { m.digest.Counts[name] = n })
	if fl.random.IntN(20) > 0 {
		fl.merger.Add(m.digest)
	}
}

// sendAttempt has a task pushed, or shed.
func (fl *fleet) sendAttempt(m *member) {
	if m.planCount != len(fl.plans) || m.subset.IsDue(fl.now) {
		m.planCount = len(fl.plans)
		part := Assignment{Weights: map[string]float64{fl.controller.zones[m.zone]: 1}}
		if m.planCount > 0 {
			part = fl.plans[m.planCount-1].Assignment(fl.controller.zones[m.zone])
		}
		weights := make([]float64, 3)
		for i, zone := range fl.controller.zones {
			weights[i] = part.Weights[zone]
		}
		m.subset.SetWeights(weights, part.Shed)
		m.endpoints, _ = m.subset.Select(fl.now, fl.endpoints)
	}
	if m.subset.ShouldShed() {
		m.recorder.AddShed(1)
		return
	}
	from := slices.DeleteFunc(slices.Clone(m.endpoints), func(l policy.Endpoint) bool { return fl.now < m.failedUntil[l.Server] })
	if len(from) == 0 {
		from = m.endpoints
	}
	to := from[fl.random.IntN(len(from))]
	p := attempt{to.Server, to.Zone, 0, time.Duration(50+fl.random.IntN(200)) * time.Millisecond, policy.Answered}
	switch {
	case fl.zoneDown && to.Zone == 0 && fl.silent:
		p.took, p.outcome = 3*time.Second, policy.TimedOut
	case fl.zoneDown && to.Zone == 0:
		p.took, p.outcome = time.Millisecond, policy.ConnectFailed
	case m.allFail || fl.random.Float64() < fl.errors:
		p.took, p.outcome = 5*time.Millisecond, policy.Errored
	}
	p.ends = fl.now + p.took
	fl.attempts[to.Zone]++
	m.subset.CountAttempt(fl.now)
	m.recorder.AddAttempt(fl.now, to.Zone, 1, true)
	m.inFlight = append(m.inFlight, p)
}

// A hall that is lost whole moves the plan within some two seconds, before it is written and heard of, also where each
// gateway has two pushes a second; and nothing moves before.
func TestController_timeFromZoneLossToPlan(t *testing.T) {
	for _, k := range []struct {
		gateways int
		rate     float64
		silent   bool
	}{{2, 20, false}, {2, 20, true}, {10, 2, false}, {10, 10, true}} {
		t.Run(fmt.Sprintf("%d gateways of %.0f a second, silent %v", 3*k.gateways, k.rate, k.silent), func(t *testing.T) {
			t.Parallel()
			var took []time.Duration
			for seed := range uint64(30) {
				fl := newFleet(seed, k.gateways, k.rate)
				fl.runUntil(8*time.Second, func() bool { return false })
				for _, plan := range fl.plans {
					if !plan.isLocal("a") || !plan.isLocal("b") || !plan.isLocal("c") {
						t.Fatalf("seed %d: moved in a calm", seed)
					}
				}
				fl.zoneDown, fl.silent = true, k.silent
				moved := func() bool { return len(fl.plans) > 0 && !fl.plans[len(fl.plans)-1].isLocal("a") }
				took = append(took, fl.runUntil(8*time.Second, moved))
			}
			slices.Sort(took)
			t.Logf("p50 %v, most of 30 %v", took[15], took[29])
			if took[29] > 2100*time.Millisecond {
				t.Errorf("took %v", took[29])
			}
		})
	}
}

// Calm days have failures too: a part of all pushes fails, one gateway fails in all of them, and nothing moves.
func TestController_usualFailuresMoveNothing(t *testing.T) {
	for _, gateways := range []int{2, 3, 10} {
		for seed := range uint64(10) {
			fl := newFleet(seed, gateways, 5)
			fl.errors = 0.02
			fl.members[seed%3].allFail = true
			fl.runUntil(20*time.Second, func() bool { return false })
			for _, plan := range fl.plans {
				if !plan.isLocal("a") || !plan.isLocal("b") || !plan.isLocal("c") {
					t.Errorf("%d gateways in a hall, seed %d: %v (%v)", gateways, seed, plan.Rows, plan.Reasons)
				}
			}
		}
	}
}

// A hall is lost for a minute and comes back: the trial alone shows that it did, its tasks come back in steps, and on
// the way no hall is pushed over.
func TestController_lossAndRecoveryThroughSubsets(t *testing.T) {
	for _, gateways := range []int{2, 10} {
		t.Run(fmt.Sprint(3*gateways), func(t *testing.T) {
			t.Parallel()
			fl := newFleet(3, gateways, 10)
			never := func() bool { return false }
			fl.runUntil(8*time.Second, never)
			fl.zoneDown = true
			fl.runUntil(4*time.Second, never)
			fl.attempts = [3]int{}
			fl.runUntil(56*time.Second, never)
			bears := fl.controller.settings.Capacity * 14 * 56
			for zone, n := range fl.attempts {
				t.Logf("hall %d at %.2f", zone, float64(n)/bears)
				if float64(n) > 0.82*bears || zone > 0 && float64(n) < 0.6*bears {
					t.Errorf("hall %d at %.2f", zone, float64(n)/bears)
				}
			}
			if n := len(fl.plans); n > 15 {
				t.Errorf("%d plans", n)
			}
			fl.zoneDown = false
			took := fl.runUntil(3*time.Minute, func() bool { return fl.plans[len(fl.plans)-1].isLocal("a") })
			if t.Logf("back after %v", took); took < 30*time.Second || took > 90*time.Second {
				t.Errorf("back after %v", took)
			}
		})
	}
}
