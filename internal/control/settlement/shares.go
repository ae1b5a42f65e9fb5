package settlement

import (
	"slices"
	"time"

	"harrierhoist/internal/coordination"
)

const (
	maxEpisodeMillis = 300_000          // a settlement rests after that, to see anew how partners are served without it
	restMillis       = 15_000           // of such a rest: the settlement's tail, and some seconds to see
	maxBaselineWait  = 30 * time.Second // that a start waits for partners of which too little was seen
	startDebtFactor  = 2                // a debt starts to be settled at so many times MinDebt, and ends at MinDebt
)

// setShares works out the shares. A debtor's servers take requests of its creditor: the creditor then owes for each, and
// the net debt falls by it. That it fell shows in the totals alone.
func (c *Controller) setShares(now time.Duration, excluded map[string]bool, current State, next *State) {
	starting := len(current.Shares) == 0
	if len(c.samples) <= minRateSamples { // a new leader has no rates yet: what is in force goes on, nothing starts
		if !starting {
			next.Shares = current.Shares
		}
		return
	}
	if next.Clock < next.RestUntil {
		return
	}
	if !starting && next.Clock >= next.StartedAt+maxEpisodeMillis {
		next.RestUntil = next.Clock + restMillis
		return
	}
	if starting {
		c.recordBaseline(next)
	}
	found := c.findCandidates(excluded, current, next)
	if len(found.pairs) == 0 ||
		starting && found.sampleTooSmall && now < c.lastSettlingAt+settlementTail+maxBaselineWait {
		return
	}
	next.Shares = c.divide(found)
	if starting && len(next.Shares) > 0 {
		next.StartedAt = next.Clock
	}
}

// candidates are the pairs whose debts may be settled now.
type candidates struct {
	pairs          []Pair
	flows          []Flow             // by pair
	creditorRates  map[string]float64 // thousandths of units per second that a creditor has to move
	sampleTooSmall bool               // too little was seen of a partner that would be one
}

func (c *Controller) findCandidates(excluded map[string]bool, current State, next *State) candidates {
	found := candidates{creditorRates: map[string]float64{}}
	weights := c.terms.creditorWeights()
	for _, debt := range next.NetDebts {
		settle, maxShare, _ := c.terms.pairTerms(debt.Debtor, debt.Creditor)
		minDebt := c.terms.MinDebt * 1000
		if current.sharePPM(debt.Pair) == 0 {
			minDebt *= startDebtFactor // so that it does not start and end in turn
		}
		debtor, creditor := next.partnerState(debt.Debtor), next.partnerState(debt.Creditor)
		if !settle || weights[debt.Debtor] == 0 || weights[debt.Creditor] == 0 || float64(debt.Sum) < minDebt ||
			excluded[debt.Debtor] || excluded[debt.Creditor] || next.Clock < max(debtor.HoldUntil, creditor.HoldUntil) {
			continue
		}
		found.sampleTooSmall = found.sampleTooSmall || min(debtor.Requests, creditor.Requests) < minBaselineRequests
		if !c.isEligible(debtor) || !c.isEligible(creditor) {
			continue
		}
		rate := c.rate(MetricIdempotentUnits, debt.Creditor)
		found.creditorRates[debt.Creditor] = rate
		pace := float64(min(debtor.Pace, creditor.Pace)) / PartsPerMillion
		demand := min(float64(debt.Sum)/c.terms.SettleTimeConstant, maxShare*rate) * pace
		found.pairs = append(found.pairs, debt.Pair)
		found.flows = append(found.flows, Flow{demand, weights[debt.Creditor]})
	}
	return found
}

// isEligible reports whether a partner may take part: it was seen to be served well without a settlement.
func (c *Controller) isEligible(partner PartnerState) bool {
	return partner.Requests >= minBaselineRequests && partner.Late <= (1-c.terms.MinOnTimeFraction)*partner.Requests
}

