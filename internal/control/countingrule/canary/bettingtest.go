package canary

import "math"

// BettingTest tests whether the mean of numbers in [0, 1] is below a bound or above it, and may be examined after each of
// them: by betting, after Waudby-Smith and Ramdas, "Estimating means of bounded random variables by betting"
// (J. R. Stat. Soc. B, 2024), and Howard, Ramdas, McAuliffe and Sekhon, "Time-uniform, nonparametric, nonasymptotic
// confidence sequences" (Ann. Stat., 2021).
//
// Wealth starts at 1 and is multiplied by 1 + s (m - x) for a number x, with a stake s of at most 1/(1 - m). Where the
// mean of each x given those before is m or more, the wealth is a supermartingale: by Ville's inequality the chance
// that it ever reaches 1/a is at most a, however often it is examined. So is the mean of several wealths with fixed
// stakes, which saves choosing one. The other side bets the other way. Set side by side for every m, these tests are a
// confidence sequence for the mean; here the two at the bound are all that is asked.
type BettingTest struct {
	LogWealthBelow [stakeCount]float64 `cbor:"1,keyasint"` // betting on a mean below the bound
	LogWealthAbove [stakeCount]float64 `cbor:"2,keyasint"`
	Count          int                 `cbor:"3,keyasint"` // of numbers so far
	Sum            float64             `cbor:"4,keyasint"` // of them
}

const (
	stakeCount  = 8    // parts of the highest stake, each half of the one before: for bounds from 1% to half
	maxStake    = 0.95 // part of the highest stake that is bet: all of it can lose everything at one number
	maxExponent = 600  // far beyond any 1/a, and no infinity
)

// Add takes a number against the bound, which lies between 0 and 1.
func (b *BettingTest) Add(value, bound float64) {
	value = min(max(value, 0), 1)
	b.Count++
	b.Sum += value
	for i := range stakeCount {
		part := maxStake / float64(int(1)<<i)
		b.LogWealthBelow[i] += math.Log1p(part / (1 - bound) * (bound - value))
		b.LogWealthAbove[i] += math.Log1p(part / bound * (value - bound))
	}
}

// Mean is that of the numbers so far.
func (b *BettingTest) Mean() float64 { return b.Sum / float64(max(b.Count, 1)) }

// IsBelow tells that the mean is below the bound, wrong with a chance of at most alpha. The highest stake has half of
// the first wealth, the next a quarter and so on: buckets in which nothing is lost are the usual case.
func (b *BettingTest) IsBelow(alpha float64) bool {
	mean := 0.0
	for i, logWealth := range b.LogWealthBelow {
		mean += math.Exp(min(logWealth, maxExponent)) / float64(int(2)<<i)
	}
	return mean >= 1/alpha
}

// IsAbove tells that the mean is above the bound, the same way; each stake has as much of the first wealth.
func (b *BettingTest) IsAbove(alpha float64) bool {
	mean := 0.0
	for _, logWealth := range b.LogWealthAbove {
		mean += math.Exp(min(logWealth, maxExponent)) / stakeCount
	}
	return mean >= 1/alpha
}
