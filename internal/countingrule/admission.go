package countingrule

import (
	"time"

	"harrierhoist/policy"
)

const ( // as the module has them, so that both count under the same names (a test holds them together)
	windowRefills = 2.0
	minWindow     = time.Second
	maxTTL        = 60 * time.Second
)

const roundingError = 1e-9 // units: sums of parts come out a little off

// Window is a stretch of time in which a count goes by one name.
type Window struct {
	Name  uint64        // at the counter
	Start time.Duration // on the clock that windows go by
	TTL   time.Duration // how long the counter is to keep the name
	Index int64
}

// WindowAt gives the window of a key that a time falls in, under a plan's rate and burst: the module's own.
func WindowAt(key uint64, plan *policy.Plan, now time.Duration) Window {
	length := time.Duration(windowRefills * plan.Burst / plan.Rate * float64(time.Second))
	length = min(max(length, minWindow), maxTTL/2)
	offset := time.Duration(windowHash(key, 0) % uint64(length))
	index := int64((now + offset) / length)
	return Window{windowHash(key, index), time.Duration(index)*length - offset, min(max(2*length, minWindow), maxTTL), index}
}

// windowHash is the module's hash of customer and window.
func windowHash(customer uint64, window int64) uint64 {
	mixed := (customer*0x9e3779b97f4a7c15 + uint64(window)) * 0xbf58476d1ce4e5b9
	return mixed ^ mixed>>31
}

// Remaining is what a count has left at a time, by its total in the window without the task that asks: weighted units.
func Remaining(plan *policy.Plan, window Window, now time.Duration, count float64) float64 {
	return max(min(plan.Burst+plan.Rate*(now-window.Start).Seconds()-count, plan.Burst), 0)
}

// Admission is the desk of the counts that a task has to pass beside the module's own: it takes the units with the
// question, so that what two processes ask at once passes no limit, and gives back what was not used. It guards the
// limit of a rule that may be in force unknown to us. Harm: what waits for its answer is held as used.
type Admission struct {
	localShare float64              // of a limit that this process uses where the counter does not answer
	keys       map[uint64]*keyState // by key
	sweptAt    time.Duration
}

// keyState is what this process knows of a key.
type keyState struct {
	sampledAt      time.Duration // of the latest total
	remaining      float64       // that it left, less what passed here since
	localRemaining float64       // that this process's share of the limit holds
	windowIndex    int64         // the window
}

// NewAdmission makes a desk; a fleet of so many gateways shares each count.
func NewAdmission(gateways int) *Admission {
	return &Admission{localShare: 1 / float64(max(gateways, 1)), keys: map[uint64]*keyState{}}
}

// Reservation is one task's units at one count. Its units go back, all or in part, by Settle.
type Reservation struct {
	Window
	Units      float64 // weighted
	Weight     float64
	key        uint64
	plan       policy.Plan
	reservedAt time.Duration
}

// Reserve gives the hold whose units are to be added to the count now.
func (a *Admission) Reserve(c Assignment, plan policy.Plan, units float64, now time.Duration) Reservation {
	if now > a.sweptAt+maxTTL {
		a.sweptAt = now
		for key, state := range a.keys {
			if state.sampledAt+maxTTL < now {
				delete(a.keys, key)
			}
		}
	}
	return Reservation{WindowAt(c.Key, &plan, now), units * c.Weight, c.Weight, c.Key, plan, now}
}

// HandleCount takes the counter's answer (read false: none came in time) and tells whether the task passes. Where the window
// was untouched, before is the one before it, to be read with nought: what Lacks makes of its total is to be added to
// this window's count, as the module does. Until that stands, and where another process is to do it, our own latest
// look bounds the room.
func (a *Admission) HandleCount(reservation Reservation, count float64, answered bool) (admitted bool, previous *Window) {
	state := a.keys[reservation.key]
	if state == nil {
		state = &keyState{sampledAt: reservation.reservedAt, remaining: reservation.plan.Burst, localRemaining: reservation.plan.Burst * a.localShare, windowIndex: -1}
		a.keys[reservation.key] = state
	}
	newWindow, elapsed := state.windowIndex != reservation.Index, max(reservation.reservedAt-state.sampledAt, 0).Seconds()
	state.windowIndex, state.sampledAt = reservation.Index, max(reservation.reservedAt, state.sampledAt)
	state.remaining = min(state.remaining+reservation.plan.Rate*elapsed, reservation.plan.Burst)
	state.localRemaining = min(state.localRemaining+reservation.plan.Rate*elapsed*a.localShare, reservation.plan.Burst*a.localShare)
	remaining := min(state.localRemaining, state.remaining)
	if answered {
		state.remaining = min(state.remaining, Remaining(&reservation.plan, reservation.Window, reservation.reservedAt, count-reservation.Units))
		remaining = state.remaining
		if newWindow && count <= reservation.Units+roundingError {
			window := WindowAt(reservation.key, &reservation.plan, reservation.Start-1)
			previous = &window
		}
	}
	if admitted = remaining >= reservation.Units-roundingError; admitted {
		state.remaining, state.localRemaining = state.remaining-reservation.Units, max(state.localRemaining-reservation.Units, 0)
	}
	return admitted, previous
}

// Deficit is what a store lacked at the end of the window before, whose total was read with nought.
func (reservation Reservation) Deficit(previous Window, count float64) float64 {
	return reservation.plan.Burst - Remaining(&reservation.plan, previous, reservation.Start, count)
}

// ChargeState is whether a hold's units stand in its count.
type ChargeState uint8

// What can be known of that.
const (
	ChargeUnknown ChargeState = iota // no answer yet, or the connection was lost
	Charged
	NotCharged
)

// Settle gives what is to be added to the hold's count once the task is over, by the weighted units that it used. What
// may not have been added is not taken off again: a count too high rejects, one too low passes a limit.
func (a *Admission) Settle(reservation Reservation, admitted bool, used float64, added ChargeState) float64 {
	if state := a.keys[reservation.key]; state != nil && admitted {
		state.remaining += reservation.Units - used
	}
	switch added {
	case Charged:
		return used - reservation.Units
	case NotCharged:
		return used
	}
	return max(used-reservation.Units, 0)
}
