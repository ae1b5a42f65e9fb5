package policy

import (
	"math"
	"time"
)

// admission is the quota desk: the count says push or reject.
type admission struct {
	*Gateway
	actor
	customers        map[uint64]*customerState
	customerList     []*customerState // the same, to look through
	nextEviction     int              // the next to be looked at
	calls            map[uint64][]counterCall
	callProbability  float64 // chance that a call is made: 1 while the counter answers
	fastAnswers      float64 // quick answers in a row, up to heedRun
	acceptedFraction float64 // share of the latest calls that the counter took
}

// customerOf finds a customer's book. All gateways work out the same windows from the common clock, those of the
// customers apart, to crowd no counter. The ceiling's share starts from nothing as an earlier life may have
// used it.
func (d *admission) customerOf(r Request) *customerState {
	d.evictIdle()
	customer := d.customers[r.Customer]
	if customer == nil {
		plan := &d.settings.Plans[r.Plan]
		customer = &customerState{id: r.Customer, plan: plan, gateways: float64(min(max(r.GatewayCount, 1), d.settings.Gateways)),
			refilledAt: d.startedAt, available: plan.Burst, usage: 1}
		customer.resetWindows(d.now)
		d.customers[r.Customer] = customer
		d.customerList = append(d.customerList, customer)
	}
	return customer
}

// evictIdle drops books not used for as long as a count or a charge lasts, two looked at with each task. It
// guards against customers who come once. Harm: a store that takes longer to fill is taken for full.
func (d *admission) evictIdle() {
	for range min(len(d.customerList), 2) {
		d.nextEviction %= len(d.customerList)
		customer, end := d.customerList[d.nextEviction], len(d.customerList)-1
		if customer.inFlight > 0 || d.now < customer.refilledAt+maxCounterTTL {
			d.nextEviction++
			continue
		}
		delete(d.customers, customer.id)
		d.customerList[d.nextEviction], d.customerList[end] = d.customerList[end], nil
		d.customerList = d.customerList[:end]
	}
}

// admit checks a task: the customer's pending charges are added to its count, and the answer decides. What is
// late, or given too little time for its units, is rejected at once: clients come again with more. While
// calls are left out, repeats of thin customers are rejected unasked: they would take calls from first tries,
// and each be one more chance of its task to pass unseen. Harm: a task rejected by chance.
func (d *admission) admit(n message) {
	request, customer := n.request, n.request.customer
	customer.refill(d.now)
	switch {
	case request.completed || request.admitted:
	case request.awaitsCount:
		d.decide(request, false) // the check takes too much of the soft limit
	case d.now >= request.objectiveAt || d.now+request.expectedLatency(requiredDecile) > request.Deadline:
		d.send(&d.lifecycle.actor, message{handle: d.lifecycle.complete, request: request, retryAfter: request.class.Timeout})
	case customer.plan.Rate > 0 && customer.available+customer.assumedByOthers < request.Units && len(customer.pending) == 0:
		d.decide(request, true) // a count only grows: no total could let this task in, and nothing waits to be charged
	case request.Repeat && d.callProbability < 1 && customer.isSparse(request.Units):
		d.send(&d.lifecycle.actor, message{handle: d.lifecycle.complete, request: request, retryAfter: d.balancer.capacityWait()})
	case d.settings.HasCounter && customer.windowLength > 0 && d.now >= customer.blockedUntil &&
		d.random.Float64() < math.Pow(d.callProbability, max(customer.available/max(customer.plan.Burst, 1), min(customer.gateways/fullNeedGateways, 1))):
		request.awaitsCount = true
		d.countWithCharges(customer, request, 1)
		d.setTimer(timerCounterWait, request.ID, time.Duration(counterWaitFraction*float64(request.class.LatencyObjective)))
	default:
		d.decide(request, false)
	}
}

