package countingrule

import (
	"time"

	"harrierhoist/policy"
)

// Admission decides whether requests are admitted under counter keys that the decision module does
// not check itself. A request's units are added to the count by the same call that reads it, so
// that two processes that call concurrently cannot exceed the limit together. Once the request has
// ended, Settle corrects the count by the units that it used. Admission is not safe for concurrent
// use.
type Admission struct {
	localShare float64              // fraction of each limit that may be used without the counter
	keys       map[uint64]*keyState // by key
	sweptAt    time.Duration
}

// keyState is this process's estimate of what a key has left.
type keyState struct {
	refilledAt     time.Duration // time up to which refill has added units
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

// NewAdmission returns the Admission of one gateway. gateways is the number of gateways that share
// each count.
func NewAdmission(gateways int) *Admission {
	a := &Admission{}
	a.Reset(gateways)
	return a
}

// Reset discards the state of all keys and sets the number of gateways that share each count.
func (a *Admission) Reset(gateways int) {
	*a = Admission{localShare: 1 / float64(max(gateways, 1)), keys: map[uint64]*keyState{}}
}

// Reservation reserves units of one key for one request. Settle returns the units that the request
// does not use.
type Reservation struct {
	Window
	WeightedUnits float64 // reserved units, multiplied by Weight
	Weight        float64 // weighted units per unit
	key           uint64
	plan          policy.Plan
	reservedAt    time.Duration
}

// Reserve returns a reservation for a request of the given unweighted units. The caller adds the
// reservation's WeightedUnits to the count of its Window and passes the result to HandleCount.
func (a *Admission) Reserve(assignment Assignment, plan policy.Plan, units float64, now time.Duration) Reservation {
	a.sweep(now)
	return Reservation{
		Window:        WindowAt(assignment.Key, &plan, now),
		WeightedUnits: units * assignment.Weight,
		Weight:        assignment.Weight,
		key:           assignment.Key,
		plan:          plan,
		reservedAt:    now,
	}
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

// HandleCount reports whether a reservation's key admits the request. count is the counter's answer
// in weighted units, including the reservation's own. If the counter has not answered in time,
// answered is false and this process's share of the limit decides.
//
// previous is the window before the reservation's if that window's deficit must be carried over,
// and nil otherwise. It must be carried over if this process decides its first reservation in the
// new window and no other request has been charged to that window. The caller then reads the count
// of the previous window by adding zero units, and adds the Deficit to the reservation's count. The
// decision module does the same for its own counts.
func (a *Admission) HandleCount(
	reservation Reservation, count float64, answered bool,
) (admitted bool, previous *Window) {
	state := a.keyStateOf(&reservation)
	isNewWindow := state.windowIndex != reservation.Index
	state.windowIndex = reservation.Index
	state.refill(&reservation.plan, a.localShare, reservation.reservedAt)
	if !answered {
		return state.admit(min(state.localRemaining, state.remaining), reservation.WeightedUnits), nil
	}
	// The count of a new window lacks the previous window's deficit until that is carried over.
	// Until then, the estimate from earlier counts limits what remains.
	state.remaining = min(state.remaining, reservation.remainingBefore(count))
	if isNewWindow && reservation.isFirstCharge(count) {
		window := WindowAt(reservation.key, &reservation.plan, reservation.Start-1)
		previous = &window
	}
	return state.admit(state.remaining, reservation.WeightedUnits), previous
}

// keyStateOf returns the state of a reservation's key. A new key starts with its whole burst.
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

// admit reports whether remaining covers the units, and deducts them if it does.
func (s *keyState) admit(remaining, units float64) bool {
	if remaining < units-roundingError {
		return false
	}
	s.remaining -= units
	s.localRemaining = max(s.localRemaining-units, 0)
	return true
}

// remainingBefore returns the units that the key had left before the reservation. count includes
// the reservation's units.
func (r *Reservation) remainingBefore(count float64) float64 {
	return Remaining(&r.plan, r.Window, r.reservedAt, count-r.WeightedUnits)
}

// isFirstCharge reports whether a count consists of the reservation's own units.
func (r *Reservation) isFirstCharge(count float64) bool {
	return count <= r.WeightedUnits+roundingError
}

// Deficit returns the number of weighted units by which the key was below its full burst at the end
// of the previous window. count is the previous window's count.
func (r Reservation) Deficit(previous Window, count float64) float64 {
	return r.plan.Burst - Remaining(&r.plan, previous, r.Start, count)
}

// ChargeState says whether a reservation's units were added to its key's count.
type ChargeState uint8

// The charge states.
const (
	ChargeUnknown ChargeState = iota // no answer yet, or the connection ended without one
	Charged
	NotCharged
)

// Settle returns the correction that the caller adds to the reservation's count once the request
// has ended, given the weighted units that it used. A negative correction returns units. If the
// charge is unknown, no units are returned: if they had never been added, the count would be too
// low and the limit would be exceeded.
func (a *Admission) Settle(reservation Reservation, admitted bool, used float64, charge ChargeState) float64 {
	if state := a.keys[reservation.key]; state != nil && admitted {
		state.remaining += reservation.WeightedUnits - used
	}
	switch charge {
	case Charged:
		return used - reservation.WeightedUnits
	case NotCharged:
		return used
	case ChargeUnknown:
	}
	return max(used-reservation.WeightedUnits, 0)
}
