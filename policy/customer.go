package policy

import (
	"math"
	"time"
)

// resetWindows restarts the customer's windows and discards all samples.
func (c *customerState) resetWindows(now time.Duration) {
	initial := countSample{window: -1, at: now, level: c.plan.Burst}
	c.samples = [2]countSample{initial, initial}
	c.initializedWindow = noWindow
	c.blockedUntil = 0
	c.windowLength = windowLengthOf(c.plan)
	c.windowOffset = time.Duration(counterName(c.id, 0) % uint64(max(c.windowLength, 1)))
}

// windowLengthOf returns the length of the counter's windows for customers of a plan, or 0 if the
// counter counts nothing for them.
func windowLengthOf(plan *Plan) time.Duration {
	switch {
	case plan.Rate > 0:
		length := time.Duration(burstFillsPerWindow * plan.Burst / plan.Rate * float64(time.Second))
		return min(max(length, minWindow), maxWindow)
	case plan.MaxInFlight > 0:
		return inFlightWindow
	default:
		return 0
	}
}

// hasWindows reports whether the counter counts anything for the customer.
func (c *customerState) hasWindows() bool { return c.windowLength > 0 }

// windowAt returns the number of the window that contains a time.
func (c *customerState) windowAt(at time.Duration) int64 {
	return int64((at + c.windowOffset) / c.windowLength)
}

// windowStart returns the time at which a window starts.
func (c *customerState) windowStart(window int64) time.Duration {
	return time.Duration(window)*c.windowLength - c.windowOffset
}

// counterName returns the name under which the counter keeps the count of a customer's window. It
// is a hash of the customer and the window.
func counterName(customerID uint64, window int64) uint64 {
	x := (customerID*customerHashFactor + uint64(window)) * windowHashFactor
	return x ^ x>>hashShift
}

// countsInFlight reports whether the counter counts the customer's attempts in flight, not its
// units.
func (c *customerState) countsInFlight() bool { return c.plan.Rate <= 0 && c.plan.MaxInFlight > 0 }

// isBlocked reports whether the limit on attempts in flight was reached so recently that it is
// assumed to still be reached.
func (c *customerState) isBlocked(now time.Duration) bool { return now < c.blockedUntil }

// isSparse reports whether too few of the customer's requests arrive at this gateway to learn from
// them: its share of a burst holds fewer than sparseRequests requests of the given units.
func (c *customerState) isSparse(units float64) bool {
	return c.plan.Burst < sparseRequests*units*c.gateways
}

// isExhausted reports whether the bucket lacks the given units even if other gateways have used
// none, so that no count could admit them, and no charge is pending that a call would carry.
func (c *customerState) isExhausted(units float64) bool {
	return c.plan.Rate > 0 && c.available+c.assumedByOthers < units && len(c.pending) == 0
}

// refill updates the bucket, the demand and the share of the ceiling to the time now.
func (c *customerState) refill(now time.Duration) {
	passed := (now - c.refilledAt).Seconds()
	c.ceilingAvailable = c.ceilingAt(now)
	c.refilledAt = now
	c.available = min(c.available+float64(c.plan.Rate*passed), c.plan.Burst)
	c.demandInFlight *= math.Exp(-passed / demandTimeConstant.Seconds())
}

// ceilingAt returns the units available in this gateway's share of the ceiling at a time since the latest
// refill.
func (c *customerState) ceilingAt(now time.Duration) float64 {
	passed := (now - c.refilledAt).Seconds()
	grown := c.ceilingAvailable + float64(c.plan.CeilingRate/c.gateways*passed)
	return min(grown, c.maxCeiling())
}

// maxCeiling returns the units that this gateway's share of the ceiling can hold.
func (c *customerState) maxCeiling() float64 { return c.plan.CeilingBurst / c.gateways }

// takeFromCeiling takes units from this gateway's share of the plan's ceiling, or returns how many
// are missing. The shares of all gateways add up to the ceiling, so the ceiling holds without a
// counter and after a restart.
func (c *customerState) takeFromCeiling(units float64) (missing float64) {
	if c.plan.CeilingRate <= 0 {
		return 0
	}
	missing = units - c.ceilingAvailable
	if missing > 0 {
		return missing
	}
	c.ceilingAvailable -= units
	return 0
}

// adoptSample sets the level from a total of the latest sampled window or a later one. The count
// of a later window lacks units that were charged to the previous window after this gateway's
// latest sample, so this gateway's own estimate bounds the level.
func (c *customerState) adoptSample(call counterCall, now time.Duration, total float64) {
	c.refill(now)
	level := c.estimateLevel(call.window, now, total, call.units)
	if call.window > c.samples[0].window {
		level = max(min(level, c.available+c.uncounted), 0)
		c.samples[1] = c.samples[0]
	}
	c.samples[0] = countSample{call.window, now, total, level}
	c.available = level - c.uncounted
	c.assumedByOthers = 0
}

// estimateLevel returns the units that the bucket can hold at a time in a window, given the
// window's total: the level of the window's latest sample, plus the refill since then, less the
// units charged since then. A window without a sample starts full, because its count includes what
// the bucket lacked at its start. Samples of earlier windows bound the level. own is the number of
// units that this gateway charged since the sample; it is used if the counter lost its count.
func (c *customerState) estimateLevel(window int64, at time.Duration, total, own float64) float64 {
	from := countSample{at: c.windowStart(window), level: c.plan.Burst}
	limit := c.plan.Burst
	for _, sample := range c.samples {
		if sample.window == window {
			from = sample
		} else if sample.window < window {
			limit = min(limit, sample.level+float64(c.plan.Rate*max(at-sample.at, 0).Seconds()))
		}
	}
	used := max(total-from.total, own)
	return max(min(from.level+float64(c.plan.Rate*(at-from.at).Seconds())-used, limit), 0)
}

// uncountedByOthers estimates the units that other gateways forwarded and have not charged yet:
// their rate in the window of the latest sample, times the median latency. This prevents admission
// by a count that lags behind the units in flight.
func (c *customerState) uncountedByOthers(medianLatency time.Duration) float64 {
	sample := c.samples[0]
	passed := max(sample.at-c.windowStart(sample.window), c.windowLength/countSpanDivisor, 1)
	return sample.total * (1 - 1/c.gateways) * float64(medianLatency) / float64(passed)
}

// recordUsage records a report of the fraction of its rate that the customer uses. Until the first
// report, the customer is assumed to use its full rate; that report corrects the units that other
// gateways were assumed to have used.
func (c *customerState) recordUsage(rateFraction float64) {
	c.usageReports = min(c.usageReports+1, maxUsageReports)
	c.usage += (rateFraction - c.usage) / c.usageReports
	if c.usageReports == 1 {
		c.available += float64(c.assumedByOthers * (1 - c.othersFraction()))
		c.assumedByOthers *= c.othersFraction()
	}
}

// othersFraction returns the fraction of this gateway's units that each other gateway is assumed to
// forward while there is no count: the reported usage squared, at most 1, because a customer that
// uses half of its rate rarely empties its bucket. Without a report it is 1.
func (c *customerState) othersFraction() float64 { return min(c.usage*c.usage, 1) }
