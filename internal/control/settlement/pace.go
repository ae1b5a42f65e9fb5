package settlement

import (
	"cmp"
	"time"
)

const (
	initialPace   = PartsPerMillion / 4 // at which a settlement starts
	minPace       = initialPace / 16    // to which harm lowers a pace at most
	paceInterval  = 3 * time.Second     // between changes of pace: what a change does is seen by then
	paceGrowth    = 1.5                 // factor per change, while nobody is harmed
	maxPaceGrowth = 1.004               // factor per change, of the bound that harm has set

	sureHarmDivisor   = 4 // of the pace, after a harm that is sure
	likelyHarmDivisor = 2 // of the pace, after a harm that is likely

	minElectiveSample = 50  // elective attempts in the window before it is judged how many were placed
	minPlacedFraction = 0.5 // of these, that must have found capacity
)

// adjustPaces decides, every paceInterval, how fast the debts of each partner in the settlement in
// force are settled: slower or not at all where that harms the partner, faster where it does not.
func (c *Controller) adjustPaces(now time.Duration, current State, next *State) {
	if len(current.Shares) == 0 || now < c.paceChangedAt+paceInterval {
		return
	}
	c.paceChangedAt = now
	participants := current.participants()
	for _, p := range c.terms.Partners {
		if participants[p.Name] && c.duringSettlement[p.Name] != nil {
			c.adjustPace(p.Name, next)
		}
	}
	clear(c.sincePaceChange)
}

// adjustPace changes one partner's pace by how it is served.
func (c *Controller) adjustPace(name string, next *State) {
	partner := next.partnerState(name)
	switch c.harmTo(partner) {
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

// lowerPace divides the pace after a harm, down to minPace, and bounds it there.
func (p *PartnerState) lowerPace(divisor uint64) {
	p.Pace = max(p.Pace/divisor, minPace)
	p.MaxPace = p.Pace
}

// raisePace raises the pace up to its bound, and the bound by less.
func (p *PartnerState) raisePace() {
	bound := float64(p.paceBound()) * maxPaceGrowth
	p.MaxPace = min(uint64(bound), PartsPerMillion)
	p.Pace = min(uint64(float64(p.Pace)*paceGrowth), p.MaxPace)
}

// paceBound returns the bound of the pace in ppm: the full rate where no harm has set one.
func (p *PartnerState) paceBound() uint64 { return cmp.Or(p.MaxPace, PartsPerMillion) }

// harmTo decides how certain it is that the settlement harms a partner: by the requests that were
// late, else by too little capacity or a queue, which are likely harm at most.
func (c *Controller) harmTo(partner PartnerState) harmLevel {
	level := assessHarm(partner, *c.duringSettlement[partner.Partner], c.terms.MaxLossFraction)
	if level != noHarm {
		return level
	}
	if c.lacksCapacity(partner.Partner) || isQueueing(partner, *c.sincePaceChange[partner.Partner]) {
		return harmLikely
	}
	return noHarm
}

// lacksCapacity reports whether the gateways found too little capacity on a partner's servers for
// the elective attempts that were to go there.
func (c *Controller) lacksCapacity(name string) bool {
	electiveRate := c.rate(MetricElective, name)
	if electiveRate*rateWindow <= minElectiveSample { // a sample of the window is a second
		return false
	}
	return c.rate(MetricElectivePlaced, name) < minPlacedFraction*electiveRate
}
