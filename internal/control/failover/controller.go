// Package failover plans how the requests that arrive at each zone are distributed over zones. It
// is based on the observations of all gateways. The leader calls Controller.Decide, which turns
// merged observations into a Plan. Gateways act on the plan while they hold a lease on it. The
// package does no I/O and uses neither clocks nor randomness: the same observations lead to the
// same plans. docs/failover.md compares it with other designs.
package failover

import (
	"slices"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// storedDemandScale converts units a second to the unit of Plan.Demand, thousandths of a unit a
// second.
const storedDemandScale = 1000

// Controller turns observations into plans. It runs on the leader. Each new leader creates its own
// and restores what it needs of earlier plans from the stored plan. It is not safe for concurrent
// use.
type Controller struct {
	settings   Settings
	lease      time.Duration // longest time that a gateway acts on a plan after the next one is written
	zones      []string
	regionOf   []int // index of a zone's region, by zone
	countNames *countNames
	samples    samples
	estimates  *estimates

	started            bool            // adoptPlan was called at least once
	epoch              uint64          // epoch of the plan in force
	noPlan             bool            // no plan is in force: all zones are assumed to serve locally
	plan               *Plan           // plan in force; an empty plan if there is none
	rows               [][]int         // rows of the plan in force, by zone index, in thousandths
	holdDownUntil      []time.Duration // end of the hold-down by zone; 0 without one; see isHeldDown
	previousInUseUntil time.Duration   // end of the leases on earlier plans; see isPreviousInUse
	planAdoptedAt      time.Duration   // time at which this controller adopted the plan in force
}

// New returns a controller. The lease is the longest time that a gateway acts on a plan after
// another plan is written.
func New(settings Settings, lease time.Duration) *Controller {
	c := &Controller{settings: settings.WithDefaults(), lease: lease, zones: settings.Zones()}
	for i, region := range settings.Regions {
		for range region.Zones {
			c.regionOf = append(c.regionOf, i)
		}
	}
	c.countNames = newCountNames(c.zones)
	c.estimates = newEstimates(&c.settings, len(c.zones))
	c.holdDownUntil = make([]time.Duration, len(c.zones))
	return c
}

var _ coordination.Controller = (*Controller)(nil)

// Table returns the name of the table that the controller writes.
func (c *Controller) Table() string { return TableName }

// isHeldDown reports whether a zone's requests moved less than a hold-down ago.
func (c *Controller) isHeldDown(zone int, now time.Duration) bool { return c.holdDownUntil[zone] > now }

// isPreviousInUse reports whether some gateways may still act on a plan before the one in force.
func (c *Controller) isPreviousInUse(now time.Duration) bool { return now < c.previousInUseUntil }

// Decide returns the stored form of the next plan. If the plan in force stays, write is false. The
// leader calls Decide about ten times a second. While no plan is in force, Decide writes none until
// demand has been measured for demandRiseTime.
func (c *Controller) Decide(now time.Duration, input coordination.ControllerInput) (value []byte, write bool) {
	if table := input.Table(TableName); !c.started || table.Epoch != c.epoch {
		c.adoptPlan(now, table)
	}
	if !c.samples.add(c.countNames.newSample(now, input.Sums)) || !c.estimates.update(c.samples) {
		return nil, false
	}
	if c.noPlan && now < c.estimates.firstSampleAt+demandRiseTime {
		return nil, false
	}
	next := c.nextPlan(now)
	if next == nil {
		return nil, false
	}
	value, err := next.Encode()
	return value, err == nil // encoding maps of strings and numbers does not fail
}

// adoptPlan sets the plan in force to the plan in the table. The age of that plan is not known, so
// it is assumed to have been written now: its hold-down and its lease start now.
func (c *Controller) adoptPlan(now time.Duration, table statemachine.Table) {
	plan, err := DecodePlan(table.Value)
	c.noPlan = err != nil || plan == nil // a malformed plan is replaced
	if c.noPlan {
		plan = &Plan{}
	}
	rows := c.rowsOf(plan)
	for i, zone := range c.zones {
		switch {
		case !slices.Contains(plan.HeldDownZones, zone):
			c.holdDownUntil[i] = 0
		case c.rows == nil || !slices.Equal(rows[i], c.rows[i]) || c.plan.Shed[zone] != plan.Shed[zone]:
			c.holdDownUntil[i] = now + c.settings.holdDown()
		}
	}
	if !c.started && !c.noPlan {
		c.restoreEstimates(now, plan)
	}
	c.started = true
	c.epoch = table.Epoch
	c.plan = plan
	c.rows = rows
	c.previousInUseUntil = now + c.lease
	c.planAdoptedAt = now
}

// rowsOf returns a plan's rows by zone index, in thousandths. A zone whose row is missing, or whose
// shares of known zones do not add up to all requests, gets a row that is all local.
func (c *Controller) rowsOf(plan *Plan) (rows [][]int) {
	for from, fromZone := range c.zones {
		row := make([]int, len(c.zones))
		sum := 0
		for to, toZone := range c.zones {
			row[to] = max(plan.Rows[fromZone][toZone], 0)
			sum += row[to]
		}
		if sum != fullShare {
			clear(row)
			row[from] = fullShare
		}
		rows = append(rows, row)
	}
	return rows
}

// restoreEstimates initializes a new leader's estimates with the demand, the failing zones and the
// lost links of the plan in force. Later observations replace them.
func (c *Controller) restoreEstimates(now time.Duration, plan *Plan) {
	c.estimates.demandRestored = true
	for i, zone := range c.zones {
		c.estimates.demand[i] = float64(plan.Demand[zone]) / storedDemandScale
		if health, ok := plan.Health[zone]; ok && health <= fullShare*zonestats.Failing/zonestats.Healthy {
			c.estimates.health[i] = healthEstimate{quarters: health * zonestats.Healthy / fullShare, observedAt: now}
		}
	}
	for from, fromZone := range c.zones {
		for to, toZone := range c.zones {
			if slices.Contains(plan.LostLinks, [2]string{fromZone, toZone}) {
				c.estimates.linkHealth[from][to] = healthEstimate{quarters: zonestats.Lost, observedAt: now}
			}
		}
	}
}
