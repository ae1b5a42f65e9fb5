package policy

import (
	"math"
	"time"
)

// customerOf returns the state of a request's customer and creates it if there is none. It returns nil
// if there is no space for another customer. All
// gateways compute the same windows from the shared clock. The windows of different customers
// start at different times, which spreads the calls to the counter. The share of the ceiling is
// empty at the first endpoint list and refills from then on, because an earlier process of this
// gateway may have used it.
func (a *admission) customerOf(r Request) *customerState {
	a.evictIdle()
	if known := a.customers[r.Customer]; known != nil {
		return known
	}
	if !a.makeSpace() {
		return nil
	}
	settings := &a.env.settings
	plan := &settings.Plans[r.Plan]
	customer := &customerState{
		id: r.Customer, plan: plan, planIndex: r.Plan,
		gateways:   float64(min(max(r.GatewayCount, 1), settings.Gateways)),
		refilledAt: time.Duration(a.env.firstListAt), available: plan.Burst, usage: 1,
	}
	customer.resetWindows(a.env.now)
	a.customers[r.Customer] = customer
	a.customerList = append(a.customerList, customer)
	return customer
}

// objectiveOf returns the time at which a request's latency objective ends. A request that arrives
// with less time than the first tries of its class and plan has already used part of its objective:
// a repeat for earlier tries, a first try while this process was paused. If the pause is too short
// to explain the difference, the client of a first try has a shorter timeout, and the request is
// not late.
func (a *admission) objectiveOf(request *requestState, now time.Duration) time.Duration {
	class := request.class
	a.learnFirstTimeout(request, now)
	timeout := class.firstTimeouts[request.Plan]
	timeLeft := request.Deadline - now
	if timeout-timeLeft <= a.env.settings.ArrivalSlack {
		return min(now+class.LatencyObjective, request.Deadline)
	}
	if request.Repeat {
		timeout = class.Timeout
	}
	return min(request.Deadline-timeout+class.LatencyObjective, request.Deadline)
}

// learnFirstTimeout updates the timeout that clients of the request's class and plan set for a
// first try. It keeps the longest timeout seen, and replaces it by a shorter one if a pause of this
// process cannot explain the difference.
func (a *admission) learnFirstTimeout(request *requestState, now time.Duration) {
	if request.Repeat {
		return
	}
	known := &request.class.firstTimeouts[request.Plan]
	timeLeft := request.Deadline - now
	explainedByPause := a.env.eventGap + a.env.settings.ArrivalSlack
	if timeLeft > *known || *known-timeLeft > explainedByPause {
		*known = timeLeft
	}
}

// check admits or rejects a request, or calls the counter and leaves the decision to its answer.
// The call carries the customer's pending charges. check runs again if the answer does not arrive
// within counterWait, and then decides without it.
func (a *admission) check(request *requestState) {
	customer := request.customer
	customer.refill(a.env.now)
	switch {
	case request.completed || request.admitted:
	case request.awaitsCount:
		a.decide(request, false) // the counter has not answered in time
	case a.isTooLate(request):
		a.reject(request, request.class.Timeout)
	case customer.isExhausted(request.Units):
		a.decide(request, true) // counts only grow, so none could admit the request
	case a.shouldRejectRepeat(request):
		a.reject(request, a.balancer.capacityWait())
	case a.shouldCallCounter(customer):
		request.awaitsCount = true
		a.sendCharges(customer, request, 1)
		a.env.setTimer(timerCounterWait, request.ID, request.class.counterWait())
	default:
		a.decide(request, false)
	}
}

// isTooLate reports whether a request's latency objective has passed, or the time until its
// deadline is too short for its units. Its client would time out before the answer and retry.
func (a *admission) isTooLate(request *requestState) bool {
	now := a.env.now
	return now >= request.objectiveAt || now+request.expectedLatency(requiredLatencyDecile) > request.Deadline
}

// shouldRejectRepeat reports whether to reject a request without a call to the counter: a repeat
// from a sparse customer, while only some requests get a call. A call for a repeat would use
// capacity of the counter that first tries need.
func (a *admission) shouldRejectRepeat(request *requestState) bool {
	return request.Repeat && a.callProbability < 1 && request.customer.isSparse(request.Units)
}

// counterWait returns how long a request of the class waits for the counter's answer.
func (c *classState) counterWait() time.Duration {
	return time.Duration(counterWaitFraction * float64(c.LatencyObjective))
}

