package policy

import (
	"math"
	"time"
)

// This file is the arithmetic of one customer's quota: its windows, and its token bucket as this gateway
// knows it.

// resetWindows begins the customer's windows, of which none was seen yet.
func (c *customerState) resetWindows(now time.Duration) {
	never := countSample{window: -1, at: now, level: c.plan.Burst}
	c.samples, c.initializedWindow, c.blockedUntil, c.windowLength = [2]countSample{never, never}, 0, 0, 0
	if c.plan.Rate > 0 {
		length := time.Duration(burstFillsPerWindow * c.plan.Burst / c.plan.Rate * float64(time.Second))
		c.windowLength = min(max(length, minWindow), maxCounterTTL/2)
	} else if c.plan.MaxInFlight > 0 {
		c.windowLength = inFlightWindow
	}
	c.windowOffset = time.Duration(counterName(c.id, 0) % uint64(max(c.windowLength, 1)))
}

// windowAt returns the number of the window that a time falls in, windowStart a window's start.
func (c *customerState) windowAt(at time.Duration) int64 {
	return int64((at + c.windowOffset) / c.windowLength)
}

func (c *customerState) windowStart(window int64) time.Duration {
	return time.Duration(window)*c.windowLength - c.windowOffset
}

// counterName is a hash of customer and window number.
func counterName(customerID uint64, window int64) uint64 {
	x := (customerID*0x9e3779b97f4a7c15 + uint64(window)) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}

// countsInFlight reports whether the customer's count is one of attempts in flight, not of units.
func (c *customerState) countsInFlight() bool { return c.plan.Rate <= 0 && c.plan.MaxInFlight > 0 }

// isSparse reports whether requests come here too seldom to learn of the customer: our share of a burst holds
// under two of them.
func (c *customerState) isSparse(units float64) bool {
	return c.plan.Burst < sparseRequests*units*c.gateways
}

// isExhausted reports whether no count could admit so many units and no charge waits for a call.
func (c *customerState) isExhausted(units float64) bool {
	return c.plan.Rate > 0 && c.available+c.assumedByOthers < units && len(c.pending) == 0
}

// refill brings what the bucket, the demand and the share of the ceiling have become since.
func (c *customerState) refill(now time.Duration) {
	passed := (now - c.refilledAt).Seconds()
	c.refilledAt = now
	c.available = min(c.available+c.plan.Rate*passed, c.plan.Burst)
	c.demandInFlight *= math.Exp(-passed / demandDecay.Seconds())
	grown := c.ceilingAvailable + c.plan.CeilingRate/c.gateways*passed
	c.ceilingAvailable = min(grown, c.plan.CeilingBurst/c.gateways)
}

// estimateLevel is what the bucket can hold by the samples so far: what it held at the latest and what came
// since, up to a burst; own is what we charged since, in case the counter forgot. A window without a sample
// starts full: what lacked then stands in its count. The level stops at 0: what an empty bucket sends on
// takes nothing from it.
func (c *customerState) estimateLevel(window int64, at time.Duration, total, own float64) float64 {
	from, limit := countSample{at: c.windowStart(window), level: c.plan.Burst}, c.plan.Burst
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

// uncountedByOthers is what other gateways likely forwarded and did not charge yet: their rate in the window
// of the latest sample, for an answer's time. It guards against a count that lags by what is in flight.
func (c *customerState) uncountedByOthers(usual time.Duration) float64 {
	sample := c.samples[0]
	passed := max(sample.at-c.windowStart(sample.window), c.windowLength/2, 1)
	return sample.total * (1 - 1/c.gateways) * float64(usual) / float64(passed)
}

// recordUsage takes a report of the part of its rate that the customer uses.
func (c *customerState) recordUsage(part float64) {
	c.usageReports = min(c.usageReports+1, maxUsageReports)
	c.usage += (part - c.usage) / c.usageReports
	if c.usageReports == 1 {
		c.available += c.assumedByOthers * (1 - c.othersFraction())
		c.assumedByOthers *= c.othersFraction()
	}
}

// othersFraction is the part of what we forward that each other gateway is taken to forward where no count
// tells: all, or the reported usage squared, as a customer that uses half of its rate seldom empties its
// bucket.
func (c *customerState) othersFraction() float64 { return min(c.usage*c.usage, 1) }
