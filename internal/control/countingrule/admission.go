package countingrule

import (
	"time"

	"harrierhoist/policy"
)

// Admission admits requests by the keys that they have to pass beside the decision module's own. It adds the units with
// the read of the count, so that what two processes ask at once exceeds no limit, and settles the difference later. It
// protects the limit of a rule that may be in force without this process's knowledge. Its cost: what awaits its answer
// is held as used. Not safe for use by several goroutines at once.
type Admission struct {
	localShare float64              // of a limit that this process uses where the counter does not answer
	keys       map[uint64]*keyState // by key
	sweptAt    time.Duration
}

// keyState is what this process knows of a key.
type keyState struct {
	sampledAt      time.Duration // when the latest count was read
	remaining      float64       // that the count left, less what was admitted here since
	localRemaining float64       // of this process's share of the limit
	windowIndex    int64
}

// refill adds what the plan's rate gave up to a time.
func (s *keyState) refill(plan *policy.Plan, localShare float64, now time.Duration) {
	refilled := plan.Rate * max(now-s.sampledAt, 0).Seconds()
	s.sampledAt = max(now, s.sampledAt)
	s.remaining = min(s.remaining+refilled, plan.Burst)
	s.localRemaining = min(s.localRemaining+refilled*localShare, plan.Burst*localShare)
}

// NewAdmission makes the admission at one of so many gateways that share each count.
func NewAdmission(gateways int) *Admission {
	a := &Admission{}
	a.Reset(gateways)
	return a
}

// Reset forgets what is known of all keys; so many gateways share each count from here on.
func (a *Admission) Reset(gateways int) {
	*a = Admission{localShare: 1 / float64(max(gateways, 1)), keys: map[uint64]*keyState{}}
}

// Reservation is one request's units at one key. They are given back, all or in part, by Settle.
type Reservation struct {
	Window
	Units      float64 // weighted
	Weight     float64
	key        uint64
	plan       policy.Plan
	reservedAt time.Duration
}

// Reserve gives the reservation whose units are to be added to the key's count now.
func (a *Admission) Reserve(assignment Assignment, plan policy.Plan, units float64, now time.Duration) Reservation {
	a.sweep(now)
	return Reservation{
		Window:     WindowAt(assignment.Key, &plan, now),
		Units:      units * assignment.Weight,
		Weight:     assignment.Weight,
		key:        assignment.Key,
		plan:       plan,
		reservedAt: now,
	}
}

// sweep forgets keys whose windows the counter has dropped by now.
func (a *Admission) sweep(now time.Duration) {
	if now <= a.sweptAt+maxTTL {
		return
	}
	a.sweptAt = now
	for key, state := range a.keys {
		if state.sampledAt+maxTTL < now {
			delete(a.keys, key)
		}
	}
}

// HandleCount takes the counter's answer (answered false: none came in time) and tells whether the request is admitted.
// Where the window was untouched, previous is the one before it, to be read with zero units: what Deficit makes of its
// count is to be added to this window's, as the decision module does. Until that is done, and where another process is
// to do it, this process's latest read bounds what remains.
func (a *Admission) HandleCount(reservation Reservation, count float64, answered bool) (admitted bool, previous *Window) {
	plan, units := &reservation.plan, reservation.Units
	state := a.keys[reservation.key]
	if state == nil {
		state = &keyState{
			sampledAt: reservation.reservedAt, remaining: plan.Burst, localRemaining: plan.Burst * a.localShare,
			windowIndex: -1,
		}
		a.keys[reservation.key] = state
	}
	newWindow := state.windowIndex != reservation.Index
	state.windowIndex = reservation.Index
	state.refill(plan, a.localShare, reservation.reservedAt)
	remaining := min(state.localRemaining, state.remaining)
	if answered {
		state.remaining = min(state.remaining, Remaining(plan, reservation.Window, reservation.reservedAt, count-units))
		remaining = state.remaining
		if newWindow && count <= units+roundingError {
			window := WindowAt(reservation.key, plan, reservation.Start-1)
			previous = &window
		}
	}
	if admitted = remaining >= units-roundingError; admitted {
		state.remaining, state.localRemaining = state.remaining-units, max(state.localRemaining-units, 0)
	}
	return admitted, previous
}

// Deficit is what a key was short of its burst at the end of the window before, by the count read there with zero units.
func (r Reservation) Deficit(previous Window, count float64) float64 {
	return r.plan.Burst - Remaining(&r.plan, previous, r.Start, count)
}

// ChargeState is what is known of whether a reservation's units are in its key's count.
type ChargeState uint8

// The states of a charge.
const (
	ChargeUnknown ChargeState = iota // no answer yet, or the connection was lost
	Charged
	NotCharged
)

// Settle gives what is to be added to the reservation's count once the request has ended, by the weighted units that it
// used. What may not have been added is not taken off again: a count too high rejects, one too low exceeds a limit.
func (a *Admission) Settle(reservation Reservation, admitted bool, used float64, charge ChargeState) float64 {
	if state := a.keys[reservation.key]; state != nil && admitted {
		state.remaining += reservation.Units - used
	}
	switch charge {
	case Charged:
		return used - reservation.Units
	case NotCharged:
		return used
	default:
		return max(used-reservation.Units, 0)
	}
}
