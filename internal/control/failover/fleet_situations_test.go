package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestController_timeFromZoneLossToPlan checks that the loss of a whole zone gives a plan within
// some two seconds, also where each gateway makes two attempts a second, and that nothing moves
// before.
func TestController_timeFromZoneLossToPlan(t *testing.T) {
	for _, row := range []struct {
		name     string
		gateways int
		rate     float64
		silent   bool
	}{
		{"6 gateways of 20 a second, refused", 2, 20, false},
		{"6 gateways of 20 a second, silent", 2, 20, true},
		{"30 gateways of 2 a second, refused", 10, 2, false},
		{"30 gateways of 10 a second, silent", 10, 10, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			var took []time.Duration
			for seed := range uint64(30) {
				sim := newFleet(seed, row.gateways, row.rate)
				sim.run(8 * time.Second)
				for _, plan := range sim.plans {
					if !plan.isAllLocal() {
						t.Fatalf("seed %d: moved before the loss", seed)
					}
				}
				sim.zoneDown = true
				sim.silent = row.silent
				hasMoved := func() bool { return len(sim.plans) > 0 && !sim.plans[len(sim.plans)-1].isLocal("a") }
				took = append(took, sim.runUntil(8*time.Second, hasMoved))
			}
			slices.Sort(took)
			t.Logf("p50 %v, longest of 30 %v", took[15], took[29])
			if took[29] > 2100*time.Millisecond {
				t.Errorf("took %v", took[29])
			}
		})
	}
}

// TestController_usualFailuresMoveNothing checks that nothing moves where a small part of all
// attempts fails, and all attempts of one gateway.
func TestController_usualFailuresMoveNothing(t *testing.T) {
	for _, gateways := range []int{2, 3, 10} {
		for seed := range uint64(10) {
			sim := newFleet(seed, gateways, 5)
			sim.errors = 0.02
			sim.members[seed%3].allFail = true
			sim.run(20 * time.Second)
			for _, plan := range sim.plans {
				if !plan.isAllLocal() {
					t.Errorf("%d gateways in a zone, seed %d: %v (%v)", gateways, seed, plan.Rows, plan.Reasons)
				}
			}
		}
	}
}

// TestController_lossAndRecoveryThroughSubsets checks a zone that is lost for a minute and
// recovers: probes alone show that it did, its requests return in steps, and no zone is overloaded
// meanwhile.
func TestController_lossAndRecoveryThroughSubsets(t *testing.T) {
	for _, gateways := range []int{2, 10} {
		t.Run(fmt.Sprintf("%d gateways", 3*gateways), func(t *testing.T) {
			t.Parallel()
			sim := newFleet(3, gateways, 10)
			sim.run(8 * time.Second)
			sim.zoneDown = true
			sim.run(4 * time.Second)
			sim.attempts = [3]int{}
			sim.run(56 * time.Second)
			capacity := sim.controller.settings.Capacity * (fleetServers / 3) * 56
			for zone, n := range sim.attempts {
				t.Logf("zone %d at %.2f", zone, float64(n)/capacity)
				if float64(n) > 0.82*capacity || zone > 0 && float64(n) < 0.6*capacity {
					t.Errorf("zone %d at %.2f", zone, float64(n)/capacity)
				}
			}
			if n := len(sim.plans); n > 15 {
				t.Errorf("%d plans", n)
			}
			sim.zoneDown = false
			took := sim.runUntil(3*time.Minute, func() bool { return sim.plans[len(sim.plans)-1].isLocal("a") })
			t.Logf("recovered after %v", took)
			if took < 30*time.Second || took > 90*time.Second {
				t.Errorf("recovered after %v", took)
			}
		})
	}
}
