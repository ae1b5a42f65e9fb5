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
	full = flag.Bool("full", false, "simulate 1,000 trials or more of harmless and of harmful rules each, not a few")
	only = flag.String("only", "", "name of the only rule to simulate, with -full")
)

// quickCandidates are the rules simulated without -full.
var quickCandidates = []string{"as it is", "pairs", "half", "poor pairs"}

// trueMeans estimates the true mean of each tested value for a rule, by the bound's index. It
// averages over all buckets after the first 75 seconds of canaries.
func trueMeans(rule countingrule.Rule, runs uint64) (means [len(boundKeys)]float64) {
	buckets, canary := 0.0, canaryConfig()
	for seed := range runs {
		s := newSimulation(rule, 5000+seed)
		s.decide()
		undecided := configFor(rule)
		undecided.Canary.DeadlineSeconds = 86_400 // the trial keeps its own deadline, which the table holds
		s.controller.Config = func() *countingrule.Config { return undecided }
		s.advance(s.now+75*time.Second, neverStop)
		var state TrialState
		sums, fingerprint := s.sums(), Fingerprint(s.tableValue().SampleSeed)
		for bucket := range BucketCount {
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

// trialResults counts trials by verdict and adds up their durations.
type trialResults struct {
	accepted, refused, undecided int
	elapsed                      time.Duration
}

func (v *trialResults) add(more trialResults) {
	v.accepted += more.accepted
	v.refused += more.refused
	v.undecided += more.undecided
	v.elapsed += more.elapsed
}

// runTrial simulates one trial until its verdict.
func runTrial(rule countingrule.Rule, seed uint64) trialResults {
	s := newSimulation(rule, seed)
	s.advance(s.now+130*time.Second, s.hasVerdict)
	v := trialResults{elapsed: s.now - time.Hour}
	switch reason := s.tableValue().Reason; {
	case strings.HasPrefix(reason, "harmless"):
		v.accepted = 1
	case strings.HasPrefix(reason, "undecided"):
		v.undecided = 1
	default:
		v.refused = 1
	}
	return v
}

// runTrials simulates count trials of a rule, up to four concurrently.
func runTrials(rule countingrule.Rule, count int) (all trialResults) {
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

// At most one in twenty verdicts on harmful rules and on harmless rules may be wrong. Undecided
// trials end with a refusal and are not counted as wrong.
func TestController_verdictErrorRate(t *testing.T) {
	names, runsEach, runs := quickCandidates, 3, uint64(2)
	if *full {
		// Each kind, harmless and harmful, has six rules or more: 1,000 trials or more.
		names, runsEach, runs = slices.Sorted(maps.Keys(candidateRules)), 167, 12
	}
	if *only != "" {
		names = []string{*only}
	}
	var harmless, harmful trialResults
	for _, name := range names {
		means := trueMeans(candidateRules[name], runs)
		got := runTrials(candidateRules[name], runsEach)
		isHarmful := means[0] > 0.05 || means[1] > 0.1 || means[2] > 0.1
		if isHarmful {
			harmful.add(got)
		} else {
			harmless.add(got)
		}
		t.Logf("%-10s harmful %5v (%.3f %.3f %.3f): accepted %d, refused %d, undecided %d, mean duration %v",
			name, isHarmful, means[0], means[1], means[2], got.accepted, got.refused, got.undecided,
			(got.elapsed / time.Duration(runsEach)).Round(time.Second))
	}
	total := func(v trialResults) int { return v.accepted + v.refused + v.undecided }
	t.Logf("harmful accepted %d of %d, harmless refused %d of %d; undecided %d and %d",
		harmful.accepted, total(harmful), harmless.refused, total(harmless), harmful.undecided, harmless.undecided)
	if *only == "" && (harmful.refused == 0 || harmless.accepted == 0) {
		t.Error("no harmful rule was refused, or no harmless one accepted")
	}
	if harmful.accepted*20 > total(harmful) || harmless.refused*20 > total(harmless) {
		t.Errorf("harmful %+v, harmless %+v: more than one in twenty verdicts wrong", harmful, harmless)
	}
}
