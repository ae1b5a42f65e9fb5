package policy

import (
	"math"
	"time"
)

// customerOf finds a customer's state. All gateways work out the same windows from the common clock; those of
// different customers start apart, to spread the calls. The ceiling's share starts empty, as an earlier
// incarnation may have used it.
func (a *admission) customerOf(r Request) *customerState {
	a.evictIdle()
	customer := a.customers[r.Customer]
	if customer == nil {
		plan, settings := &a.env.settings.Plans[r.Plan], &a.env.settings
		customer = &customerState{
			id: r.Customer, plan: plan, planIndex: r.Plan,
			gateways:   float64(min(max(r.GatewayCount, 1), settings.Gateways)),
			refilledAt: a.env.startedAt, available: plan.Burst, usage: 1,
		}
		customer.resetWindows(a.env.now)
		a.customers[r.Customer] = customer
		a.customerList = append(a.customerList, customer)
	}
	return customer
}

// evictIdle drops customers not seen for as long as a count or a charge lasts; two are looked at for each
// request. It guards against customers who come once. Cost: a bucket that takes longer to refill counts as
// full.
func (a *admission) evictIdle() {
	for range min(len(a.customerList), 2) {
		a.nextEviction %= len(a.customerList)
		customer, end := a.customerList[a.nextEviction], len(a.customerList)-1
		if customer.inFlight > 0 || a.env.now < customer.refilledAt+maxCounterTTL {
			a.nextEviction++
			continue
		}
		delete(a.customers, customer.id)
		a.customerList[a.nextEviction], a.customerList[end] = a.customerList[end], nil
		a.customerList = a.customerList[:end]
	}
}

// objectiveOf returns when a request's latency objective ends. A request given less time than first tries of
// its class and plan has used up some of it: a repeat has what its earlier tries left, a first try what our
// standstill left. What a first try lacks beyond that is its client's own timeout: it is not late.
func (a *admission) objectiveOf(request *requestState, now time.Duration) time.Duration {
	class, slack := request.class, a.env.settings.ArrivalSlack
	given, usual := request.Deadline-now, &class.firstTimeouts[request.Plan]
	if !request.Repeat && (given > *usual || *usual-given > a.env.standstill+slack) {
		*usual = given
	}
	if *usual-given <= slack {
		return min(now+class.LatencyObjective, request.Deadline)
	}
	timeout := *usual
	if request.Repeat {
		timeout = class.Timeout
	}
	return min(request.Deadline-timeout+class.LatencyObjective, request.Deadline)
}

// check admits a request, rejects it, or calls the counter, whose answer then decides; the call brings the
// customer's pending charges. What is late, or has too little time left for its units, is rejected at once:
// such clients come again with more. While calls are left out, repeats of sparse customers are rejected
// uncounted: they would take calls from first tries, and each be one more chance of its request to pass
// unseen. Cost: a request rejected by chance.
func (a *admission) check(request *requestState) {
	customer, now := request.customer, a.env.now
	customer.refill(now)
	switch {
	case request.completed || request.admitted:
	case request.awaitsCount:
		a.decide(request, false) // the count takes too much of the objective
	case now >= request.objectiveAt || now+request.expectedLatency(requiredDecile) > request.Deadline:
		a.reject(request, request.class.Timeout)
	case customer.isExhausted(request.Units):
		a.decide(request, true) // a count only grows: none could admit it, and no charge waits for a call
	case request.Repeat && a.callProbability < 1 && customer.isSparse(request.Units):
		a.reject(request, a.balancer.capacityWait())
	case a.callsCounterFor(customer):
		request.awaitsCount = true
		a.sendCharges(customer, request, 1)
		wait := counterWaitFraction * float64(request.class.LatencyObjective)
		a.env.setTimer(timerCounterWait, request.ID, time.Duration(wait))
	default:
		a.decide(request, false)
	}
}

// callsCounterFor reports, at random while calls fail, whether the counter is called: the rather, the nearer
// the customer is to its limit and the fewer gateways it has.
func (a *admission) callsCounterFor(customer *customerState) bool {
	if !a.env.settings.HasCounter || customer.windowLength <= 0 || a.env.now < customer.blockedUntil {
		return false
	}
	need := max(customer.available/max(customer.plan.Burst, 1), min(customer.gateways/fullNeedGateways, 1))
	return a.env.random.Float64() < math.Pow(a.callProbability, need)
}

