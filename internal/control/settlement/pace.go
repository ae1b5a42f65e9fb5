package settlement

import (
	"cmp"
	"time"
)

const (
	initialPace   = PartsPerMillion / 4 // pace of a partner without a stored state
	minPace       = initialPace / 16    // lower bound of the pace after harm
	paceInterval  = 3 * time.Second     // time between adjustments; the effect of one is visible before the next
	paceGrowth    = 1.5                 // factor of the pace per adjustment without harm
	maxPaceGrowth = 1.004               // factor per adjustment of the upper bound that harm has set

	sureHarmDivisor   = 4 // divides the pace after sure harm
	likelyHarmDivisor = 2 // divides the pace after likely harm

	minElectiveAttempts = 50  // elective attempts in the window above which capacity is judged
	minPlacedFraction   = 0.5 // of the elective attempts; a lower fraction means a lack of capacity
)

// adjustPaces adjusts the pace of each partner that has shares in force, once per paceInterval. It
// lowers the pace of a partner that the settlement harms, or puts the partner on hold, and raises
// the pace of the others.
func (c *Controller) adjustPaces(now time.Duration, current State, next *State) {
	if len(current.Shares) == 0 || now < c.pacesAdjustedAt+paceInterval {
		return
	}
	c.pacesAdjustedAt = now
	participants := current.participants()
	for _, p := range c.terms.Partners {
		if participants[p.Name] && c.duringSettlement[p.Name] != nil {
			c.adjustPace(p.Name, next)
		}
	}
	clear(c.sincePaceAdjustment)
}

// adjustPace adjusts the pace of one partner by the certainty that the settlement harms it.
func (c *Controller) adjustPace(name string, next *State) {
	partner := next.partnerState(name)
	switch c.harmLevelOf(partner) {
	case harmSure:
		seen := *c.duringSettlement[name]
		requestRate := c.rate(MetricRequests, name)
		hold := holdTime(partner, seen, requestRate, c.terms.MaxLossFraction)
		partner.HoldUntil = next.Clock + clockMillis(hold)
		partner.lowerPace(sureHarmDivisor)
		delete(c.duringSettlement, name)
	case harmLikely:
		partner.lowerPace(likelyHarmDivisor)
	case noHarm:
		partner.raisePace()
	}
	next.setPartnerState(partner)
}

// lowerPace divides the pace after harm, to no less than minPace, and makes the result its upper
// bound.
func (p *PartnerState) lowerPace(divisor uint64) {
	p.Pace = max(p.Pace/divisor, minPace)
	p.MaxPace = p.Pace
}

// raisePace multiplies the upper bound by maxPaceGrowth, and the pace by paceGrowth up to that
// bound.
func (p *PartnerState) raisePace() {
	bound := float64(p.paceBound()) * maxPaceGrowth
	p.MaxPace = min(uint64(bound), PartsPerMillion)
	p.Pace = min(uint64(float64(p.Pace)*paceGrowth), p.MaxPace)
}

// paceBound returns the upper bound of the pace in ppm: the full rate if harm has not set one.
func (p *PartnerState) paceBound() uint64 { return cmp.Or(p.MaxPace, PartsPerMillion) }

// harmLevelOf returns the certainty that the settlement harms a partner. Late requests take
// precedence. A lack of capacity or a growing queue counts as likely harm.
func (c *Controller) harmLevelOf(partner PartnerState) harmLevel {
	level := assessHarm(partner, *c.duringSettlement[partner.Partner], c.terms.MaxLossFraction)
	if level != noHarm {
		return level
	}
	if c.lacksCapacity(partner.Partner) || isQueueing(partner, *c.sincePaceAdjustment[partner.Partner]) {
		return harmLikely
	}
	return noHarm
}

// lacksCapacity reports whether a partner's servers had too little capacity for the elective
// attempts that preferred them.
func (c *Controller) lacksCapacity(name string) bool {
	electiveRate := c.rate(MetricElectiveAttempts, name)
	if electiveRate*rateWindow <= minElectiveAttempts { // the window has one sample per second
		return false
	}
	return c.rate(MetricElectivePlaced, name) < minPlacedFraction*electiveRate
}
