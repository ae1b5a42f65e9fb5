package simulation

import (
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// shedRetryAfter is the Retry-After of requests that are shed.
const shedRetryAfter = time.Second

// cachedTables gives package routing what a follower has cached.
type cachedTables struct{ follower *follower }

// Now is the virtual time.
func (c cachedTables) Now() time.Duration { return c.follower.coordinator.engine.clock.Now() }

// Cached is the one table that there is.
func (c cachedTables) Cached(string) coordination.CachedTable { return c.follower.cached }

// Changed returns a channel that never closes: the follower calls Update with each change.
func (c cachedTables) Changed() <-chan struct{} { return nil }

// RegisterCounters does nothing: digests take the counts from the recorder.
func (c cachedTables) RegisterCounters(func(add func(name string, n uint64))) {}

// RegisterExactCounters does nothing, either.
func (c cachedTables) RegisterExactCounters(func(add func(name string, n uint64))) {}

// SetSteering steers the gateway's subset until the lease ends; the next steering then holds from
// the next request on.
func (f *follower) SetSteering(steering dispatch.Steering, lease time.Duration, next dispatch.Steering) {
	f.steeringUntil = f.coordinator.engine.clock.Now() + lease
	f.nextSteering = &next
	if lease <= 0 {
		f.nextSteering = nil
		steering = next
	}
	f.applySteering(steering)
}

// applySteering has the subset follow a steering.
func (f *follower) applySteering(steering dispatch.Steering) {
	f.steering = steering
	if f.gateway.subset.SetWeights(steering.Weights, steering.ShedFraction) {
		f.gateway.updateEndpoints()
	}
	f.coordinator.recordFailover(f)
}

// expireSteering goes over to the next steering if the lease has ended. Each request calls it.
func (f *follower) expireSteering() {
	if f.nextSteering != nil && f.coordinator.engine.clock.Now() >= f.steeringUntil {
		next := *f.nextSteering
		f.nextSteering = nil
		f.applySteering(next)
	}
}

// WriteZoneCounts does nothing: digests take the counts from the recorder.
func (f *follower) WriteZoneCounts(func(name string, n uint64)) {}

// IsZoneLost reports whether the gateway holds its own zone to be lost.
func (f *follower) IsZoneLost() bool { return f.recorder.IsZoneLost() }

// setEndpoints gives the recorder the complete list of endpoints.
func (f *follower) setEndpoints(candidates []subset.Candidate) {
	list := make([]policy.Endpoint, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, c.Endpoint)
	}
	f.recorder.SetEndpoints(f.coordinator.engine.clock.Now(), list)
}

// isRepeat reports whether the client marked a try as a repeat.
func (f *follower) isRepeat(t *try) bool {
	return t.number > 0 && f.coordinator.engine.scenario.Clients.MarkRepeats
}

// recordRejection counts a try that the module rejects for want of capacity: it is demand all the
// same.
func (f *follower) recordRejection(t *try) {
	module, isModule := f.gateway.policy.(*policy.Gateway)
	if !isModule || f.isRepeat(t) {
		return
	}
	if module.IsAdmitted(t.requestID) && len(t.attempts) == 0 {
		f.recorder.AddShed(t.request.declaredUnits)
	}
}

// shedIfFull rejects a try at once where no zone has capacity for it. It returns false if it did
// not.
func (f *follower) shedIfFull(try *try) bool {
	isRepeat := f.isRepeat(try)
	if !isRepeat {
		f.recorder.AddOffered(try.request.declaredUnits)
	}
	if !f.gateway.subset.ShouldShed() {
		return false
	}
	if !isRepeat {
		f.recorder.AddShed(try.request.declaredUnits)
	}
	try.retryAfter = shedRetryAfter
	f.gateway.finishTry(try, rejected)
	return true
}