// decide admits a request or rejects it; counted: a count was read for it just now.
func (a *admission) decide(request *requestState, counted bool) {
	request.awaitsCount = false
	if request.completed {
		return
	}
	customer, plan := request.customer, request.customer.plan
	customer.refill(a.env.now)
	usual := request.class.latencies.decile(5)
	reached := a.reachedMaxInFlight(customer, counted)
	if !request.Repeat {
		customer.demandInFlight += customer.gateways * float64(usual) / float64(demandDecay)
	}
	if reached {
		a.reject(request, usual)
		return
	}
	if plan.Rate > 0 {
		if missing, within := a.withinQuota(request, usual); !within {
			a.reject(request, refillTime(missing, plan.Rate))
			return
		}
	}
	// The ceiling: our own share. All gateways' shares add up to it, whatever the counter or a restart does.
	if plan.CeilingRate > 0 {
		if missing := request.Units - customer.ceilingAvailable; missing > 0 {
			a.reject(request, refillTime(missing*customer.gateways, plan.CeilingRate))
			return
		}
		customer.ceilingAvailable -= request.Units
	}
	a.admit(request, counted)
}

// reachedMaxInFlight goes by the count of attempts in flight, else by what the customer's own first tries
// here tell of its demand.
func (a *admission) reachedMaxInFlight(customer *customerState, counted bool) bool {
	limit, own := float64(customer.plan.MaxInFlight), float64(customer.inFlight)
	if !customer.countsInFlight() {
		return limit > 0 && own >= limit/customer.gateways
	}
	return own >= limit || a.env.now < customer.blockedUntil ||
		!counted && a.env.random.Float64()*customer.demandInFlight > guessedInFlightFraction*limit
}

// withinQuota compares the request with what the customer's bucket can hold: what it can have got in the
// window, not one burst whatever came before. That guards against two bursts back to back at a window's edge,
// and against rejecting a customer with units left at its end. The last units go at random: the count lags,
// and a sharp edge would admit all requests of an answer's time at once. Where it does not fit, it returns
// the units missing.
func (a *admission) withinQuota(request *requestState, usual time.Duration) (missing float64, within bool) {
	customer, units := request.customer, request.Units
	free := customer.available - customer.uncountedByOthers(usual) - units
	probability := 0.0
	if free >= 0 {
		ramp := customer.plan.Rate * usual.Seconds()
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

// admit takes a request's units from the bucket. Without a count the other gateways are assumed to use as
// much as we do, each.
func (a *admission) admit(request *requestState, counted bool) {
	customer, units := request.customer, request.Units
	request.admitted = true
	customer.inFlight++
	customer.uncounted += units
	customer.available -= units
	if others := units * (customer.gateways - 1) * customer.othersFraction(); !counted {
		customer.available -= others
		customer.assumedByOthers += others
	}
	a.env.send(a.balancer, placeRequest{request})
}

func (a *admission) reject(request *requestState, retryAfter time.Duration) {
	a.env.send(a.lifecycle, &completeRequest{request, retryAfter})
}

// refillTime is how long a bucket takes to get units at a rate.
func refillTime(units, rate float64) time.Duration {
	return time.Duration(units / rate * float64(time.Second))
}

// settle ends a request's part in the quota. Its actual units are charged with the customer's next call or,
// where none is to be expected in time, by a call of their own; while calls are left out, one that goes
// stands for those that do not. A request without an answer is charged the units that it was admitted with.
func (a *admission) settle(request *requestState, units float64) {
	customer := request.customer
	if request.claimedWindow != 0 {
		a.call(counterCall{customer: customer, window: request.claimedWindow, units: -1})
		request.claimedWindow = 0
	}
	if !request.admitted {
		return
	}
	request.admitted = false
	customer.inFlight--
	if len(request.attempts) == 0 {
		customer.ceilingAvailable += request.Units // the first attempt takes it, and there was none
	}
	customer.uncounted += units - request.Units
	customer.available -= units - request.Units
	switch alone := a.env.settings.HasCounter && customer.isSparse(units); {
	case units <= 0 || customer.plan.Rate <= 0:
	case alone && a.env.random.Float64() >= a.callProbability:
		customer.uncounted -= units // lost to the count
	default:
		customer.pending = append(customer.pending, pendingCharge{units, a.env.now})
		if alone {
			a.sendCharges(customer, nil, 1/a.callProbability/max(a.acceptedFraction, minCallProbability))
		}
	}
}
