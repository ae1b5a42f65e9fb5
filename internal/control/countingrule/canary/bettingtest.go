package canary

import "math"

// BettingTest decides whether the mean of numbers in [0, 1] is below a bound or above it, and may
// be examined after each of them. It bets on either side: wealth of 1/alpha is reached with a
// chance of at most alpha where the side is wrong. The argument stands in docs/capacity.md. It is
// stored in the table.
type BettingTest struct {
	LogWealthBelow [stakeCount]float64 `cbor:"1,keyasint"` // betting on a mean below the bound
	LogWealthAbove [stakeCount]float64 `cbor:"2,keyasint"`
	Count          int                 `cbor:"3,keyasint"` // of numbers so far
	Sum            float64             `cbor:"4,keyasint"` // of them
}

const (
	stakeCount  = 8    // stakes, each half of the one before
	maxStake    = 0.95 // part of the highest stake: all of it could lose everything
	maxExponent = 600  // above the logarithm of any 1/alpha, and its power is finite
)

// Add bets with a number from 0 to 1 against the bound, which lies between 0 and 1.
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

// Mean is the mean of the numbers so far.
func (b *BettingTest) Mean() float64 { return b.Sum / float64(max(b.Count, 1)) }

// IsBelow decides that the mean is below the bound, wrong with a chance of at most alpha. The
// highest stake has half of the first wealth, the next a quarter and so on: buckets in which
// nothing is lost are the usual case.
func (b *BettingTest) IsBelow(alpha float64) bool {
	mean := 0.0
	for i, logWealth := range b.LogWealthBelow {
		mean += math.Exp(min(logWealth, maxExponent)) / float64(int(1)<<(i+1))
	}
	return mean >= 1/alpha
}

// IsAbove decides that the mean is above the bound, wrong with a chance of at most alpha. Each
// stake has the same part of the first wealth.
func (b *BettingTest) IsAbove(alpha float64) bool {
	mean := 0.0
	for _, logWealth := range b.LogWealthAbove {
		mean += math.Exp(min(logWealth, maxExponent)) / stakeCount
	}
	return mean >= 1/alpha
}
