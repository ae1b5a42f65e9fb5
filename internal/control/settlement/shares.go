package settlement

import "time"

const (
	maxEpisode      = 300 * time.Second // after which a settlement rests, to see partners served without it
	restSpan        = 15 * time.Second  // of such a rest: settlementTail, and some seconds to see
	maxBaselineWait = 30 * time.Second  // that a start waits for partners of which too little was seen
	startDebtFactor = 2                 // times MinDebt, at which a debt starts to be settled; it ends at MinDebt
)

// setShares decides which shares are in force next; next.Shares is empty before it. A debtor's
// servers take requests of its creditor: the creditor then owes for each, and the net debt falls by
// it. That it fell shows in the totals alone.
func (c *Controller) setShares(now time.Duration, excluded map[string]bool, current State, next *State) {
	isStarting := len(current.Shares) == 0
	switch {
	case !c.hasRates():
		if !isStarting { // without rates what is in force goes on, and nothing starts
			next.Shares = current.Shares
		}
		return
	case next.isResting():
		return
	case !isStarting && next.isEpisodeOver():
		next.RestUntil = next.Clock + clockMillis(restSpan)
		return
	}
	if isStarting {
		c.recordBaseline(next)
	}
	found := c.findCandidates(excluded, current, next)
	mayWait := now < c.lastSettlingAt+settlementTail+maxBaselineWait
	if isStarting && found.sampleTooSmall && mayWait {
		return
	}
	next.Shares = c.divide(found)
	if isStarting && len(next.Shares) > 0 {
		next.StartedAt = next.Clock
	}
}

// isResting reports whether no settlement is in force, to see how partners are served without one.
func (s State) isResting() bool { return s.Clock < s.RestUntil }

// isEpisodeOver reports whether the settlement in force has lasted so long that it rests.
func (s State) isEpisodeOver() bool { return s.Clock >= s.StartedAt+clockMillis(maxEpisode) }

// isHeld reports whether a partner is left alone after harm.
func (s State) isHeld(partner PartnerState) bool { return s.Clock < partner.HoldUntil }

// candidates are the pairs whose debts may be settled now.
type candidates struct {
	pairs          []Pair
	flows          []Flow             // by pair
	creditorRates  map[string]float64 // thousandths of units per second that a creditor has to move
	sampleTooSmall bool               // too little was seen of a partner that would be one
}

// findCandidates returns the pairs of which nothing forbids a settlement, with what each demands.
func (c *Controller) findCandidates(excluded map[string]bool, current State, next *State) candidates {
	found := candidates{creditorRates: map[string]float64{}}
	weights := c.terms.creditorWeights()
	for _, debt := range next.NetDebts {
		debtor := next.partnerState(debt.Debtor)
		creditor := next.partnerState(debt.Creditor)
		isInForce := current.sharePPM(debt.Pair) > 0
		isExcluded := excluded[debt.Debtor] || excluded[debt.Creditor]
		isHeld := next.isHeld(debtor) || next.isHeld(creditor)
		if !c.isDue(debt, weights, isInForce) || isExcluded || isHeld {
			continue
		}
		if min(debtor.Requests, creditor.Requests) < minBaselineRequests {
			found.sampleTooSmall = true
		}
		if !c.isServedWell(debtor) || !c.isServedWell(creditor) {
			continue
		}
		creditorRate := c.rate(MetricIdempotentUnits, debt.Creditor)
		found.creditorRates[debt.Creditor] = creditorRate
		demand := c.settlementDemand(debt, creditorRate, min(debtor.Pace, creditor.Pace))
		found.pairs = append(found.pairs, debt.Pair)
		found.flows = append(found.flows, Flow{demand, weights[debt.Creditor]})
	}
	return found
}

