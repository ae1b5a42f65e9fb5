package canary

import (
	"flag"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
)

var (
	full = flag.Bool("full", false, "1,000 harmless and 1,000 harmful changes in place of a few")
	only = flag.String("only", "", "the change that is simulated alone with -full")
)

// quickChanges are those of a short test.
var quickChanges = []string{"as it is", "pairs", "half", "poor pairs"}

// trueMeans are a change's means of each figure over many buckets at the end of a canary, none of
// them tested before.
func trueMeans(rule countingrule.Rule, runs uint64) (means [len(bounds)]float64) {
	buckets, canary := 0.0, canaryConfig()
	for seed := range runs {
		s := newSimulation(rule, 5000+seed)
		s.decide()
		undecided := configFor(rule)
		undecided.Canary.DeadlineSeconds = 86_400 // no verdict
		s.controller.Config = func() *countingrule.Config { return undecided }
		s.advance(s.now+75*time.Second, never)
		var state TrialState
		sums, fingerprint := s.sums(), Fingerprint(s.tableValue().Seed)
		for bucket := range Buckets {
			state.addBucket(&canary, readBucket(sums, fingerprint, bucket))
		}
		for i := range means {
			means[i] += state.Tests[i].Sum
		}
		buckets += float64(state.Tests[0].Count)
	}
	for i := range means {
		means[i] /= buckets
	}
	return means
}

// verdicts count what became of trials, and how long they took together.
type verdicts struct {
	taken, refused, undecided int
	elapsed                   time.Duration
}

func (v *verdicts) add(more verdicts) {
	v.taken += more.taken
	v.refused += more.refused
	v.undecided += more.undecided
	v.elapsed += more.elapsed
}

// runTrial simulates one trial to its verdict.
func runTrial(rule countingrule.Rule, seed uint64) verdicts {
	s := newSimulation(rule, seed)
	s.advance(s.now+130*time.Second, s.hasVerdict)
	v := verdicts{elapsed: s.now - time.Hour}
	switch reason := s.tableValue().Reason; {
	case strings.HasPrefix(reason, "harmless"):
		v.taken = 1
	case strings.HasPrefix(reason, "undecided"):
		v.undecided = 1
	default:
		v.refused = 1
	}
	return v
}

// runTrials simulates so many trials of a change, a few at a time.
func runTrials(rule countingrule.Rule, count int) (all verdicts) {
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := range count {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			v := runTrial(rule, uint64(i)+100)
			mu.Lock()
			defer mu.Unlock()
			all.add(v)
		})
	}
	running.Wait()
	return all
}

// Verdicts on drawn changes, harmless and harmful, are wrong at most as often as stated. What stays
// undecided is refused.
func TestController_verdictErrorRate(t *testing.T) {
	names, runsEach, runs := quickChanges, 3, uint64(2)
	if *full {
		names, runsEach, runs = slices.Sorted(maps.Keys(changes)), 167, 12 // times six or more of either kind
	}
	if *only != "" {
		names = []string{*only}
	}
	var harmless, harmful verdicts
	for _, name := range names {
		means := trueMeans(changes[name], runs)
		got := runTrials(changes[name], runsEach)
		isHarmful := means[0] > 0.05 || means[1] > 0.1 || means[2] > 0.1
		if isHarmful {
			harmful.add(got)
		} else {
			harmless.add(got)
		}
		t.Logf("%-10s harmful %5v (%.3f %.3f %.3f): taken %d, refused %d, undecided %d, %v in the mean",
			name, isHarmful, means[0], means[1], means[2], got.taken, got.refused, got.undecided,
			(got.elapsed / time.Duration(runsEach)).Round(time.Second))
	}
	total := func(v verdicts) int { return v.taken + v.refused + v.undecided }
	t.Logf("harmful taken %d of %d, harmless refused %d of %d; undecided %d and %d", harmful.taken, total(harmful),
		harmless.refused, total(harmless), harmful.undecided, harmless.undecided)
	if *only == "" && (harmful.refused == 0 || harmless.taken == 0) {
		t.Error("no harmful change was refused, or no harmless one taken")
	}
	if harmful.taken*20 > total(harmful) || harmless.refused*20 > total(harmless) {
		t.Errorf("harmful %+v, harmless %+v: more than one in twenty wrong", harmful, harmless)
	}
}
