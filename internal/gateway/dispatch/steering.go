package dispatch

import (
	"math"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// This file is how the dispatcher is steered between zones, and how it records what it sees of them. Without a recorder and
// without weights nothing of it runs.

// Steering says how the dispatcher spreads its attempts over zones.
type Steering struct {
	// Weights are by the number of a zone in what proportion its servers are handed to the gateway; nil: as the endpoint list
	// has them.
	Weights []float64
	// ShedFraction is the part of requests that is rejected at once, 0 to 1.
	ShedFraction float64
}

// steeringLease ends a steering on time, and says what follows.
type steeringLease struct {
	expires time.Duration
	next    *Steering // nil: the steering has no end
}

// SetSteering has the dispatcher steered so from here on for as long as a lease stands, and then the other way, at once
// with the next request, whoever slept meanwhile. What is in flight goes on.
func (d *Dispatcher) SetSteering(steering Steering, lease time.Duration, after Steering) {
	now := d.lock()
	defer d.unlock()
	d.steering = steeringLease{expires: now + lease, next: &after}
	if lease <= 0 {
		d.steering.next = nil
		steering = after
	}
	d.applySteering(now, steering)
}

func (d *Dispatcher) applySteering(now time.Duration, steering Steering) {
	if d.subset.SetWeights(steering.Weights, steering.ShedFraction) {
		d.refreshEndpoints(now)
	}
}

// refreshSteering keeps the subset in line with the time: with the end of a lease, and with the rate of attempts.
func (d *Dispatcher) refreshSteering(now time.Duration) {
	switch {
	case d.steering.next != nil && now >= d.steering.expires:
		steering := *d.steering.next
		d.steering.next = nil
		d.applySteering(now, steering)
	case d.subset.IsDue(now):
		d.updateGateway(now, policy.ListFull)
	}
}

// shedRequest rejects a request at once where the plan says that it fits in no zone. It guards the other zones against what
// a lost one leaves; the gateway alone would forward it to them. It was not forwarded, so any client may ask again. The
// price: it is not asked whether the customer's quota would have had it rejected anyway.
func (d *Dispatcher) shedRequest(r *Request) bool {
	isOffered := d.recorder != nil && !r.isRepeat
	if isOffered {
		d.recorder.AddOffered(r.units)
	}
	if !d.subset.ShouldShed() {
		return false
	}
	if isOffered {
		d.recorder.AddShed(r.units)
	}
	r.completed = true
	r.decisions <- Decision{Action: Reject, RetryAfter: d.shedRetryAfter}
	return true
}

// shedRetryAfter is how long a client whose request fits in no zone is asked to stay away: a quarter of the tightest latency
// objective, as the gateway says where no server can be had. Capacity elsewhere is shared by lot, so asking again soon may
// find some: with a second in its place more of those shed ran out of time (docs/failover.md).
func shedRetryAfter(classes []policy.TrafficClass) time.Duration {
	tightest := time.Duration(math.MaxInt64)
	for _, class := range classes {
		if !class.Retired {
			tightest = min(tightest, class.LatencyObjective)
		}
	}
	return tightest / shedRetryDivisor
}

// shedRetryDivisor is the part of the tightest latency objective that a client stays away.
const shedRetryDivisor = 4

// SetRecorder has a recorder record from here on what goes on in each zone, and of attempts in flight how they end.
func (d *Dispatcher) SetRecorder(recorder *zonestats.Recorder) {
	now := d.lock()
	defer d.unlock()
	d.recorder = recorder
	recorder.Reconfigure(&d.settings)
	d.refreshEndpoints(now)
}

// recordEndpoints tells the recorder the full endpoint list.
func (d *Dispatcher) recordEndpoints(now time.Duration, all []subset.Candidate) {
	list := make([]policy.Endpoint, 0, len(all))
	for _, server := range all {
		list = append(list, server.Endpoint)
	}
	d.recorder.SetEndpoints(now, list)
}

// WriteZoneCounts gives the recorder's counts, for the coordination node to observe. Without a recorder there are none.
func (d *Dispatcher) WriteZoneCounts(add func(name string, n uint64)) {
	now := d.lock()
	defer d.unlock()
	if d.recorder != nil {
		d.recorder.WriteCounts(now, add)
	}
}

// IsZoneLost tells whether by this gateway's own observations its own zone is lost.
func (d *Dispatcher) IsZoneLost() bool {
	d.lock()
	defer d.unlock()
	return d.recorder != nil && d.recorder.IsZoneLost()
}
