package enforce

import (
	"sync"
	"time"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/countingrule"
	"harrierhoist/internal/dispatch"
	"harrierhoist/policy"
)

// timeoutDivisor is the part of the soft limit that the other counts may take to answer, as the module's own check.
const timeoutDivisor = 4

// Assign is for the gate: a task is counted by what holds now, and so is all that comes of it later.
func (e *Enforcer) Assign(now time.Duration, request dispatch.RequestSpec) dispatch.CountAssignment {
	held, leased := e.readTable()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyTable(held)
	versions := e.candidates(now, leased)
	if len(versions) == 0 { // no rule in force is known here: today's
		versions = []uint64{0}
	}
	assignment := e.resolved[versions[0]].Assign(request.Customer, request.Class, request.Plan)
	decision := dispatch.CountAssignment{Key: assignment.Key, Plan: assignment.Plan, GatewayCount: request.GatewayCount, Weight: assignment.Weight, PerCustomer: assignment.Version == 0}
	if assignment.Shared {
		decision.GatewayCount = e.settings.Gateways
	}
	var reserved []countingrule.Reservation
	for _, v := range versions[1:] {
		other := e.resolved[v].Assign(request.Customer, request.Class, request.Plan)
		if plan := e.settings.Plans[other.Plan]; other.Key != assignment.Key && plan.Rate > 0 {
			reserved = append(reserved, e.admission.Reserve(other, plan, request.Units, now))
		}
	}
	var reservations *reservations
	if len(reserved) > 0 {
		reservations = e.newReservations(reserved, request, assignment.Weight)
		decision.CheckOthers = reservations.charge
	}
	sampled := e.shadow != nil && e.shadow.IsSampled(request.Customer)
	if sampled {
		e.shadow.AddBudget(e.unearnedCalls)
		e.unearnedCalls = 0
		e.sendShadowCalls(e.shadow.HandleRequest(now, canary.Request{Customer: request.Customer, Class: request.Class, Plan: request.Plan, Units: request.Units}))
	}
	if sampled || reservations != nil {
		decision.Completed = func(forwarded bool, units float64) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if sampled && e.shadow != nil {
				e.shadow.RecordActual(assignment.Version, request.Units, forwarded)
			}
			if reservations != nil {
				reservations.complete(forwarded, units)
			}
		}
	}
	return decision
}

// sendShadowCalls makes the play's calls. An answer may come once the play is over; it is not heard then.
func (e *Enforcer) sendShadowCalls(calls []canary.Call) {
	shadow := e.shadow
	for _, call := range calls {
		e.addUnits(call.Name, call.Units, call.TTL, func(count float64, outcome policy.Outcome) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if followUps := shadow.HandleCount(e.dispatcher.Now(), call.ID, count, outcome == policy.Answered); shadow == e.shadow {
				e.sendShadowCalls(followUps)
			}
		})
	}
}

// reservations are a task's units at the counts that it has to pass beside the module's.
type reservations struct {
	*Enforcer
	all     []countingrule.Reservation
	timeout time.Duration
	weight  float64 // by which the module counts: true units come multiplied by it

	// These are under the clerk's lock.
	done      func(bool)
	pending   int
	admitted  bool
	completed bool // the task is over
	forwarded bool
	units     float64
	charges   []countingrule.ChargeState // by hold
	passedBy  []bool
}

func (e *Enforcer) newReservations(reserved []countingrule.Reservation, request dispatch.RequestSpec, weight float64) *reservations {
	timeout := e.settings.Classes[request.Class].LatencyObjective / timeoutDivisor
	return &reservations{Enforcer: e, all: reserved, timeout: timeout, weight: weight, pending: len(reserved), admitted: true,
		charges: make([]countingrule.ChargeState, len(reserved)), passedBy: make([]bool, len(reserved))}
}

// charge has the counts asked; a count that does not answer in time goes by this process's own share.
func (r *reservations) charge(done func(admitted bool)) {
	r.done = done
	for i := range r.all {
		var once sync.Once
		timer := time.AfterFunc(r.timeout, func() { once.Do(func() { r.handleCount(i, 0, false) }) })
		r.addUnits(r.all[i].Name, r.all[i].Units, r.all[i].TTL, func(count float64, outcome policy.Outcome) {
			timer.Stop()
			r.Enforcer.mu.Lock()
			if outcome == policy.Answered {
				r.charges[i] = countingrule.Charged
			} else if outcome != policy.TimedOut {
				r.charges[i] = countingrule.NotCharged
			}
			r.Enforcer.mu.Unlock()
			once.Do(func() { r.handleCount(i, count, outcome == policy.Answered) })
		})
	}
}

func (r *reservations) handleCount(i int, count float64, answered bool) {
	reservation := r.all[i]
	r.Enforcer.mu.Lock()
	passed, previous := r.admission.HandleCount(reservation, count, answered)
	r.Enforcer.mu.Unlock()
	if previous != nil {
		r.addUnits(previous.Name, 0, previous.TTL, func(count float64, outcome policy.Outcome) {
			if deficit := reservation.Deficit(*previous, count); outcome == policy.Answered && deficit > 0 {
				r.addUnits(reservation.Name, deficit, reservation.TTL, func(float64, policy.Outcome) {})
			}
		})
	}
	r.Enforcer.mu.Lock()
	r.passedBy[i] = passed
	r.admitted = r.admitted && passed
	r.pending--
	last, admitted := r.pending == 0, r.admitted
	if last && r.completed { // its client has gone meanwhile
		r.settle()
	}
	r.Enforcer.mu.Unlock()
	if last {
		r.done(admitted)
	}
}

// complete takes word that the task has its final answer. The clerk's lock is held.
func (r *reservations) complete(forwarded bool, units float64) {
	r.completed, r.forwarded, r.units = true, forwarded, units/r.weight
	if r.pending == 0 {
		r.settle()
	}
}

// settle gives back what a task did not use, or charges what it used beyond. It comes once: with the last count's
// answer or with the final answer, whichever is later.
func (r *reservations) settle() {
	for i, reservation := range r.all {
		used := 0.0
		if r.forwarded {
			used = reservation.Units
			if r.units > 0 {
				used = reservation.Weight * r.units
			}
		}
		if correction := r.admission.Settle(reservation, r.passedBy[i], used, r.charges[i]); correction != 0 {
			r.addUnits(reservation.Name, correction, reservation.TTL, func(float64, policy.Outcome) {})
		}
	}
}
