package countingrule

import (
	"time"

	"harrierhoist/policy"
)

// evictionSamples is the number of keys that are compared when space for another is needed.
const evictionSamples = 16

// keyState is this process's estimate of what a key has left.
type keyState struct {
	refilledAt     time.Duration // time up to which refill has added units
	fullAt         time.Duration // time at which refill will have added all that is missing
	remaining      float64       // units left according to the counts read, minus those admitted since
	localRemaining float64       // units left in this process's share of the limit
	windowIndex    int64         // window of the latest reservation that was decided, or noWindow
}

// noWindow is the window index of a key for which no reservation has been decided yet.
const noWindow = -1

// refill adds the units that the plan's rate has made available since the last call.
func (s *keyState) refill(plan *policy.Plan, localShare float64, now time.Duration) {
	refilled := plan.Rate * max(now-s.refilledAt, 0).Seconds()
	s.refilledAt = max(now, s.refilledAt)
	s.remaining = min(s.remaining+refilled, plan.Burst)
	s.localRemaining = min(s.localRemaining+refilled*localShare, plan.Burst*localShare)
}

// updateFullAt sets fullAt, after which the state equals that of a new key.
func (s *keyState) updateFullAt(plan *policy.Plan, localShare float64) {
	missing := max(plan.Burst-s.remaining, plan.Burst-s.localRemaining/localShare)
	s.fullAt = s.refilledAt + time.Duration(missing/plan.Rate*float64(time.Second))
}

// admit reports whether remaining covers the units, and deducts them if it does.
func (s *keyState) admit(remaining, units float64) bool {
	if remaining < units-roundingError {
		return false
	}
	s.remaining -= units
	s.localRemaining = max(s.localRemaining-units, 0)
	return true
}

// keyStateOf returns the state of a reservation's key, or nil if there is no space for a new one. A new
// key starts with its whole burst.
func (a *Admission) keyStateOf(reservation *Reservation) *keyState {
	if state := a.keys[reservation.key]; state != nil {
		return state
	}
	if !a.makeSpace(reservation.reservedAt) {
		return nil
	}
	state := &keyState{
		refilledAt:     reservation.reservedAt,
		remaining:      reservation.plan.Burst,
		localRemaining: reservation.plan.Burst * a.localShare,
		windowIndex:    noWindow,
	}
	a.keys[reservation.key] = state
	return state
}

// makeSpace reports whether there is space for the state of another key. If maxKeys are kept, it
// deletes a full one, if there is one among evictionSamples: its key starts full when it returns.
func (a *Admission) makeSpace(now time.Duration) bool {
	if a.maxKeys <= 0 || len(a.keys) < a.maxKeys {
		return true
	}
	samples := 0
	for key, state := range a.keys { // in random order
		if now >= state.fullAt {
			delete(a.keys, key)
			return true
		}
		samples++
		if samples == evictionSamples {
			break
		}
	}
	return false
}

// sweep deletes the state of keys whose windows have expired at the counter.
func (a *Admission) sweep(now time.Duration) {
	if now <= a.sweptAt+maxTTL {
		return
	}
	a.sweptAt = now
	for key, state := range a.keys {
		if state.refilledAt+maxTTL < now {
			delete(a.keys, key)
		}
	}
}
