package policy

import "time"

// callOutcome classifies how a call to the counter ended.
type callOutcome uint8

const (
	callNotAccepted callOutcome = iota // nothing was added, or it was added to a count of an earlier quota
	callTimedOut                       // the units are assumed to be added; the total is unknown
	callLate                           // the total arrived after Settings.LateCountAfter
	callFast                           // the total arrived in time
)

// outcomeOf classifies the result of a call. Settings.LateCountAfter only separates late answers
// from fast ones; counterWaitFraction limits how long a request waits.
func (a *admission) outcomeOf(call *counterCall, result *CountResult) callOutcome {
	switch {
	case result.Outcome == TimedOut:
		return callTimedOut
	case result.Outcome != Answered || call.quotaEpoch != call.customer.quotaEpoch:
		return callNotAccepted
	case result.Latency < a.env.settings.LateCountAfter:
		return callFast
	default:
		return callLate
	}
}

// hasTotal reports whether the answer has a total that is valid for the customer's quota.
func (o callOutcome) hasTotal() bool { return o == callFast || o == callLate }

// sendCharges calls the counter with the customer's pending charges, multiplied by weight. Charges
// older than maxChargeAge are dropped. If the plan limits attempts in flight, the call also adds an
// attempt to their count. request waits for the answer; nil if none does.
func (a *admission) sendCharges(customer *customerState, request *requestState, weight float64) {
	call := counterCall{request: request, customer: customer, window: customer.windowAt(a.env.now)}
	for _, charge := range customer.pending {
		if a.env.now-charge.at < maxChargeAge {
			call.charges = append(call.charges, charge)
			call.units += float64(charge.units * weight)
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

// call sends a call to the counter and keeps it until its answer arrives.
func (a *admission) call(call counterCall) {
	name := counterName(call.customer.id, call.window)
	call.quotaEpoch = call.customer.quotaEpoch
	a.calls[name] = append(a.calls[name], call)
	ttl := min(max(counterTTLWindows*call.customer.windowLength, minWindow), maxCounterTTL)
	a.env.host.Count(name, ttl, call.units)
}

// handleCount processes the answer to a call and decides on the request that waits for it.
func (a *admission) handleCount(result *CountResult) {
	call, found := a.nextCall(result.Name)
	if !found {
		return
	}
	outcome := a.outcomeOf(&call, result)
	a.updateCallProbability(outcome)
	a.updateAcceptedFraction(outcome)
	isForRequest := call.request != nil
	if outcome != callNotAccepted || !isForRequest {
		call.confirmCharges()
	} else { // the charges go with the customer's next call
		call.request.claimedWindow = noWindow
		call.customer.pending = append(call.customer.pending, call.charges...)
	}
	if outcome.hasTotal() {
		if call.customer.countsInFlight() {
			a.blockAtMaxInFlight(call, result.Total)
		} else {
			a.recordSample(call, result.Total)
		}
	}
	if call.request != nil && call.request.awaitsCount {
		a.env.cancelTimer(timerCounterWait, call.request.ID)
		a.decide(call.request, outcome.hasTotal())
	}
}

// updateCallProbability adjusts the probability of the next calls. A failed or late call lowers
// it; a fast one raises it, and more so after a series of fast ones. Because calls are skipped at
// random, gateways do not all stop or resume their calls at the same time.
func (a *admission) updateCallProbability(outcome callOutcome) {
	if outcome == callFast {
		a.fastAnswers = min(a.fastAnswers+1, maxFastAnswers)
		a.callProbability = min(a.callProbability*(1+float64(callRecovery*a.fastAnswers)), 1)
		return
	}
	a.fastAnswers = 0
	a.callProbability = max(a.callProbability*callBackoffFactor, minCallProbability)
}

// updateAcceptedFraction updates the moving average of the fraction of calls that the counter
// accepts.
func (a *admission) updateAcceptedFraction(outcome callOutcome) {
	a.acceptedFraction -= a.acceptedFraction / acceptedSamples
	if outcome != callNotAccepted {
		a.acceptedFraction += 1.0 / acceptedSamples
	}
}

// confirmCharges marks a call's charges as counted, even if the call timed out. Charges that are
// counted twice would reject requests until the end of the window; charges that are never counted
// only weaken one of several limits. Charges that a sparse customer sent in a separate call are
// never sent again, because the weight of accepted calls compensates for the others (charge).
func (c *counterCall) confirmCharges() {
	for _, charge := range c.charges {
		c.customer.uncounted -= charge.units
		latest := &c.customer.samples[0]
		if latest.window > c.window { // the latest window's count does not include it
			latest.level = max(latest.level-charge.units, 0)
		}
	}
}

// blockAtMaxInFlight blocks the customer for a fraction of the median latency if its other
// attempts in flight reach its limit.
func (a *admission) blockAtMaxInFlight(call counterCall, total float64) {
	if call.request == nil || total-call.units < float64(call.customer.plan.MaxInFlight) {
		return
	}
	medianLatency := float64(call.request.class.latencies.decile(medianDecile))
	blockedFor := max(time.Duration(blockedLatencyFraction*medianLatency), a.env.settings.ClockTick)
	call.customer.blockedUntil = a.env.now + blockedFor
}

// recordSample updates the customer's level from a total. The first call of this gateway that finds
// a window's count untouched also reads the previous window and carries over its overrun, for the
// gateways that did not see it.
func (a *admission) recordSample(call counterCall, total float64) {
	customer := call.customer
	current := customer.windowAt(a.env.now)
	isReadOnly := call.request == nil && len(call.charges) == 0
	isUntouched := total <= call.units
	switch {
	case call.window < current && isReadOnly:
		a.carryOverrun(call, current, total)
		return
	case isUntouched && customer.initializedWindow != call.window:
		customer.initializedWindow = call.window
		a.call(counterCall{customer: customer, window: call.window - 1})
	}
	if call.window >= customer.samples[0].window {
		customer.adoptSample(call, a.env.now, total)
	}
}

// carryOverrun adds the units that the bucket lacked at the end of the previous window to the count
// of the current window.
func (a *admission) carryOverrun(call counterCall, current int64, total float64) {
	customer := call.customer
	level := customer.estimateLevel(call.window, customer.windowStart(current), total, 0)
	overrun := customer.plan.Burst - level
	if overrun > 0 && call.window == current-1 {
		a.call(counterCall{customer: customer, window: current, units: overrun})
	}
}
