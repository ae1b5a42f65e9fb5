package settlement

import (
	"time"

	"harrierhoist/internal/coordination"
)

const (
	decisionInterval  = time.Second      // voters write exact totals once a second
	renewInterval     = 5 * time.Second  // time between writes of unchanged shares, which show that a controller runs
	clockInterval     = 60 * time.Second // maximum time between writes of State.Clock while there are lots
	maxMissedRenewals = 3                // number of missed renewals after which the shares are stale
)

// StaleAfter is how long a gateway acts on shares after their last write. A leader without a
// settlement controller does not renew them.
const StaleAfter = maxMissedRenewals * renewInterval

// Controller computes settlement shares from the debts between partners. It is not safe for
// concurrent use. It keeps only observations of the current leader in memory. Its earlier decisions
// are read from the replicated table, and debts from the totals of the log.
type Controller struct {
	terms      Terms
	zoneStatus ZoneStatusFunc // nil if failover is off

	leadingSince time.Duration // when this process became the leader
	lastSampleAt time.Duration
	samples      []sample // latest samples in order of time, at most rateWindow+1

	baseline            map[string]*serviceStats // by partner, collected while nothing is settled
	duringSettlement    map[string]*serviceStats // by partner, collected while shares are in force
	sincePaceAdjustment map[string]*serviceStats // by partner, collected since paces were last adjusted
	// lastRedirectAt is when settlement or failover last redirected requests, or when this process
	// became the leader if that is later.
	lastRedirectAt  time.Duration
	pacesAdjustedAt time.Duration

	epoch       uint64        // epoch of the table at the latest decision
	epochSeenAt time.Duration // when the table was first seen at that epoch
}

var _ coordination.Controller = (*Controller)(nil)

// NewController returns a controller for terms that have passed Check. zoneStatus is nil if
// failover is off.
func NewController(terms Terms, zoneStatus ZoneStatusFunc) *Controller {
	return &Controller{terms: terms, zoneStatus: zoneStatus}
}

// Table returns TableName, the table that the controller writes.
func (c *Controller) Table() string { return TableName }

// Decide returns the next value of the table and whether to write it. It makes at most one decision
// per decisionInterval. A stored value that cannot be decoded is not replaced: no gateway acts on
// it.
func (c *Controller) Decide(now time.Duration, input coordination.ControllerInput) ([]byte, bool) {
	isNewLeadership := c.baseline == nil || input.LeadingSince != c.leadingSince
	if !isNewLeadership && now < c.lastSampleAt+decisionInterval {
		return nil, false
	}
	if isNewLeadership {
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
	next.NetDebts = ledger.NetDebts(next.Forgiven) // excludes the debts that ageDebts has just forgiven
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

// reset discards what the controller observed before this process became the leader.
func (c *Controller) reset(now, leadingSince time.Duration) {
	*c = Controller{
		terms: c.terms, zoneStatus: c.zoneStatus, leadingSince: leadingSince, lastRedirectAt: now,
		baseline:            map[string]*serviceStats{},
		duringSettlement:    map[string]*serviceStats{},
		sincePaceAdjustment: map[string]*serviceStats{},
	}
}
