package policy

import (
	"testing"
	"time"
)

// newNamesHarness starts a module with a bound on customers.
func newNamesHarness(t *testing.T, maxCustomers int) *harness {
	t.Helper()
	h := newHarness(t, testSettings(), 2)
	h.gateway.SetMaxCustomers(maxCustomers)
	return h
}

// serveNewCustomer sends a request of a customer with the number of the request, and answers it.
func (h *harness) serveNewCustomer(id uint32, plan int) {
	h.send(Request{ID: id, Customer: uint64(id), Plan: plan, Units: 1})
	h.answerCounter()
	h.finishAttempt(id, Answered)
	h.advance(ms)
}

// Guards against memory that grows with every new customer in a flood of names.
func TestState_floodOfNewCustomersIsBounded(t *testing.T) {
	const maxCustomers, usual = 64, 1 << 20
	h := newNamesHarness(t, maxCustomers)
	for id := uint32(1); id <= 3000; id++ {
		h.serveNewCustomer(id, 0)
		if id%8 == 0 {
			h.send(Request{ID: usual + id, Customer: usual, Units: 1})
			h.answerCounter()
			h.finishAttempt(usual+id, Answered)
		}
		h.wantAttempts(id, 1)
	}
	admission := h.gateway.admission
	if n, m := len(admission.customerList), len(admission.customers); n != maxCustomers || n != m {
		t.Errorf("%d customers listed and %d in the map, want %d", n, m, maxCustomers)
	}
	if admission.customers[usual] == nil {
		t.Error("the customer that was seen often is evicted")
	}
	var counted float64
	for _, units := range h.count {
		counted += units
	}
	if pending := float64(maxCustomers + 10); counted < 3000-pending { // charges of evicted customers are sent
		t.Errorf("%v units were charged", counted)
	}
}

// A share of a ceiling that was used is kept until it is full again: a customer that came back would find
// it full. New customers are rejected meanwhile, without an attempt.
func TestState_usedCeilingsAreNotEvicted(t *testing.T) {
	const maxCustomers, ceilingPlan = 8, 2
	h := newNamesHarness(t, maxCustomers)
	for id := uint32(1); id <= maxCustomers; id++ {
		h.serveNewCustomer(id, ceilingPlan)
	}
	h.serveNewCustomer(100, 0)
	h.wantAttempts(100, 0)
	h.wantLogged("reject 100, retry after 0s", 1)
	h.advance(10 * time.Second)
	h.serveNewCustomer(101, 0)
	h.wantAttempts(101, 1)
	if n := len(h.gateway.admission.customerList); n != maxCustomers {
		t.Errorf("%d customers, want %d", n, maxCustomers)
	}
}
