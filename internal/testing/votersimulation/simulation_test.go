package votersimulation

import (
	"flag"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	seedCount = flag.Int("schedules", 100, "how many seeds are simulated")
	firstSeed = flag.Int("first", 0, "the first of them: a seed that failed is repeated by -first SEED -schedules 1")
)

// parallelRuns is how many seeds are simulated at a time.
const parallelRuns = 8

// runSeeds simulates seeds in parallel and returns their reports.
func runSeeds(first, count int, bug Bug) []Report {
	reports := make([]Report, count)
	var next atomic.Int64
	var workers sync.WaitGroup
	for range parallelRuns {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				reports[i] = Run(uint64(first)+uint64(i), bug)
			}
		})
	}
	workers.Wait()
	return reports
}

func TestRun_nothingAcknowledgedIsLostUnderFaults(t *testing.T) {
	began, seeds, answered, events := time.Now(), *seedCount, 0, 0
	for i, report := range runSeeds(*firstSeed, seeds, NoBug) {
		if len(report.Violations) > 0 {
			t.Errorf("seed %d: %v", *firstSeed+i, report.Violations)
		}
		answered, events = answered+report.Answered, events+report.Events
	}
	t.Logf("%d schedules, %d calls, %d events, %.0f schedules a minute", seeds, answered, events,
		float64(seeds)/time.Since(began).Minutes())
	if answered < 40*seeds {
		t.Errorf("%d calls answered in %d schedules: too few to tell", answered, seeds)
	}
}

// The leader crashes 50 times and restarts after a while. docs/cluster.md states how long there is
// no leader.
func TestRun_timeWithoutALeader(t *testing.T) {
	sim := newSimulation(1, NoBug, 3)
	var withoutLeader []time.Duration
	for len(withoutLeader) < 50 {
		sim.runUntil(sim.now() + 2*time.Second)
		leader := sim.leader()
		if leader == nil {
			t.Fatalf("no leader %v after the last crash", 2*time.Second)
		}
		leader.crash()
		crashedAt := sim.now()
		sim.after(time.Second, leader.restart)
		for sim.leader() == nil {
			next, _ := sim.clock.Next()
			sim.runUntil(next)
		}
		withoutLeader = append(withoutLeader, sim.now()-crashedAt)
	}
	slices.Sort(withoutLeader)
	shortest, longest := withoutLeader[0], withoutLeader[49]
	t.Logf("50 crashes of a leader: p50 %v, p90 %v, longest %v", withoutLeader[24], withoutLeader[44], longest)
	if longest > time.Second || shortest < 100*time.Millisecond {
		t.Errorf("without a leader for %v to %v", shortest, longest)
	}
}

// Each planted bug must be found, or the invariants prove nothing.
func TestRun_plantedBugsAreFound(t *testing.T) {
	for bug, name := range map[Bug]string{
		VoteWithoutSync:     "vote without sync",
		SendBeforeSync:      "message sent before sync",
		CommandAppliedTwice: "command applied twice",
		LeaseByWallClock:    "lease on a wall clock",
		LeaseFromResponse:   "lease from its response",
		LeaseIgnored:        "lease ignored",
		DigestsCountedTwice: "digests counted twice",
		ReadWithoutQuorum:   "read without quorum",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 3000
			for seed := range uint64(maxSeeds) {
				if report := Run(seed, bug); len(report.Violations) > 0 {
					t.Logf("found after %d schedules: %s", seed+1, report.Violations[0])
					return
				}
			}
			t.Errorf("not found in %d schedules", maxSeeds)
		})
	}
}

// A seed that fails must fail again in the same way, or nobody can investigate it.
func TestRun_seedReplaysExactly(t *testing.T) {
	for seed := range uint64(8) {
		a, b := Run(seed, NoBug), Run(seed, NoBug)
		if a.Trace != b.Trace || a.Events != b.Events || a.Answered != b.Answered {
			t.Errorf("seed %d: %+v, then %+v", seed, a, b)
		}
	}
}
