package policy

// releaseQuota ends a request's use of the quota and charges units to its customer: the actual
// units of an answer, the request's declared units if there is no answer, or 0 if no server
// received the request. A second call for the same request changes nothing.
func (a *admission) releaseQuota(request *requestState, units float64) {
	a.releaseClaim(request)
	if !request.admitted {
		return
	}
	customer := request.customer
	request.admitted = false
	customer.inFlight--
	if len(request.attempts) == 0 {
		customer.ceilingAvailable += request.Units // the ceiling limits attempts, and there was none
	}
	customer.uncounted += units - request.Units
	customer.available -= units - request.Units
	a.charge(customer, units)
}

// releaseClaim subtracts a request's attempt from the count of attempts in flight.
func (a *admission) releaseClaim(request *requestState) {
	if request.claimedWindow == noWindow {
		return
	}
	a.call(counterCall{customer: request.customer, window: request.claimedWindow, units: -1})
	request.claimedWindow = noWindow
}

// charge records units that go to the counter with the customer's next call. The next call of a
// sparse customer may come too late, so its units are sent immediately in a separate call. While
// calls are made at random, the units of such a call are weighted to compensate for skipped calls.
func (a *admission) charge(customer *customerState, units float64) {
	if units <= 0 || customer.plan.Rate <= 0 {
		return
	}
	separateCall := a.env.settings.HasCounter && customer.isSparse(units)
	if separateCall && a.env.random.Float64() >= a.callProbability {
		customer.uncounted -= units // the counter never receives them
		return
	}
	customer.pending = append(customer.pending, pendingCharge{units, a.env.now})
	if separateCall {
		a.sendCharges(customer, nil, 1/a.callProbability/max(a.acceptedFraction, minCallProbability))
	}
}
