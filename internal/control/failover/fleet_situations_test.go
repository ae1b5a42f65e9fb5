package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestController_timeFromZoneLossToPlan checks that a plan is written within about two seconds
// after the loss of a whole zone, even if each gateway makes only two attempts a second, and that
// no request moves before the loss.
func TestController_timeFromZoneLossToPlan(t *testing.T) {
	for _, row := range []struct {
		name     string
		gateways int
		rate     float64
		silent   bool
	}{
		{"6 gateways, 20 attempts a second, connections refused", 2, 20, false},
		{"6 gateways, 20 attempts a second, timeouts", 2, 20, true},
		{"30 gateways, 2 attempts a second, connections refused", 10, 2, false},
		{"30 gateways, 10 attempts a second, timeouts", 10, 10, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			var durations []time.Duration
			for seed := range uint64(30) {
				sim := newFleet(seed, row.gateways, row.rate)
				sim.run(8 * time.Second)
				for _, plan := range sim.plans {
					if !plan.isAllLocal() {
						t.Fatalf("seed %d: requests moved before the loss", seed)
					}
				}
				sim.firstZoneDown = true
				sim.downServersSilent = row.silent
				hasMoved := func() bool { return len(sim.plans) > 0 && !sim.plans[len(sim.plans)-1].isLocal("a") }
				durations = append(durations, sim.runUntil(8*time.Second, hasMoved))
			}
			slices.Sort(durations)
			t.Logf("time to the plan: p50 %v, maximum of 30 runs %v", durations[15], durations[29])
			if durations[29] > 2100*time.Millisecond {
				t.Errorf("the slowest plan took %v", durations[29])
			}
		})
	}
}

// TestController_usualFailuresMoveNothing checks that no request moves if a small part of all
// attempts and all attempts of one gateway fail.
func TestController_usualFailuresMoveNothing(t *testing.T) {
	for _, gateways := range []int{2, 3, 10} {
		for seed := range uint64(10) {
			sim := newFleet(seed, gateways, 5)
			sim.errorRate = 0.02
			sim.members[seed%3].allAttemptsFail = true
			sim.run(20 * time.Second)
			for _, plan := range sim.plans {
				if !plan.isAllLocal() {
					t.Errorf("%d gateways per zone, seed %d: requests moved: %v (%v)",
						gateways, seed, plan.Rows, plan.Reasons)
				}
			}
		}
	}
}

// TestController_lossAndRecoveryThroughSubsets checks the loss of a zone for a minute and its
// recovery, with gateways that use subsets of the servers. Probes must suffice to detect the
// recovery, requests must return in steps, and no zone may be overloaded in the meantime.
func TestController_lossAndRecoveryThroughSubsets(t *testing.T) {
	for _, gateways := range []int{2, 10} {
		t.Run(fmt.Sprintf("%d gateways", 3*gateways), func(t *testing.T) {
			t.Parallel()
			sim := newFleet(3, gateways, 10)
			sim.run(8 * time.Second)
			sim.firstZoneDown = true
			sim.run(4 * time.Second)
			sim.attempts = [3]int{}
			sim.run(56 * time.Second)
			capacity := sim.controller.settings.Capacity * (fleetServers / 3) * 56
			for zone, n := range sim.attempts {
				t.Logf("zone %d: utilisation %.2f", zone, float64(n)/capacity)
				if float64(n) > 0.82*capacity || zone > 0 && float64(n) < 0.6*capacity {
					t.Errorf("zone %d: utilisation %.2f out of bounds", zone, float64(n)/capacity)
				}
			}
			if n := len(sim.plans); n > 15 {
				t.Errorf("%d plans written, want 15 at most", n)
			}
			sim.firstZoneDown = false
			elapsed := sim.runUntil(3*time.Minute, func() bool { return sim.plans[len(sim.plans)-1].isLocal("a") })
			t.Logf("recovered after %v", elapsed)
			if elapsed < 30*time.Second || elapsed > 90*time.Second {
				t.Errorf("recovered after %v, want 30s to 90s", elapsed)
			}
		})
	}
}
