package settlement

import "time"

const (
	minChangeFraction = 0.1 // by which a share or a net debt must change to be written
	minShareChange    = 100 // ppm; a smaller change of a share is not written
)

// hasSignificantChange decides whether the next state is written: each write is an entry of the
// log. Changes of shares, partners and forgiveness are written at once, debts with the renewal.
func (c *Controller) hasSignificantChange(now time.Duration, current, next State) bool {
	if hasChangedForgiveness(current, next) || hasChangedShares(current, next) || hasChangedPartners(current, next) {
		return true
	}
	isRenewalDue := now >= c.epochSeenAt+renewInterval
	if isRenewalDue && (len(next.Shares) > 0 || c.hasChangedDebts(current, next)) {
		return true
	}
	return now >= c.epochSeenAt+clockInterval && len(next.Lots) > 0
}

func hasChangedForgiveness(current, next State) bool {
	return len(current.ForgivenessLog) != len(next.ForgivenessLog) ||
		current.lastForgiveness() != next.lastForgiveness()
}

func hasChangedShares(current, next State) bool {
	if len(current.Shares) != len(next.Shares) {
		return true
	}
	for _, share := range next.Shares {
		if differs(current.sharePPM(share.Pair), share.PPM, minShareChange) {
			return true
		}
	}
	return false
}

func hasChangedPartners(current, next State) bool {
	for _, p := range next.Partners {
		before := current.partnerState(p.Partner)
		if before.Pace != p.Pace || before.MaxPace != p.MaxPace || before.HoldUntil != p.HoldUntil {
			return true
		}
	}
	return false
}

// hasChangedDebts reports whether a net debt changed much, or one above the smallest that is
// settled is gone.
func (c *Controller) hasChangedDebts(current, next State) bool {
	smallest := c.terms.MinDebt * thousandthsPerUnit
	before := map[Pair]uint64{}
	for _, debt := range current.NetDebts {
		before[debt.Pair] = debt.Sum
	}
	for _, debt := range next.NetDebts {
		if differs(before[debt.Pair], debt.Sum, smallest) {
			return true
		}
		delete(before, debt.Pair)
	}
	for _, sum := range before {
		if float64(sum) > smallest {
			return true
		}
	}
	return false
}

// differs reports whether two values differ by more than minChange and by more than
// minChangeFraction of the larger.
func differs(a, b uint64, minChange float64) bool {
	change := float64(max(a, b) - min(a, b))
	return change > minChange && change > minChangeFraction*float64(max(a, b))
}
