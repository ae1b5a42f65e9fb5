package simulation

import (
	"flag"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	seedCount = flag.Int("schedules", 100, "how many seeds are played")
	firstSeed = flag.Int("first", 0, "the first of them: a seed that failed is played again by -first SEED -schedules 1")
)

// runSeeds runs seeds side by side and gives their reports.
func runSeeds(from, seeds int, bug Bug) []Report {
	all := make([]Report, seeds)
	var next atomic.Int64
	var on sync.WaitGroup
	for range 8 {
		on.Go(func() {
			for i := next.Add(1) - 1; i < int64(seeds); i = next.Add(1) - 1 {
				all[i] = Run(uint64(from)+uint64(i), bug)
			}
		})
	}
	on.Wait()
	return all
}

func TestRun_nothingAcknowledgedIsLostUnderFaults(t *testing.T) {
	began, seeds, done, events := time.Now(), *seedCount, 0, 0
	for i, r := range runSeeds(*firstSeed, seeds, NoBug) {
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %v", *firstSeed+i, r.Violations)
		}
		done, events = done+r.Answered, events+r.Events
	}
	t.Logf("%d schedules, %d calls, %d events, %.0f schedules a minute", seeds, done, events,
		float64(seeds)/time.Since(began).Minutes())
	if done < 40*seeds {
		t.Errorf("%d calls answered in %d schedules: too few to tell", done, seeds)
	}
}

// Voters are killed while they lead, 50 times, and come back after a while: how long nobody leads is what the operators'
// page says.
func TestRun_timeWithoutALeader(t *testing.T) {
	s := newSimulation(1, NoBug, 3)
	var took []time.Duration
	for len(took) < 50 {
		s.runUntil(s.now + 2*time.Second)
		leader := s.leader()
		if leader == nil {
			t.Fatalf("no leader %v after the kill before", 2*time.Second)
		}
		leader.crash()
		began := s.now
		s.after(time.Second, leader.restart)
		for s.leader() == nil {
			s.runUntil(s.agenda[0].at)
		}
		took = append(took, s.now-began)
	}
	slices.Sort(took)
	t.Logf("50 kills of a leader: p50 %v, p90 %v, most %v", took[24], took[44], took[49])
	if took[49] > time.Second || took[0] < 100*time.Millisecond {
		t.Errorf("without a leader for %v to %v", took[0], took[49])
	}
}

// Each planted bug must be found, or the checks prove nothing.
func TestRun_plantedBugsAreFound(t *testing.T) {
	for bug, name := range bugNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const most = 3000
			for seed := range uint64(most) {
				if r := Run(seed, bug); len(r.Violations) > 0 {
					t.Logf("found after %d schedules: %s", seed+1, r.Violations[0])
					return
				}
			}
			t.Errorf("not found in %d schedules", most)
		})
	}
}

var bugNames = map[Bug]string{VoteWithoutSync: "vote without sync", SendBeforeSync: "message sent before sync",
	CommandAppliedTwice: "command applied twice", LeaseByWallClock: "lease by wall clock",
	LeaseFromResponse: "lease from its answer",
	LeaseIgnored:      "stale plan acted on", DigestsCountedTwice: "evidence counted twice", ReadWithoutQuorum: "read without quorum"}

// A seed that fails must fail again in the same way, or nobody can look into it.
func TestRun_seedReplaysExactly(t *testing.T) {
	for seed := range uint64(8) {
		a, b := Run(seed, NoBug), Run(seed, NoBug)
		if a.Trace != b.Trace || a.Events != b.Events || a.Answered != b.Answered {
			t.Errorf("seed %d: %+v, then %+v", seed, a, b)
		}
	}
}
