package policy

import (
	"math"
	"time"
)

// resetWindows begins the customer's windows, of which none was seen yet.
func (customer *customerState) resetWindows(now time.Duration) {
	never := countSample{window: -1, at: now, level: customer.plan.Burst}
	customer.samples, customer.initializedWindow, customer.blockedUntil, customer.windowLength = [2]countSample{never, never}, 0, 0, 0
	if customer.plan.Rate > 0 {
		length := time.Duration(burstFillsPerWindow * customer.plan.Burst / customer.plan.Rate * float64(time.Second))
		customer.windowLength = min(max(length, minWindow), maxCounterTTL/2)
	} else if customer.plan.MaxInFlight > 0 {
		customer.windowLength = inFlightWindow
	}
	customer.windowOffset = time.Duration(counterName(customer.id, 0) % uint64(max(customer.windowLength, 1)))
}

// windowAt gives the number of the window that a time falls in, start a window's start.
func (customer *customerState) windowAt(at time.Duration) int64 {
	return int64((at + customer.windowOffset) / customer.windowLength)
}

func (customer *customerState) windowStart(window int64) time.Duration {
	return time.Duration(window)*customer.windowLength - customer.windowOffset
}

// isSparse tells that tasks come here too seldom to learn of the customer: our share of a burst holds under two.
func (customer *customerState) isSparse(units float64) bool {
	return customer.plan.Burst < sparseRequests*units*customer.gateways
}

// estimateLevel is what the store can hold by the looks so far: what it held at the latest and what came since, up to
// a burst; ours is what we charged since, in case the counter forgot. A window not seen yet starts full: what
// lacked then stands in its count. It stops at nought: what an empty store sends on takes nothing from it.
func (customer *customerState) estimateLevel(window int64, at time.Duration, total, ours float64) float64 {
	from, most := countSample{at: customer.windowStart(window), level: customer.plan.Burst}, customer.plan.Burst
	for _, l := range customer.samples {
		if l.window == window {
			from = l
		} else if l.window < window {
			most = min(most, l.level+customer.plan.Rate*max(at-l.at, 0).Seconds())
		}
	}
	used := max(total-from.total, ours)
	return max(min(from.level+customer.plan.Rate*(at-from.at).Seconds()-used, most), 0)
}

func (customer *customerState) refill(now time.Duration) {
	passed := (now - customer.refilledAt).Seconds()
	customer.refilledAt = now
	customer.available = min(customer.available+customer.plan.Rate*passed, customer.plan.Burst)
	customer.demandInFlight *= math.Exp(-passed / demandDecay.Seconds())
	customer.ceilingAvailable = min(customer.ceilingAvailable+customer.plan.CeilingRate/customer.gateways*passed, customer.plan.CeilingBurst/customer.gateways)
}

// uncountedByOthers is what others likely sent on and did not charge yet: their rate in the window last looked at, for
// an answer's time. It guards against a count that lags by what is out.
func (customer *customerState) uncountedByOthers(usual time.Duration) float64 {
	l := customer.samples[0]
	passed := max(l.at-customer.windowStart(l.window), customer.windowLength/2, 1)
	return l.total * (1 - 1/customer.gateways) * float64(usual) / float64(passed)
}

// counterName is a hash of customer and window number.
func counterName(customerID uint64, window int64) uint64 {
	x := (customerID*0x9e3779b97f4a7c15 + uint64(window)) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}

// countsInFlight tells that the customer's count is one of pushes out.
func (customer *customerState) countsInFlight() bool {
	return customer.plan.Rate <= 0 && customer.plan.MaxInFlight > 0
}

// recordUsage takes word of the part of its rate that the customer uses.
func (customer *customerState) recordUsage(part float64) {
	customer.usageReports = min(customer.usageReports+1, maxUsageReports)
	customer.usage += (part - customer.usage) / customer.usageReports
	if customer.usageReports == 1 {
		customer.available += customer.assumedByOthers * (1 - customer.othersFraction())
		customer.assumedByOthers *= customer.othersFraction()
	}
}

// othersFraction is the part of what we send on that each other gateway is taken to send on, where no total tells:
// all, or the metered use squared, as a customer that uses half of its rate seldom empties its store.
func (customer *customerState) othersFraction() float64 { return min(customer.usage*customer.usage, 1) }

