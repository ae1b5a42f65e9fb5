package settlement

import "time"

const (
	maxSettlementDuration = 300 * time.Second // time after which a settlement pauses to measure a new baseline
	pauseDuration         = 15 * time.Second  // drainDuration plus some seconds to measure the baseline
	maxBaselineWait       = 30 * time.Second  // longest wait of a start for partners with too small a baseline
	startDebtFactor       = 2                 // multiple of MinDebt at which settlement starts; it ends below MinDebt
)

// setShares sets next.Shares, which must be empty, to the shares to put in force. A share makes the
// debtor's servers take requests of the creditor. The creditor then owes for each of them, which
// reduces the net debt. The reduction is visible only in the totals of the log.
func (c *Controller) setShares(now time.Duration, excluded map[string]bool, current State, next *State) {
	isStarting := len(current.Shares) == 0
	switch {
	case !c.hasEnoughSamples():
		if !isStarting { // no rates yet: keep the shares in force, and start no settlement
			next.Shares = current.Shares
		}
		return
	case next.isPaused():
		return
	case !isStarting && next.isMaxDurationReached():
		next.PausedUntil = next.Clock + clockMillis(pauseDuration)
		return
	}
	if isStarting {
		c.recordBaseline(next)
	}
	found := c.findCandidates(excluded, current, next)
	mayWaitForBaseline := now < c.lastRedirectAt+drainDuration+maxBaselineWait
	if isStarting && found.baselineTooSmall && mayWaitForBaseline {
		return
	}
	next.Shares = c.computeShares(found)
	if isStarting && len(next.Shares) > 0 {
		next.StartedAt = next.Clock
	}
}

// isPaused reports whether settlement is paused to measure the baseline.
func (s State) isPaused() bool { return s.Clock < s.PausedUntil }

// isMaxDurationReached reports whether the settlement in force has lasted for
// maxSettlementDuration.
func (s State) isMaxDurationReached() bool {
	return s.Clock >= s.StartedAt+clockMillis(maxSettlementDuration)
}

// isHeld reports whether a partner is still on hold after harm.
func (s State) isHeld(partner PartnerState) bool { return s.Clock < partner.HoldUntil }

// candidates are the pairs whose debts may be settled in the next state.
type candidates struct {
	pairs            []Pair
	flows            []Flow             // in the order of pairs
	creditorRates    map[string]float64 // by creditor: thousandths of units per second that could be moved
	baselineTooSmall bool               // a partner of a due debt has fewer than minBaselineRequests
}

// findCandidates returns the pairs whose debts may be settled, with the demand of each.
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
		if min(debtor.BaselineRequests, creditor.BaselineRequests) < minBaselineRequests {
			found.baselineTooSmall = true
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

// isDue reports whether the terms allow the settlement of a debt: both partners are in the file, no
// rule excludes the pair, and the debt is large enough. weights has an entry for each partner of
// the file.
func (c *Controller) isDue(debt Amount, weights map[string]float64, isInForce bool) bool {
	areBothInFile := weights[debt.Debtor] != 0 && weights[debt.Creditor] != 0
	if !areBothInFile || !c.terms.termsFor(debt.Pair).settlesDebts {
		return false
	}
	return float64(debt.Sum) >= c.debtThreshold(isInForce)
}

// debtThreshold returns the smallest net debt that is settled, in thousandths of units. It is lower
// if the settlement is in force already. This hysteresis prevents a settlement from starting and
// ending repeatedly.
func (c *Controller) debtThreshold(isInForce bool) float64 {
	threshold := c.terms.MinDebt * thousandthsPerUnit
	if !isInForce {
		threshold *= startDebtFactor
	}
	return threshold
}

// settlementDemand returns the rate at which a debt is to be settled, in thousandths of units per
// second. This is the debt divided by the time constant, limited by the maximum share of
// creditorRate and scaled by the pace in ppm.
func (c *Controller) settlementDemand(debt Amount, creditorRate float64, pace uint64) float64 {
	maxShare := c.terms.termsFor(debt.Pair).maxShare
	paceFraction := float64(pace) / PartsPerMillion
	return min(float64(debt.Sum)/c.terms.SettleTimeConstant, maxShare*creditorRate) * paceFraction
}

// isServedWell reports whether a partner's baseline allows it to take part in settlements: it has
// enough requests, and enough of them were on time.
func (c *Controller) isServedWell(partner PartnerState) bool {
	return partner.BaselineRequests >= minBaselineRequests &&
		partner.BaselineLate <= (1-c.terms.MinOnTimeFraction)*partner.BaselineRequests
}

// recordBaseline copies the measured baseline of each partner to its state in next. A partner of
// which the leader has seen too few requests then takes no part in a settlement.
func (c *Controller) recordBaseline(next *State) {
	for _, p := range c.terms.Partners {
		var seen serviceStats
		if stats := c.baseline[p.Name]; stats != nil {
			seen = *stats
		}
		partner := next.partnerState(p.Name)
		partner.BaselineRequests = seen.requests
		partner.BaselineLate = seen.late
		partner.BaselineSlow = seen.slow
		next.setPartnerState(partner)
	}
}

// computeShares returns the weighted max-min fair shares of the candidates. It omits shares that
// round to 0 ppm.
func (c *Controller) computeShares(found candidates) (shares []Share) {
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

// flowLimits returns the limits on the candidates' flows. In thousandths of units per second, these
// are the capacity that each debtor lends and the load that each creditor may move. In attempts per
// second, it is the total that moves between zones.
func (c *Controller) flowLimits(found candidates) []Limit {
	newLimit := func(capacity float64) *Limit { return &Limit{capacity, make([]float64, len(found.pairs))} }
	crossZoneLimit := newLimit(c.terms.MaxMovedRate)
	lendingLimits := map[string]*Limit{}
	movingLimits := map[string]*Limit{}
	for _, p := range c.terms.Partners {
		lendingLimits[p.Name] = newLimit(c.terms.MaxLendFraction * c.rate(MetricServedUnits, p.Name))
		movingLimits[p.Name] = newLimit(c.terms.MaxShare * found.creditorRates[p.Name])
	}
	for i, pair := range found.pairs {
		if rate := found.creditorRates[pair.Creditor]; rate > 0 {
			crossZoneLimit.UsePerFlow[i] = c.rate(MetricIdempotentRequests, pair.Creditor) / rate
		}
		lendingLimits[pair.Debtor].UsePerFlow[i] = 1
		movingLimits[pair.Creditor].UsePerFlow[i] = 1
	}
	var limits []Limit
	for _, p := range c.terms.Partners {
		limits = append(limits, *lendingLimits[p.Name], *movingLimits[p.Name])
	}
	return append(limits, *crossZoneLimit)
}
