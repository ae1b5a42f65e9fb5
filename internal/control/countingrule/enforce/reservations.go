package enforce

import (
	"sync"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// timeoutDivisor is the part of the latency objective that the other counts may take to answer, as the decision
// module's own check.
const timeoutDivisor = 4

// counterCaller calls the counter past the decision module. It neither waits nor calls back before it returns.
type counterCaller interface {
	CallCounter(name uint64, units float64, ttl time.Duration, done func(count float64, outcome policy.Outcome))
}

// reservations are a request's units at the counter keys that it has to pass beside the decision module's.
type reservations struct {
	counter counterCaller
	timeout time.Duration
	weight  float64 // by which the decision module counts: actual units come multiplied by it
	done    func(admitted bool)

	mu        *sync.Mutex // the enforcer's: it guards what follows
	admission *countingrule.Admission
	all       []reservation
	pending   int // counts that have not answered
	admitted  bool
	completed bool // the request has ended
	forwarded bool
	units     float64 // that it used, unweighted; 0: not known
}

// reservation is what became of one of them.
type reservation struct {
	countingrule.Reservation
	charge   countingrule.ChargeState
	admitted bool
}

func newReservations(mu *sync.Mutex, admission *countingrule.Admission, counter counterCaller,
	reserved []countingrule.Reservation, timeout time.Duration, weight float64,
) *reservations {
	r := &reservations{
		counter: counter, timeout: timeout, weight: weight,
		mu: mu, admission: admission, pending: len(reserved), admitted: true,
	}
	for _, one := range reserved {
		r.all = append(r.all, reservation{Reservation: one})
	}
	return r
}

// charge adds the units to the counts and calls done once all have answered; one that does not answer in time admits by
// this process's own share.
func (r *reservations) charge(done func(admitted bool)) {
	r.done = done
	for i := range r.all {
		one := &r.all[i]
		var once sync.Once
		timer := time.AfterFunc(r.timeout, func() { once.Do(func() { r.handleCount(one, 0, false) }) })
		r.counter.CallCounter(one.Name, one.Units, one.TTL, func(count float64, outcome policy.Outcome) {
			timer.Stop()
			r.recordCharge(one, outcome)
			once.Do(func() { r.handleCount(one, count, outcome == policy.Answered) })
		})
	}
}

// recordCharge records whether the units are in the count: after a timeout that is not known.
func (r *reservations) recordCharge(one *reservation, outcome policy.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case policy.Answered:
		one.charge = countingrule.Charged
	case policy.TimedOut:
	default:
		one.charge = countingrule.NotCharged
	}
}

// handleCount takes a count's answer, and carries over the deficit of the window before where the count's is new.
func (r *reservations) handleCount(one *reservation, count float64, answered bool) {
	r.mu.Lock()
	admitted, previous := r.admission.HandleCount(one.Reservation, count, answered)
	r.mu.Unlock()
	if previous != nil {
		r.carryOver(one.Reservation, *previous)
	}
	if last, all := r.recordAnswer(one, admitted); last {
		r.done(all)
	}
}

// recordAnswer tells whether it was the last answer, and whether all counts admitted the request.
func (r *reservations) recordAnswer(one *reservation, admitted bool) (last, all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.admitted = admitted
	r.admitted = r.admitted && admitted
	r.pending--
	last = r.pending == 0
	if last && r.completed { // its client has disconnected meanwhile
		r.settle()
	}
	return last, r.admitted
}

// carryOver adds the deficit of the previous window to the reservation's.
func (r *reservations) carryOver(to countingrule.Reservation, previous countingrule.Window) {
	r.counter.CallCounter(previous.Name, 0, previous.TTL, func(count float64, outcome policy.Outcome) {
		if deficit := to.Deficit(previous, count); outcome == policy.Answered && deficit > 0 {
			r.add(to, deficit)
		}
	})
}

// add adds units to a reservation's count. Nothing depends on the answer.
func (r *reservations) add(to countingrule.Reservation, units float64) {
	r.counter.CallCounter(to.Name, units, to.TTL, func(float64, policy.Outcome) {})
}

// complete takes word that the request has its final answer: whether it was forwarded, and its actual units as the
// decision module counts them (0: not known). The lock is held.
func (r *reservations) complete(forwarded bool, units float64) {
	r.completed, r.forwarded, r.units = true, forwarded, units/r.weight
	if r.pending == 0 {
		r.settle()
	}
}

// settle gives back what the request did not use, or charges what it used beyond. It comes once: with the last count's
// answer or with the final answer, whichever is later. The lock is held.
func (r *reservations) settle() {
	for i := range r.all {
		one := &r.all[i]
		if correction := r.admission.Settle(one.Reservation, one.admitted, r.used(one), one.charge); correction != 0 {
			r.add(one.Reservation, correction)
		}
	}
}

// used are the weighted units that the request used of a reservation: all of them where the actual units are not known.
func (r *reservations) used(one *reservation) float64 {
	switch {
	case !r.forwarded:
		return 0
	case r.units > 0:
		return one.Weight * r.units
	default:
		return one.Units
	}
}
