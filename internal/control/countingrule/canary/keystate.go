package canary

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// noFlush is the flushAt of a key that has nothing to be added without a request.
const noFlush = 0

// keyState is a key as one side knows it.
type keyState struct {
	key           uint64
	plan          policy.Plan
	window        countingrule.Window
	sampledAt     time.Duration // when the latest count was read
	remaining     float64       // at that time
	pending       float64       // units admitted and not yet added to the key's count
	flushAt       time.Duration // when these are added without a further request, or noFlush
	lastUsed      time.Duration
	carriedWindow int64 // the latest window whose carry-over was begun
}

// isFlushScheduled tells whether pending units are to be added without a request.
func (k *keyState) isFlushScheduled() bool { return k.flushAt != noFlush }

// observe takes a count and gives the units that it leaves. A window not seen before starts with no
// more than what was refilled since the latest count of the one before. Prevents two bursts at a
// window's edge.
func (k *keyState) observe(window countingrule.Window, at time.Duration, count float64) float64 {
	remaining := countingrule.Remaining(&k.plan, window, at, count)
	if window.Index > k.window.Index {
		remaining = min(remaining, k.remaining+k.plan.Rate*(at-k.sampledAt).Seconds())
	}
	k.window = window
	k.sampledAt = at
	k.remaining = remaining
	return remaining
}

// estimate is how many units remain by the latest count and what was refilled since.
func (k *keyState) estimate(now time.Duration) float64 {
	return min(k.remaining+k.plan.Rate*max(now-k.sampledAt, 0).Seconds(), k.plan.Burst)
}
