package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// crowded is three halls at three fifths of their strength, of whose tries four in five come through one from second 4 to 14.
func crowded(how string, troubles ...scenario.Trouble) *scenario.World {
	w := threeHalls(how, append(troubles, scenario.Trouble{
		Kind: "crowd", At: span(4 * time.Second),
		For: span(10 * time.Second), Part: 0.7,
	})...)
	w.Load.Rate = 400
	return w
}

// A hall that more comes in at than it bears: its gateways turn the rest away before any push, so that pushes tell
// nothing of it. It goes to other halls all the same, and those are not pushed over for it.
func TestACrowdedHallOverflows(t *testing.T) {
	t.Parallel()
	r := play(t, crowded(scenario.All), 1, baseline.Module)
	if part := float64(r.Crossed) / float64(r.Pushes); part < 0.12 || part > 0.3 {
		t.Errorf("%.3f of the pushes go to another hall", part)
	}
	if refused := float64(r.Refused+r.Failed) / float64(r.Offered); refused > 0.04 {
		t.Errorf("%.3f of the requests get no answer", refused)
	}
	if r.Wrong > 0 || r.Warmest > 1.05 {
		t.Errorf("%d wrong; over five seconds a hall gets %.2f of what it can do", r.Wrong, r.Warmest)
	}
}

// One customer floods a crowded hall with many times what the hall bears, nearly all of it beyond its quota: that is no
// demand, and nothing moves.
func TestAFloodBeyondQuotaMovesNothing(t *testing.T) {
	t.Parallel()
	w := crowded(scenario.All, scenario.Trouble{
		Kind: "flood", Plan: "enterprise", Size: 20, At: span(4 * time.Second),
		For: span(10 * time.Second),
	})
	w.Load.Rate = 150
	p := &w.Plans[2]
	p.Customers, p.Rate, p.Burst = 1, 20, 40
	r := play(t, w, 1, baseline.Module)
	if r.Crossed > 0 || r.Wrong > 0 {
		t.Errorf("%d of %d pushes go to another hall; %d wrong", r.Crossed, r.Pushes, r.Wrong)
	}
	if r.Offered < 8000 || r.Refused+r.Failed < r.Offered/2 {
		t.Errorf("%d requests, of which %d and %d were not served, are no flood", r.Offered, r.Refused, r.Failed)
	}
}
