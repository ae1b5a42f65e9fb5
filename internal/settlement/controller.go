package settlement

import (
	"cmp"
	"maps"
	"strings"
	"time"

	"harrierhoist/internal/coordination"
)

const (
	decisionInterval  = time.Second      // between decisions: voters write exact totals once a second
	rateWindow        = 10               // beats over which rates are taken
	minRateSamples    = 3                // beats that a leader has seen before it steers
	settlementTail    = 5 * time.Second  // after shares end, what they moved is still on its way
	renewInterval     = 5 * time.Second  // shares that stand are written again, so that gateways know that a decider lives
	clockInterval     = 60 * time.Second // the same for the clock by which debts age
	maxEpisodeMillis  = 300_000          // ms of settling after which it rests, to see anew how partners fare without
	restMillis        = 15_000           // ms: the tail, and some seconds to see
	maxBaselineWait   = 30 * time.Second // for partners of which too little was seen to begin with all that may
	minChangeFraction = 0.1              // part by which a share or a net debt must change to be written
)

// StaleAfter is how long a gateway goes by shares that nobody writes again: the leader may have no decider.
const StaleAfter = 3 * renewInterval

// ZoneStatus is what failover says of a hall.
type ZoneStatus struct {
	FailingOver bool    // the plan in force moves its tasks away, or lets them back by steps
	Headroom    float64 // part of its strength that is left; below 0: not known
}

// ZoneStatusFunc gives what failover says, by name; halls not named are taken to be well. Nil where failover is off.
type ZoneStatusFunc func(seen coordination.ControllerInput) map[string]ZoneStatus

// Controller turns debts into shares. It keeps what this leader saw, and nothing of what it decided: that is read from
// the table, and what is owed from the totals of the log.
type Controller struct {
	terms      Terms
	zoneStatus ZoneStatusFunc

	leadingSince, sampledAt time.Duration // when this process began to lead; the latest look
	samples                 []sample      // the latest rateOver + 1
	baseline                map[string]*serviceStats
	duringSettlement        map[string]*serviceStats // while shares stand
	sincePaceChange         map[string]*serviceStats // of these, since paces were last changed
	lastSettlingAt          time.Duration            // when shares last stood
	paceChangedAt           time.Duration            // when paces were last changed
	epoch                   uint64                   // of the table
	epochSeenAt             time.Duration            // when it was first seen at that epoch
}

// sample is what all gateways had counted at a time.
type sample struct {
	at     time.Duration
	counts map[string]uint64 // ours alone
}

var _ coordination.Controller = (*Controller)(nil)

// NewController makes a decider; halls may be nil. The terms must have passed their Check.
func NewController(terms Terms, zoneStatus ZoneStatusFunc) *Controller {
	return &Controller{terms: terms, zoneStatus: zoneStatus}
}

// Table is the table that it writes.
func (c *Controller) Table() string { return TableName }

