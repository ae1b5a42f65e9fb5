// Package failover decides to which zones the requests that come in at a zone are sent, by what all
// gateways observed. The leader calls Controller.Decide, which turns merged observations into a
// Plan; gateways act on the plan while their lease on it stands. The package is free of I/O, clocks
// and randomness: the same observations give the same plans. docs/failover.md weighs it against
// other designs.
package failover

import (
	"slices"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// storedDemandScale is how many of the stored plan's units of demand are one unit a second.
const storedDemandScale = 1000

// Controller turns observations into plans. It runs on the leader and is made anew by each new
// leader: all that it must know of earlier plans is in the stored value.
type Controller struct {
	settings   Settings
	lease      time.Duration // how long a gateway may act on a plan after the next one
	zones      []string
	regionOf   []int // by zone, the index of its region
	countNames *countNames
	samples    samples
	estimates  *estimates

	started       bool
	epoch         uint64          // of the plan in force
	noPlan        bool            // no plan is in force: all zones are taken to serve locally
	plan          *Plan           // the plan in force, or an empty one
	rows          [][]int         // its rows, by zone index, in thousandths
	holdDownUntil []time.Duration // by zone; read by isHeldDown
	previousUntil time.Duration   // read by isPreviousInUse
	planSince     time.Duration   // when this controller first saw the plan
}

// New makes a controller. The lease is the longest that a gateway acts on a plan after another one
// was written.
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

// Table is the name of the table that the controller writes.
func (c *Controller) Table() string { return Table }

// isHeldDown tells whether a zone's requests moved less than a hold-down ago.
func (c *Controller) isHeldDown(zone int, now time.Duration) bool { return c.holdDownUntil[zone] > now }

// isPreviousInUse tells whether some gateways may still act on the rows before the plan in force.
func (c *Controller) isPreviousInUse(now time.Duration) bool { return now < c.previousUntil }

// Decide gives the next plan's stored form; write is false where the plan in force is to stay. It
// is called some ten times a second. Without a plan in force it waits until demand is measured over
// demandRiseTime.
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

// adoptPlan takes over the plan in force. As its age is not known, it is taken to be written just
// now: hold-down and lease count from here.
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
	c.started = true
	c.epoch = table.Epoch
	c.plan = plan
	c.rows = rows
	c.previousUntil = now + c.lease
	c.planSince = now
}

// rowsOf gives a plan's rows by zone index, in thousandths. A row that the plan lacks, or that
// names other zones, is local.
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

// restoreEstimates has a new leader start with the demand that the plan was made for, and with the
// losses that the plan states, until observations say otherwise.
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
