package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"harrierhoist/internal/coordination/observation"
)

// How digests are paced.
const (
	slowDivisor    = 4   // a digest is slow that takes more than this part of the pause between two
	slowdownFactor = 1.5 // the pause after a slow one
	recoveryFactor = 0.9 // and after one that was not
	maxSlowdown    = 8   // at the most: 1.6 s of 200 ms
	jitterDivisor  = 2   // digests are drawn apart by half of their pause, so that fleets do not beat
)

// sendDigests sends a digest at each of its times. One that is lost is not sent again: the next has all that it had.
func (f *Follower) sendDigests(ctx context.Context) {
	slowdown := 1.0
	for serial := uint64(1); ; serial++ {
		_, _, timing := f.currentSource()
		half := time.Duration(slowdown * float64(timing.DigestInterval) / jitterDivisor)
		if !sleep(ctx, half+rand.N(2*half+1)) {
			return
		}
		merged, exact := f.counters.collect()
		source, session, _ := f.currentSource()
		if source == nil || len(merged)+len(exact) == 0 {
			continue
		}
		d := observation.Digest{Process: f.process, Incarnation: f.incarnation, Serial: serial, Session: session,
			Counts: merged, Exact: exact}
		sent := f.clock()
		err := source.SendDigest(ctx, d)
		if err != nil && ctx.Err() == nil {
			f.switchSource(session)
		}
		slowdown = nextSlowdown(slowdown, err != nil || f.clock()-sent > timing.DigestInterval/slowDivisor)
	}
}

// nextSlowdown has digests come less often while the voters are slow to take them, and as before soon after. It guards
// against a fleet that is more than its voters can bear, where each digest that comes too late would be followed by
// another; the harm is that what is seen in common comes up to paceMost times later.
func nextSlowdown(slowdown float64, slow bool) float64 {
	if slow {
		return min(slowdown*slowdownFactor, maxSlowdown)
	}
	return max(slowdown*recoveryFactor, 1)
}

// counterRegistry are what a process has counted since its start.
type counterRegistry struct {
	mu     sync.Mutex
	merged []func(add func(string, uint64))
	exact  []func(add func(string, uint64))
}

func (r *counterRegistry) register(to *[]func(add func(string, uint64)), f func(add func(string, uint64))) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*to = append(*to, f)
}

// collect has every witness give its counts; two that give the same name are added.
func (r *counterRegistry) collect() (merged, exact map[string]uint64) {
	r.mu.Lock()
	m, e := r.merged, r.exact
	r.mu.Unlock()
	gather := func(from []func(add func(string, uint64))) map[string]uint64 {
		all := map[string]uint64{}
		for _, f := range from {
			f(func(name string, n uint64) { all[name] += n })
		}
		return all
	}
	return gather(m), gather(e)
}