// recordBaseline stores how partners are served without a settlement. A leader that has seen too little starts none.
func (c *Controller) recordBaseline(next *State) {
	for _, p := range c.terms.Partners {
		partner := next.partnerState(p.Name)
		partner.Requests, partner.Late, partner.Slow = 0, 0, 0
		if seen := c.baseline[p.Name]; seen != nil {
			partner.Requests, partner.Late, partner.Slow = seen.requests, seen.late, seen.slow
		}
		next.setPartnerState(partner)
	}
}

// excludedPartners returns the partners whose zones failover needs: one of them is failing over, or has too little
// headroom.
func (c *Controller) excludedPartners(input coordination.ControllerInput) map[string]bool {
	excluded := map[string]bool{}
	if c.zoneStatus == nil {
		return excluded
	}
	statuses := c.zoneStatus(input)
	for _, p := range c.terms.Partners {
		if slices.ContainsFunc(p.Zones, func(name string) bool {
			zone, known := statuses[name]
			return known && (zone.FailingOver || zone.Headroom >= 0 && zone.Headroom < c.terms.MinHeadroom)
		}) {
			excluded[p.Name] = true
		}
	}
	return excluded
}

// divide returns the candidates' fair shares; those that round to nothing are left out.
func (c *Controller) divide(found candidates) (shares []Share) {
	for i, rate := range MaxMinFair(found.flows, c.flowLimits(found)) {
		if creditorRate := found.creditorRates[found.pairs[i].Creditor]; creditorRate > 0 {
			if ppm := uint64(rate / creditorRate * PartsPerMillion); ppm > 0 {
				shares = append(shares, Share{found.pairs[i], ppm})
			}
		}
	}
	return shares
}

// flowLimits returns what the flows share, in thousandths of units per second: what each debtor's zones lend, and what
// each creditor may move; and, in attempts per second, what moves between zones in all.
func (c *Controller) flowLimits(found candidates) []Limit {
	limitOf := func(capacity float64) *Limit { return &Limit{capacity, make([]float64, len(found.pairs))} }
	betweenZones := limitOf(c.terms.MaxMovedRate)
	lending, moving := map[string]*Limit{}, map[string]*Limit{}
	for _, p := range c.terms.Partners {
		lending[p.Name] = limitOf(c.terms.MaxLendFraction * c.rate(MetricServedUnits, p.Name))
		moving[p.Name] = limitOf(c.terms.MaxShare * found.creditorRates[p.Name])
	}
	for i, pair := range found.pairs {
		if rate := found.creditorRates[pair.Creditor]; rate > 0 {
			betweenZones.UsePerFlow[i] = c.rate(MetricIdempotentRequests, pair.Creditor) / rate
		}
		lending[pair.Debtor].UsePerFlow[i], moving[pair.Creditor].UsePerFlow[i] = 1, 1
	}
	var limits []Limit
	for _, p := range c.terms.Partners {
		limits = append(limits, *lending[p.Name], *moving[p.Name])
	}
	return append(limits, *betweenZones)
}

// Thousandths in a plan of failover.
const (
	allRequests     = 1000
	minHealthyShare = 900
)

// ZoneStatusOfPlan returns the zones that a plan of failover needs: those that it moves requests from or to, and those
// of which too few servers answer. Routes are shares by the zone that requests come in at and the zone that they are
// attempted in; healthy is the share of a zone's listed servers that answers; both in thousandths. A plan tells no
// headroom.
func ZoneStatusOfPlan(routes map[string]map[string]int, healthy map[string]int) map[string]ZoneStatus {
	needed := ZoneStatus{FailingOver: true, Headroom: -1}
	statuses := map[string]ZoneStatus{}
	for origin, shares := range routes {
		for target, share := range shares {
			if target == origin && share < allRequests || target != origin && share > 0 {
				statuses[origin], statuses[target] = needed, needed
			}
		}
	}
	for zone, share := range healthy {
		if share < minHealthyShare {
			statuses[zone] = needed
		}
	}
	return statuses
}
