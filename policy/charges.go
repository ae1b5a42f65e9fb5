package policy

// settle ends a request's part in the quota: the units that it took are charged. A request without
// an answer is charged the units that it was admitted with.
func (a *admission) settle(request *requestState, units float64) {
	a.returnClaim(request)
	if !request.admitted {
		return
	}
	customer := request.customer
	request.admitted = false
	customer.inFlight--
	if len(request.attempts) == 0 {
		customer.ceilingAvailable += request.Units // the first attempt takes it, and there was none
	}
	customer.uncounted += units - request.Units
	customer.available -= units - request.Units
	a.charge(customer, units)
}

// returnClaim takes a request's attempt off the count of attempts in flight.
func (a *admission) returnClaim(request *requestState) {
	if request.claimedWindow == noWindow {
		return
	}
	a.call(counterCall{customer: request.customer, window: request.claimedWindow, units: -1})
	request.claimedWindow = noWindow
}

// charge has units counted with the customer's next call or, for a sparse customer, whose next call
// may come too late, by a call of their own. While calls are made at random, the weight of one that
// is made makes up for those that are not.
func (a *admission) charge(customer *customerState, units float64) {
	if units <= 0 || customer.plan.Rate <= 0 {
		return
	}
	ownCall := a.env.settings.HasCounter && customer.isSparse(units)
	if ownCall && a.env.random.Float64() >= a.callProbability {
		customer.uncounted -= units // lost to the count
		return
	}
	customer.pending = append(customer.pending, pendingCharge{units, a.env.now})
	if ownCall {
		a.sendCharges(customer, nil, 1/a.callProbability/max(a.acceptedFraction, minCallProbability))
	}
}