// isDue decides whether a debt is to be settled by the terms: both partners are in the file, no
// rule excludes them, and the debt is large enough. weights are by partner of the file.
func (c *Controller) isDue(debt Amount, weights map[string]float64, isInForce bool) bool {
	hasBoth := weights[debt.Debtor] != 0 && weights[debt.Creditor] != 0
	if !hasBoth || !c.terms.between(debt.Pair).settles {
		return false
	}
	return float64(debt.Sum) >= c.debtThreshold(isInForce)
}

// debtThreshold decides at which net debt, in thousandths of units, a settlement starts, and at
// which one in force ends: lower, so that it does not start and end in turn.
func (c *Controller) debtThreshold(isInForce bool) float64 {
	threshold := c.terms.MinDebt * thousandthsPerUnit
	if !isInForce {
		threshold *= startDebtFactor
	}
	return threshold
}

// settlementDemand decides how much of a debt is to be settled, in thousandths of units per
// second: its part by the time constant, at most the pair's share of what the creditor has to
// move, times the pace in ppm.
func (c *Controller) settlementDemand(debt Amount, creditorRate float64, pace uint64) float64 {
	maxShare := c.terms.between(debt.Pair).maxShare
	paceFraction := float64(pace) / PartsPerMillion
	return min(float64(debt.Sum)/c.terms.SettleTimeConstant, maxShare*creditorRate) * paceFraction
}

// isServedWell decides whether a partner may take part: enough of its requests were seen without
// a settlement, and most were on time.
func (c *Controller) isServedWell(partner PartnerState) bool {
	return partner.Requests >= minBaselineRequests && partner.Late <= (1-c.terms.MinOnTimeFraction)*partner.Requests
}

// recordBaseline stores how partners are served without a settlement. A leader that has seen too
// little starts none.
func (c *Controller) recordBaseline(next *State) {
	for _, p := range c.terms.Partners {
		var seen serviceStats
		if stats := c.baseline[p.Name]; stats != nil {
			seen = *stats
		}
		partner := next.partnerState(p.Name)
		partner.Requests = seen.requests
		partner.Late = seen.late
		partner.Slow = seen.slow
		next.setPartnerState(partner)
	}
}

// divide returns the candidates' fair shares; those that round to nothing are left out.
func (c *Controller) divide(found candidates) (shares []Share) {
	if len(found.pairs) == 0 {
		return nil
	}
	for i, rate := range MaxMinFair(found.flows, c.flowLimits(found)) {
		pair := found.pairs[i]
		creditorRate := found.creditorRates[pair.Creditor]
		if creditorRate <= 0 {
			continue
		}
		ppm := uint64(rate / creditorRate * PartsPerMillion)
		if ppm > 0 {
			shares = append(shares, Share{pair, ppm})
		}
	}
	return shares
}

// flowLimits returns what the flows share, in thousandths of units per second: what each debtor's
// zones lend, and what each creditor may move; and, in attempts per second, what moves between
// zones in all.
func (c *Controller) flowLimits(found candidates) []Limit {
	limitOf := func(capacity float64) *Limit { return &Limit{capacity, make([]float64, len(found.pairs))} }
	betweenZones := limitOf(c.terms.MaxMovedRate)
	lending := map[string]*Limit{}
	moving := map[string]*Limit{}
	for _, p := range c.terms.Partners {
		lending[p.Name] = limitOf(c.terms.MaxLendFraction * c.rate(MetricServedUnits, p.Name))
		moving[p.Name] = limitOf(c.terms.MaxShare * found.creditorRates[p.Name])
	}
	for i, pair := range found.pairs {
		if rate := found.creditorRates[pair.Creditor]; rate > 0 {
			betweenZones.UsePerFlow[i] = c.rate(MetricIdempotentRequests, pair.Creditor) / rate
		}
		lending[pair.Debtor].UsePerFlow[i] = 1
		moving[pair.Creditor].UsePerFlow[i] = 1
	}
	var limits []Limit
	for _, p := range c.terms.Partners {
		limits = append(limits, *lending[p.Name], *moving[p.Name])
	}
	return append(limits, *betweenZones)
}
