package canary

import (
	"bytes"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// Controller computes the table of counting rules. It evaluates a new rule in a canary trial,
// schedules the switch to it, and compares the outcome with the trial's forecast. It then keeps the
// rule or rolls it back. It refuses a rule that rejects or admits too many more units than the
// current one, or that exceeds its own limits too far, according to the configured bounds. It is
// not safe for concurrent use.
type Controller struct {
	Config      func() *countingrule.Config // returns the configuration as last read from the file
	Lease       time.Duration               // duration of the table's lease in every process
	MaxReadWait time.Duration               // longest time that a read waits for a new table value
	ClockOrigin time.Duration               // time on the common clock at which the clock of Decide was 0

	baselineEpoch  uint64            // epoch of the entry that baseline belongs to
	leadingSince   time.Duration     // LeadingSince of the latest call of Decide
	baseline       map[string]uint64 // sums that the entry's TrialState.Sums already contain
	latestProposal proposal
}

// proposal is the latest value returned by Decide and the sums that it was computed from. Both are
// nil before the first proposal.
type proposal struct {
	value []byte
	sums  map[string]uint64
}

// New returns a controller that follows config. lease is the duration of a table lease. wait is the
// longest time that a read of the table waits for a new value. origin is the time on the common
// clock, in nanoseconds since 1970, at which the clock passed to Decide was 0. It may be off by
// maxClockSkew.
func New(config func() *countingrule.Config, lease, wait, origin time.Duration) *Controller {
	return &Controller{Config: config, Lease: lease, MaxReadWait: wait, ClockOrigin: origin}
}

// Table returns the name of the table that the controller writes.
func (c *Controller) Table() string { return countingrule.TableName }

// Decide returns the table's next value, or false if the table does not change. now is the local
// clock whose origin was passed to New.
func (c *Controller) Decide(now time.Duration, input coordination.ControllerInput) ([]byte, bool) {
	entry := input.Table(countingrule.TableName)
	table, err := countingrule.Decode(entry.Value)
	if err != nil {
		return nil, false // written by a later software version: left unchanged
	}
	c.updateBaseline(entry, input)
	trial, err := decodeTrialState(table.TrialState)
	if err != nil {
		return nil, false // written by a later software version: left unchanged
	}
	config := c.Config()
	s := step{
		config:      config,
		switchDelay: c.switchDelay(config),
		now:         c.ClockOrigin + now,
		leadingFor:  now - input.LeadingSince,
		table:       &table,
		trial:       &trial,
		sums:        input.Sums,
		baseline:    c.baseline,
	}
	if !s.advance() {
		return nil, false
	}
	table.TrialState = trial.encode()
	c.latestProposal = proposal{value: table.Encode(), sums: input.Sums}
	return c.latestProposal.value, true
}

// updateBaseline sets the baseline when the entry or the leadership has changed. If the entry is
// this process's latest proposal, its trial state contains the sums of that proposal. Otherwise the
// sums received so far are assumed to be contained. This prevents an observation from being counted
// twice.
func (c *Controller) updateBaseline(entry statemachine.Table, input coordination.ControllerInput) {
	sameLeadership := input.LeadingSince == c.leadingSince
	if sameLeadership && entry.Epoch == c.baselineEpoch && c.baseline != nil {
		return
	}
	c.baseline = input.Sums
	if sameLeadership && c.latestProposal.sums != nil && bytes.Equal(entry.Value, c.latestProposal.value) {
		c.baseline = c.latestProposal.sums
	}
	c.baselineEpoch = entry.Epoch
	c.leadingSince = input.LeadingSince
}

// switchDelay returns the minimum time from a decision to its switch. Within this time every
// process has either received the decision or found its lease expired: a lease that ends more than
// one lease duration after the decision was granted by a read that returned the decision.
func (c *Controller) switchDelay(config *countingrule.Config) time.Duration {
	return c.Lease + switchDelayReadWaits*c.MaxReadWait + switchDelayClockSkews*maxClockSkew + config.Canary.ExtraLead()
}
