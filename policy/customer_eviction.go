package policy

// evictIdle removes customers that have been idle for maxCounterTTL, after which no count and no
// pending charge of theirs is valid. Each call checks evictionChecksPerRequest customers. A
// customer that returns after its eviction starts with a full bucket.
// This prevents memory growth from customers that send a single request.
func (a *admission) evictIdle() {
	for range min(len(a.customerList), evictionChecksPerRequest) {
		a.nextEviction %= len(a.customerList)
		customer := a.customerList[a.nextEviction]
		if customer.inFlight > 0 || a.env.now < customer.refilledAt+maxCounterTTL {
			a.nextEviction++
			continue
		}
		a.removeCustomer(a.nextEviction)
	}
}

// makeSpace reports whether there is space for another customer. If maxCustomers are kept, it
// evicts the one that was seen least recently among evictionSamples that can be evicted, and sends its
// pending charges.
// This bounds memory if many customers send a request each.
func (a *admission) makeSpace() bool {
	if a.maxCustomers <= 0 || len(a.customerList) < a.maxCustomers {
		return true
	}
	oldest := -1
	for range min(len(a.customerList), evictionSamples) {
		a.nextEviction %= len(a.customerList)
		customer := a.customerList[a.nextEviction]
		isOlder := oldest < 0 || customer.refilledAt < a.customerList[oldest].refilledAt
		if isOlder && a.canEvict(customer) {
			oldest = a.nextEviction
		}
		a.nextEviction++
	}
	if oldest < 0 {
		return false
	}
	customer := a.customerList[oldest]
	a.removeCustomer(oldest)
	if len(customer.pending) > 0 && a.env.settings.HasCounter && customer.plan.Rate > 0 {
		a.sendCharges(customer, nil, 1)
	}
	return true
}

// canEvict reports whether a customer can be evicted before it is idle for maxCounterTTL: it has no
// request in flight, and its share of the ceiling is full, as that of a customer that returns.
func (a *admission) canEvict(customer *customerState) bool {
	return customer.inFlight == 0 && customer.ceilingAt(a.env.now) >= customer.maxCeiling()
}

// removeCustomer removes the customer at an index of customerList.
func (a *admission) removeCustomer(index int) {
	delete(a.customers, a.customerList[index].id)
	last := len(a.customerList) - 1
	a.customerList[index] = a.customerList[last]
	a.customerList[last] = nil
	a.customerList = a.customerList[:last]
}
