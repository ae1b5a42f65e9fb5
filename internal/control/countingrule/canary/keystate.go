package canary

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// noFlush is the flushAt of a key for which no flush is scheduled.
const noFlush = 0

// keyState is the state of a counter key on one side of the shadow evaluation.
type keyState struct {
	key             uint64
	plan            policy.Plan
	window          countingrule.Window // of the latest count
	countReadAt     time.Duration       // time of the latest count, or of the key's creation
	remainingUnits  float64             // units that remained at countReadAt
	pendingUnits    float64             // admitted units not yet added to the counter
	flushAt         time.Duration       // when pending units are added without a further request, or noFlush
	lastUsed        time.Duration       // time of the latest request
	carryOverWindow int64               // index of the latest window for which a carry-over was started
}

// isFlushScheduled reports whether a flush of pending units is scheduled.
func (k *keyState) isFlushScheduled() bool { return k.flushAt != noFlush }

// updateFromCount stores a count that was read at a time, and returns the units that remain under
// it. In a new window no more units remain than at the previous window's latest count plus the
// refill since then. This prevents a second burst at a window boundary.
func (k *keyState) updateFromCount(window countingrule.Window, at time.Duration, count float64) float64 {
	remaining := countingrule.Remaining(&k.plan, window, at, count)
	if window.Index > k.window.Index {
		remaining = min(remaining, k.remainingUnits+k.plan.Rate*(at-k.countReadAt).Seconds())
	}
	k.window = window
	k.countReadAt = at
	k.remainingUnits = remaining
	return remaining
}

// estimateRemaining returns the units that remain according to the latest count and the refill
// since then.
func (k *keyState) estimateRemaining(now time.Duration) float64 {
	return min(k.remainingUnits+k.plan.Rate*max(now-k.countReadAt, 0).Seconds(), k.plan.Burst)
}
