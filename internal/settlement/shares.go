package settlement

import (
	"time"

	"slices"

	"harrierhoist/internal/coordination"
)

// setShares works out the shares. A debtor's servers take tasks of its creditor: each is then owed by the creditor, and the
// net debt falls by it. That it fell is seen in the totals alone.
func (c *Controller) setShares(now time.Duration, excluded map[string]bool, current State, next *State) {
	starting := len(current.Shares) == 0
	if len(c.samples) <= minRateSamples {
		next.Shares = current.Shares // a new leader has no rates yet
		if starting {
			next.Shares = nil
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
	weights := c.terms.creditorWeights()
	var pairs []Pair
	var flows []Flow
	sampleTooSmall := false       // too little was seen of a partner that may have a part
	rates := map[string]float64{} // units a second that a creditor has to move
	for _, n := range next.Nets {
		settle, maxShare, _ := c.terms.pairTerms(n.Debtor, n.Creditor)
		least := c.terms.MinDebt * 1000
		if current.sharePPM(n.Pair) == 0 {
			least *= 2 // so that it does not begin and end in turn
		}
		debtor, creditor := next.partnerState(n.Debtor), next.partnerState(n.Creditor)
		if !settle || weights[n.Debtor] == 0 || weights[n.Creditor] == 0 || float64(n.Sum) < least ||
			excluded[n.Debtor] || excluded[n.Creditor] || next.Clock < max(debtor.HoldUntil, creditor.HoldUntil) {
			continue
		}
		sampleTooSmall = sampleTooSmall || min(debtor.Requests, creditor.Requests) < minBaselineRequests
		if !c.isEligible(debtor) || !c.isEligible(creditor) {
			continue
		}
		units := c.rate(MetricIdempotentUnits, n.Creditor)
		rates[n.Creditor] = units
		pace := float64(min(debtor.Pace, creditor.Pace)) / PartsPerMillion
		want := min(float64(n.Sum)/c.terms.SettleTimeConstant, maxShare*units) * pace
		pairs, flows = append(pairs, n.Pair), append(flows, Flow{want, weights[n.Creditor]})
	}
	if len(flows) == 0 || starting && sampleTooSmall && now < c.lastSettlingAt+settlementTail+maxBaselineWait {
		return
	}
	for i, x := range MaxMinFair(flows, c.flowLimits(pairs, rates)) {
		if units := rates[pairs[i].Creditor]; units > 0 {
			if part := uint64(x / units * PartsPerMillion); part > 0 {
				next.Shares = append(next.Shares, Share{pairs[i], part})
			}
		}
	}
	if starting && len(next.Shares) > 0 {
		next.StartedAt = next.Clock
	}
}

// isEligible tells whether a partner may have a part: it was seen to be served well without a settlement.
func (c *Controller) isEligible(status PartnerState) bool {
	return status.Requests >= minBaselineRequests && status.Late <= (1-c.terms.MinOnTimeFraction)*status.Requests
}

// recordBaseline takes down how partners fare without a settlement. A leader that has seen too little begins none.
func (c *Controller) recordBaseline(next *State) {
	for _, p := range c.terms.Partners {
		status := next.partnerState(p.Name)
		status.Requests, status.Late, status.Slow = 0, 0, 0
		if seen := c.baseline[p.Name]; seen != nil {
			status.Requests, status.Late, status.Slow = seen.requests, seen.late, seen.slow
		}
		next.setPartnerState(status)
	}
}

// excludedPartners gives the partners that failover needs whole: one of their halls is out, or has too little left.
func (c *Controller) excludedPartners(seen coordination.ControllerInput) map[string]bool {
	all := map[string]bool{}
	if c.zoneStatus == nil {
		return all
	}
	statuses := c.zoneStatus(seen)
	for _, p := range c.terms.Partners {
		if slices.ContainsFunc(p.Zones, func(name string) bool {
			h, known := statuses[name]
			return known && (h.FailingOver || h.Headroom >= 0 && h.Headroom < c.terms.MinHeadroom)
		}) {
			all[p.Name] = true
		}
	}
	return all
}

// flowLimits are what the flows of the pairs share, in thousandths of units a second: what a debtor's halls lend, what a
// creditor's tasks bear, and the pushes between halls.
func (c *Controller) flowLimits(pairs []Pair, rates map[string]float64) []Limit {
	betweenZones := Limit{Capacity: c.terms.MaxMovedRate, UsePerFlow: make([]float64, len(pairs))}
	lending, borrowing := map[string]*Limit{}, map[string]*Limit{}
	var all []Limit
	for _, p := range c.terms.Partners {
		lending[p.Name] = &Limit{c.terms.MaxLendFraction * c.rate(MetricServedUnits, p.Name), make([]float64, len(pairs))}
		borrowing[p.Name] = &Limit{c.terms.MaxShare * rates[p.Name], make([]float64, len(pairs))}
	}
	for i, pair := range pairs {
		if units := rates[pair.Creditor]; units > 0 {
			betweenZones.UsePerFlow[i] = c.rate(MetricIdempotentRequests, pair.Creditor) / units
		}
		lending[pair.Debtor].UsePerFlow[i], borrowing[pair.Creditor].UsePerFlow[i] = 1, 1
	}
	for _, p := range c.terms.Partners {
		all = append(all, *lending[p.Name], *borrowing[p.Name])
	}
	return append(all, betweenZones)
}

// ZoneStatusOfPlan tells from a plan of failover which halls are to be left alone: those that it moves tasks from or to, and
// those of which not all that is listed answers. Rows are shares by the hall that tasks come in at and the hall they
// are pushed to; sound is by hall the part that answers; both are in thousandths. What is left is not known by it.
func ZoneStatusOfPlan(routes map[string]map[string]int, healthy map[string]int) map[string]ZoneStatus {
	const whole, answers = 1000, 900
	all := map[string]ZoneStatus{}
	for from, row := range routes {
		for to, share := range row {
			if to == from && share < whole || to != from && share > 0 {
				all[from], all[to] = ZoneStatus{true, -1}, ZoneStatus{true, -1}
			}
		}
	}
	for hall, part := range healthy {
		if part < answers {
			all[hall] = ZoneStatus{true, -1}
		}
	}
	return all
}
