package settlement

import (
	"time"

	"harrierhoist/internal/coordination"
)

const (
	decisionInterval = time.Second      // voters write exact totals once a second
	renewInterval    = 5 * time.Second  // between writes of shares in force: a controller runs
	clockInterval    = 60 * time.Second // between writes of State.Clock while there are lots
	renewalsMissed   = 3                // after which the shares of the table are stale
)

// StaleAfter is how long a gateway follows shares that nobody writes again: the leader may have no
// controller.
const StaleAfter = renewalsMissed * renewInterval

// Controller turns debts into shares. It keeps what this leader saw, and nothing that it decided:
// that is read from the table, and what is owed from the log's totals.
type Controller struct {
	terms      Terms
	zoneStatus ZoneStatusFunc // nil where failover is off

	leadingSince time.Duration // when this process began to lead
	sampledAt    time.Duration
	samples      []sample // the latest, rateWindow+1 at most

	baseline         map[string]*serviceStats // by partner, while nothing is settled
	duringSettlement map[string]*serviceStats // by partner, while shares are in force
	sincePaceChange  map[string]*serviceStats // by partner, since paces last changed
	lastSettlingAt   time.Duration            // when shares were last in force or failover at work
	paceChangedAt    time.Duration

	epoch       uint64        // of the table
	epochSeenAt time.Duration // when the table was first seen at that epoch
}

var _ coordination.Controller = (*Controller)(nil)

// NewController makes a controller. The terms must have passed Check; zoneStatus may be nil.
func NewController(terms Terms, zoneStatus ZoneStatusFunc) *Controller {
	return &Controller{terms: terms, zoneStatus: zoneStatus}
}

// Table returns the name of the table that it writes.
func (c *Controller) Table() string { return TableName }

// Decide returns the next value of the table and whether it is to be written, at most once a
// second. A stored value that cannot be read is left as it is, as no gateway follows it.
func (c *Controller) Decide(now time.Duration, input coordination.ControllerInput) ([]byte, bool) {
	isFirst := c.baseline == nil || input.LeadingSince != c.leadingSince
	if !isFirst && now < c.sampledAt+decisionInterval {
		return nil, false
	}
	if isFirst {
		c.reset(now, input.LeadingSince)
	}
	entry := input.Table(TableName)
	current, err := DecodeState(entry.Value)
	if err != nil {
		return nil, false
	}
	if entry.Epoch != c.epoch || len(c.samples) == 0 {
		c.epoch = entry.Epoch
		c.epochSeenAt = now
	}
	excluded := c.excludedPartners(input)
	c.recordSample(now, input.Sums, current, len(excluded) > 0)

	next := current.clone()
	next.Clock += clockMillis(now - c.epochSeenAt)
	ledger := ReadLedger(input.Totals(ExactTable))
	next.ageDebts(ledger.NetDebts(next.Forgiven), c.terms)
	next.NetDebts = ledger.NetDebts(next.Forgiven) // without those that were just forgiven
	next.Shares = nil
	if c.terms.On {
		c.adjustPaces(now, current, &next)
		c.setShares(now, excluded, current, &next)
	}
	if !c.hasSignificantChange(now, current, next) {
		return nil, false
	}
	value, err := next.Encode()
	return value, err == nil
}

// reset forgets all that was seen while another process led.
func (c *Controller) reset(now, leadingSince time.Duration) {
	*c = Controller{
		terms: c.terms, zoneStatus: c.zoneStatus, leadingSince: leadingSince, lastSettlingAt: now,
		baseline:         map[string]*serviceStats{},
		duringSettlement: map[string]*serviceStats{},
		sincePaceChange:  map[string]*serviceStats{},
	}
}
