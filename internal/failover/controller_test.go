package failover

// What a situation leads to stands in situations.toml; here are those that take their course over time.

import (
	"testing"
	"time"
)

// calmFixture is a world that has settled, all near.
func calmFixture(t *testing.T, gateways int) *fixture {
	t.Helper()
	fx := threeZones(gateways)
	fx.run(6 * time.Second)
	for i := range fx.zones {
		fx.wantBetween(t, "near", fx.share(i, i), 1, 1)
	}
	return fx
}

// Coming back goes by steps, a least stay apart, though all its servers are ready at once.
func TestController_recoversInSteps(t *testing.T) {
	fx := calmFixture(t, 3)
	fx.healthy[0] = 0
	fx.run(5 * time.Second)
	fx.healthy[0] = 1
	at, was := time.Duration(0), fx.share(0, 0)
	for fx.share(0, 0) < 1 && fx.now < 5*time.Minute {
		fx.run(tick)
		if current := fx.share(0, 0); current != was {
			if current > was+0.26 || at > 0 && fx.now-at < 10*time.Second {
				t.Errorf("from %.2f to %.2f after %v", was, current, fx.now-at)
			}
			at, was = fx.now, current
		}
	}
	fx.wantBetween(t, "back", fx.share(0, 0), 1, 1)
	fx.wantBetween(t, "seconds that took", fx.now.Seconds(), 30, 80)
}

// A link between two halls is lost while others reach both: what used it goes elsewhere, nothing else moves.
func TestController_lostLinkIsNoLostZone(t *testing.T) {
	fx := calmFixture(t, 3)
	fx.healthy[0] = 0
	fx.run(15 * time.Second)
	fx.lostLinks[[2]int{0, 1}] = true
	fx.run(3 * time.Second)
	fx.wantBetween(t, "over the lost link", fx.share(0, 1), 0, 0)
	fx.wantBetween(t, "elsewhere", fx.share(0, 2), 0.55, 0.61)
	fx.wantBetween(t, "b at home", fx.share(1, 1), 1, 1)
	fx.wantBetween(t, "c at home", fx.share(2, 2), 1, 1)
}

// wantNoMove lets a world go on and wants no task moved.
func wantNoMove(t *testing.T, fx *fixture, span time.Duration) {
	t.Helper()
	fx.run(span)
	for i := range fx.zones {
		fx.wantBetween(t, "near", fx.share(i, i), 1, 1)
	}
}

// One gateway sees no hall answer and has an empty list: its word moves nothing, of two as of ten.
func TestController_oneBlindGatewayMovesNothing(t *testing.T) {
	for _, n := range []int{2, 3, 10} {
		fx := calmFixture(t, n)
		fx.blindGateway[0] = true
		wantNoMove(t, fx, 30*time.Second)
	}
}

// A digest held back for long brings much of one gateway's word at once.
func TestController_lateDigestsMoveNothing(t *testing.T) {
	fx := calmFixture(t, 3)
	for range 20 {
		for _, toZone := range fx.zones {
			fx.add("judged\x1fa\x1f"+toZone+"\x1f0", 5000)
		}
		fx.add("time\x1fa", 5000)
		fx.add("let\x1fa", 5000*50.0/3)
		wantNoMove(t, fx, 3*time.Second)
	}
}

// Gateways that stand, or can't reach a voter, tell nothing: nothing moves, and what they push is remembered.
func TestController_silentGatewaysMoveNothing(t *testing.T) {
	fx := calmFixture(t, 3)
	fx.silent[1] = true
	wantNoMove(t, fx, 10*time.Second)
	fx.healthy[0] = 0
	fx.run(2 * time.Second)
	fx.wantBetween(t, "load at b", fx.load(1), 60, 83) // what is remembered fades by a percent in three seconds
}

// A flood at a hall that is well overflows only above the utilisation asked for.
func TestController_overflowsOnlyAboveMaxUtilisation(t *testing.T) {
	fx := calmFixture(t, 3)
	fx.demand[0] = 78
	wantNoMove(t, fx, 20*time.Second)
	fx.demand[0] = 120
	fx.run(25 * time.Second)
	fx.wantBetween(t, "home", fx.load(0), 78, 85)
	fx.wantBetween(t, "b", fx.load(1), 75, 80.01)
	moves := 0
	for i, p := range fx.plans[1:] {
		if p.plan.Rows["a"]["a"] != fx.plans[i].plan.Rows["a"]["a"] {
			moves++
		}
	}
	if moves > 4 {
		t.Errorf("%d moves in a flood", moves)
	}
}

// A receiver fails while the hall that sends to it rests: that hall flees again at once, and only from it.
func TestController_failingReceiverIsRelievedAtOnce(t *testing.T) {
	fx := calmFixture(t, 3)
	fx.healthy[0] = 0
	fx.run(2 * time.Second)
	fx.healthy[1] = 0
	fx.run(2 * time.Second)
	fx.wantBetween(t, "to b", fx.share(0, 1), 0, 0)
	fx.wantBetween(t, "load at c", fx.load(2), 79, 80.01)
}

// A new leader has no clock of the old: who rested goes on resting for a whole stay from its start.
func TestController_newLeaderKeepsHoldDown(t *testing.T) {
	fx := calmFixture(t, 3)
	fx.healthy[0] = 0
	fx.run(2 * time.Second)
	fx.healthy[0] = 1
	fx.run(2 * time.Second)
	fx.newLeader()
	fx.now += time.Hour
	was := fx.share(0, 0)
	fx.run(9900 * time.Millisecond)
	fx.wantBetween(t, "home within the stay", fx.share(0, 0), was, was)
	fx.run(8 * time.Second)
	fx.wantBetween(t, "home after it", fx.share(0, 0), was+0.2, was+0.26)
}
