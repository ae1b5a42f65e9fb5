package canary

import (
	"bytes"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
)

// Controller writes the table of counting rules: a rule is tried, scheduled, watched and kept, or rolled back where the
// outcome deviates from its forecast. It protects against a rule that rejects, admits or overruns more than the
// configuration allows. Its cost: a rule whose keys are too few or too far apart is refused undecided.
type Controller struct {
	Config      func() *countingrule.Config // of the file as last read; it may change between two calls of Decide
	Lease       time.Duration               // of the table, at every process
	ReadWait    time.Duration               // the longest that a read of the table waits
	ClockOrigin time.Duration               // the common clock when Decide's clock was 0

	epoch        uint64 // of the entry that the baseline belongs to
	ledSince     time.Duration
	baseline     map[string]uint64 // the sums that are in TrialState.Sums of that entry
	proposed     []byte            // the value proposed last
	proposedFrom map[string]uint64 // and the sums that it was made of
}

// New makes a controller of a file's configuration. Lease and wait are those of the table's readers; origin is the
// common clock, nanoseconds since 1970, when the clock that Decide is given was 0: within maxClockSkew is near enough.
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
	if entry.Epoch != c.epoch || input.LeadingSince != c.ledSince || c.baseline == nil {
		c.baseline = input.Sums
		if bytes.Equal(entry.Value, c.proposed) && input.LeadingSince == c.ledSince && c.proposedFrom != nil {
			c.baseline = c.proposedFrom
		}
		c.epoch, c.ledSince = entry.Epoch, input.LeadingSince
	}
	trial, err := decodeTrialState(table.TrialState)
	if err != nil {
		return nil, false // the same
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
	c.proposed, c.proposedFrom = table.Encode(), input.Sums
	return c.proposed, true
}

// switchLead is the time from a decision to its switch in which every process hears of it or knows that it did not: an
// entry written now is in every read sent after, so a lease that covers a later moment than now and a lease has received
// it. Two waits more let most processes hear before their lease could end, and clocks may differ by maxClockSkew.
func (c *Controller) switchLead(config *countingrule.Config) time.Duration {
	return c.Lease + 2*c.ReadWait + 2*maxClockSkew + time.Duration(config.Canary.LeadMillis)*time.Millisecond
}
