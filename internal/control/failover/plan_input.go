package failover

import (
	"slices"
	"time"
)

// planInput is what a plan is made for, by zone index or by pair (from, to).
type planInput struct {
	*Controller
	now         time.Duration
	capacity    []float64 // units a second; read by isZoneLost
	health      []float64 // quarters that answer
	demand      []float64 // units a second
	lostLinks   [][]bool
	shares      [][]float64 // of the plan in force, less what is shed
	loads       []float64   // units a second that the plan in force sends to a zone
	toLeave     [][]bool    // pairs whose share has to leave: the receiver is unreachable or overloaded
	unreachable [][]bool    // of these, those to a lost zone or over a lost link
	previous    [][]float64 // the most that any gateway may still send, in units a second
}

const (
	// minDemand is the demand, in units a second, of a zone at which less or nothing is known to come
	// in: shares are parts of it.
	minDemand = 0.001
	// roundingTolerance is the part by which shares in whole thousandths may be off, for all zones of
	// a row together.
	roundingTolerance = 0.02
	// minSubset is how many servers a gateway is offered, and by how many gateways each server is
	// used in the mean, at least (package subset).
	minSubset = 8
	// overloadWeight is the weight of both the most that is planned in a zone and its capacity in the
	// overload threshold, which is their mean.
	overloadWeight = 0.5
	// probersPerMinGateways is how many gateways must be offered a server of a zone that is probed,
	// for each that must report.
	probersPerMinGateways = 1.5
)

// nextPlan decides whether another plan is to be written, and gives it; nil if the plan in force is
// to stay.
func (c *Controller) nextPlan(now time.Duration) *Plan {
	input := c.newPlanInput(now)
	rows := input.computeRows()
	hasMoved := slices.ContainsFunc(rows, func(row zoneRow) bool { return row.moves })
	heldDown := []string{}
	for i, zone := range c.zones {
		if rows[i].moves || c.isHeldDown(i, now) {
			heldDown = append(heldDown, zone)
		}
	}
	plan := input.buildPlan(rows)
	plan.HoldDown = heldDown
	switch {
	case hasMoved:
		plan.Previous = input.previousRows()
	case c.isPreviousInUse(now) || len(heldDown) > 0:
		plan.Previous = c.plan.Previous
	}
	if hasMoved || c.noPlan || input.isStale(plan) {
		return plan
	}
	return nil
}

// newPlanInput gathers what the next plan is made for. It also notes which zones have headroom, by
// which demand is smoothed from the next sample on.
func (c *Controller) newPlanInput(now time.Duration) *planInput {
	input := &planInput{Controller: c, now: now, loads: make([]float64, len(c.zones))}
	for i, zone := range c.zones {
		capacity, health := c.estimates.capacity(i, zone)
		if c.isHeldLost(i, now) {
			capacity = 0
			health = 0
		}
		input.capacity = append(input.capacity, capacity)
		input.health = append(input.health, health)
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

// isHeldLost decides whether a zone counts as lost whatever is observed: the plan in force states
// it lost, and its hold-down lasts.
func (c *Controller) isHeldLost(zone int, now time.Duration) bool {
	planned, ok := c.plan.Health[c.zones[zone]]
	return c.isHeldDown(zone, now) && ok && planned == 0
}

// isZoneLost decides whether a zone can take nothing: no server is ready there, none answers, or it
// is held lost.
func (in *planInput) isZoneLost(zone int) bool { return in.capacity[zone] <= 0 }

// addRow gathers where a zone's requests go by the plan in force, and where they may still go by
// earlier ones.
func (in *planInput) addRow(from int) {
	n := len(in.zones)
	fromZone := in.zones[from]
	lostLinks := make([]bool, n)
	shares := make([]float64, n)
	previous := make([]float64, n)
	for to, toZone := range in.zones {
		wasLost := in.isHeldDown(from, in.now) && slices.Contains(in.plan.LostLinks, [2]string{fromZone, toZone})
		lostLinks[to] = wasLost || in.estimates.isLinkLost(from, to)
		shares[to] = float64(in.rows[from][to]) / fullShare
		if to == from {
			shares[to] -= float64(in.plan.Shed[fromZone]) / fullShare
		}
		previous[to] = float64(in.largestShare(from, to)) / fullShare * in.demand[from]
		in.loads[to] += shares[to] * in.demand[from]
	}
	in.lostLinks = append(in.lostLinks, lostLinks)
	in.shares = append(in.shares, shares)
	in.previous = append(in.previous, previous)
}

// largestShare is the most, in thousandths, that any gateway of a zone may send to another by the
// plan in force or by the one before it.
func (in *planInput) largestShare(from, to int) int {
	largest := in.rows[from][to]
	if in.isPreviousInUse(in.now) {
		largest = max(largest, in.plan.Previous[in.zones[from]][in.zones[to]])
	}
	return largest
}

// addLeaving decides from where a zone's requests are to be moved away: from what is unreachable,
// and from what is loaded above the overload threshold. A zone's own probes may stay.
func (in *planInput) addLeaving(from int) {
	toLeave := make([]bool, len(in.zones))
	unreachable := make([]bool, len(in.zones))
	for to, share := range in.shares[from] {
		isProbes := to == from && share <= in.probeShare(from)+roundingTolerance
		if share <= 0 || isProbes {
			continue
		}
		unreachable[to] = in.isZoneLost(to) || in.lostLinks[from][to]
		overloaded := in.estimates.isSettled(from) && in.loads[to] > in.overloadThreshold()*in.capacity[to]
		toLeave[to] = unreachable[to] || overloaded
	}
	in.toLeave = append(in.toLeave, toLeave)
	in.unreachable = append(in.unreachable, unreachable)
}

// overloadThreshold is the part of a zone's capacity from which on requests leave it without regard
// to a hold-down: halfway from the most that is planned there to all.
func (in *planInput) overloadThreshold() float64 {
	return overloadWeight * (in.settings.MaxUtilisation + 1)
}

// probeShare decides the part of a zone's requests that probes it while it is avoided: what the
// settings say, and in a small fleet so much that enough gateways are offered one of its servers to
// report its recovery. It is 0 where the zone serves, or no server is listed there.
func (in *planInput) probeShare(zone int) float64 {
	isServing := !in.isZoneLost(zone) && !in.lostLinks[zone][zone]
	if isServing || in.estimates.readyPower[zone] <= 0 {
		return 0
	}
	servers := 0.0
	gateways := 1.0
	for other := range in.zones {
		servers += in.estimates.readyPower[other]
		gateways += in.estimates.gateways[other]
	}
	subset := max(minSubset, min(servers, minSubset*servers/gateways))
	least := probersPerMinGateways * float64(in.settings.MinGateways) / subset / max(in.estimates.gateways[zone], 1)
	return max(in.settings.ProbeShare, min(least, 1.0/minSubset))
}

// previousRows is, by pair, the most that any gateway may send by the plan in force or by the one
// before it, in thousandths.
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
