package settlement

import (
	"cmp"
	"time"
)

const (
	initialPace   = PartsPerMillion / 4 // at which a settlement starts
	minPace       = initialPace / 16    // harm lowers a pace to that and no further
	paceInterval  = 3 * time.Second     // between changes of pace: what a change does is seen by then
	paceGrowth    = 1.5                 // per change, while nobody is harmed
	maxPaceGrowth = 1.004               // per change, of the bound that harm has set: doubled in nine minutes

	minElectiveSample = 50  // elective attempts in the window before it is judged how many found capacity
	minPlacedFraction = 0.5 // of these, that must have found it
)

// adjustPaces judges how the partners of the settlement in force are served, and slows down or stops what harms them.
func (c *Controller) adjustPaces(now time.Duration, current State, next *State) {
	if len(current.Shares) == 0 || now < c.paceChangedAt+paceInterval {
		return
	}
	c.paceChangedAt = now
	participants := map[string]bool{}
	for _, share := range current.Shares {
		participants[share.Debtor], participants[share.Creditor] = true, true
	}
	for _, p := range c.terms.Partners {
		if !participants[p.Name] || c.duringSettlement[p.Name] == nil {
			continue
		}
		partner := next.partnerState(p.Name)
		switch c.harmTo(partner) {
		case harmSure:
			seen := *c.duringSettlement[p.Name]
			partner.HoldUntil = next.Clock + holdMillis(partner, seen, c.rate(MetricRequests, p.Name), c.terms.MaxLossFraction)
			partner.Pace = max(partner.Pace/4, minPace)
			partner.MaxPace = partner.Pace
			delete(c.duringSettlement, p.Name)
		case harmLikely:
			partner.Pace = max(partner.Pace/2, minPace)
			partner.MaxPace = partner.Pace
		default:
			bound := float64(cmp.Or(partner.MaxPace, PartsPerMillion)) * maxPaceGrowth
			partner.MaxPace = min(uint64(bound), PartsPerMillion)
			partner.Pace = min(uint64(float64(partner.Pace)*paceGrowth), partner.MaxPace)
		}
		next.setPartnerState(partner)
	}
	clear(c.sincePaceChange)
}

// harmTo judges how a partner is served while its debts are settled.
func (c *Controller) harmTo(partner PartnerState) harmLevel {
	level := assessHarm(partner, *c.duringSettlement[partner.Partner], c.terms.MaxLossFraction)
	if level != noHarm {
		return level
	}
	elective := c.rate(MetricElective, partner.Partner)
	if elective*rateWindow > minElectiveSample && c.rate(MetricElectivePlaced, partner.Partner) < minPlacedFraction*elective {
		return harmLikely // its servers have no capacity left, as the gateways find
	}
	if isQueueing(partner, *c.sincePaceChange[partner.Partner]) {
		return harmLikely
	}
	return noHarm
}
