package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"harrierhoist/internal/coordination/observation"
)

// Pace of the digests.
const (
	slowDivisor    = 4   // a digest is slow that takes more than the interval divided by this
	slowdownFactor = 1.5 // by which a slow digest stretches the interval
	recoveryFactor = 0.9 // by which a digest that was not slow shrinks it again
	maxSlowdown    = 8   // times the interval
	jitterDivisor  = 2   // pauses are drawn within the interval divided by this on either side of it
)

// digestSender sends the digests of one incarnation of a process to the source in use.
type digestSender struct {
	process     string
	incarnation uint64
	clock       func() time.Duration
	sources     *sourceSelector
	counters    *counterRegistry
}

// run sends digests until the context ends. One that is lost is not sent again: the next one has
// all that it had.
func (s *digestSender) run(ctx context.Context) {
	slowdown := 1.0
	for serial := uint64(1); ; serial++ {
		_, _, timing := s.sources.current()
		if !sleep(ctx, digestPause(timing.DigestInterval, slowdown)) {
			return
		}
		merged, exact := s.counters.collect()
		source, session, _ := s.sources.current()
		if source == nil || len(merged)+len(exact) == 0 {
			continue
		}
		sent := s.clock()
		err := source.SendDigest(ctx, observation.Digest{
			Process: s.process, Incarnation: s.incarnation, Serial: serial, Session: session,
			Counts: merged, Exact: exact,
		})
		if err != nil && ctx.Err() == nil {
			s.sources.switchFrom(session)
		}
		isSlow := err != nil || s.clock()-sent > timing.DigestInterval/slowDivisor
		slowdown = nextSlowdown(slowdown, isSlow)
	}
}

// digestPause draws the pause before a digest: from a half to one and a half times the interval,
// which is stretched by slowdown, so that processes do not send in step.
func digestPause(interval time.Duration, slowdown float64) time.Duration {
	half := time.Duration(slowdown * float64(interval) / jitterDivisor)
	return half + rand.N(2*half+1)
}

// nextSlowdown decides by what factor, from 1 to maxSlowdown, the interval between two digests is
// stretched: more while the voters are slow to accept them, so that more processes than they can
// serve do not overload them. Controllers then see counts that many times later.
func nextSlowdown(slowdown float64, slow bool) float64 {
	if slow {
		return min(slowdown*slowdownFactor, maxSlowdown)
	}
	return max(slowdown*recoveryFactor, 1)
}

// counterSource adds what a part of the process has counted since its start.
type counterSource = func(add func(name string, n uint64))

// counterRegistry holds the functions that report what a process counts. It may be used by several
// goroutines at once.
type counterRegistry struct {
	mu     sync.Mutex // guards what follows
	merged []counterSource
	exact  []counterSource
}

func (r *counterRegistry) register(source counterSource) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merged = append(r.merged, source)
}

func (r *counterRegistry) registerExact(source counterSource) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exact = append(r.exact, source)
}

// collect returns all counts; two of the same name are added.
func (r *counterRegistry) collect() (merged, exact map[string]uint64) {
	r.mu.Lock()
	mergedSources := r.merged
	exactSources := r.exact
	r.mu.Unlock()
	return sum(mergedSources), sum(exactSources)
}

// sum returns the counts of some sources by name.
func sum(sources []counterSource) map[string]uint64 {
	total := map[string]uint64{}
	for _, source := range sources {
		source(func(name string, n uint64) { total[name] += n })
	}
	return total
}
