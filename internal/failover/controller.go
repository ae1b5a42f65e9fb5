package failover

import (
	"slices"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/zonestats"
)

// Controller turns evidence into plans. It runs at the leader and is made anew with each new leader: all that it must know
// of earlier plans stands in the value.
type Controller struct {
	settings   Settings
	lease      time.Duration
	zones      []string
	regionOf   []int
	countNames *countNames
	samples    samples
	estimates  *estimates

	started       bool
	epoch         uint64
	noPlan        bool            // no plan stands: all are taken to serve near, as gateways without one do
	plan          *Plan           // the one that stands, or an empty one
	rows          [][]int         // its rows, by hall
	holdDownUntil []time.Duration // until when a hall rests; 0: it doesn't
	previousUntil time.Duration   // until when some may act on the rows before
	planSince     time.Duration   // when this decider saw the plan first
}

// New makes a decider. Lease is the longest that a gateway acts on a plan after another was written.
func New(settings Settings, lease time.Duration) *Controller {
	c := &Controller{settings: settings.WithDefaults(), lease: lease, zones: settings.Zones()}
	for i, r := range settings.Regions {
		for range r.Zones {
			c.regionOf = append(c.regionOf, i)
		}
	}
	c.countNames, c.estimates = newCountNames(c.zones), newEstimates(&c.settings, len(c.zones))
	c.holdDownUntil = make([]time.Duration, len(c.zones))
	return c
}

var _ coordination.Controller = (*Controller)(nil)

// Table is the table that it writes.
func (c *Controller) Table() string { return Table }

// Decide gives the next plan, or write false where the one that stands is to stay. It is called some ten times a second.
func (c *Controller) Decide(now time.Duration, seen coordination.ControllerInput) (value []byte, write bool) {
	if e := seen.Table(Table); !c.started || e.Epoch != c.epoch {
		c.adoptPlan(now, e)
	}
	if !c.samples.add(c.countNames.sample(now, seen.Sums)) || !c.estimates.update(c.samples) || c.noPlan && now < c.estimates.firstSampleAt+demandRiseTime {
		return nil, false
	}
	next := c.nextPlan(now)
	if next == nil {
		return nil, false
	}
	value, err := next.Encode()
	return value, err == nil // maps of strings and numbers are always encoded
}

// adoptPlan takes the plan that stands. What is not known of it is taken at its worst: that it was written just now.
func (c *Controller) adoptPlan(now time.Duration, e statemachine.Table) {
	plan, err := DecodePlan(e.Value)
	c.noPlan = err != nil || plan == nil // a spoilt one is written anew
	if c.noPlan {
		plan = &Plan{}
	}
	rows := c.rowsOf(plan)
	for from, zone := range c.zones {
		switch {
		case !slices.Contains(plan.HoldDown, zone):
			c.holdDownUntil[from] = 0
		case c.rows == nil || !slices.Equal(rows[from], c.rows[from]) || c.plan.Shed[zone] != plan.Shed[zone]:
			c.holdDownUntil[from] = now + c.settings.holdDown()
		}
	}
	if !c.started && !c.noPlan {
		c.restoreEstimates(now, plan)
	}
	c.started, c.epoch, c.plan, c.rows = true, e.Epoch, plan, rows
	c.previousUntil, c.planSince = now+c.lease, now
}

// rowsOf is a plan's rows by the places of halls. A row that the plan lacks, or one of other halls, is near.
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

// restoreEstimates has a new leader begin with the demand that the plan was made for, and hold to be lost what it does, until it
// hears otherwise.
func (c *Controller) restoreEstimates(now time.Duration, plan *Plan) {
	c.estimates.demandKnown = true
	for to, zone := range c.zones {
		c.estimates.demand[to] = float64(plan.Demand[zone]) / 1000
		if plannedHealth, ok := plan.Health[zone]; ok && plannedHealth <= fullShare*zonestats.Failing/zonestats.Healthy {
			c.estimates.health[to], c.estimates.healthAt[to] = plannedHealth*zonestats.Healthy/fullShare, now
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
