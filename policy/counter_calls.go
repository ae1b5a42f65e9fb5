package policy

import "time"

// This file is admission's calls to the counter, and what their answers tell.

// sendCharges makes a call that brings the customer's pending charges, times a weight, and claims a place in
// the count of attempts in flight where the plan limits those. The request waits for the answer; nil: none
// does.
func (a *admission) sendCharges(customer *customerState, request *requestState, weight float64) {
	call := counterCall{request: request, customer: customer, window: customer.windowAt(a.env.now)}
	for _, charge := range customer.pending {
		if a.env.now-charge.at < maxChargeAge {
			call.charges = append(call.charges, charge)
			call.units += charge.units * weight
		} else {
			customer.uncounted -= charge.units
		}
	}
	customer.pending = nil
	if customer.countsInFlight() {
		request.claimedWindow = call.window
		call.units++
	}
	a.call(call)
}

func (a *admission) call(call counterCall) {
	name := counterName(call.customer.id, call.window)
	call.quotaEpoch = call.customer.quotaEpoch
	a.calls[name] = append(a.calls[name], call)
	a.env.host.Count(name, min(max(2*call.customer.windowLength, minWindow), maxCounterTTL), call.units)
}

// handleCount takes the answer to a call, and decides on the request that waits for it.
func (a *admission) handleCount(result *CountResult) {
	call, found := a.nextCall(result.Name)
	if !found {
		return
	}
	counted := result.Outcome == Answered && call.quotaEpoch == call.customer.quotaEpoch
	accepted := counted || result.Outcome == TimedOut
	a.updateCallProbability(counted && result.Latency < a.env.settings.CountTimeout, accepted)
	if accepted || call.request == nil {
		call.chargesCounted()
	} else {
		call.request.claimedWindow = 0
		call.customer.pending = append(call.customer.pending, call.charges...)
	}
	switch {
	case counted && call.customer.countsInFlight():
		a.checkMaxInFlight(call, result.Total)
	case counted:
		a.recordSample(call, result.Total)
	}
	if call.request != nil && call.request.awaitsCount {
		a.env.cancelTimer(timerCounterWait, call.request.ID)
		a.decide(call.request, counted)
	}
}

// updateCallProbability leaves calls out, at random, as they fail or answer late.
func (a *admission) updateCallProbability(fast, accepted bool) {
	if fast {
		a.fastAnswers = min(a.fastAnswers+1, maxFastAnswers)
		a.callProbability = min(a.callProbability*(1+callRecovery*a.fastAnswers), 1)
	} else {
		a.fastAnswers, a.callProbability = 0, max(a.callProbability*callBackoff, minCallProbability)
	}
	if a.acceptedFraction -= a.acceptedFraction / acceptedSamples; accepted {
		a.acceptedFraction += 1.0 / acceptedSamples
	}
}

// chargesCounted takes a call's charges for counted: also if it timed out, as a count too high rejects until
// its window's end, while one too low is one of several guards. A charge that went alone has no next call:
// those accepted stand for it.
func (c *counterCall) chargesCounted() {
	for _, charge := range c.charges {
		c.customer.uncounted -= charge.units
		if sample := &c.customer.samples[0]; sample.window > c.window { // no count of this window shows it
			sample.level = max(sample.level-charge.units, 0)
		}
	}
}

// checkMaxInFlight holds the customer for a while where others fill its limit on attempts in flight.
func (a *admission) checkMaxInFlight(call counterCall, total float64) {
	if call.request != nil && total-call.units >= float64(call.customer.plan.MaxInFlight) {
		usual := float64(call.request.class.latencies.decile(5))
		call.customer.blockedUntil = a.env.now + max(time.Duration(blockedFraction*usual), a.env.settings.ClockTick)
	}
}

// recordSample keeps a count that was read. Whoever finds a window's count untouched initializes it: it reads
// what came of the one before and carries over what that overran, for gateways that did not see it.
func (a *admission) recordSample(call counterCall, total float64) {
	customer, now := call.customer, a.env.now
	current := customer.windowAt(now)
	switch {
	case call.window < current && call.request == nil && len(call.charges) == 0:
		level := customer.estimateLevel(call.window, customer.windowStart(current), total, 0)
		if overrun := customer.plan.Burst - level; overrun > 0 && call.window == current-1 {
			a.call(counterCall{customer: customer, window: current, units: overrun})
		}
		return
	case total <= call.units && customer.initializedWindow != call.window:
		customer.initializedWindow = call.window
		a.call(counterCall{customer: customer, window: call.window - 1})
	}
	latest := &customer.samples[0]
	if call.window < latest.window {
		return
	}
	customer.refill(now)
	level := customer.estimateLevel(call.window, now, total, call.units)
	if call.window > latest.window { // its count lacks what the one before got since our latest sample
		level = max(min(level, customer.available+customer.uncounted), 0)
		customer.samples[1] = *latest
	}
	*latest = countSample{call.window, now, total, level}
	customer.available, customer.assumedByOthers = level-customer.uncounted, 0
}
