package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"harrierhoist/internal/cluster/evidence"
)

// How digests are paced.
const (
	slowPart = 4   // a digest is slow that takes more than this part of the pause between two
	paceUp   = 1.5 // the pause after a slow one
	paceDown = 0.9 // and after one that was not
	paceMost = 8   // at the most: 1.6 s of 200 ms
	spread   = 2   // digests are drawn apart by half of their pause, so that fleets do not beat
)

// tell sends a digest at each of its times. One that is lost is not sent again: the next has all that it had.
func (f *Follower) tell(ctx context.Context) {
	pace := 1.0
	for serial := uint64(1); ; serial++ {
		_, _, timing := f.source()
		half := time.Duration(pace * float64(timing.DigestEvery) / spread)
		if !pause(ctx, half+rand.N(2*half+1)) {
			return
		}
		merged, exact := f.counts.sums()
		s, session, _ := f.source()
		if s == nil || len(merged)+len(exact) == 0 {
			continue
		}
		d := evidence.Digest{Process: f.process, Incarnation: f.incarnation, Serial: serial, Session: session,
			Counts: merged, Exact: exact}
		sent := f.clock()
		err := s.Tell(ctx, d)
		if err != nil && ctx.Err() == nil {
			f.turn(session)
		}
		pace = nextPace(pace, err != nil || f.clock()-sent > timing.DigestEvery/slowPart)
	}
}

// nextPace has digests come less often while the voters are slow to take them, and as before soon after. It guards
// against a fleet that is more than its voters can bear, where each digest that comes too late would be followed by
// another; the harm is that what is seen in common comes up to paceMost times later.
func nextPace(pace float64, slow bool) float64 {
	if slow {
		return min(pace*paceUp, paceMost)
	}
	return max(pace*paceDown, 1)
}

// counts are what a process has counted since its start.
type counts struct {
	mu     sync.Mutex
	merged []func(add func(string, uint64))
	exact  []func(add func(string, uint64))
}

func (c *counts) witness(to *[]func(add func(string, uint64)), f func(add func(string, uint64))) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*to = append(*to, f)
}

// sums has every witness give its counts; two that give the same name are added.
func (c *counts) sums() (merged, exact map[string]uint64) {
	c.mu.Lock()
	m, e := c.merged, c.exact
	c.mu.Unlock()
	gather := func(from []func(add func(string, uint64))) map[string]uint64 {
		all := map[string]uint64{}
		for _, f := range from {
			f(func(name string, n uint64) { all[name] += n })
		}
		return all
	}
	return gather(m), gather(e)
}
