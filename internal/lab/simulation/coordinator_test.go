package simulation

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/failover"
	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// threeHalls is a world of three halls in two regions, decided as said.
func threeZones(how string, troubles ...scenario.Fault) *scenario.Scenario {
	spec := smallScenario(troubles...)
	spec.Length = span(16 * time.Second)
	spec.Gateways.Count, spec.Gateways.Zones, spec.Gateways.Regions = 12, 3, [][]int{{0, 1}, {2}}
	spec.Servers.Count, spec.Load.Rate = 18, 250
	for i := range spec.Plans {
		spec.Plans[i].Rate, spec.Plans[i].Burst, spec.Plans[i].CeilingRate = 0, 0, 0
	}
	spec.Coordination.Mode = how
	return spec
}

func zoneLossFault(hall int, at, long time.Duration) scenario.Fault {
	return scenario.Fault{Kind: "hall_lost", Zone: hall, Start: span(at), Duration: span(long)}
}

// A hall is lost: who decides in common pushes elsewhere within two seconds, next door before another region; on a
// calm day all is pushed near, which the program as it is does not do.
func TestCoordination_lostZoneIsLeftWithinTwoSeconds(t *testing.T) {
	t.Parallel()
	calm, plain := mustRun(t, threeZones(scenario.CoordinationShared), 1, baseline.Module), mustRun(t, threeZones(scenario.CoordinationNone), 1, baseline.Module)
	if part := float64(calm.CrossZone) / float64(calm.Attempts); part > 0.02 || calm.WrongPlans > 0 {
		t.Errorf("calm: %.3f between halls, %d wrong", part, calm.WrongPlans)
	}
	if plain.Plans != 0 || plain.CrossZone*3 < plain.Attempts || plain.Offered != calm.Offered ||
		plain.DueValue != calm.DueValue {
		t.Errorf("as it is: %d plans, %d of %d crossed, %d and %d offered", plain.Plans, plain.CrossZone, plain.Attempts,
			plain.Offered, calm.Offered)
	}
	if m := calm.VoterMessages; m.Digests < 12*5*15 || m.Digests > 12*5*16 || calm.LeaderMessages.MergedDigests < 2*10*15 ||
		calm.LeaderMessages.MergedDigests > 2*10*16 {
		t.Errorf("12 gateways and two voters, five and ten messages a second for 16 s: %+v, leader %+v", m, calm.LeaderMessages)
	}
	lost := mustRun(t, threeZones(scenario.CoordinationShared, zoneLossFault(0, 4*time.Second, 6*time.Second)), 1, baseline.Module)
	if len(lost.FailoverMs) != 4 || slices.Max(lost.FailoverMs) > 2000 || lost.WrongPlans > 0 {
		t.Errorf("gateways left after %v ms; %d wrong", lost.FailoverMs, lost.WrongPlans)
	}
	if lost.CrossRegion*3 > lost.CrossZone || lost.CrossZone*10 < lost.Attempts {
		t.Errorf("%d crossed, %d of them to another region, of %d", lost.CrossZone, lost.CrossRegion, lost.Attempts)
	}
}

