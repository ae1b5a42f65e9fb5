package failover

import (
	"math"
	"slices"
	"time"

	"harrierhoist/internal/zonestats"
)

// planInput is what a plan is made for: all by the places of halls.
type planInput struct {
	*Controller
	now         time.Duration
	capacity    []float64 // units a second; 0: lost
	health      []float64
	demand      []float64
	lostLinks   [][]bool
	shares      [][]float64 // of the plan that stands, less what is shed
	toLeave     [][]bool    // of these, what is to be fled from: lost, shut, or pushed over
	unreachable [][]bool    // of these, what is lost or shut
	previous    [][]float64 // the most that anybody may still push by earlier plans
}

// overloadThreshold is the part of what a hall bears from which what goes there flees without a rest: halfway from the most that is
// planned there to all.
func (in *planInput) overloadThreshold() float64 { return (in.settings.MaxUtilisation + 1) / 2 }

// nextPlan gives the next plan; nil: the one that stands is to stay.
func (c *Controller) nextPlan(now time.Duration) *Plan {
	in := c.newPlanInput(now)
	rows, shed, moved := in.computeRows()
	hasMoved := slices.Contains(moved, true)
	heldDown := []string{}
	for from, zone := range c.zones {
		if moved[from] || c.holdDownUntil[from] > now {
			heldDown = append(heldDown, zone)
		}
	}
	plan := in.buildPlan(rows, shed, moved)
	plan.HoldDown = heldDown
	if hasMoved {
		plan.Previous = in.previousRows()
	} else {
		if plan.Previous = c.plan.Previous; now >= c.previousUntil && len(heldDown) == 0 {
			plan.Previous = nil
		}
	}
	if hasMoved || c.noPlan || in.isStale(plan) {
		return plan
	}
	return nil
}

// isStale tells that what a plan says beside its rows is to be written anew. This alone moves no task between halls; it
// happens at most once a lease, and the figures of use to gateways without a plan at most once a stay.
func (in *planInput) isStale(plan *Plan) bool {
	old := in.plan
	if in.now < in.planSince+in.lease {
		return false
	}
	if len(plan.HoldDown) == 0 && (len(old.HoldDown) > 0 || old.Previous != nil) || !slices.Equal(plan.LostLinks, old.LostLinks) {
		return true
	}
	for _, zone := range in.zones {
		if math.Abs(float64(plan.Health[zone]-old.Health[zone])) >= fullShare/zonestats.Healthy {
			return true
		}
		if in.now < in.planSince+in.settings.holdDown() {
			continue
		}
		for _, toZone := range in.zones {
			a, b := float64(plan.Fallback[zone][toZone]), float64(old.Fallback[zone][toZone])
			if a < b*(1-fallbackTolerance)-minFallbackChange || a*(1-fallbackTolerance)-minFallbackChange > b {
				return true
			}
		}
	}
	return false
}

// aloneSlack and aloneLeast are by how much, as a part and in thousandths, shares for those without a plan may be off
// before they are written anew.
const (
	fallbackTolerance = 0.3
	minFallbackChange = 20
)

func (c *Controller) newPlanInput(now time.Duration) *planInput {
	in := &planInput{Controller: c, now: now}
	n := len(c.zones)
	for from, zone := range c.zones {
		units, health := c.estimates.capacity(from, zone)
		if c.holdDownUntil[from] > now {
			if plannedHealth, ok := c.plan.Health[zone]; ok && plannedHealth == 0 {
				units, health = 0, 0 // a hall that was lost stays so for a least stay
			}
		}
		in.capacity, in.health = append(in.capacity, units), append(in.health, health)
		in.demand = append(in.demand, max(c.estimates.demand[from], minDemand))
	}
	loads := make([]float64, n)
	for from, fromZone := range c.zones {
		lostLinks, shares, previous := make([]bool, n), make([]float64, n), make([]float64, n)
		for to, toZone := range c.zones {
			lostLinks[to] = c.estimates.isLinkLost(from, to)
			pair := [2]string{fromZone, toZone}
			lostLinks[to] = lostLinks[to] || c.holdDownUntil[from] > now && slices.Contains(c.plan.LostLinks, pair)
			shares[to] = float64(c.rows[from][to]) / fullShare
			if to == from {
				shares[to] -= float64(c.plan.Shed[fromZone]) / fullShare
			}
			largest := c.rows[from][to]
			if now < c.previousUntil {
				largest = max(largest, c.plan.Previous[fromZone][toZone])
			}
			previous[to] = float64(largest) / fullShare * in.demand[from]
			loads[to] += shares[to] * in.demand[from]
		}
		in.lostLinks, in.shares, in.previous = append(in.lostLinks, lostLinks), append(in.shares, shares), append(in.previous, previous)
	}
	for from := range n {
		c.estimates.hasHeadroom[from] = loads[from] < c.settings.MaxUtilisation*in.capacity[from] && in.shares[from][from] == 1
		toLeave, unreachable := make([]bool, n), make([]bool, n)
		for to := range n {
			if in.shares[from][to] > 0 && (to != from || in.shares[from][to] > in.probeShare(from)+roundingTolerance) {
				unreachable[to] = in.capacity[to] <= 0 || in.lostLinks[from][to]
				toLeave[to] = unreachable[to] || c.estimates.isSettled(from) && loads[to] > in.overloadThreshold()*in.capacity[to]
			}
		}
		in.toLeave, in.unreachable = append(in.toLeave, toLeave), append(in.unreachable, unreachable)
	}
	return in
}

const (
	// minDemand is the demand of a hall that nothing is known to come in at, in units a second: a row needs some.
	minDemand = 0.001
	// roundingTolerance is what whole thousandths may be off, for all halls of a row together.
	roundingTolerance = 0.02
	// minSubset is how many servers a gateway is handed at the least, and by how many each is at the least in the mean
	// (package pool): the trial must be at least one server at some gateways.
	minSubset = 8
)

// probeShare is the part of a hall's tasks that tries it while it is lost: what the terms say, and in a small fleet so much that
// half as many gateways again as must speak are handed one of its servers. 0: nothing is listed there.
func (in *planInput) probeShare(from int) float64 {
	if in.capacity[from] > 0 && !in.lostLinks[from][from] || in.estimates.readyPower[from] <= 0 {
		return 0
	}
	servers, gateways := 0.0, 1.0
	for to := range in.zones {
		servers, gateways = servers+in.estimates.readyPower[to], gateways+in.estimates.gateways[to]
	}
	part := max(minSubset, min(servers, minSubset*servers/gateways))
	least := 1.5 * float64(in.settings.MinGateways) / part / max(in.estimates.gateways[from], 1)
	return max(in.settings.ProbeShare, min(least, 1.0/minSubset))
}

// previousRows is by pair the most that anybody may push by the plan that stands or by one before it.
func (in *planInput) previousRows() map[string]map[string]int {
	all := map[string]map[string]int{}
	for from, fromZone := range in.zones {
		row := map[string]int{}
		for to, toZone := range in.zones {
			largest := in.rows[from][to]
			if in.now < in.previousUntil {
				largest = max(largest, in.plan.Previous[fromZone][toZone])
			}
			if largest > 0 {
				row[toZone] = largest
			}
		}
		all[fromZone] = row
	}
	return all
}