// decide compares what was used with the limit: what the customer's store can have given in the window, not
// one burst whatever came before. That guards against two bursts back to back at a window's edge, and against
// rejecting a customer with room at its end. Its last units go by lot: the count lags, and a sharp edge lets
// a whole answer time's tasks through at once. Without a total others are assumed to use as much as we, each.
// A limit on pushes out goes by the count of them, else by what the customer's own tries here say.
func (d *admission) decide(request *requestState, read bool) {
	customer := request.customer
	request.awaitsCount = false
	if request.completed {
		return
	}
	customer.refill(d.now)
	usual, most := request.class.latencyDecile(5), float64(customer.plan.MaxInFlight)
	thin, mine := customer.isSparse(request.Units), float64(customer.inFlight)
	unseen := customer.uncountedByOthers(usual)
	held := most > 0 && mine >= most/customer.gateways
	if customer.countsInFlight() {
		held = mine >= most || d.now < customer.blockedUntil || !read && d.random.Float64()*customer.demandInFlight > guessedInFlightFraction*most
	}
	if !request.Repeat {
		customer.demandInFlight += customer.gateways * float64(usual) / float64(demandDecay)
	}
	if held {
		d.send(&d.lifecycle.actor, message{handle: d.lifecycle.complete, request: request, retryAfter: usual})
		return
	}
	if customer.plan.Rate > 0 {
		chance := 0.0
		free := customer.available - unseen - request.Units
		if free >= 0 {
			ramp := customer.plan.Rate * usual.Seconds()
			if thin {
				ramp *= sparseRampFactor
			}
			chance = min(1, (free+request.Units)/(ramp+request.Units))
		}
		if chance < 1 && d.random.Float64() >= chance {
			d.rejectOverQuota(request, max(-free, request.Units), customer.plan.Rate)
			return
		}
	}
	// The ceiling: our own share. The set's shares add up to it, whatever the counter, peers or a restart do.
	if customer.plan.CeilingRate > 0 {
		if customer.ceilingAvailable < request.Units {
			d.rejectOverQuota(request, (request.Units-customer.ceilingAvailable)*customer.gateways, customer.plan.CeilingRate)
			return
		}
		customer.ceilingAvailable -= request.Units
	}
	request.admitted = true
	customer.inFlight++
	customer.uncounted += request.Units
	customer.available -= request.Units
	if others := request.Units * (customer.gateways - 1) * customer.othersFraction(); !read {
		customer.available -= others
		customer.assumedByOthers += others
	}
	d.send(&d.balancer.actor, message{handle: d.balancer.place, request: request})
}

func (d *admission) rejectOverQuota(request *requestState, missing, rate float64) {
	retryAfter := time.Duration(missing / rate * float64(time.Second))
	d.send(&d.lifecycle.actor, message{handle: d.lifecycle.complete, request: request, retryAfter: retryAfter})
}

// settle ends a task's stay in the book: its true units are charged with the next check or, where none is to
// be expected in time, by a call of their own; while calls are left out, one that goes stands for those that
// do not. A push without an answer is charged what was told: it did count.
func (d *admission) settle(n message) {
	request, customer := n.request, n.request.customer
	if request.claimedWindow != 0 {
		d.callCounter(counterCall{customer: customer, window: request.claimedWindow, units: -1})
		request.claimedWindow = 0
	}
	if !request.admitted {
		return
	}
	request.admitted = false
	customer.inFlight--
	if len(request.attempts) == 0 {
		customer.ceilingAvailable += request.Units // a first push takes it, and there was none
	}
	customer.uncounted += n.units - request.Units
	customer.available -= n.units - request.Units
	switch alone := d.settings.HasCounter && customer.isSparse(n.units); {
	case n.units <= 0 || customer.plan.Rate <= 0:
	case alone && d.random.Float64() >= d.callProbability:
		customer.uncounted -= n.units // lost to the count
	default:
		customer.pending = append(customer.pending, pendingCharge{n.units, d.now})
		if alone {
			d.countWithCharges(customer, nil, 1/d.callProbability/max(d.acceptedFraction, minCallProbability))
		}
	}
}