// Voters that are cut off, killed and unheard must never have a gateway act on a plan whose lease, told from when it
// asked, is over, nor hold one that was not written; and once all is well again all act on the latest.
func TestCoordination_noGatewayActsOnAPlanAfterItsLease(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		spec := threeZones(scenario.CoordinationShared, zoneLossFault(0, 3*time.Second, 8*time.Second),
			scenario.Fault{Kind: "leader_lost", Start: span(4 * time.Second), Duration: span(2 * time.Second)},
			scenario.Fault{Kind: "hall_cut", Zone: 1, Start: span(5 * time.Second), Duration: span(4 * time.Second)},
			scenario.Fault{Kind: "hall_cut", Zone: 2, Start: span(6 * time.Second), Duration: span(4 * time.Second)},
			scenario.Fault{Kind: "standstill", Fraction: 0.3, Start: span(5 * time.Second), Duration: span(3 * time.Second)},
			scenario.Fault{Kind: "kill", Fraction: 0.3, Start: span(7 * time.Second), Duration: span(time.Second)})
		spec.Coordination.MessageLoss = 0.1
		e, err := newEngine(spec, seed, baseline.Module)
		if err != nil {
			t.Fatal(err)
		}
		over, holding, written := 0, 0, uint64(0)
		stood := map[uint64]time.Duration{} // until when each epoch was the latest
		for now := origin; now < origin+spec.Length.D(); now += 50 * time.Millisecond {
			e.clock.RunUntil(now)
			for past := e.coordinator.table.Epoch; past > 0 && stood[past-1] == 0; past-- {
				stood[past-1] = now
			}
			if now < origin+spec.Length.D()-spec.Coordination.Lease.D() {
				written = e.coordinator.table.Epoch
			}
			for _, f := range e.coordinator.followers {
				if !f.gateway.alive || e.clock.Now() < f.gateway.pausedUntil {
					continue
				}
				if f.cached.Epoch > e.coordinator.table.Epoch || f.cached.LeaseEnd > e.clock.Now()+spec.Coordination.Lease.D() {
					t.Fatalf("seed %d: gateway %d holds epoch %d of %d until %v at %v", seed, f.index, f.cached.Epoch,
						e.coordinator.table.Epoch, f.cached.LeaseEnd, e.clock.Now())
				}
				if f.cached.LeaseEnd > e.clock.Now() {
					if end := stood[f.cached.Epoch]; end > 0 && now-end > spec.Coordination.Lease.D() {
						t.Fatalf("seed %d: gateway %d acts on epoch %d, %v after the next", seed, f.index, f.cached.Epoch, now-end)
					}
					continue
				}
				over++
				if f.expireSteering(); !followsFallback(t, f) { // as with its next task
					t.Fatalf("seed %d: at %v gateway %d acts on %v after its lease", seed, e.clock.Now()-origin, f.index, f.steering)
				}
			}
		}
		if over == 0 {
			t.Fatalf("seed %d: no lease ended, nothing was shown", seed)
		}
		for _, f := range e.coordinator.followers {
			if f.cached.LeaseEnd > e.clock.Now() && f.cached.Epoch < written {
				t.Errorf("seed %d: at the end gateway %d holds epoch %d, and %d stood a lease ago", seed, f.index, f.cached.Epoch,
					written)
			}
			if f.cached.LeaseEnd > e.clock.Now() {
				holding++
			}
		}
		if holding < len(e.coordinator.followers)*2/3 { // messages are still lost: some wait for their next read
			t.Errorf("seed %d: at the end %d gateways hold a lease", seed, holding)
		}
	}
}

// alone tells whether a gateway acts as the plan it last held has it act by itself, its own hall lost or not.
func followsFallback(t *testing.T, f *follower) bool {
	p, err := failover.DecodePlan(f.cached.Value)
	if err != nil {
		t.Fatal(err)
	}
	for _, lost := range []bool{false, true} {
		part, same := p.FallbackAssignment(f.coordinator.zones[f.gateway.zone], lost), true
		for n, hall := range f.coordinator.zones {
			same = same && f.steering.Weights[n] == part.Weights[hall]
		}
		if same && f.steering.ShedFraction == part.Shed {
			return true
		}
	}
	return false
}

func TestCoordination_sameSeedGivesTheSameRun(t *testing.T) {
	t.Parallel()
	for _, how := range []string{scenario.CoordinationLocal, scenario.CoordinationShared} {
		var texts [2]string
		for i := range texts {
			spec := threeZones(how, zoneLossFault(1, 3*time.Second, 5*time.Second),
				scenario.Fault{Kind: "leader_lost", Start: span(4 * time.Second), Duration: span(2 * time.Second)})
			spec.Coordination.MessageLoss, spec.Gateways.Subset = 0.05, true
			text, _ := json.Marshal(mustRun(t, spec, 3, baseline.Module))
			texts[i] = string(text)
		}
		if texts[0] != texts[1] {
			t.Errorf("%s: two plays differ", how)
		}
	}
}