// Decide gives the next value of the table, at most once a beat. A value that cannot be read is left as it stands:
// gateways go by none such.
func (c *Controller) Decide(now time.Duration, seen coordination.ControllerInput) ([]byte, bool) {
	if c.baseline == nil || seen.LeadingSince != c.leadingSince {
		*c = Controller{terms: c.terms, zoneStatus: c.zoneStatus, leadingSince: seen.LeadingSince, lastSettlingAt: now, baseline: map[string]*serviceStats{},
			duringSettlement: map[string]*serviceStats{}, sincePaceChange: map[string]*serviceStats{}}
	} else if now < c.sampledAt+decisionInterval {
		return nil, false
	}
	entry := seen.Table(TableName)
	current, err := DecodeState(entry.Value)
	if err != nil {
		return nil, false
	}
	if entry.Epoch != c.epoch || c.samples == nil {
		c.epoch, c.epochSeenAt = entry.Epoch, now
	}
	excluded := c.excludedPartners(seen)
	c.recordSample(now, seen.Sums, current, len(excluded) > 0)
	next := current.clone()
	next.Clock += uint64((now - c.epochSeenAt).Milliseconds())
	ledger := ReadLedger(seen.Totals(ExactTable))
	next.Nets = ledger.NetDebts(next.Forgiven)
	next.ageDebts(next.Nets, c.terms)
	next.Nets = ledger.NetDebts(next.Forgiven)
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

// recordSample takes in what was counted since the last one. While failover is at work nothing tells how partners fare without
// a settlement, nor do the queues that it leaves.
func (c *Controller) recordSample(now time.Duration, sums map[string]uint64, current State, failingOver bool) {
	latest := sample{now, map[string]uint64{}}
	for name, n := range sums {
		if strings.HasPrefix(name, metricPrefix) {
			latest.counts[name] = n
		}
	}
	if failingOver {
		clear(c.baseline)
	}
	if len(current.Shares) > 0 || failingOver {
		c.lastSettlingAt = now
	}
	if len(current.Shares) == 0 {
		clear(c.duringSettlement)
		clear(c.sincePaceChange)
	}
	if n := len(c.samples); n > 0 {
		previous := c.samples[n-1]
		for _, p := range c.terms.Partners {
			growth := func(metric Metric) float64 {
				return float64(latest.counts[MetricName(metric, p.Name)] - min(previous.counts[MetricName(metric, p.Name)], latest.counts[MetricName(metric, p.Name)]))
			}
			to := c.duringSettlement
			if len(current.Shares) == 0 {
				if now < c.lastSettlingAt+settlementTail {
					continue
				}
				to = c.baseline
			}
			if to[p.Name] == nil {
				to[p.Name] = &serviceStats{}
			}
			more := serviceStats{growth(MetricRequests), growth(MetricLate), growth(MetricSlow)}
			to[p.Name].add(more, now-previous.at)
			if c.sincePaceChange[p.Name] == nil {
				c.sincePaceChange[p.Name] = &serviceStats{}
			}
			c.sincePaceChange[p.Name].add(more, 0)
		}
	}
	c.sampledAt, c.samples = now, append(c.samples, latest)
	c.samples = c.samples[max(0, len(c.samples)-rateWindow-1):]
}

// rate is a count's growth a second.
func (c *Controller) rate(metric Metric, partner string) float64 {
	first, last := c.samples[0], c.samples[len(c.samples)-1]
	firstValue, lastValue := first.counts[MetricName(metric, partner)], last.counts[MetricName(metric, partner)]
	if lastValue <= firstValue || last.at <= first.at {
		return 0
	}
	return float64(lastValue-firstValue) / (last.at - first.at).Seconds()
}

// adjustPaces judges those that have a part in the settlement that stands.
func (c *Controller) adjustPaces(now time.Duration, current State, next *State) {
	if len(current.Shares) == 0 || now < c.paceChangedAt+paceInterval {
		return
	}
	c.paceChangedAt = now
	participants := map[string]bool{}
	for _, s := range current.Shares {
		participants[s.Debtor], participants[s.Creditor] = true, true
	}
	for _, p := range c.terms.Partners {
		if !participants[p.Name] || c.duringSettlement[p.Name] == nil {
			continue
		}
		status := next.partnerState(p.Name)
		level := assessHarm(status, *c.duringSettlement[p.Name], c.terms.MaxLossFraction)
		if a := c.rate(MetricElective, p.Name); level == noHarm && a*rateWindow > minElectiveSample && c.rate(MetricElectivePlaced, p.Name) < minPlacedFraction*a {
			level = harmLikely // no room there, as the gateways find
		}
		if level == noHarm && isQueueing(status, *c.sincePaceChange[p.Name]) {
			level = harmLikely
		}
		switch level {
		case harmSure:
			status.HoldUntil = next.Clock + holdMillis(status, *c.duringSettlement[p.Name], c.rate(MetricRequests, p.Name), c.terms.MaxLossFraction)
			status.Pace = max(status.Pace/4, initialPace/16)
			status.MaxPace = status.Pace
			delete(c.duringSettlement, p.Name)
		case harmLikely:
			status.Pace = max(status.Pace/2, initialPace/16)
			status.MaxPace = status.Pace
		default:
			status.MaxPace = min(uint64(float64(cmp.Or(status.MaxPace, PartsPerMillion))*paceBoundGrowth), PartsPerMillion)
			status.Pace = min(uint64(float64(status.Pace)*paceGrowth), status.MaxPace)
		}
		next.setPartnerState(status)
	}
	clear(c.sincePaceChange)
}

// hasSignificantChange tells whether the next value says enough that the one that stands does not.
func (c *Controller) hasSignificantChange(now time.Duration, current, next State) bool {
	if len(current.Shares) != len(next.Shares) || len(current.ForgivenessLog) != len(next.ForgivenessLog) ||
		len(next.ForgivenessLog) > 0 && current.ForgivenessLog[len(current.ForgivenessLog)-1].Number != next.ForgivenessLog[len(next.ForgivenessLog)-1].Number {
		return true
	}
	differs := func(firstValue, lastValue uint64, least float64) bool {
		far := float64(max(firstValue, lastValue) - min(firstValue, lastValue))
		return far > least && far > minChangeFraction*float64(max(firstValue, lastValue))
	}
	for _, s := range next.Shares {
		if differs(current.sharePPM(s.Pair), s.PPM, 100) {
			return true
		}
	}
	for _, status := range next.Partners {
		if old := current.partnerState(status.Partner); old.Pace != status.Pace || old.MaxPace != status.MaxPace || old.HoldUntil != status.HoldUntil {
			return true
		}
	}
	nets := map[Pair]uint64{}
	for _, n := range current.Nets {
		nets[n.Pair] = n.Sum
	}
	for _, n := range next.Nets {
		if differs(nets[n.Pair], n.Sum, c.terms.MinDebt*1000) && now >= c.epochSeenAt+renewInterval {
			return true
		}
		delete(nets, n.Pair)
	}
	maxRemoved := uint64(0)
	for sum := range maps.Values(nets) {
		maxRemoved = max(maxRemoved, sum)
	}
	return now >= c.epochSeenAt+renewInterval && (len(next.Shares) > 0 || float64(maxRemoved) > c.terms.MinDebt*1000) ||
		now >= c.epochSeenAt+clockInterval && len(next.Lots) > 0
}
