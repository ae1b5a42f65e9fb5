package failover

import (
	"slices"
	"time"
)

// planInput is the input of the next plan. It embeds the controller that creates it. Slices are
// indexed by zone, matrices by sender (the zone at which requests arrive) and receiver.
type planInput struct {
	*Controller
	now           time.Duration
	capacity      []float64 // units a second; 0 for a lost zone, see isZoneLost
	health        []float64 // in quarters, relative to the healthiest zone; see estimates.capacity
	demand        []float64 // units a second
	lostLinks     [][]bool
	shares        [][]float64 // shares of the plan in force, 0 to 1, without what is shed
	loads         []float64   // units a second that the plan in force sends to a receiver
	mustMoveAway  [][]bool    // requests must move away: the receiver is unreachable or overloaded
	unreachable   [][]bool    // subset of mustMoveAway: the receiver is lost or behind a lost link
	previousRates [][]float64 // highest rate that gateways may still send, in units a second
}

const (
	// minDemand is the smallest demand of a zone in a plan, in units a second. It is above 0
	// because demand is a divisor when rates are converted to shares.
	minDemand = 0.001
	// roundingTolerance is the error, as a part of all requests of a zone, that rounding its shares
	// to whole thousandths may cause in the sum of a row.
	roundingTolerance = 0.02
	// minSubsetSize is both the minimum number of servers in a gateway's subset and the minimum
	// average number of gateways that use a server (see package subset).
	minSubsetSize = 8
	// overloadWeight is the weight of both the maximum utilisation and the full capacity in the
	// overload threshold, which is their mean.
	overloadWeight = 0.5
	// probersPerMinGateways determines how many gateways must have a server of an avoided zone in
	// their subset: this multiple of Settings.MinGateways.
	probersPerMinGateways = 1.5
)

// nextPlan returns the next plan, or nil if the plan in force stays.
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
	plan.HeldDownZones = heldDown
	switch {
	case hasMoved:
		plan.PreviousRows = input.previousRows()
	case c.isPreviousInUse(now) || len(heldDown) > 0:
		plan.PreviousRows = c.plan.PreviousRows
	}
	if hasMoved || c.noPlan || input.isStale(plan) {
		return plan
	}
	return nil
}

// newPlanInput returns the input of the next plan. It also updates the estimates' hasHeadroom,
// which determines how demand is smoothed from the next sample on.
func (c *Controller) newPlanInput(now time.Duration) *planInput {
	input := &planInput{Controller: c, now: now, loads: make([]float64, len(c.zones))}
	for i, zone := range c.zones {
		capacity, health := c.estimates.capacity(i, zone)
		if c.isLostInHoldDown(i, now) {
			capacity = 0
			health = 0
		}
		input.capacity = append(input.capacity, capacity)
		input.health = append(input.health, health)
		input.demand = append(input.demand, max(c.estimates.demand[i], minDemand))
	}
	for from := range c.zones {
		input.addSender(from)
	}
	for from := range c.zones {
		isBelowMax := input.loads[from] < c.settings.MaxUtilisation*input.capacity[from]
		c.estimates.hasHeadroom[from] = isBelowMax && input.shares[from][from] == 1
		input.addForcedMoves(from)
	}
	return input
}

// isLostInHoldDown reports whether a zone counts as lost regardless of observations: the plan in
// force states that it is lost, and the zone is in hold-down.
func (c *Controller) isLostInHoldDown(zone int, now time.Duration) bool {
	planned, ok := c.plan.Health[c.zones[zone]]
	return c.isHeldDown(zone, now) && ok && planned == 0
}

// isZoneLost reports whether a zone cannot take requests: it has no ready server, none answers, or
// isLostInHoldDown is true.
func (in *planInput) isZoneLost(zone int) bool { return in.capacity[zone] <= 0 }

// addSender adds a sender's rows: its lost links, its shares of the plan in force, and the rates
// that it may still send by earlier plans. It also adds its requests to the loads.
func (in *planInput) addSender(from int) {
	n := len(in.zones)
	fromZone := in.zones[from]
	lostLinks := make([]bool, n)
	shares := make([]float64, n)
	previousRates := make([]float64, n)
	for to, toZone := range in.zones {
		wasLost := in.isHeldDown(from, in.now) && slices.Contains(in.plan.LostLinks, [2]string{fromZone, toZone})
		lostLinks[to] = wasLost || in.estimates.isLinkLost(from, to)
		shares[to] = float64(in.rows[from][to]) / fullShare
		if to == from {
			shares[to] -= float64(in.plan.Shed[fromZone]) / fullShare
		}
		previousRates[to] = float64(in.largestShare(from, to)) / fullShare * in.demand[from]
		in.loads[to] += shares[to] * in.demand[from]
	}
	in.lostLinks = append(in.lostLinks, lostLinks)
	in.shares = append(in.shares, shares)
	in.previousRates = append(in.previousRates, previousRates)
}

// largestShare returns the largest share, in thousandths, that any gateway of a zone may send to
// another zone by the plan in force or by an earlier one.
func (in *planInput) largestShare(from, to int) int {
	largest := in.rows[from][to]
	if in.isPreviousInUse(in.now) {
		largest = max(largest, in.plan.PreviousRows[in.zones[from]][in.zones[to]])
	}
	return largest
}

// addForcedMoves adds the receivers that a sender's requests must move away from: those that are
// unreachable and those loaded above the overload threshold. Probes of the sender's own zone may
// stay.
func (in *planInput) addForcedMoves(from int) {
	mustMoveAway := make([]bool, len(in.zones))
	unreachable := make([]bool, len(in.zones))
	for to, share := range in.shares[from] {
		isProbing := to == from && share <= in.probeShare(from)+roundingTolerance
		if share <= 0 || isProbing {
			continue
		}
		unreachable[to] = in.isZoneLost(to) || in.lostLinks[from][to]
		overloaded := in.estimates.isDemandSettled(from) && in.loads[to] > in.overloadThreshold()*in.capacity[to]
		mustMoveAway[to] = unreachable[to] || overloaded
	}
	in.mustMoveAway = append(in.mustMoveAway, mustMoveAway)
	in.unreachable = append(in.unreachable, unreachable)
}

// overloadThreshold returns the part of a zone's capacity above which requests move away from it
// even in hold-down. It is halfway between the maximum utilisation and the full capacity.
func (in *planInput) overloadThreshold() float64 {
	return overloadWeight * (in.settings.MaxUtilisation + 1)
}

// probeShare returns the part of a zone's requests that probe the zone while it is avoided. It is
// at least the settings' ProbeShare. In a small fleet it is larger, so that enough gateways have
// one of the zone's servers in their subset to report its recovery. It is 0 if the zone serves or
// has no ready server listed.
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
	subsetSize := max(minSubsetSize, min(servers, minSubsetSize*servers/gateways))
	minimum := probersPerMinGateways * float64(in.settings.MinGateways) /
		subsetSize / max(in.estimates.gateways[zone], 1)
	return max(in.settings.ProbeShare, min(minimum, 1.0/minSubsetSize))
}

// previousRows returns, for each pair of zones, the largest share, in thousandths, that any gateway
// may send by the plan in force or by an earlier one.
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
