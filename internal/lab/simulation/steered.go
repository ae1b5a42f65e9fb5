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
type commons struct{ f *follower }

// Now is the virtual time.
func (c commons) Now() time.Duration { return c.f.c.e.clock.Now() }

// Cached is the one table.
func (c commons) Cached(string) coordination.CachedTable { return c.f.held }

// Changed is not waited for: steps are taken with each change.
func (c commons) Changed() <-chan struct{} { return nil }

// RegisterCounters is not used: digests take counts from the witness itself.
func (c commons) RegisterCounters(func(add func(name string, n uint64))) {}

// RegisterExactCounters is not used.
func (c commons) RegisterExactCounters(func(add func(name string, n uint64))) {}

// SetSteering steers the pool until the lease ends, and then the other way with the next task.
func (f *follower) SetSteering(by dispatch.Steering, lease time.Duration, after dispatch.Steering) {
	f.until, f.after = f.c.e.clock.Now()+lease, &after
	if lease <= 0 {
		f.after = nil
		by = after
	}
	f.steered(by)
}

func (f *follower) steered(by dispatch.Steering) {
	f.by = by
	if f.g.pool.SetWeights(by.Weights, by.ShedFraction) {
		f.g.hand()
	}
	f.c.inForce(f)
}

// keep sees, with each task, to the end of a lease.
func (f *follower) keep() {
	if f.after != nil && f.c.e.clock.Now() >= f.until {
		by := *f.after
		f.after = nil
		f.steered(by)
	}
}

// WriteZoneCounts is not used.
func (f *follower) WriteZoneCounts(func(name string, n uint64)) {}

// IsZoneLost tells whether it sees its own hall lost.
func (f *follower) IsZoneLost() bool { return f.w.IsZoneLost() }

// told tells its witness the whole list.
func (f *follower) told(all []subset.Candidate) {
	list := make([]policy.Endpoint, 0, len(all))
	for _, s := range all {
		list = append(list, s.Endpoint)
	}
	f.w.SetEndpoints(f.c.e.clock.Now(), list)
}

// again tells whether a client says that it asks again.
func (f *follower) again(t *try) bool { return t.number > 0 && f.c.e.w.Clients.Marks }

// turned tells its witness of a try that the module rejects, as the gate does: demand, if it was for room.
func (f *follower) turned(t *try) {
	module, is := f.g.d.(*policy.Gateway)
	if is && module.IsAdmitted(t.local) && len(t.attempts) == 0 && !f.again(t) {
		f.w.AddShed(t.request.told)
	}
}

// shed rejects a try at once where it fits in no hall.
func (f *follower) shed(t *try) bool {
	repeat := f.again(t)
	if !repeat {
		f.w.AddOffered(t.request.told)
	}
	if !f.g.pool.ShouldShed() {
		return false
	}
	if !repeat {
		f.w.AddShed(t.request.told)
	}
	t.away = shedAway
	f.g.final(t, rejected)
	return true
}
