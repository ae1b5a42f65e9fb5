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
	maxKeys    int                  // keys whose state is kept; 0: no limit
	keys       map[uint64]*keyState // by key
	sweptAt    time.Duration
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
	*a = Admission{localShare: 1 / float64(max(gateways, 1)), maxKeys: a.maxKeys, keys: map[uint64]*keyState{}}
}

// SetMaxKeys bounds the keys whose state is kept. 0 means no bound, which is the initial value. At the bound, a
// request under a new key is rejected unless the state of another key can be discarded.
func (a *Admission) SetMaxKeys(keys int) { a.maxKeys = keys }

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
	if state == nil {
		return false, nil
	}
	defer state.updateFullAt(&reservation.plan, a.localShare)
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
		state.updateFullAt(&reservation.plan, a.localShare)
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
