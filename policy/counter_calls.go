package policy

import "time"

// callOutcome says what an answer to a call to the counter is worth.
type callOutcome uint8

const (
	callNotAccepted callOutcome = iota // nothing was added, or to a count of an earlier quota
	callTimedOut                       // it is taken to be added; no total came
	callLate                           // the total came after the stated limit
	callFast
)

// outcomeOf decides what the answer to a call is worth. Settings.CountTimeout only tells late from
// fast: it bounds no request's wait, as counterWaitFraction does.
func (a *admission) outcomeOf(call *counterCall, result *CountResult) callOutcome {
	switch {
	case result.Outcome == TimedOut:
		return callTimedOut
	case result.Outcome != Answered || call.quotaEpoch != call.customer.quotaEpoch:
		return callNotAccepted
	case result.Latency < a.env.settings.CountTimeout:
		return callFast
	default:
		return callLate
	}
}

// hasTotal reports whether a total came that the customer's quota can go by.
func (o callOutcome) hasTotal() bool { return o == callFast || o == callLate }

// sendCharges makes a call that brings the customer's pending charges, times a weight, and claims a
// place in the count of attempts in flight where the plan limits those. The request waits for the
// answer; nil: none does.
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
	ttl := min(max(counterTTLWindows*call.customer.windowLength, minWindow), maxCounterTTL)
	a.env.host.Count(name, ttl, call.units)
}

// handleCount takes the answer to a call, and decides on the request that waits for it.
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
			a.checkMaxInFlight(call, result.Total)
		} else {
			a.recordSample(call, result.Total)
		}
	}
	if call.request != nil && call.request.awaitsCount {
		a.env.cancelTimer(timerCounterWait, call.request.ID)
		a.decide(call.request, outcome.hasTotal())
	}
}

// updateCallProbability sets the probability of the next calls: less for one that failed or was
// late, more for each fast one in a row. At random, gateways do not pause and come back in step.
func (a *admission) updateCallProbability(outcome callOutcome) {
	if outcome == callFast {
		a.fastAnswers = min(a.fastAnswers+1, maxFastAnswers)
		a.callProbability = min(a.callProbability*(1+callRecovery*a.fastAnswers), 1)
		return
	}
	a.fastAnswers = 0
	a.callProbability = max(a.callProbability*callBackoff, minCallProbability)
}

// updateAcceptedFraction keeps the part of the latest calls that the counter accepted.
func (a *admission) updateAcceptedFraction(outcome callOutcome) {
	a.acceptedFraction -= a.acceptedFraction / acceptedSamples
	if outcome != callNotAccepted {
		a.acceptedFraction += 1.0 / acceptedSamples
	}
}

// confirmCharges takes a call's charges as counted, also where the call timed out: charged twice,
// they would reject requests until the window's end, while not charged they weaken one limit of
// several. Those of a sparse customer's own call are never sent again: the weight of accepted calls
// makes up for the others (charge).
func (c *counterCall) confirmCharges() {
	for _, charge := range c.charges {
		c.customer.uncounted -= charge.units
		latest := &c.customer.samples[0]
		if latest.window > c.window { // no count of this window shows it
			latest.level = max(latest.level-charge.units, 0)
		}
	}
}

// checkMaxInFlight holds back the customer for a part of an answer's time where the other attempts
// in flight fill its limit.
func (a *admission) checkMaxInFlight(call counterCall, total float64) {
	if call.request == nil || total-call.units < float64(call.customer.plan.MaxInFlight) {
		return
	}
	usualLatency := float64(call.request.class.latencies.decile(medianDecile))
	pause := max(time.Duration(blockedFraction*usualLatency), a.env.settings.ClockTick)
	call.customer.blockedUntil = a.env.now + pause
}

// recordSample takes a total into the customer's level. The first call that finds a window's count
// untouched reads the window before it and carries over what that overran, for gateways that did
// not see it.
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

// carryOverrun adds to the current window's count what the bucket lacked at the end of the window
// before it.
func (a *admission) carryOverrun(call counterCall, current int64, total float64) {
	customer := call.customer
	level := customer.estimateLevel(call.window, customer.windowStart(current), total, 0)
	overrun := customer.plan.Burst - level
	if overrun > 0 && call.window == current-1 {
		a.call(counterCall{customer: customer, window: current, units: overrun})
	}
}
