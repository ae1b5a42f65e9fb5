// Package failover decides to which zones the requests that come in at a zone are sent, by what all gateways observed. The
// leader runs a Controller that turns merged observations into a Plan; gateways act on the plan while their lease on it
// stands. The package is free of I/O, clocks and randomness: the same observations give the same plans. docs/failover.md
// weighs it against other designs.
package failover

import (
	"slices"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// Controller turns observations into plans. It runs on the leader and is made anew by each new leader: all that it must
// know of earlier plans is in the stored value.
type Controller struct {
	settings   Settings
	lease      time.Duration // the longest that a gateway acts on a plan after the next one was written
	zones      []string
	regionOf   []int // by zone, the index of its region
	countNames *countNames
	samples    samples
	estimates  *estimates

	started       bool
	epoch         uint64          // of the plan in force
	noPlan        bool            // no plan is in force: all zones are taken to serve locally, as gateways without a plan do
	plan          *Plan           // the plan in force, or an empty one
	rows          [][]int         // its rows, by zone index, in thousandths
	holdDownUntil []time.Duration // by zone, the end of its hold-down; 0: none
	previousUntil time.Duration   // until then some gateways may act on the rows before
	planSince     time.Duration   // when this controller first saw the plan
}

// New makes a controller. The lease is the longest that a gateway acts on a plan after another one was written.
func New(settings Settings, lease time.Duration) *Controller {
	c := &Controller{settings: settings.WithDefaults(), lease: lease, zones: settings.Zones()}
	for i, region := range settings.Regions {
		for range region.Zones {
			c.regionOf = append(c.regionOf, i)
		}
	}
	c.countNames, c.estimates = newCountNames(c.zones), newEstimates(&c.settings, len(c.zones))
	c.holdDownUntil = make([]time.Duration, len(c.zones))
	return c
}

var _ coordination.Controller = (*Controller)(nil)

// Table is the name of the table that the controller writes.
func (c *Controller) Table() string { return Table }

// Decide gives the next plan's stored form; write is false where the plan in force is to stay. It is called some ten times a
// second.
func (c *Controller) Decide(now time.Duration, input coordination.ControllerInput) (value []byte, write bool) {
	if table := input.Table(Table); !c.started || table.Epoch != c.epoch {
		c.adoptPlan(now, table)
	}
	if !c.samples.add(c.countNames.sample(now, input.Sums)) || !c.estimates.update(c.samples) {
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
	return value, err == nil // maps of strings and numbers can always be encoded
}

// adoptPlan takes over the plan in force. What is not known of it is assumed at its worst: that it was written just now.
func (c *Controller) adoptPlan(now time.Duration, table statemachine.Table) {
	plan, err := DecodePlan(table.Value)
	c.noPlan = err != nil || plan == nil // a malformed plan is written anew
	if c.noPlan {
		plan = &Plan{}
	}
	rows := c.rowsOf(plan)
	for i, zone := range c.zones {
		switch {
		case !slices.Contains(plan.HoldDown, zone):
			c.holdDownUntil[i] = 0
		case c.rows == nil || !slices.Equal(rows[i], c.rows[i]) || c.plan.Shed[zone] != plan.Shed[zone]:
			c.holdDownUntil[i] = now + c.settings.holdDown()
		}
	}
	if !c.started && !c.noPlan {
		c.restoreEstimates(now, plan)
	}
	c.started, c.epoch, c.plan, c.rows = true, table.Epoch, plan, rows
	c.previousUntil, c.planSince = now+c.lease, now
}

// rowsOf gives a plan's rows by zone index. A row that the plan lacks, or that names other zones, is local.
func (c *Controller) rowsOf(plan *Plan) (rows [][]int) {
	for from, fromZone := range c.zones {
		row, sum := make([]int, len(c.zones)), 0
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

// restoreEstimates has a new leader start with the demand that the plan was made for, and with the losses that the plan
// states, until observations say otherwise.
func (c *Controller) restoreEstimates(now time.Duration, plan *Plan) {
	c.estimates.demandKnown = true
	for i, zone := range c.zones {
		c.estimates.demand[i] = float64(plan.Demand[zone]) / 1000
		if health, ok := plan.Health[zone]; ok && health <= fullShare*zonestats.Failing/zonestats.Healthy {
			c.estimates.health[i], c.estimates.healthAt[i] = health*zonestats.Healthy/fullShare, now
		}
	}
	for from, fromZone := range c.zones {
		for to, toZone := range c.zones {
			if slices.Contains(plan.LostLinks, [2]string{fromZone, toZone}) {
				c.estimates.linkHealth[from][to], c.estimates.linkHealthAt[from][to] = zonestats.Lost, now
			}
		}
	}
}
