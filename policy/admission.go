package policy

import (
	"math"
	"time"
)

// customerOf returns the state of a request's customer, made at its first request. All gateways
// work out the same windows from the common clock; those of different customers start apart, to
// spread the calls. The ceiling's share starts empty, as an earlier incarnation may have used it.
func (a *admission) customerOf(r Request) *customerState {
	a.evictIdle()
	if known := a.customers[r.Customer]; known != nil {
		return known
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

// evictIdle drops customers not seen for as long as a count or a charge lasts, a few looked at for
// each request. One that comes again later is taken to have a full bucket.
// Prevents memory that grows with customers who come once.
func (a *admission) evictIdle() {
	for range min(len(a.customerList), evictionChecks) {
		a.nextEviction %= len(a.customerList)
		customer := a.customerList[a.nextEviction]
		if customer.inFlight > 0 || a.env.now < customer.refilledAt+maxCounterTTL {
			a.nextEviction++
			continue
		}
		delete(a.customers, customer.id)
		last := len(a.customerList) - 1
		a.customerList[a.nextEviction] = a.customerList[last]
		a.customerList[last] = nil
		a.customerList = a.customerList[:last]
	}
}

// objectiveOf returns when a request's latency objective ends. A request given less time than first
// tries of its class and plan has used up some of it: a repeat has what its earlier tries left, a
// first try what this process's standstill left. A first try that lacks more has a client with a
// timeout of its own, and is not late.
func (a *admission) objectiveOf(request *requestState, now time.Duration) time.Duration {
	class := request.class
	a.learnFirstTimeout(request, now)
	timeout := class.firstTimeouts[request.Plan]
	given := request.Deadline - now
	if timeout-given <= a.env.settings.ArrivalSlack {
		return min(now+class.LatencyObjective, request.Deadline)
	}
	if request.Repeat {
		timeout = class.Timeout
	}
	return min(request.Deadline-timeout+class.LatencyObjective, request.Deadline)
}

// learnFirstTimeout keeps what clients of the request's class and plan give a first try: the
// longest seen, or less where a standstill of this process does not explain what is missing.
func (a *admission) learnFirstTimeout(request *requestState, now time.Duration) {
	if request.Repeat {
		return
	}
	known := &request.class.firstTimeouts[request.Plan]
	given := request.Deadline - now
	explained := a.env.standstill + a.env.settings.ArrivalSlack
	if given > *known || *known-given > explained {
		*known = given
	}
}

// check admits a request, rejects it, or calls the counter, whose answer then decides; the call
// brings the customer's pending charges.
func (a *admission) check(request *requestState) {
	customer := request.customer
	customer.refill(a.env.now)
	switch {
	case request.completed || request.admitted:
	case request.awaitsCount:
		a.decide(request, false) // the count takes too much of the objective
	case a.isTooLate(request):
		a.reject(request, request.class.Timeout)
	case customer.isExhausted(request.Units):
		a.decide(request, true) // as a count grows, none could admit it
	case a.rejectsRepeat(request):
		a.reject(request, a.balancer.capacityWait())
	case a.callsCounterFor(customer):
		request.awaitsCount = true
		a.sendCharges(customer, request, 1)
		a.env.setTimer(timerCounterWait, request.ID, request.class.counterWait())
	default:
		a.decide(request, false)
	}
}

// isTooLate reports whether a request's latency objective has passed, or too little time is left
// for its units. Its client would have left before the answer, and comes again.
func (a *admission) isTooLate(request *requestState) bool {
	now := a.env.now
	return now >= request.objectiveAt || now+request.expectedLatency(requiredDecile) > request.Deadline
}

// rejectsRepeat decides whether a request is rejected uncounted: a repeat of a sparse customer,
// while calls are made for some requests only. It would take a call from first tries.
func (a *admission) rejectsRepeat(request *requestState) bool {
	return request.Repeat && a.callProbability < 1 && request.customer.isSparse(request.Units)
}

// counterWait is how long a request of the class waits for the counter.
func (c *classState) counterWait() time.Duration {
	return time.Duration(counterWaitFraction * float64(c.LatencyObjective))
}

// callsCounterFor reports, at random while calls fail, whether the counter is called for a
// customer. The nearer the customer is to its limit and the fewer gateways it has, the likelier:
// there a count matters most.
func (a *admission) callsCounterFor(customer *customerState) bool {
	if !a.env.settings.HasCounter || !customer.hasWindows() || customer.isBlocked(a.env.now) {
		return false
	}
	bucketPart := customer.available / max(customer.plan.Burst, 1)
	gatewaysPart := min(customer.gateways/fullNeedGateways, 1)
	return a.env.random.Float64() < math.Pow(a.callProbability, max(bucketPart, gatewaysPart))
}

// decide admits a request or rejects it: by the limit on attempts in flight, the bucket, and the
// plan's ceiling. counted: a count was read for it just now, or none could change the answer. The
// limit goes by the demand without this request, so the demand grows after it was checked.
func (a *admission) decide(request *requestState, counted bool) {
	request.awaitsCount = false
	if request.completed {
		return
	}
	customer := request.customer
	customer.refill(a.env.now)
	usualLatency := request.class.latencies.decile(medianDecile)
	reached := a.reachedMaxInFlight(customer, counted)
	if !request.Repeat {
		customer.demandInFlight += customer.gateways * float64(usualLatency) / float64(demandDecay)
	}
	if reached {
		a.reject(request, usualLatency)
		return
	}
	if customer.plan.Rate > 0 {
		missing, within := a.withinQuota(request, usualLatency)
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
	a.admit(request, counted)
}

// reachedMaxInFlight reports whether the customer's limit on attempts in flight is reached: by the
// count, else, at random, by the demand that its own first tries here show.
func (a *admission) reachedMaxInFlight(customer *customerState, counted bool) bool {
	limit := float64(customer.plan.MaxInFlight)
	own := float64(customer.inFlight)
	if !customer.countsInFlight() {
		return limit > 0 && own >= limit/customer.gateways
	}
	if own >= limit || customer.isBlocked(a.env.now) {
		return true
	}
	if counted {
		return false
	}
	return a.env.random.Float64()*customer.demandInFlight > guessedInFlightFraction*limit
}

// withinQuota decides whether the customer's bucket holds a request's units; else it returns the
// units missing. The last units go at random: the count lags by the usual latency, and a sharp edge
// would admit all requests of that time at once.
// Prevents two bursts back to back at a window's edge.
func (a *admission) withinQuota(request *requestState, usualLatency time.Duration) (missing float64, within bool) {
	customer := request.customer
	units := request.Units
	free := customer.available - customer.uncountedByOthers(usualLatency) - units
	probability := 0.0
	if free >= 0 {
		ramp := customer.plan.Rate * usualLatency.Seconds()
		if customer.isSparse(units) {
			ramp *= sparseRampFactor
		}
		probability = min(1, (free+units)/(ramp+units))
	}
	if probability < 1 && a.env.random.Float64() >= probability {
		return max(-free, units), false
	}
	return 0, true
}

// admit takes a request's units from the bucket and has it placed. Without a count each other
// gateway is assumed to forward a part of them as well (othersFraction).
func (a *admission) admit(request *requestState, counted bool) {
	customer := request.customer
	units := request.Units
	request.admitted = true
	customer.inFlight++
	customer.uncounted += units
	customer.available -= units
	if !counted {
		others := units * (customer.gateways - 1) * customer.othersFraction()
		customer.available -= others
		customer.assumedByOthers += others
	}
	a.env.send(a.balancer, placeRequest{request})
}

func (a *admission) reject(request *requestState, retryAfter time.Duration) {
	a.env.send(a.lifecycle, &completeRequest{request, retryAfter})
}

// refillTime is how long a bucket takes to get units, at a rate in units a second.
func refillTime(units, rate float64) time.Duration {
	return time.Duration(units / rate * float64(time.Second))
}
