package simulation

import (
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/upstream/subset"
	"harrierhoist/policy"
)

// This file is where the program's own steering meets a gateway that is played: what package gate does between the two.

// commons is what a follower holds, as the steering asks for it.
type cachedTables struct{ f *follower }

// Now is the virtual time.
func (c cachedTables) Now() time.Duration { return c.f.coordinator.engine.clock.Now() }

// Cached is the one table.
func (c cachedTables) Cached(string) coordination.CachedTable { return c.f.cached }

// Changed is not waited for: steps are taken with each change.
func (c cachedTables) Changed() <-chan struct{} { return nil }

// RegisterCounters is not used: digests take counts from the witness itself.
func (c cachedTables) RegisterCounters(func(add func(name string, n uint64))) {}

// RegisterExactCounters is not used.
func (c cachedTables) RegisterExactCounters(func(add func(name string, n uint64))) {}

// SetSteering steers the pool until the lease ends, and then the other way with the next task.
func (f *follower) SetSteering(by dispatch.Steering, lease time.Duration, after dispatch.Steering) {
	f.steeringUntil, f.nextSteering = f.coordinator.engine.clock.Now()+lease, &after
	if lease <= 0 {
		f.nextSteering = nil
		by = after
	}
	f.applySteering(by)
}

func (f *follower) applySteering(by dispatch.Steering) {
	f.steering = by
	if f.gateway.subset.SetWeights(by.Weights, by.ShedFraction) {
		f.gateway.updateEndpoints()
	}
	f.coordinator.recordFailover(f)
}

// keep sees, with each task, to the end of a lease.
func (f *follower) expireSteering() {
	if f.nextSteering != nil && f.coordinator.engine.clock.Now() >= f.steeringUntil {
		by := *f.nextSteering
		f.nextSteering = nil
		f.applySteering(by)
	}
}

// WriteZoneCounts is not used.
func (f *follower) WriteZoneCounts(func(name string, n uint64)) {}

// IsZoneLost tells whether it sees its own hall lost.
func (f *follower) IsZoneLost() bool { return f.recorder.IsZoneLost() }

// told tells its witness the whole list.
func (f *follower) setEndpoints(all []subset.Candidate) {
	list := make([]policy.Endpoint, 0, len(all))
	for _, s := range all {
		list = append(list, s.Endpoint)
	}
	f.recorder.SetEndpoints(f.coordinator.engine.clock.Now(), list)
}

// again tells whether a client says that it asks again.
func (f *follower) isRepeat(t *try) bool {
	return t.number > 0 && f.coordinator.engine.scenario.Clients.MarkRepeats
}

// turned tells its witness of a try that the module rejects, as the gate does: demand, if it was for room.
func (f *follower) recordRejection(t *try) {
	module, is := f.gateway.policy.(*policy.Gateway)
	if is && module.IsAdmitted(t.requestID) && len(t.attempts) == 0 && !f.isRepeat(t) {
		f.recorder.AddShed(t.request.declaredUnits)
	}
}

// shed rejects a try at once where it fits in no hall.
func (f *follower) shedIfFull(t *try) bool {
	repeat := f.isRepeat(t)
	if !repeat {
		f.recorder.AddOffered(t.request.declaredUnits)
	}
	if !f.gateway.subset.ShouldShed() {
		return false
	}
	if !repeat {
		f.recorder.AddShed(t.request.declaredUnits)
	}
	t.retryAfter = shedRetryAfter
	f.gateway.answer(t, rejected)
	return true
}
