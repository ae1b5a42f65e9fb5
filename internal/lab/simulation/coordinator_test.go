package simulation

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// Without a fault, coordinated gateways send nearly all attempts within their zone; gateways without
// coordination do not.
func TestCoordination_calmRunStaysWithinZones(t *testing.T) {
	t.Parallel()
	shared := mustRun(t, threeZones(scenario.CoordinationShared), 1, baseline.Module)
	alone := mustRun(t, threeZones(scenario.CoordinationNone), 1, baseline.Module)
	if part := float64(shared.CrossZone) / float64(shared.Attempts); part > 0.02 || shared.WrongPlans > 0 {
		t.Errorf("coordinated: %.3f of the attempts between zones, %d wrong plans, want 0.02 at most and none", part,
			shared.WrongPlans)
	}
	if alone.Plans != 0 || alone.CrossZone*3 < alone.Attempts {
		t.Errorf("not coordinated: %d plans, %d of %d attempts between zones", alone.Plans, alone.CrossZone,
			alone.Attempts)
	}
	if alone.Offered != shared.Offered || alone.DueValue != shared.DueValue {
		t.Errorf("%d requests of value %.1f are offered without coordination, %d of %.1f with it", alone.Offered,
			alone.DueValue, shared.Offered, shared.DueValue)
	}
	// 12 gateways send five digests a second for 16 s, and two voters merge ten a second.
	digests, merged := shared.VoterMessages.Digests, shared.LeaderMessages.MergedDigests
	if digests < 12*5*15 || digests > 12*5*16 || merged < 2*10*15 || merged > 2*10*16 {
		t.Errorf("%d digests of gateways, %d merged by the leader", digests, merged)
	}
}

// When a zone is lost, coordinated gateways send their attempts elsewhere within two seconds, and to
// the same region before another.
func TestCoordination_lostZoneIsLeftWithinTwoSeconds(t *testing.T) {
	t.Parallel()
	lost := mustRun(t, threeZones(scenario.CoordinationShared, zoneLossFault(0, 4*time.Second, 6*time.Second)), 1,
		baseline.Module)
	if len(lost.FailoverMs) != 4 || slices.Max(lost.FailoverMs) > 2000 || lost.WrongPlans > 0 {
		t.Errorf("failover after %v ms, %d wrong plans, want 2000 ms at most for each of 4 gateways, and none",
			lost.FailoverMs, lost.WrongPlans)
	}
	if lost.CrossRegion*3 > lost.CrossZone || lost.CrossZone*10 < lost.Attempts {
		t.Errorf("%d of %d attempts between zones, %d of them between regions", lost.CrossZone, lost.Attempts,
			lost.CrossRegion)
	}
}

// With voters cut off and killed and with lost messages, no gateway acts on a plan after its lease,
// which counts from the read's sending, or holds a plan that was not written. After the faults the
// gateways act on the latest plan.
func TestCoordination_noGatewayActsOnAPlanAfterItsLease(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		spec := threeZones(scenario.CoordinationShared, zoneLossFault(0, 3*time.Second, 8*time.Second),
			scenario.Fault{Kind: scenario.LeaderLoss, Start: span(4 * time.Second), Duration: span(2 * time.Second)},
			scenario.Fault{
				Kind: scenario.ZoneIsolation, Zone: 1, Start: span(5 * time.Second),
				Duration: span(4 * time.Second),
			},
			scenario.Fault{
				Kind: scenario.ZoneIsolation, Zone: 2, Start: span(6 * time.Second),
				Duration: span(4 * time.Second),
			},
			scenario.Fault{
				Kind: scenario.GatewayPause, Fraction: 0.3, Start: span(5 * time.Second),
				Duration: span(3 * time.Second),
			},
			scenario.Fault{
				Kind: scenario.GatewayKill, Fraction: 0.3, Start: span(7 * time.Second),
				Duration: span(time.Second),
			})
		spec.Coordination.MessageLoss = 0.1
		e, err := newEngine(spec, seed, baseline.Module)
		if err != nil {
			t.Fatal(err)
		}
		w := &leaseWatch{
			engine: e, seed: seed, lease: spec.Coordination.Lease.D(),
			replacedAt: map[uint64]time.Duration{},
		}
		for now := origin; now < origin+spec.Length.D(); now += 50 * time.Millisecond {
			e.clock.RunUntil(now)
			w.observe(now)
			for _, f := range e.coordinator.followers {
				w.checkFollower(t, f, now)
			}
		}
		w.checkEnd(t)
	}
}

