package enforce

import (
	"sync"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// timeoutDivisor divides a class's latency objective to give the time that a count has to answer.
// The decision module allows the same time for its own call.
const timeoutDivisor = 4

// answerTimeout returns how long a request of a class waits for the counts that the decision module
// does not check.
func answerTimeout(class *policy.TrafficClass) time.Duration {
	return class.LatencyObjective / timeoutDivisor
}

// counterCaller calls the counter directly, not through the decision module. CallCounter does not
// block and does not call done before it returns.
type counterCaller interface {
	CallCounter(name uint64, units float64, ttl time.Duration, done func(count float64, outcome policy.Outcome))
}

// verdict says whether all counts admit a request.
type verdict uint8

// The verdicts.
const (
	verdictPending verdict = iota // at least one count has not answered
	verdictAdmitted
	verdictRejected
)

// usage is what a request has used by the time of its final answer.
type usage struct {
	forwarded bool
	units     float64 // unweighted; 0 if unknown
}

// requestReservations holds the reservations of one request at all counter keys that must admit it,
// except for the decision module's own.
type requestReservations struct {
	counter counterCaller
	timeout time.Duration       // time that each count has to answer
	weight  float64             // weight in the decision module's count; the units passed to complete include it
	done    func(admitted bool) // called with the verdict, see charge

	mu        *sync.Mutex // Enforcer.mu; guards the fields below
	admission *countingrule.Admission
	entries   []keyReservation
	pending   int    // number of counts that have neither answered nor timed out
	rejected  bool   // at least one count has rejected the request
	usage     *usage // nil until the request has its final answer
}

// keyReservation is a reservation at one key and its state.
type keyReservation struct {
	countingrule.Reservation
	chargeState countingrule.ChargeState
	admitted    bool // the count admitted the request
}

// newRequestReservations returns r with the given reservations, none of them charged yet.
func newRequestReservations(r requestReservations, reserved []countingrule.Reservation) *requestReservations {
	r.pending = len(reserved)
	for _, reservation := range reserved {
		r.entries = append(r.entries, keyReservation{Reservation: reservation})
	}
	return &r
}

// charge adds the units to the counts and calls done with the verdict once all of them have
// answered. For a count that does not answer in time, this process's share of the limit decides.
func (r *requestReservations) charge(done func(admitted bool)) {
	r.done = done
	for i := range r.entries {
		entry := &r.entries[i]
		var once sync.Once
		timer := time.AfterFunc(r.timeout, func() { once.Do(func() { r.handleCount(entry, 0, false) }) })
		r.counter.CallCounter(entry.Name, entry.WeightedUnits, entry.TTL, func(count float64, outcome policy.Outcome) {
			timer.Stop()
			r.recordCharge(entry, outcome)
			once.Do(func() { r.handleCount(entry, count, outcome == policy.Answered) })
		})
	}
}

// recordCharge records whether the units were added to the count. The outcome TimedOut leaves that
// unknown: the connection to the counter ended without an answer.
func (r *requestReservations) recordCharge(entry *keyReservation, outcome policy.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case policy.Answered:
		entry.chargeState = countingrule.Charged
	case policy.TimedOut:
	default:
		entry.chargeState = countingrule.NotCharged
	}
}

// handleCount handles a count's answer or timeout. In a new window it starts to carry over the
// previous window's deficit. With the last answer it calls done.
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

// recordAnswer records the answer of one count and returns the verdict so far. A request is
// admitted only if every count admits it.
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

// carryOverDeficit adds the previous window's deficit to the reservation's count.
func (r *requestReservations) carryOverDeficit(reservation countingrule.Reservation, previous countingrule.Window) {
	r.counter.CallCounter(previous.Name, 0, previous.TTL, func(count float64, outcome policy.Outcome) {
		if deficit := reservation.Deficit(previous, count); outcome == policy.Answered && deficit > 0 {
			r.addUnits(reservation, deficit)
		}
	})
}

// addUnits adds units to a reservation's count and ignores the answer.
func (r *requestReservations) addUnits(reservation countingrule.Reservation, units float64) {
	r.counter.CallCounter(reservation.Name, units, reservation.TTL, func(float64, policy.Outcome) {})
}

// complete records that the request has its final answer. units are its actual units as weighted by
// the decision module's rule, or 0 if unknown. mu must be held.
func (r *requestReservations) complete(forwarded bool, units float64) {
	r.usage = &usage{forwarded: forwarded, units: units / r.weight}
	r.settleIfComplete()
}

// settleIfComplete settles if all counts have answered and the request has its final answer. Either
// may happen last, as a client may disconnect before a count answers. mu must be held.
func (r *requestReservations) settleIfComplete() {
	if r.pending == 0 && r.usage != nil {
		r.settle()
	}
}

// settle returns the units that the request did not use, or charges those that it used in excess of
// its reservations. mu must be held.
func (r *requestReservations) settle() {
	for i := range r.entries {
		entry := &r.entries[i]
		correction := r.admission.Settle(entry.Reservation, entry.admitted, r.usage.unitsOf(entry), entry.chargeState)
		if correction != 0 {
			r.addUnits(entry.Reservation, correction)
		}
	}
}

// unitsOf returns the weighted units that the request used of a reservation. If its actual units
// are unknown, a forwarded request is assumed to have used all of them.
func (u *usage) unitsOf(entry *keyReservation) float64 {
	switch {
	case !u.forwarded:
		return 0
	case u.units > 0:
		return entry.Weight * u.units
	default:
		return entry.WeightedUnits
	}
}
