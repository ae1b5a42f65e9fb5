package canary

import "math"

// BettingTest is a sequential test by betting. It decides whether the mean of values in [0, 1] is
// below or above a bound, and may be examined after each value. It places separate bets on a mean
// below and on a mean above the bound. If the mean is not below the bound, the wealth of the bets
// on a mean below it reaches 1/alpha with a probability of at most alpha. The same applies to a
// mean above the bound. The proof is in docs/capacity.md. The test is stored in the table.
type BettingTest struct {
	LogWealthBelow [stakeCount]float64 `cbor:"1,keyasint"` // by stake, of bets on a mean below the bound
	LogWealthAbove [stakeCount]float64 `cbor:"2,keyasint"` // by stake, of bets on a mean above the bound
	Count          int                 `cbor:"3,keyasint"` // number of values so far
	Sum            float64             `cbor:"4,keyasint"` // sum of the values so far
}

const (
	stakeCount   = 8    // each stake is half of the one before
	maxStake     = 0.95 // fraction of the wealth at risk at the highest stake; at 1, one value could lose all of it
	maxLogWealth = 600  // cap that exceeds log(1/alpha) for any alpha in use and whose exponential is finite
)

// Add bets on a value from 0 to 1 against a bound between 0 and 1, exclusively. Values outside of
// [0, 1] are clamped. All calls must have the same bound.
func (b *BettingTest) Add(value, bound float64) {
	value = min(max(value, 0), 1)
	b.Count++
	b.Sum += value
	for i := range stakeCount {
		stake := maxStake / float64(int(1)<<i)
		b.LogWealthBelow[i] += math.Log1p(stake / (1 - bound) * (bound - value))
		b.LogWealthAbove[i] += math.Log1p(stake / bound * (value - bound))
	}
}

// Mean returns the mean of the values so far, or 0 if there are none.
func (b *BettingTest) Mean() float64 { return b.Sum / float64(max(b.Count, 1)) }

// IsBelow reports whether the mean is below the bound, with a probability of at most alpha for a
// false positive. The highest stake starts with half of the wealth, the next with a quarter and so
// on: most buckets are expected to have the value 0, and a high stake gains the most on it.
func (b *BettingTest) IsBelow(alpha float64) bool {
	wealth := 0.0
	for i, logWealth := range b.LogWealthBelow {
		wealth += math.Exp(min(logWealth, maxLogWealth)) / float64(int(1)<<(i+1))
	}
	return wealth >= 1/alpha
}

// IsAbove reports whether the mean is above the bound, with a probability of at most alpha for a
// false positive. All stakes start with an equal share of the wealth.
func (b *BettingTest) IsAbove(alpha float64) bool {
	wealth := 0.0
	for _, logWealth := range b.LogWealthAbove {
		wealth += math.Exp(min(logWealth, maxLogWealth)) / stakeCount
	}
	return wealth >= 1/alpha
}
