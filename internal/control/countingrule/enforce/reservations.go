package enforce

import (
	"sync"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// timeoutDivisor divides the latency objective: the counts have that part of it to answer, as the
// decision module's own call has.
const timeoutDivisor = 4

// answerTimeout decides how long a request waits for the counts of the other rules.
func answerTimeout(class *policy.TrafficClass) time.Duration {
	return class.LatencyObjective / timeoutDivisor
}

// counterCaller calls the counter without the decision module. It neither waits nor calls back
// before it returns.
type counterCaller interface {
	CallCounter(name uint64, units float64, ttl time.Duration, done func(count float64, outcome policy.Outcome))
}

// verdict is whether all counts admit a request.
type verdict uint8

// The verdicts.
const (
	verdictPending verdict = iota // a count has not answered
	verdictAdmitted
	verdictRejected
)

// usage is what a request that has its final answer used.
type usage struct {
	forwarded bool
	units     float64 // unweighted; 0: not known
}

// reservations are a request's units at the counter keys that it has to pass beside the decision
// module's.
type requestReservations struct {
	counter counterCaller
	timeout time.Duration
	weight  float64 // by which the decision module counts: actual units come multiplied by it
	done    func(admitted bool)

	mu        *sync.Mutex // the enforcer's: it guards what follows
	admission *countingrule.Admission
	entries   []keyReservation
	pending   int    // counts that have neither answered nor timed out
	rejected  bool   // by at least one of the others
	usage     *usage // nil: the request has no final answer yet
}

// reservation is what became of one of them.
type keyReservation struct {
	countingrule.Reservation
	charge   countingrule.ChargeState
	admitted bool
}

// newReservations completes reservations with what was reserved.
func newRequestReservations(r requestReservations, reserved []countingrule.Reservation) *requestReservations {
	r.pending = len(reserved)
	for _, reservation := range reserved {
		r.entries = append(r.entries, keyReservation{Reservation: reservation})
	}
	return &r
}

// charge adds the units to the counts and calls done once all have answered. A count that does not
// answer in time admits by this process's own share.
func (r *requestReservations) charge(done func(admitted bool)) {
	r.done = done
	for i := range r.entries {
		entry := &r.entries[i]
		var once sync.Once
		timer := time.AfterFunc(r.timeout, func() { once.Do(func() { r.handleCount(entry, 0, false) }) })
		r.counter.CallCounter(entry.Name, entry.Units, entry.TTL, func(count float64, outcome policy.Outcome) {
			timer.Stop()
			r.recordCharge(entry, outcome)
			once.Do(func() { r.handleCount(entry, count, outcome == policy.Answered) })
		})
	}
}

// recordCharge records whether the units are in the count. After a timeout that is not known.
func (r *requestReservations) recordCharge(entry *keyReservation, outcome policy.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case policy.Answered:
		entry.charge = countingrule.Charged
	case policy.TimedOut:
	default:
		entry.charge = countingrule.NotCharged
	}
}

// handleCount takes a count's answer, has the deficit of the previous window carried over where the
// count's window is untouched, and hands on the verdict with the last answer.
func (r *requestReservations) handleCount(entry *keyReservation, count float64, answered bool) {
	r.mu.Lock()
	admitted, previous := r.admission.HandleCount(entry.Reservation, count, answered)
	r.mu.Unlock()
	if previous != nil {
		r.carryOverDeficit(entry.Reservation, *previous)
	}
	switch r.recordAnswer(entry, admitted) {
	case verdictAdmitted:
		r.done(true)
	case verdictRejected:
		r.done(false)
	case verdictPending:
	}
}

// recordAnswer decides whether all counts admit the request, once the last one has answered: a
// request passes only where each of them does.
func (r *requestReservations) recordAnswer(entry *keyReservation, admitted bool) verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.admitted = admitted
	r.rejected = r.rejected || !admitted
	r.pending--
	r.settleIfComplete()
	switch {
	case r.pending > 0:
		return verdictPending
	case r.rejected:
		return verdictRejected
	default:
		return verdictAdmitted
	}
}

// carryOver adds the deficit of the previous window to the reservation's.
func (r *requestReservations) carryOverDeficit(to countingrule.Reservation, previous countingrule.Window) {
	r.counter.CallCounter(previous.Name, 0, previous.TTL, func(count float64, outcome policy.Outcome) {
		if deficit := to.Deficit(previous, count); outcome == policy.Answered && deficit > 0 {
			r.addUnits(to, deficit)
		}
	})
}

// add adds units to a reservation's count. Nothing depends on the answer.
func (r *requestReservations) addUnits(to countingrule.Reservation, units float64) {
	r.counter.CallCounter(to.Name, units, to.TTL, func(float64, policy.Outcome) {})
}

// complete records that the request has its final answer: whether it was forwarded, and its actual
// units as the decision module counts them (0: not known). The lock is held.
func (r *requestReservations) complete(forwarded bool, units float64) {
	r.usage = &usage{forwarded: forwarded, units: units / r.weight}
	r.settleIfComplete()
}

// settleWhenOver settles once all counts have answered and the request has its final answer. Either
// may come last: a client may disconnect while a count is asked. The lock is held.
func (r *requestReservations) settleIfComplete() {
	if r.pending == 0 && r.usage != nil {
		r.settle()
	}
}

// settle gives back what the request did not use, or charges what it used beyond its reservations.
// The lock is held.
func (r *requestReservations) settle() {
	for i := range r.entries {
		entry := &r.entries[i]
		correction := r.admission.Settle(entry.Reservation, entry.admitted, r.usage.unitsOf(entry), entry.charge)
		if correction != 0 {
			r.addUnits(entry.Reservation, correction)
		}
	}
}

// of decides how many weighted units the request used of a reservation: all of them where the
// actual units are not known.
func (u *usage) unitsOf(entry *keyReservation) float64 {
	switch {
	case !u.forwarded:
		return 0
	case u.units > 0:
		return entry.Weight * u.units
	default:
		return entry.Units
	}
}
