package policy

import (
	"math"
	"time"
)

// resetWindows begins the customer's windows, of which none was seen yet.
func (c *customerState) resetWindows(now time.Duration) {
	unseen := countSample{window: -1, at: now, level: c.plan.Burst}
	c.samples = [2]countSample{unseen, unseen}
	c.initializedWindow = noWindow
	c.blockedUntil = 0
	c.windowLength = windowLengthOf(c.plan)
	c.windowOffset = time.Duration(counterName(c.id, 0) % uint64(max(c.windowLength, 1)))
}

// windowLengthOf is how long the counter counts in one window for customers of a plan; 0: it counts
// nothing for them.
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

// windowAt returns the number of the window that a time falls in.
func (c *customerState) windowAt(at time.Duration) int64 {
	return int64((at + c.windowOffset) / c.windowLength)
}

// windowStart returns when a window starts.
func (c *customerState) windowStart(window int64) time.Duration {
	return time.Duration(window)*c.windowLength - c.windowOffset
}

// counterName is a hash of customer and window number.
func counterName(customerID uint64, window int64) uint64 {
	x := (customerID*customerHashFactor + uint64(window)) * windowHashFactor
	return x ^ x>>hashShift
}

// countsInFlight reports whether the customer's count is one of attempts in flight, not of units.
func (c *customerState) countsInFlight() bool { return c.plan.Rate <= 0 && c.plan.MaxInFlight > 0 }

// isBlocked reports whether the limit on attempts in flight was reached so lately that it is taken
// to be reached still.
func (c *customerState) isBlocked(now time.Duration) bool { return now < c.blockedUntil }

// isSparse reports whether requests come here too seldom to learn of the customer: this gateway's
// part of a burst holds under two requests of so many units.
func (c *customerState) isSparse(units float64) bool {
	return c.plan.Burst < sparseRequests*units*c.gateways
}

// isExhausted reports whether no count could admit so many units and no charge waits for a call.
func (c *customerState) isExhausted(units float64) bool {
	return c.plan.Rate > 0 && c.available+c.assumedByOthers < units && len(c.pending) == 0
}

// refill brings the bucket, the demand and the part of the ceiling up to the time now.
func (c *customerState) refill(now time.Duration) {
	passed := (now - c.refilledAt).Seconds()
	c.refilledAt = now
	c.available = min(c.available+c.plan.Rate*passed, c.plan.Burst)
	c.demandInFlight *= math.Exp(-passed / demandDecay.Seconds())
	grown := c.ceilingAvailable + c.plan.CeilingRate/c.gateways*passed
	c.ceilingAvailable = min(grown, c.plan.CeilingBurst/c.gateways)
}

// takeFromCeiling takes units from this gateway's part of the plan's ceiling, or returns how many
// are missing. All gateways' parts add up to the ceiling, so it holds without a counter and after a
// restart.
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

// adoptSample sets the level by a total read in the latest window, or in a later one, whose count
// lacks what the window before got since this gateway's latest sample.
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

// estimateLevel is the units that the bucket can hold at a time in a window, by the window's total:
// its latest sample's level plus what was refilled since. A window without a sample starts full, as
// its count includes what it lacked; samples of earlier windows bound it. own is the units that
// this gateway charged since the sample, in case the counter forgot.
func (c *customerState) estimateLevel(window int64, at time.Duration, total, own float64) float64 {
	from := countSample{at: c.windowStart(window), level: c.plan.Burst}
	limit := c.plan.Burst
	for _, sample := range c.samples {
		if sample.window == window {
			from = sample
		} else if sample.window < window {
			limit = min(limit, sample.level+c.plan.Rate*max(at-sample.at, 0).Seconds())
		}
	}
	used := max(total-from.total, own)
	return max(min(from.level+c.plan.Rate*(at-from.at).Seconds()-used, limit), 0)
}

// uncountedByOthers is the units that other gateways likely forwarded and did not charge yet: their
// rate in the window of the latest sample, for the usual latency.
// Prevents admission by a count that lags by what is in flight.
func (c *customerState) uncountedByOthers(usualLatency time.Duration) float64 {
	sample := c.samples[0]
	passed := max(sample.at-c.windowStart(sample.window), c.windowLength/countSpanDivisor, 1)
	return sample.total * (1 - 1/c.gateways) * float64(usualLatency) / float64(passed)
}

// recordUsage takes a report of the part of its rate that the customer uses. What was assumed
// before the first report, by a customer at its full rate, is corrected by it.
func (c *customerState) recordUsage(part float64) {
	c.usageReports = min(c.usageReports+1, maxUsageReports)
	c.usage += (part - c.usage) / c.usageReports
	if c.usageReports == 1 {
		c.available += c.assumedByOthers * (1 - c.othersFraction())
		c.assumedByOthers *= c.othersFraction()
	}
}

// othersFraction is the part of this gateway's units that each other gateway is taken to forward
// where no count tells: all, or the reported usage squared, as a customer that uses half of its
// rate seldom empties its bucket.
func (c *customerState) othersFraction() float64 { return min(c.usage*c.usage, 1) }
