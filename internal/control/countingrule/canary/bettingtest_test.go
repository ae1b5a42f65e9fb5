package canary

import (
	"math/rand/v2"
	"testing"
)

// countFalseDecisions runs tests on values whose mean equals the bound. It counts the tests that
// ever report a mean below the bound, and those that ever report a mean above it.
func countFalseDecisions(runs uint64, bound, alpha float64, draw func(*rand.Rand) float64) (below, above int) {
	for seed := range runs {
		random, betting := rand.New(rand.NewPCG(seed, 9)), BettingTest{}
		isAbove, isBelow := false, false
		for range BucketCount {
			betting.Add(draw(random), bound)
			isAbove, isBelow = isAbove || betting.IsAbove(alpha), isBelow || betting.IsBelow(alpha)
		}
		if isAbove {
			above++
		}
		if isBelow {
			below++
		}
	}
	return below, above
}

// If the mean equals the bound, the rate of false decisions must not exceed alpha although the test
// is examined after each value.
func TestBettingTest_errorRateAtTheBound(t *testing.T) {
	const runs, bound, alpha = 2000, 0.05, 0.05
	const maxErrors = 120 // at most runs*alpha = 100 are expected; two standard deviations more
	for _, test := range []struct {
		name string
		draw func(*rand.Rand) float64
	}{
		{"0 or 1", func(random *rand.Rand) float64 {
			return map[bool]float64{true: 1}[random.Float64() < bound]
		}},
		{"uniform", func(random *rand.Rand) float64 { return 2 * bound * random.Float64() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			falselyBelow, falselyAbove := countFalseDecisions(runs, bound, alpha, test.draw)
			t.Logf("of %d tests at the bound, %d reported below, %d above", runs, falselyBelow, falselyAbove)
			if falselyBelow > maxErrors || falselyAbove > maxErrors {
				t.Errorf("%d false reports below, %d above, want %d at most", falselyBelow, falselyAbove, maxErrors)
			}
		})
	}
}

// The number of harmless buckets needed for a decision must match docs/counting-rules.md.
func TestBettingTest_bucketsNeededWithoutHarm(t *testing.T) {
	for bound, maxBuckets := range map[float64]int{0.02: 200, 0.05: 80, 0.1: 40} {
		betting := BettingTest{}
		for !betting.IsBelow(0.05) && betting.Count < BucketCount {
			betting.Add(0, bound)
		}
		if !betting.IsBelow(0.05) || betting.Count > maxBuckets {
			t.Errorf("bound %v: %d buckets needed, want at most %d", bound, betting.Count, maxBuckets)
		}
	}
}
