package failover

import (
	"math"
	"slices"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

// planInput is what a plan is made for: everything by zone index, or by pair (from, to).
type planInput struct {
	*Controller
	now         time.Duration
	capacity    []float64 // units a second; 0: lost
	health      []float64 // quarters that answer
	demand      []float64 // units a second
	lostLinks   [][]bool
	shares      [][]float64 // of the plan in force, less what is shed
	loads       []float64   // units a second that the plan in force sends to a zone
	toLeave     [][]bool    // of shares, what is to be moved away: from what is unreachable or overloaded
	unreachable [][]bool    // of these, what goes to a lost zone or over a lost link
	previous    [][]float64 // the most, in units a second, that any gateway may still send by this plan or earlier ones
}

const (
	// minDemand is the demand of a zone at which nothing is known to come in, in units a second: a row needs some.
	minDemand = 0.001
	// roundingTolerance is what whole thousandths may be off, for all zones of a row together.
	roundingTolerance = 0.02
	// minSubset is how many servers a gateway is offered at the least, and by how many gateways each server is used at the
	// least in the mean (package subset): probes must reach at least one server at some gateways.
	minSubset = 8
)

// How far what a plan says for gateways without one may be off, as a part and in thousandths, before it is written anew.
const (
	fallbackTolerance = 0.3
	minFallbackChange = 20
)

// nextPlan gives the next plan; nil: the plan in force is to stay.
func (c *Controller) nextPlan(now time.Duration) *Plan {
	input := c.newPlanInput(now)
	rows, shed, moved := input.computeRows()
	hasMoved := slices.Contains(moved, true)
	heldDown := []string{}
	for i, zone := range c.zones {
		if moved[i] || c.holdDownUntil[i] > now {
			heldDown = append(heldDown, zone)
		}
	}
	plan := input.buildPlan(rows, shed, moved)
	plan.HoldDown = heldDown
	switch {
	case hasMoved:
		plan.Previous = input.previousRows()
	case now < c.previousUntil || len(heldDown) > 0:
		plan.Previous = c.plan.Previous
	}
	if hasMoved || c.noPlan || input.isStale(plan) {
		return plan
	}
	return nil
}

// newPlanInput gathers what the next plan is made for.
func (c *Controller) newPlanInput(now time.Duration) *planInput {
	input := &planInput{Controller: c, now: now, loads: make([]float64, len(c.zones))}
	for i, zone := range c.zones {
		capacity, health := c.estimates.capacity(i, zone)
		if c.holdDownUntil[i] > now {
			if planned, ok := c.plan.Health[zone]; ok && planned == 0 {
				capacity, health = 0, 0 // a zone that was lost stays so for a hold-down
			}
		}
		input.capacity, input.health = append(input.capacity, capacity), append(input.health, health)
		input.demand = append(input.demand, max(c.estimates.demand[i], minDemand))
	}
	for from := range c.zones {
		input.addRow(from)
	}
	for from := range c.zones {
		isBelowMax := input.loads[from] < c.settings.MaxUtilisation*input.capacity[from]
		c.estimates.hasHeadroom[from] = isBelowMax && input.shares[from][from] == 1
		input.addLeaving(from)
	}
	return input
}

// addRow gathers where a zone's requests go by the plan in force, and where they may still go by earlier ones.
func (in *planInput) addRow(from int) {
	n, fromZone := len(in.zones), in.zones[from]
	lostLinks, shares, previous := make([]bool, n), make([]float64, n), make([]float64, n)
	for to, toZone := range in.zones {
		wasLost := in.holdDownUntil[from] > in.now && slices.Contains(in.plan.LostLinks, [2]string{fromZone, toZone})
		lostLinks[to] = wasLost || in.estimates.isLinkLost(from, to)
		shares[to] = float64(in.rows[from][to]) / fullShare
		if to == from {
			shares[to] -= float64(in.plan.Shed[fromZone]) / fullShare
		}
		previous[to] = float64(in.largestShare(from, to)) / fullShare * in.demand[from]
		in.loads[to] += shares[to] * in.demand[from]
	}
	in.lostLinks, in.shares, in.previous = append(in.lostLinks, lostLinks), append(in.shares, shares), append(in.previous, previous)
}

// largestShare is the most, in thousandths, that any gateway of a zone may send to another by the plan in force or by the
// one before it.
func (in *planInput) largestShare(from, to int) int {
	largest := in.rows[from][to]
	if in.now < in.previousUntil {
		largest = max(largest, in.plan.Previous[in.zones[from]][in.zones[to]])
	}
	return largest
}

// addLeaving gathers from where a zone's requests are to be moved away. Its probes may stay.
func (in *planInput) addLeaving(from int) {
	toLeave, unreachable := make([]bool, len(in.zones)), make([]bool, len(in.zones))
	for to, share := range in.shares[from] {
		if share <= 0 || to == from && share <= in.probeShare(from)+roundingTolerance {
			continue
		}
		unreachable[to] = in.capacity[to] <= 0 || in.lostLinks[from][to]
		overloaded := in.estimates.isSettled(from) && in.loads[to] > in.overloadThreshold()*in.capacity[to]
		toLeave[to] = unreachable[to] || overloaded
	}
	in.toLeave, in.unreachable = append(in.toLeave, toLeave), append(in.unreachable, unreachable)
}

// overloadThreshold is the part of a zone's capacity from which on requests leave it without regard to a hold-down: halfway
// from the most that is planned there to all.
func (in *planInput) overloadThreshold() float64 { return (in.settings.MaxUtilisation + 1) / 2 }

// probeShare is the part of a zone's requests that probes it while it is lost: what the settings say, and in a small fleet so
// much that half as many gateways again as must report are offered one of its servers. 0: no server is listed there.
func (in *planInput) probeShare(zone int) float64 {
	if in.capacity[zone] > 0 && !in.lostLinks[zone][zone] || in.estimates.readyPower[zone] <= 0 {
		return 0
	}
	servers, gateways := 0.0, 1.0
	for other := range in.zones {
		servers, gateways = servers+in.estimates.readyPower[other], gateways+in.estimates.gateways[other]
	}
	subset := max(minSubset, min(servers, minSubset*servers/gateways))
	least := 1.5 * float64(in.settings.MinGateways) / subset / max(in.estimates.gateways[zone], 1)
	return max(in.settings.ProbeShare, min(least, 1.0/minSubset))
}

// previousRows is, by pair, the most that any gateway may send by the plan in force or by the one before it.
func (in *planInput) previousRows() map[string]map[string]int {
	rows := map[string]map[string]int{}
	for from, fromZone := range in.zones {
		row := map[string]int{}
		for to, toZone := range in.zones {
			if largest := in.largestShare(from, to); largest > 0 {
				row[toZone] = largest
			}
		}
		rows[fromZone] = row
	}
	return rows
}

// isStale tells that what a plan says besides its rows is to be written anew. This alone moves no request between zones; it
// happens at most once a lease, and for the sake of gateways without a plan at most once a hold-down.
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
		if in.now >= in.planSince+in.settings.holdDown() && in.isFallbackStale(plan.Fallback[zone], old.Fallback[zone]) {
			return true
		}
	}
	return false
}

// isFallbackStale tells that a zone's fallback row is too far off to stay.
func (in *planInput) isFallbackStale(row, old map[string]int) bool {
	return slices.ContainsFunc(in.zones, func(zone string) bool {
		now, before := float64(row[zone]), float64(old[zone])
		return now < before*(1-fallbackTolerance)-minFallbackChange || now*(1-fallbackTolerance)-minFallbackChange > before
	})
}
