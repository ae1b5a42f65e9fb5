package dispatch

import (
	"math"
	"time"

	"harrierhoist/policy"
)

// Steering says how the dispatcher spreads its attempts over zones.
type Steering struct {
	// Weights are, by the number of a zone, the proportions in which servers of the zones are
	// handed to the decision module; nil: as the endpoint list has them.
	Weights []float64
	// ShedFraction is the part of requests that is rejected at once, 0 to 1.
	ShedFraction float64
}

// steeringLease is how long a steering stands, and which one replaces it.
type steeringLease struct {
	expires time.Duration // by the shared clock
	after   *Steering     // nil: the steering in force has no end
}

// hasExpired reports whether the steering in force has to be replaced.
func (l *steeringLease) hasExpired(now time.Duration) bool {
	return l.after != nil && now >= l.expires
}

// SetSteering has the dispatcher steered for as long as a lease stands, and by another steering
// from the first request after its end. What is in flight goes on.
func (d *Dispatcher) SetSteering(steering Steering, lease time.Duration, after Steering) {
	now := d.lock()
	defer d.unlock()
	if lease <= 0 {
		d.steering = steeringLease{}
		d.applySteering(now, after)
		return
	}
	d.steering = steeringLease{expires: now + lease, after: &after}
	d.applySteering(now, steering)
}

func (d *Dispatcher) applySteering(now time.Duration, steering Steering) {
	if d.subset.SetWeights(steering.Weights, steering.ShedFraction) {
		d.refreshEndpoints(now)
	}
}

// refreshSteering drops a steering whose lease has ended, and selects the subset anew where the
// rate of attempts calls for it. It runs at each request, so that no timer is needed and a process
// that slept past the end forwards nothing by the old steering.
func (d *Dispatcher) refreshSteering(now time.Duration) {
	switch {
	case d.steering.hasExpired(now):
		after := *d.steering.after
		d.steering = steeringLease{}
		d.applySteering(now, after)
	case d.subset.IsDue(now):
		d.updateModule(now, policy.ListFull)
	}
}

// shedRequest rejects a request at once where it is of the part that the steering sheds, and
// reports whether it did. The decision module alone would forward it to zones that have no capacity
// for it.
func (d *Dispatcher) shedRequest(r *Request) bool {
	isDemand := d.recorder != nil && !r.isRepeat
	if isDemand {
		d.recorder.AddOffered(r.units)
	}
	if !d.subset.ShouldShed() {
		return false
	}
	if isDemand {
		d.recorder.AddShed(r.units)
	}
	r.completed = true
	r.decisions <- Decision{Action: Reject, RetryAfter: d.shedRetryAfter}
	return true
}

// shedRetryDivisor is the part of the tightest latency objective after which a shed request may be
// repeated. Capacity elsewhere is shared by lot, so that a repeat may find some.
const shedRetryDivisor = 4

// shedRetryAfter decides the Retry-After of shed requests, by the latency objectives of the classes
// in force: the same as the decision module gives where no server can be had.
func shedRetryAfter(classes []policy.TrafficClass) time.Duration {
	tightest := time.Duration(math.MaxInt64)
	for _, class := range classes {
		if !class.Retired {
			tightest = min(tightest, class.LatencyObjective)
		}
	}
	return tightest / shedRetryDivisor
}
