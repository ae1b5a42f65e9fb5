package settlement

import (
	"time"

	"harrierhoist/internal/coordination"
)

const (
	decisionInterval = time.Second      // voters write exact totals once a second
	renewInterval    = 5 * time.Second  // shares in force are written again, so that gateways know that a controller runs
	clockInterval    = 60 * time.Second // the same for State.Clock while there are lots, as debts age by it
)

// StaleAfter is how long a gateway follows shares that nobody writes again: the leader may have no controller.
const StaleAfter = 3 * renewInterval

// ZoneStatus is what failover reports of a zone.
type ZoneStatus struct {
	FailingOver bool    // the plan in force moves its requests away, or brings them back by steps
	Headroom    float64 // fraction of its capacity that is left; negative: not known
}

// ZoneStatusFunc returns what failover reports, by zone name. Zones that it does not name are healthy.
type ZoneStatusFunc func(input coordination.ControllerInput) map[string]ZoneStatus

// Controller turns debts into shares. It keeps what this leader saw, and nothing that it decided: that is read from the
// table, and what is owed from the log's totals.
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

// Decide returns the next value of the table, at most once a second. A stored value that cannot be read is left as it
// is: gateways follow none such.
func (c *Controller) Decide(now time.Duration, input coordination.ControllerInput) ([]byte, bool) {
	if c.baseline == nil || input.LeadingSince != c.leadingSince {
		c.reset(now, input.LeadingSince)
	} else if now < c.sampledAt+decisionInterval {
		return nil, false
	}
	entry := input.Table(TableName)
	current, err := DecodeState(entry.Value)
	if err != nil {
		return nil, false
	}
	if entry.Epoch != c.epoch || c.samples == nil {
		c.epoch, c.epochSeenAt = entry.Epoch, now
	}
	excluded := c.excludedPartners(input)
	c.recordSample(now, input.Sums, current, len(excluded) > 0)

	next := current.clone()
	next.Clock += uint64((now - c.epochSeenAt).Milliseconds())
	ledger := ReadLedger(input.Totals(ExactTable))
	next.ageDebts(ledger.NetDebts(next.Forgiven), c.terms)
	next.NetDebts = ledger.NetDebts(next.Forgiven) // again: some may just have been forgiven
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

// reset forgets all that was seen under an earlier leader.
func (c *Controller) reset(now, leadingSince time.Duration) {
	*c = Controller{
		terms: c.terms, zoneStatus: c.zoneStatus, leadingSince: leadingSince, lastSettlingAt: now,
		baseline:         map[string]*serviceStats{},
		duringSettlement: map[string]*serviceStats{},
		sincePaceChange:  map[string]*serviceStats{},
	}
}
