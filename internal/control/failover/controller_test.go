package failover

// The tests in this file cover scenarios in which faults change over time. Scenarios with a fixed
// set of faults are in situations.toml.

import (
	"testing"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

// settledSimulation returns a simulation of three zones without faults. It has run long enough for
// a first plan, in which all zones serve locally.
func settledSimulation(t *testing.T, gateways int) *simulation {
	t.Helper()
	sim := threeZones(gateways)
	wantNoMove(t, sim, 6*time.Second)
	return sim
}

// wantNoMove runs the simulation for a span and fails the test if a zone no longer serves all of
// its requests locally.
func wantNoMove(t *testing.T, sim *simulation, span time.Duration) {
	t.Helper()
	sim.run(span)
	for zone := range sim.zones {
		sim.wantInRange(t, "local share", sim.share(zone, zone), 1, 1)
	}
}

// TestController_recoversInSteps checks that requests return to a recovered zone in steps that are
// at least a hold-down apart, although all of its servers become ready at the same time.
func TestController_recoversInSteps(t *testing.T) {
	sim := settledSimulation(t, 3)
	sim.healthy[0] = 0
	sim.run(5 * time.Second)
	sim.healthy[0] = 1
	movedAt, before := time.Duration(0), sim.share(0, 0)
	for sim.share(0, 0) < 1 && sim.now < 5*time.Minute {
		sim.run(tick)
		if current := sim.share(0, 0); current != before {
			if current > before+0.26 || movedAt > 0 && sim.now-movedAt < 10*time.Second {
				t.Errorf("from %.2f to %.2f after %v", before, current, sim.now-movedAt)
			}
			movedAt, before = sim.now, current
		}
	}
	sim.wantInRange(t, "recovered share", sim.share(0, 0), 1, 1)
	sim.wantInRange(t, "end of the recovery in seconds", sim.now.Seconds(), 30, 80)
}

// TestController_lostLinkMovesOnlyItsRequests checks that the loss of a link to a zone that other
// zones still reach moves only the requests that used the link.
func TestController_lostLinkMovesOnlyItsRequests(t *testing.T) {
	sim := settledSimulation(t, 3)
	sim.healthy[0] = 0
	sim.run(15 * time.Second)
	sim.lostLinks[[2]int{0, 1}] = true
	sim.run(3 * time.Second)
	sim.wantInRange(t, "share over the lost link", sim.share(0, 1), 0, 0)
	sim.wantInRange(t, "share of the remaining zone", sim.share(0, 2), 0.55, 0.61)
	sim.wantInRange(t, "local share of b", sim.share(1, 1), 1, 1)
	sim.wantInRange(t, "local share of c", sim.share(2, 2), 1, 1)
}

// TestController_oneBlindGatewayMovesNothing checks that no request moves if a single gateway of a
// zone gets no answer from any zone and has an empty endpoint list.
func TestController_oneBlindGatewayMovesNothing(t *testing.T) {
	for _, gateways := range []int{2, 3, 10} {
		sim := settledSimulation(t, gateways)
		sim.blindGateway[0] = true
		wantNoMove(t, sim, 30*time.Second)
	}
}

// TestController_lateDigestsMoveNothing checks that no request moves if a late digest adds several
// seconds of one gateway's observations at the same time.
func TestController_lateDigestsMoveNothing(t *testing.T) {
	sim := settledSimulation(t, 3)
	for range 20 {
		for _, toZone := range sim.zones {
			sim.addCount(zonestats.HealthTimeName("a", toZone, zonestats.Lost), 5000)
		}
		sim.addCount(zonestats.AwakeTimeName("a"), 5000)
		sim.addCount(zonestats.AdmittedName("a"), 5000*50.0/3)
		wantNoMove(t, sim, 3*time.Second)
	}
}

// TestController_silentGatewaysMoveNothing checks that no request moves if a zone's gateways report
// nothing, for example because they are paused or cannot reach a voter, and that the estimate of
// their demand is kept.
func TestController_silentGatewaysMoveNothing(t *testing.T) {
	sim := settledSimulation(t, 3)
	sim.silent[1] = true
	wantNoMove(t, sim, 10*time.Second)
	sim.healthy[0] = 0
	sim.run(2 * time.Second)
	sim.wantInRange(t, "load at b", sim.load(1), 60, 83) // the estimate falls by 1% in three seconds
}

// TestController_overflowsOnlyAboveMaxUtilisation checks that a healthy zone sends only the demand
// above its maximum utilisation to other zones.
func TestController_overflowsOnlyAboveMaxUtilisation(t *testing.T) {
	sim := settledSimulation(t, 3)
	sim.demand[0] = 78
	wantNoMove(t, sim, 20*time.Second)
	sim.demand[0] = 120
	sim.run(25 * time.Second)
	sim.wantInRange(t, "load at a", sim.load(0), 78, 85)
	sim.wantInRange(t, "load at b", sim.load(1), 75, 80.01)
	moves := 0
	for i, written := range sim.plans[1:] {
		if written.plan.Rows["a"]["a"] != sim.plans[i].plan.Rows["a"]["a"] {
			moves++
		}
	}
	if moves > 4 {
		t.Errorf("%d moves during the overload, want 4 at most", moves)
	}
}

// TestController_failingReceiverIsRelievedDuringHoldDown checks that the requests of a zone in
// hold-down move away from a failing receiver without waiting for the end of the hold-down, and
// that the requests of no other zone move.
func TestController_failingReceiverIsRelievedDuringHoldDown(t *testing.T) {
	sim := settledSimulation(t, 3)
	sim.healthy[0] = 0
	sim.run(2 * time.Second)
	sim.healthy[1] = 0
	sim.run(2 * time.Second)
	sim.wantInRange(t, "share of b", sim.share(0, 1), 0, 0)
	sim.wantInRange(t, "load at c", sim.load(2), 79, 80.01)
}

// TestController_newLeaderKeepsHoldDown checks that a new leader keeps zones that are in hold-down
// in it for a full hold-down from its own start.
func TestController_newLeaderKeepsHoldDown(t *testing.T) {
	sim := settledSimulation(t, 3)
	sim.healthy[0] = 0
	sim.run(2 * time.Second)
	sim.healthy[0] = 1
	sim.run(2 * time.Second)
	sim.newLeader()
	sim.now += time.Hour
	before := sim.share(0, 0)
	sim.run(9900 * time.Millisecond)
	sim.wantInRange(t, "local share within the hold-down", sim.share(0, 0), before, before)
	sim.run(8 * time.Second)
	sim.wantInRange(t, "local share after it", sim.share(0, 0), before+0.2, before+0.26)
}
