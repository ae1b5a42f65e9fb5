package dispatch

import (
	"math"
	"time"

	"harrierhoist/internal/upstream/subset"
	"harrierhoist/internal/zonestats"
	"harrierhoist/policy"
)

// This file is how the gate is steered between halls, and how it tells what it sees of them. Without a witness and
// without weights nothing of it runs.

// shedRetryAfter is how long a client whose task fits in no hall is told to stay away: a quarter of the tightest soft limit, as
// the module says where no server can be had. Room elsewhere is shared by lot, so another try soon may find some: with a
// second in its place more of those shed ran out of time (docs/failover.md).
func shedRetryAfter(classes []policy.TrafficClass) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, class := range classes {
		if !class.Retired {
			shortest = min(shortest, class.LatencyObjective)
		}
	}
	return shortest / 4
}

// Steering is how the gate is steered.
type Steering struct {
	// Weights are by the number of a hall in what proportion its servers are handed to the module; nil: as the list
	// has them.
	Weights []float64
	// ShedFraction is the part of tasks that is rejected at once, 0 to 1.
	ShedFraction float64
}

// SetSteering has the gate steered so from here on for as long as a lease stands, and then the other way, at once with the next
// task, whoever slept meanwhile. What is out goes on.
func (d *Dispatcher) SetSteering(by Steering, lease time.Duration, after Steering) {
	now := d.lock()
	defer d.unlock()
	d.steeringExpires, d.nextSteering = now+lease, &after
	if lease <= 0 {
		d.nextSteering = nil
		by = after
	}
	d.applySteering(now, by)
}

func (d *Dispatcher) applySteering(now time.Duration, by Steering) {
	if d.subset.SetWeights(by.Weights, by.ShedFraction) && len(d.servers) > 0 {
		d.updateGateway(now, policy.ListFull)
	}
}

// refreshSteering keeps the part in line with the time: with the end of a lease, and with the rate of pushes.
func (d *Dispatcher) refreshSteering(now time.Duration) {
	switch {
	case d.nextSteering != nil && now >= d.steeringExpires:
		by := *d.nextSteering
		d.nextSteering = nil
		d.applySteering(now, by)
	case d.subset.IsDue(now):
		d.updateGateway(now, policy.ListFull)
	}
}

// shedRequest rejects a task at once where the plan says that it fits in no hall. It guards the other halls against what
// a lost one leaves; the module alone would push it to them. It was not pushed, so any client may come again. Harm: it is
// not asked whether the customer's quota would have had it rejected anyway.
func (d *Dispatcher) shedRequest(r *Request, repeat bool) bool {
	recorder := d.dependencies.Recorder
	if recorder != nil && !repeat {
		recorder.AddOffered(r.units)
	}
	if !d.subset.ShouldShed() {
		return false
	}
	if recorder != nil && !repeat {
		recorder.AddShed(r.units)
	}
	r.completed = true
	r.decisions <- Decision{Action: Reject, RetryAfter: d.shedRetryAfter}
	return true
}

// SetRecorder has a witness told from here on what goes on by hall; pushes that are out end with it.
func (d *Dispatcher) SetRecorder(recorder *zonestats.Recorder) {
	now := d.lock()
	defer d.unlock()
	d.dependencies.Recorder = recorder
	recorder.Reconfigure(&d.settings)
	if len(d.servers) > 0 {
		d.updateGateway(now, policy.ListFull)
	}
}

// recordEndpoints tells the witness the whole list.
func (d *Dispatcher) recordEndpoints(now time.Duration, all []subset.Candidate) {
	list := make([]policy.Endpoint, 0, len(all))
	for _, s := range all {
		list = append(list, s.Endpoint)
	}
	d.dependencies.Recorder.SetEndpoints(now, list)
}

// WriteZoneCounts gives the witness's counts, as Commons.Witness wants them. Without a witness there are none.
func (d *Dispatcher) WriteZoneCounts(add func(name string, n uint64)) {
	now := d.lock()
	defer d.unlock()
	if recorder := d.dependencies.Recorder; recorder != nil {
		recorder.WriteCounts(now, add)
	}
}

// IsZoneLost tells whether by this gateway's own evidence its own hall is lost.
func (d *Dispatcher) IsZoneLost() bool {
	d.lock()
	defer d.unlock()
	return d.dependencies.Recorder != nil && d.dependencies.Recorder.IsZoneLost()
}
