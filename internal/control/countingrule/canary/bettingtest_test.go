package canary

import (
	"math/rand/v2"
	"testing"
)

// errorsAtTheBound counts the tests that find a mean at the bound below it, and above it, at any
// look.
func errorsAtTheBound(runs uint64, bound, alpha float64, draw func(*rand.Rand) float64) (below, above int) {
	for seed := range runs {
		random, betting := rand.New(rand.NewPCG(seed, 9)), BettingTest{}
		isAbove, isBelow := false, false
		for range Buckets {
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

// At the bound itself neither side wins more often than stated, whenever it is examined.
func TestBettingTest_errorRateAtTheBound(t *testing.T) {
	const runs, bound, alpha = 2000, 0.05, 0.05
	const maxErrors = 120 // 100 are stated; 120 is two deviations more
	for _, test := range []struct {
		name string
		draw func(*rand.Rand) float64
	}{
		{"rare and whole", func(random *rand.Rand) float64 {
			return map[bool]float64{true: 1}[random.Float64() < bound]
		}},
		{"even", func(random *rand.Rand) float64 { return 2 * bound * random.Float64() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			falselyBelow, falselyAbove := errorsAtTheBound(runs, bound, alpha, test.draw)
			t.Logf("of %d at the bound, %d called below, %d above", runs, falselyBelow, falselyAbove)
			if falselyBelow > maxErrors || falselyAbove > maxErrors {
				t.Errorf("wrong too often: %d and %d, want %d at most", falselyBelow, falselyAbove, maxErrors)
			}
		})
	}
}

// A bound needs as many buckets without harm as docs/counting-rules.md says.
func TestBettingTest_bucketsNeededWithoutHarm(t *testing.T) {
	for bound, maxBuckets := range map[float64]int{0.02: 200, 0.05: 80, 0.1: 40} {
		betting := BettingTest{}
		for !betting.IsBelow(0.05) && betting.Count < Buckets {
			betting.Add(0, bound)
		}
		if !betting.IsBelow(0.05) || betting.Count > maxBuckets {
			t.Errorf("bound %v: %d buckets, want %d at most", bound, betting.Count, maxBuckets)
		}
	}
}
