package settlement

import "time"

const (
	minChangeFraction = 0.1 // relative change above which a share or net debt is written
	minShareChange    = 100 // ppm; change above which a share is written
)

// hasSignificantChange reports whether to write the next state. Small changes are not written,
// because each write adds an entry to the log. Changes of shares, paces, holds and forgiveness are
// written immediately. Changes of debts are written only when a renewal is due.
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
		current.lastForgivenessNumber() != next.lastForgivenessNumber()
}

func hasChangedShares(current, next State) bool {
	if len(current.Shares) != len(next.Shares) {
		return true
	}
	for _, share := range next.Shares {
		if differsSignificantly(current.sharePPM(share.Pair), share.PPM, minShareChange) {
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

// hasChangedDebts reports whether a net debt changed significantly, or one above MinDebt is gone.
func (c *Controller) hasChangedDebts(current, next State) bool {
	minDebt := c.terms.MinDebt * thousandthsPerUnit
	before := map[Pair]uint64{}
	for _, debt := range current.NetDebts {
		before[debt.Pair] = debt.Sum
	}
	for _, debt := range next.NetDebts {
		if differsSignificantly(before[debt.Pair], debt.Sum, minDebt) {
			return true
		}
		delete(before, debt.Pair)
	}
	for _, sum := range before {
		if float64(sum) > minDebt {
			return true
		}
	}
	return false
}

// differsSignificantly reports whether the difference between two values is above both minChange
// and minChangeFraction of the larger value.
func differsSignificantly(a, b uint64, minChange float64) bool {
	change := float64(max(a, b) - min(a, b))
	return change > minChange && change > minChangeFraction*float64(max(a, b))
}