// leaseWatch checks the leases of a run from step to step.
type leaseWatch struct {
	engine        *engine
	seed          uint64
	lease         time.Duration
	replacedAt    map[uint64]time.Duration // when an epoch was no longer the latest
	expired       int                      // how often a follower was seen without a lease
	writtenInTime uint64                   // the latest epoch a lease before the end
}

// observe notes which epoch is the latest.
func (w *leaseWatch) observe(now time.Duration) {
	latest := w.engine.coordinator.table.Epoch
	for past := latest; past > 0 && w.replacedAt[past-1] == 0; past-- {
		w.replacedAt[past-1] = now
	}
	if now < origin+w.engine.scenario.Length.D()-w.lease {
		w.writtenInTime = latest
	}
}

// checkFollower checks what a gateway holds and acts on.
func (w *leaseWatch) checkFollower(t *testing.T, f *follower, now time.Duration) {
	t.Helper()
	clock, latest := w.engine.clock.Now(), w.engine.coordinator.table.Epoch
	if !f.gateway.alive || clock < f.gateway.pausedUntil {
		return
	}
	if f.cached.Epoch > latest || f.cached.LeaseEnd > clock+w.lease {
		t.Fatalf("seed %d: gateway %d holds epoch %d of %d until %v at %v", w.seed, f.index, f.cached.Epoch, latest,
			f.cached.LeaseEnd, clock)
	}
	if f.cached.LeaseEnd > clock {
		if end := w.replacedAt[f.cached.Epoch]; end > 0 && now-end > w.lease {
			t.Fatalf("seed %d: gateway %d acts on epoch %d, %v after the next", w.seed, f.index, f.cached.Epoch,
				now-end)
		}
		return
	}
	w.expired++
	if f.expireSteering(); !followsFallback(t, f) { // as with its next request
		t.Fatalf("seed %d: at %v gateway %d acts on %v after its lease", w.seed, clock-origin, f.index, f.steering)
	}
}

// checkEnd checks that leases ended, and that the gateways hold the latest plan again.
func (w *leaseWatch) checkEnd(t *testing.T) {
	t.Helper()
	if w.expired == 0 {
		t.Fatalf("seed %d: no lease ended, nothing was shown", w.seed)
	}
	holding, followers := 0, w.engine.coordinator.followers
	for _, f := range followers {
		if f.cached.LeaseEnd <= w.engine.clock.Now() {
			continue
		}
		holding++
		if f.cached.Epoch < w.writtenInTime {
			t.Errorf("seed %d: at the end gateway %d holds epoch %d, and %d was written a lease ago", w.seed, f.index,
				f.cached.Epoch, w.writtenInTime)
		}
	}
	if holding < len(followers)*2/3 { // messages are still lost: some wait for their next read
		t.Errorf("seed %d: at the end %d of %d gateways hold a lease", w.seed, holding, len(followers))
	}
}

// followsFallback reports whether a gateway acts as its latest plan says for a gateway without a
// lease, its own zone lost or not.
func followsFallback(t *testing.T, f *follower) bool {
	t.Helper()
	plan, err := failover.DecodePlan(f.cached.Value)
	if err != nil {
		t.Fatal(err)
	}
	for _, isLost := range []bool{false, true} {
		fallback := plan.FallbackAssignment(f.coordinator.zones[f.gateway.zone], isLost)
		same := f.steering.ShedFraction == fallback.Shed
		for n, zone := range f.coordinator.zones {
			same = same && f.steering.Weights[n] == fallback.Weights[zone]
		}
		if same {
			return true
		}
	}
	return false
}

func TestCoordination_sameSeedGivesTheSameRun(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{scenario.CoordinationLocal, scenario.CoordinationShared} {
		t.Run(mode, func(t *testing.T) {
			var texts [2]string
			for i := range texts {
				spec := threeZones(mode, zoneLossFault(1, 3*time.Second, 5*time.Second),
					scenario.Fault{
						Kind: scenario.LeaderLoss, Start: span(4 * time.Second),
						Duration: span(2 * time.Second),
					})
				spec.Coordination.MessageLoss, spec.Gateways.Subset = 0.05, true
				text, err := json.Marshal(mustRun(t, spec, 3, baseline.Module))
				if err != nil {
					t.Fatal(err)
				}
				texts[i] = string(text)
			}
			if texts[0] != texts[1] {
				t.Error("two runs with one seed differ")
			}
		})
	}
}
