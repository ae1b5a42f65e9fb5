package countingrule

import (
	"time"

	"harrierhoist/policy"
)

// Admission admits requests by the keys that they have to pass beside the decision module's own. It
// adds a request's units to the count in the call that reads it, so that two processes that ask at
// once do not exceed the limit, and corrects them by what was used once the request has ended. Not
// safe for use by several goroutines at once.
type Admission struct {
	localShare float64              // part of a limit, from 0 to 1, used without a counter
	keys       map[uint64]*keyState // by key
	sweptAt    time.Duration
}

// keyState is what this process knows of a key.
type keyState struct {
	refilledAt     time.Duration // when the latest count was read
	remaining      float64       // that the count left, less what was admitted here since
	localRemaining float64       // of this process's share of the limit
	windowIndex    int64         // of the latest answer, or noWindow
}

// noWindow stands for the window of a key that has had no answer.
const noWindow = -1

// refill adds what the plan's rate has given up to a time.
func (s *keyState) refill(plan *policy.Plan, localShare float64, now time.Duration) {
	refilled := plan.Rate * max(now-s.refilledAt, 0).Seconds()
	s.refilledAt = max(now, s.refilledAt)
	s.remaining = min(s.remaining+refilled, plan.Burst)
	s.localRemaining = min(s.localRemaining+refilled*localShare, plan.Burst*localShare)
}

// NewAdmission makes the admission of one gateway; gateways is how many share each count.
func NewAdmission(gateways int) *Admission {
	a := &Admission{}
	a.Reset(gateways)
	return a
}

// Reset forgets what is known of all keys; gateways is how many share each count from here on.
func (a *Admission) Reset(gateways int) {
	*a = Admission{localShare: 1 / float64(max(gateways, 1)), keys: map[uint64]*keyState{}}
}

// Reservation is one request's units at one key. They are given back, all or in part, by Settle.
type Reservation struct {
	Window
	Units      float64 // weighted
	Weight     float64 // of one unit
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
		if state.refilledAt+maxTTL < now {
			delete(a.keys, key)
		}
	}
}

// HandleCount decides whether a request is admitted by one key: by the counter's answer, in units,
// or by this process's share where none came in time (answered false). previous is not nil for the
// first answer in a window that nobody has used: its caller reads that earlier window with zero
// units, and adds the Deficit by its count to this one's, as the decision module does.
func (a *Admission) HandleCount(
	reservation Reservation, count float64, answered bool,
) (admitted bool, previous *Window) {
	state := a.keyStateOf(&reservation)
	isNewWindow := state.windowIndex != reservation.Index
	state.windowIndex = reservation.Index
	state.refill(&reservation.plan, a.localShare, reservation.reservedAt)
	if !answered {
		return state.admit(min(state.localRemaining, state.remaining), reservation.Units), nil
	}
	// Until a deficit is carried over, the latest read bounds what remains.
	state.remaining = min(state.remaining, reservation.remainingBefore(count))
	if isNewWindow && reservation.isFirstCharge(count) {
		window := WindowAt(reservation.key, &reservation.plan, reservation.Start-1)
		previous = &window
	}
	return state.admit(state.remaining, reservation.Units), previous
}

// openKey finds the state of a reservation's key; a key not known yet has its whole burst.
func (a *Admission) keyStateOf(reservation *Reservation) *keyState {
	if state := a.keys[reservation.key]; state != nil {
		return state
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

// admit decides whether units fit into what remains, and takes them off where they do.
func (s *keyState) admit(remaining, units float64) bool {
	if remaining < units-roundingError {
		return false
	}
	s.remaining -= units
	s.localRemaining = max(s.localRemaining-units, 0)
	return true
}

// remaining is what the reservation's key had left before it, by a count that includes its units.
func (r *Reservation) remainingBefore(count float64) float64 {
	return Remaining(&r.plan, r.Window, r.reservedAt, count-r.Units)
}

// isUntouched tells whether a count holds nothing but the reservation's own units.
func (r *Reservation) isFirstCharge(count float64) bool { return count <= r.Units+roundingError }

// Deficit is how many units a key was short of its burst at the end of the previous window, by the
// count read there with zero units.
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

// Settle decides what is to be added to the reservation's count once the request has ended, by the
// weighted units that it used; less than 0 takes units off. Units that are not known to have been
// added are not taken off: the count would be too low, and the limit exceeded.
func (a *Admission) Settle(reservation Reservation, admitted bool, used float64, charge ChargeState) float64 {
	if state := a.keys[reservation.key]; state != nil && admitted {
		state.remaining += reservation.Units - used
	}
	switch charge {
	case Charged:
		return used - reservation.Units
	case NotCharged:
		return used
	case ChargeUnknown:
	}
	return max(used-reservation.Units, 0)
}
