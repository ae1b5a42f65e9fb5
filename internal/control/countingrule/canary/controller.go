package canary

import (
	"bytes"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// Controller decides the table of counting rules: a rule is tried, scheduled, watched and kept, or
// rolled back where the outcome deviates from its forecast. Prevents a rule that rejects, admits or
// exceeds limits more than the configuration allows.
type Controller struct {
	Config      func() *countingrule.Config // of the file as last read
	Lease       time.Duration               // of the table, at every process
	ReadWait    time.Duration               // the longest that a read of the table waits
	ClockOrigin time.Duration               // the common clock when Decide's clock was 0

	epoch    uint64 // of the entry that the baseline belongs to
	ledSince time.Duration
	baseline map[string]uint64 // the sums that TrialState.Sums of that entry has already
	latest   proposal
}

// proposal is a value that was proposed, and the sums that it was made of; nil where there is none.
type proposal struct {
	value []byte
	sums  map[string]uint64
}

// New makes a controller of a file's configuration. Lease and wait are those of the table's
// readers; origin is the common clock, nanoseconds since 1970, when the clock that Decide is given
// was 0, right to maxClockSkew.
func New(config func() *countingrule.Config, lease, wait, origin time.Duration) *Controller {
	return &Controller{Config: config, Lease: lease, ReadWait: wait, ClockOrigin: origin}
}

// Table is the name of the controller's table.
func (c *Controller) Table() string { return countingrule.TableName }

// Decide gives the table's next value, and false where it is to stay.
func (c *Controller) Decide(now time.Duration, input coordination.ControllerInput) ([]byte, bool) {
	entry := input.Table(countingrule.TableName)
	table, err := countingrule.Decode(entry.Value)
	if err != nil {
		return nil, false // written by a later version: left alone
	}
	c.updateBaseline(entry, input)
	trial, err := decodeTrialState(table.TrialState)
	if err != nil {
		return nil, false // written by a later version, too
	}
	config := c.Config()
	s := step{
		config:   config,
		lead:     c.switchLead(config),
		now:      c.ClockOrigin + now,
		ledFor:   now - input.LeadingSince,
		table:    &table,
		trial:    &trial,
		sums:     input.Sums,
		baseline: c.baseline,
	}
	if !s.advance() {
		return nil, false
	}
	table.TrialState = trial.encode()
	c.latest = proposal{value: table.Encode(), sums: input.Sums}
	return c.latest.value, true
}

// updateBaseline decides which sums the entry's trial state already has: those of the proposal that
// became the entry, else those received when this process first met it. Prevents an observation
// from counting twice.
func (c *Controller) updateBaseline(entry statemachine.Table, input coordination.ControllerInput) {
	leadsOn := input.LeadingSince == c.ledSince
	if leadsOn && entry.Epoch == c.epoch && c.baseline != nil {
		return
	}
	c.baseline = input.Sums
	if leadsOn && c.latest.sums != nil && bytes.Equal(entry.Value, c.latest.value) {
		c.baseline = c.latest.sums
	}
	c.epoch = entry.Epoch
	c.ledSince = input.LeadingSince
}

// switchLead decides how long before its switch a decision is committed, so that every process has
// received it by then or knows that its lease has ended. A lease that ends later than a lease from
// now counts from a read that held the decision.
func (c *Controller) switchLead(config *countingrule.Config) time.Duration {
	return c.Lease + leadReadWaits*c.ReadWait + leadClockSkews*maxClockSkew + config.Canary.ExtraLead()
}
