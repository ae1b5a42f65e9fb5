package canary

import (
	"time"

	"harrierhoist/internal/countingrule"
	"harrierhoist/policy"
)

// keyState is a key as one side sees it.
type keyState struct {
	key           uint64
	plan          policy.Plan
	window        countingrule.Window
	sampledAt     time.Duration // of the latest total
	remaining     float64       // then
	pending       float64       // let in and not yet brought to the counter
	flushAt       time.Duration // when that goes alone; 0: nothing does
	lastUsed      time.Duration
	carriedWindow int64 // the latest window whose carry we saw to
}

// observe takes a total. A window not seen before starts with no more than what came since the latest look at the one
// before: that guards against two bursts at a window's edge.
func (state *keyState) observe(window countingrule.Window, at time.Duration, count float64) float64 {
	remaining := countingrule.Remaining(&state.plan, window, at, count)
	if window.Index > state.window.Index {
		remaining = min(remaining, state.remaining+state.plan.Rate*(at-state.sampledAt).Seconds())
	}
	state.window, state.sampledAt, state.remaining = window, at, remaining
	return remaining
}

// estimate is the room without a total: that of the latest look and what came since.
func (state *keyState) estimate(now time.Duration) float64 {
	return min(state.remaining+state.plan.Rate*max(now-state.sampledAt, 0).Seconds(), state.plan.Burst)
}

// outstandingCall is a call that is out.
type outstandingCall struct {
	side          int
	state         *keyState
	window        countingrule.Window
	sentAt        time.Duration
	units         float64
	request       *shadowRequest // nil: it brought units alone
	readsPrevious bool           // it read the window before, for what that lacked at its end
}

// shadowRequest is one task on both sides.
type shadowRequest struct {
	request   Request
	pending   int // sides that wait for a total
	admitted  [2]bool
	overLimit float64
	estimated bool
}

// Request is a task as the play sees it.
type Request struct {
	Customer    uint64
	Class, Plan int
	Units       float64
}
