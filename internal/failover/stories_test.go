package failover

// What a situation leads to stands in situations.toml; here are those that take their course over time.

import (
	"testing"
	"time"
)

// calm is a world that has settled, all near.
func calm(t *testing.T, gateways int) *world {
	t.Helper()
	w := three(gateways)
	w.run(6 * time.Second)
	for i := range w.halls {
		w.want(t, "near", w.share(i, i), 1, 1)
	}
	return w
}

// Coming back goes by steps, a least stay apart, though all its servers are ready at once.
func TestComingBackGoesBySteps(t *testing.T) {
	w := calm(t, 3)
	w.sound[0] = 0
	w.run(5 * time.Second)
	w.sound[0] = 1
	at, was := time.Duration(0), w.share(0, 0)
	for w.share(0, 0) < 1 && w.now < 5*time.Minute {
		w.run(tick)
		if is := w.share(0, 0); is != was {
			if is > was+0.26 || at > 0 && w.now-at < 10*time.Second {
				t.Errorf("from %.2f to %.2f after %v", was, is, w.now-at)
			}
			at, was = w.now, is
		}
	}
	w.want(t, "back", w.share(0, 0), 1, 1)
	w.want(t, "seconds that took", w.now.Seconds(), 30, 80)
}

// A link between two halls is lost while others reach both: what used it goes elsewhere, nothing else moves.
func TestLinkLostIsNoHallLost(t *testing.T) {
	w := calm(t, 3)
	w.sound[0] = 0
	w.run(15 * time.Second)
	w.cut[[2]int{0, 1}] = true
	w.run(3 * time.Second)
	w.want(t, "over the lost link", w.share(0, 1), 0, 0)
	w.want(t, "elsewhere", w.share(0, 2), 0.55, 0.61)
	w.want(t, "b at home", w.share(1, 1), 1, 1)
	w.want(t, "c at home", w.share(2, 2), 1, 1)
}

// quiet lets a world go on and wants no task moved.
func quiet(t *testing.T, w *world, span time.Duration) {
	t.Helper()
	w.run(span)
	for i := range w.halls {
		w.want(t, "near", w.share(i, i), 1, 1)
	}
}

// One gateway sees no hall answer and has an empty list: its word moves nothing, of two as of ten.
func TestOneBlindGatewayMovesNothing(t *testing.T) {
	for _, n := range []int{2, 3, 10} {
		w := calm(t, n)
		w.blind[0] = true
		quiet(t, w, 30*time.Second)
	}
}

// A digest held back for long brings much of one gateway's word at once.
func TestDigestsThatComeAtOnceMoveNothing(t *testing.T) {
	w := calm(t, 3)
	for range 20 {
		for _, to := range w.halls {
			w.add("judged\x1fa\x1f"+to+"\x1f0", 5000)
		}
		w.add("time\x1fa", 5000)
		w.add("let\x1fa", 5000*50.0/3)
		quiet(t, w, 3*time.Second)
	}
}

// Gateways that stand, or can't reach a voter, tell nothing: nothing moves, and what they push is remembered.
func TestStandingGatewaysMoveNothing(t *testing.T) {
	w := calm(t, 3)
	w.mute[1] = true
	quiet(t, w, 10*time.Second)
	w.sound[0] = 0
	w.run(2 * time.Second)
	w.want(t, "load at b", w.load(1), 60, 83) // what is remembered fades by a percent in three seconds
}

// A flood at a hall that is well overflows only above the utilisation asked for.
func TestFloodOverflowsOnlyAboveTheMost(t *testing.T) {
	w := calm(t, 3)
	w.demand[0] = 78
	quiet(t, w, 20*time.Second)
	w.demand[0] = 120
	w.run(25 * time.Second)
	w.want(t, "home", w.load(0), 78, 85)
	w.want(t, "b", w.load(1), 75, 80.01)
	moves := 0
	for i, p := range w.plans[1:] {
		if p.plan.Rows["a"]["a"] != w.plans[i].plan.Rows["a"]["a"] {
			moves++
		}
	}
	if moves > 4 {
		t.Errorf("%d moves in a flood", moves)
	}
}

// A receiver fails while the hall that sends to it rests: that hall flees again at once, and only from it.
func TestReceiverThatFailsIsRelievedAtOnce(t *testing.T) {
	w := calm(t, 3)
	w.sound[0] = 0
	w.run(2 * time.Second)
	w.sound[1] = 0
	w.run(2 * time.Second)
	w.want(t, "to b", w.share(0, 1), 0, 0)
	w.want(t, "load at c", w.load(2), 79, 80.01)
}

// A new leader has no clock of the old: who rested goes on resting for a whole stay from its start.
func TestNewLeaderKeepsTheRest(t *testing.T) {
	w := calm(t, 3)
	w.sound[0] = 0
	w.run(2 * time.Second)
	w.sound[0] = 1
	w.run(2 * time.Second)
	w.lead()
	w.now += time.Hour
	was := w.share(0, 0)
	w.run(9900 * time.Millisecond)
	w.want(t, "home within the stay", w.share(0, 0), was, was)
	w.run(8 * time.Second)
	w.want(t, "home after it", w.share(0, 0), was+0.2, was+0.26)
}