// shouldCallCounter reports whether to call the counter for a customer. While calls fail, it
// decides at random. The probability is higher for a customer that is close to its limit and is
// served by few gateways, because the count matters most for such a customer.
func (a *admission) shouldCallCounter(customer *customerState) bool {
	if !a.env.settings.HasCounter || !customer.hasWindows() || customer.isBlocked(a.env.now) {
		return false
	}
	bucketFraction := customer.available / max(customer.plan.Burst, 1)
	gatewaysFraction := min(customer.gateways/fullBackoffGateways, 1)
	return a.env.random.Float64() < math.Pow(a.callProbability, max(bucketFraction, gatewaysFraction))
}

// decide admits or rejects a request by the limit on attempts in flight, the bucket and the plan's
// ceiling, in this order. countKnown is true if a count was just read for the request, or if no
// count could change the decision. The limit is checked against the demand without this request,
// so the demand is updated after the check.
func (a *admission) decide(request *requestState, countKnown bool) {
	request.awaitsCount = false
	if request.completed {
		return
	}
	customer := request.customer
	customer.refill(a.env.now)
	medianLatency := request.class.latencies.decile(medianDecile)
	atLimit := a.reachedMaxInFlight(customer, countKnown)
	if !request.Repeat {
		customer.demandInFlight += customer.gateways * float64(medianLatency) / float64(demandTimeConstant)
	}
	if atLimit {
		a.reject(request, medianLatency)
		return
	}
	if customer.plan.Rate > 0 {
		missing, within := a.withinQuota(request, medianLatency)
		if !within {
			a.reject(request, refillTime(missing, customer.plan.Rate))
			return
		}
	}
	missing := customer.takeFromCeiling(request.Units)
	if missing > 0 {
		a.reject(request, refillTime(missing*customer.gateways, customer.plan.CeilingRate))
		return
	}
	a.admit(request, countKnown)
}

// reachedMaxInFlight reports whether the customer has reached its limit on attempts in flight. If
// the counter counts units instead of attempts, this gateway allows an even share of the limit. If
// the count of attempts is missing, the decision is random. A rejection is more likely for a higher
// demand, which is estimated from the first tries at this gateway.
func (a *admission) reachedMaxInFlight(customer *customerState, countKnown bool) bool {
	limit := float64(customer.plan.MaxInFlight)
	own := float64(customer.inFlight)
	if !customer.countsInFlight() {
		return limit > 0 && own >= limit/customer.gateways
	}
	if own >= limit || customer.isBlocked(a.env.now) {
		return true
	}
	if countKnown {
		return false
	}
	return a.env.random.Float64()*customer.demandInFlight > uncountedDemandFraction*limit
}

// withinQuota reports whether the customer's bucket holds a request's units, and returns the
// missing units if it does not. The last units of the bucket are granted at random: the count lags
// by the median latency, and a sharp threshold would admit every request that arrives during the
// lag. The check prevents two consecutive bursts at a window's edge.
func (a *admission) withinQuota(request *requestState, medianLatency time.Duration) (missing float64, within bool) {
	customer := request.customer
	units := request.Units
	free := customer.available - customer.uncountedByOthers(medianLatency) - units
	probability := 0.0
	if free >= 0 {
		ramp := float64(customer.plan.Rate * medianLatency.Seconds())
		if customer.isSparse(units) {
			ramp = float64(ramp * sparseRampFactor)
		}
		probability = min(1, (free+units)/(ramp+units))
	}
	if probability < 1 && a.env.random.Float64() >= probability {
		return max(-free, units), false
	}
	return 0, true
}

// admit takes a request's units from the bucket and passes the request to the balancer. Without a
// count, every other gateway is assumed to forward a fraction of these units too (othersFraction).
func (a *admission) admit(request *requestState, countKnown bool) {
	customer := request.customer
	units := request.Units
	request.admitted = true
	customer.inFlight++
	customer.uncounted += units
	customer.available -= units
	if !countKnown {
		others := float64(units * (customer.gateways - 1) * customer.othersFraction())
		customer.available -= others
		customer.assumedByOthers += others
	}
	a.env.send(a.balancer, placeRequest{request})
}

// reject completes a request that was not admitted.
func (a *admission) reject(request *requestState, retryAfter time.Duration) {
	a.env.send(a.lifecycle, &completeRequest{request, retryAfter})
}

// refillTime returns how long a bucket takes to gain units at a rate in units per second.
func refillTime(units, rate float64) time.Duration {
	return time.Duration(units / rate * float64(time.Second))
}
