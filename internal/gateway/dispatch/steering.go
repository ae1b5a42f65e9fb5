package dispatch

import (
	"math"
	"time"

	"harrierhoist/policy"
)

// Steering determines how the dispatcher distributes its attempts over zones.
type Steering struct {
	// Weights are the proportions of the zones among the servers that the decision module gets, by
	// zone number; nil: as in the endpoint list.
	Weights []float64
	// ShedFraction is the fraction of requests that are rejected without an attempt, 0 to 1.
	ShedFraction float64
}

// steeringLease is the lease of the steering in force, and the steering that follows it.
type steeringLease struct {
	expiresAt time.Duration // on the shared clock
	fallback  *Steering     // applies after expiry; nil: the steering in force does not expire
}

// hasExpired reports whether the steering in force must be replaced by the fallback.
func (l *steeringLease) hasExpired(now time.Duration) bool {
	return l.fallback != nil && now >= l.expiresAt
}

// SetSteering applies a steering for the duration of a lease, and fallback from the first request
// after the lease has expired. If lease is not positive, fallback applies immediately. Requests in
// flight continue.
func (d *Dispatcher) SetSteering(steering Steering, lease time.Duration, fallback Steering) {
	now := d.lock()
	defer d.unlock()
	if lease <= 0 {
		d.steering = steeringLease{}
		d.applySteering(now, fallback)
		return
	}
	d.steering = steeringLease{expiresAt: now + lease, fallback: &fallback}
	d.applySteering(now, steering)
}

func (d *Dispatcher) applySteering(now time.Duration, steering Steering) {
	if d.subset.SetWeights(steering.Weights, steering.ShedFraction) {
		d.refreshEndpoints(now)
	}
}

// refreshSteering applies the fallback if the lease of the steering has expired, and selects the
// subset again if that is due. It is called for each request, so it needs no timer, and a process
// that was suspended beyond the lease forwards no request under the expired steering.
func (d *Dispatcher) refreshSteering(now time.Duration) {
	switch {
	case d.steering.hasExpired(now):
		fallback := *d.steering.fallback
		d.steering = steeringLease{}
		d.applySteering(now, fallback)
	case d.subset.NeedsSelection(now):
		d.updateModuleEndpoints(now, policy.ListFull)
	}
}

// rejectIfShed rejects a request that the steering sheds, and reports whether it did. The decision
// module on its own would forward the request to zones that have no capacity for it.
func (d *Dispatcher) rejectIfShed(r *Request) bool {
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

// shedRetryDivisor divides the tightest latency objective to get the Retry-After of shed requests.
// The steering sheds requests at random, so a retry may get capacity in another zone.
const shedRetryDivisor = 4

// shedRetryAfter returns the Retry-After of shed requests, by the latency objectives of the classes
// in force. The decision module uses the same value when no server is available.
func shedRetryAfter(classes []policy.TrafficClass) time.Duration {
	tightest := time.Duration(math.MaxInt64)
	for _, class := range classes {
		if !class.Retired {
			tightest = min(tightest, class.LatencyObjective)
		}
	}
	return tightest / shedRetryDivisor
}
