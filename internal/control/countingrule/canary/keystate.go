package canary

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// keyState is a key as one side knows it.
type keyState struct {
	key           uint64
	plan          policy.Plan
	window        countingrule.Window
	sampledAt     time.Duration // when the latest count was read
	remaining     float64       // at that time
	pending       float64       // admitted and not yet added to the key's count
	flushAt       time.Duration // when that is added without a request; 0: never
	lastUsed      time.Duration
	carriedWindow int64 // the latest window whose carry-over was begun
}

// observe takes a count and gives what it leaves. A window not seen before starts with no more than what was refilled
// since the latest count of the one before: that protects against two bursts at a window's edge.
func (k *keyState) observe(window countingrule.Window, at time.Duration, count float64) float64 {
	remaining := countingrule.Remaining(&k.plan, window, at, count)
	if window.Index > k.window.Index {
		remaining = min(remaining, k.remaining+k.plan.Rate*(at-k.sampledAt).Seconds())
	}
	k.window, k.sampledAt, k.remaining = window, at, remaining
	return remaining
}

// estimate is what remains without a new count: that of the latest one and what was refilled since.
func (k *keyState) estimate(now time.Duration) float64 {
	return min(k.remaining+k.plan.Rate*max(now-k.sampledAt, 0).Seconds(), k.plan.Burst)
}