// countWithCharges makes a call that brings the pending charges; j is the task that waits for it, if any.
func (d *admission) countWithCharges(customer *customerState, request *requestState, weight float64) {
	c := counterCall{request: request, customer: customer, window: customer.windowAt(d.now)}
	for _, p := range customer.pending {
		if d.now-p.at < maxChargeAge {
			c.charges = append(c.charges, p)
			c.units += p.units * weight
		} else {
			customer.uncounted -= p.units
		}
	}
	customer.pending = nil
	if customer.countsInFlight() {
		request.claimedWindow = c.window
		c.units++
	}
	d.callCounter(c)
}

func (d *admission) callCounter(c counterCall) {
	id := counterName(c.customer.id, c.window)
	c.quotaEpoch = c.customer.quotaEpoch
	d.calls[id] = append(d.calls[id], c)
	d.host.Count(id, min(max(2*c.customer.windowLength, minWindow), maxCounterTTL), c.units)
}

// handleCount takes a total. Charges of a call that timed out are held to be added: a count too high rejects
// to its window's end, one too low is one of several guards. Calls are left out by lot as they go wrong.
func (d *admission) handleCount(n message) {
	queue := d.calls[n.count.Name]
	if len(queue) == 0 {
		return
	}
	c := queue[0]
	if d.calls[n.count.Name] = queue[1:]; len(queue) == 1 {
		delete(d.calls, n.count.Name)
	}
	read := n.count.Outcome == Answered && c.quotaEpoch == c.customer.quotaEpoch
	if read && n.count.Latency < d.settings.CountTimeout {
		d.fastAnswers = min(d.fastAnswers+1, maxFastAnswers)
		d.callProbability = min(d.callProbability*(1+callRecovery*d.fastAnswers), 1)
	} else {
		d.fastAnswers, d.callProbability = 0, max(d.callProbability*callBackoff, minCallProbability)
	}
	taken := read || n.count.Outcome == TimedOut
	if d.acceptedFraction -= d.acceptedFraction / rateSamples; taken {
		d.acceptedFraction += 1.0 / rateSamples
	}
	if !taken && c.request != nil {
		c.request.claimedWindow = 0
		c.customer.pending = append(c.customer.pending, c.charges...)
	} else { // a charge that went alone has no next check: those taken stand for it
		for _, p := range c.charges {
			c.customer.uncounted -= p.units
			if l := &c.customer.samples[0]; l.window > c.window { // no total of this window shows it
				l.level = max(l.level-p.units, 0)
			}
		}
	}
	if read && c.customer.countsInFlight() {
		if c.request != nil && n.count.Total-c.units >= float64(c.customer.plan.MaxInFlight) {
			c.customer.blockedUntil = d.now + max(time.Duration(blockedFraction*float64(c.request.class.latencyDecile(5))), d.settings.ClockTick)
		}
	} else if read {
		d.recordSample(c, n.count.Total)
	}
	if c.request != nil && c.request.awaitsCount {
		d.host.CancelTimer(uint64(c.request.ID)*timerKinds + timerCounterWait)
		d.decide(c.request, read)
	}
}

// recordSample keeps a look at a total. Whoever finds a window's count untouched opens it: it reads what came of the
// one before and carries over what that overran, for gateways that did not see it.
func (d *admission) recordSample(c counterCall, units float64) {
	customer := c.customer
	current := customer.windowAt(d.now)
	switch {
	case c.window < current && c.request == nil && len(c.charges) == 0:
		lacks := customer.plan.Burst - customer.estimateLevel(c.window, customer.windowStart(current), units, 0)
		if lacks > 0 && c.window == current-1 {
			d.callCounter(counterCall{customer: customer, window: current, units: lacks})
		}
		return
	case units <= c.units && customer.initializedWindow != c.window:
		customer.initializedWindow = c.window
		d.callCounter(counterCall{customer: customer, window: c.window - 1})
	}
	l := &customer.samples[0]
	if c.window < l.window {
		return
	}
	customer.refill(d.now)
	level := customer.estimateLevel(c.window, d.now, units, c.units)
	if c.window > l.window { // its count lacks what was charged to the one before, since our latest look
		level = max(min(level, customer.available+customer.uncounted), 0)
		customer.samples[1] = *l
	}
	*l = countSample{c.window, d.now, units, level}
	customer.available, customer.assumedByOthers = level-customer.uncounted, 0
}
