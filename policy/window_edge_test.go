package policy

import (
	"fmt"
	"testing"
	"time"
)

// advanceToWindowEdge creates the state of a customer of the small plan by a request without
// units, advances the time to the given span before an edge of its windows, and returns the time
// of the edge. The customer's bucket is then full.
func (h *harness) advanceToWindowEdge(
	customerID uint64, before time.Duration,
) (customer *customerState, edge time.Duration) {
	h.requestOfSmallPlan(1, customerID, 0)
	h.finishAttempt(1, Answered)
	customer = h.gateway.admission.customers[customerID]
	h.advance(2 * customer.windowLength) // no earlier count is valid then
	edge = customer.windowStart(customer.windowAt(h.now) + 1)
	h.advance(edge - before - h.now)
	return customer, edge
}

// requestOfSmallPlan sends a request of a customer of the small plan.
func (h *harness) requestOfSmallPlan(id uint32, customerID uint64, units float64) {
	h.send(Request{ID: id, Plan: 1, Customer: customerID, Units: units})
	h.answerCounter()
}

// crossWindowEdge advances the time to the given span after an edge, and checks that the window
// changed by one.
func (h *harness) crossWindowEdge(customer *customerState, edge, after time.Duration) {
	h.Helper()
	previous := customer.windowAt(h.now)
	if h.advance(edge + after - h.now); customer.windowAt(h.now) != previous+1 {
		h.Fatalf("moved from window %d to window %d, want the next window", previous, customer.windowAt(h.now))
	}
}

// Guards against a second burst immediately after a window's edge.
func TestWindowEdge_allowsNoSecondBurst(t *testing.T) {
	for customerID := range uint64(8) {
		for _, before := range []time.Duration{0, 1, ms, 50 * ms, 100 * ms} {
			t.Run(fmt.Sprint(customerID, before), func(t *testing.T) {
				h := newHarness(t, testSettings(), 2)
				customer, edge := h.advanceToWindowEdge(100+customerID, before+1)
				for id := uint32(2); id <= 6; id++ {
					h.requestOfSmallPlan(id, customer.id, 1.9)
					h.finishAttempt(id, Answered)
					h.wantAttempts(id, 1)
				}
				h.crossWindowEdge(customer, edge, 0)
				h.requestOfSmallPlan(7, customer.id, 1.9)
				h.wantAttempts(7, 0)
			})
		}
	}
}

// answerCall lets the counter answer one of the pending calls, given by its index.
func (h *harness) answerCall(i int) {
	c := h.calls[i]
	h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
	h.count[c.name] += c.units
	h.countResult(CountResult{Name: c.name, Total: h.count[c.name], Latency: ms})
}

// Charges that are pending at an edge are sent with the next call, which counts their actual units
// in the later window.
func TestWindowEdge_pendingChargesCountOnceInTheLaterWindow(t *testing.T) {
	for actualUnits, want := range map[float64]float64{0: 5, 1: 1, 9: 9} {
		h := newHarness(t, testSettings(), 2)
		customer, edge := h.advanceToWindowEdge(100, 100*ms)
		h.requestOfSmallPlan(2, customer.id, 5)
		h.crossWindowEdge(customer, edge, ms)
		h.result(AttemptResult{
			RequestID: 2, Outcome: Answered, Latency: 100 * ms, Final: true, ActualUnits: actualUnits,
		})
		later := counterName(customer.id, customer.windowAt(h.now))
		h.requestOfSmallPlan(3, customer.id, 0.1)
		if got := h.count[later]; got < want || got > want+0.001 {
			t.Errorf("actual units %v: the later window's count is %v, want %v", actualUnits, got, want)
		}
		if left, most := customer.available+customer.uncounted, 10-want+0.2; left > most {
			t.Errorf("actual units %v: the estimated level is %v, want %v at most", actualUnits, left, most)
		}
	}
}

// Guards against losing a charge whose call is made before an edge and answered after it.
func TestWindowEdge_lateResultOfPreviousWindow(t *testing.T) {
	for _, sampled := range []bool{false, true} { // whether the later window has a sample already
		h := newHarness(t, testSettings(), 2)
		customer, edge := h.advanceToWindowEdge(100, 20*ms)
		h.requestOfSmallPlan(2, customer.id, 9)
		h.counterDown = true
		h.finishAttempt(2, Answered) // the call that carries the 9 units is answered late
		h.crossWindowEdge(customer, edge, ms)
		// Another gateway initialized the later window before the charge was counted.
		h.count[counterName(customer.id, customer.windowAt(h.now))] += 0.01
		if sampled {
			h.requestOfSmallPlan(4, customer.id, 0.1)
			h.answerCall(1)
		}
		h.answerCall(0)
		h.requestOfSmallPlan(5, customer.id, 0.1)
		for len(h.calls) > 0 {
			h.answerCall(0)
		}
		if left := customer.available + customer.uncounted; left > 1.1 {
			t.Errorf("later window sampled %v: the estimated level is %v, want 1", sampled, left)
		}
		h.counterDown = false
		h.requestOfSmallPlan(6, customer.id, 3)
		h.wantAttempts(6, 0)
	}
}

// Two gateways that find the later window's count untouched at the same time both read the previous
// window. The overrun must be carried over at least once, and neither gateway may forward the same
// units again after the edge.
func TestWindowEdge_twoGatewaysInitializeAWindowConcurrently(t *testing.T) {
	one, two := newHarness(t, testSettings(), 2), newHarness(t, testSettings(), 2)
	two.count = one.count
	for _, h := range []*harness{one, two} {
		h.advanceToWindowEdge(100, 20*ms)
	}
	customer, edge := one.advanceToWindowEdge(100, 20*ms)
	two.advance(one.now - two.now)
	for id := uint32(2); id <= 3; id++ { // request 2 runs at both gateways; the call of request 3 carries its charge
		for _, h := range []*harness{one, two} {
			h.requestOfSmallPlan(id, 100, float64(3-id)*4.5)
		}
		for _, h := range []*harness{one, two} {
			h.finishAttempt(id, Answered)
		}
	}
	before, later := counterName(100, customer.windowAt(edge-1)), counterName(100, customer.windowAt(edge))
	if got := one.count[before]; got != 9 {
		t.Fatalf("the previous window's count is %v, want 9", got)
	}
	for _, h := range []*harness{one, two} {
		h.crossWindowEdge(h.gateway.admission.customers[100], edge, ms)
		h.counterDown = true
		h.requestOfSmallPlan(4, 100, 0.5)
	}
	for len(one.calls)+len(two.calls) > 0 {
		for _, h := range []*harness{one, two} {
			if len(h.calls) > 0 {
				h.answerCall(0)
			}
		}
	}
	if got := one.count[later]; got < 8.9 || got > 18 {
		t.Errorf("%v units carried over, want between 9 and 18", got)
	}
	for _, h := range []*harness{one, two} {
		h.counterDown = false
		h.requestOfSmallPlan(5, 100, 3)
		h.wantAttempts(5, 0)
	}
}

// Without a count after the edge, the estimate continues from the level before it.
func TestWindowEdge_noResultAfterIt(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Rejected, ConnectFailed} {
		h := newHarness(t, testSettings(), 2)
		customer, edge := h.advanceToWindowEdge(100, 50*ms)
		h.requestOfSmallPlan(2, customer.id, 8)
		h.finishAttempt(2, Answered)
		h.crossWindowEdge(customer, edge, ms)
		h.counterDown = true
		h.requestOfSmallPlan(3, customer.id, 4)
		for _, c := range h.calls {
			h.countResult(CountResult{Name: c.name, Outcome: outcome})
		}
		h.wantAttempts(3, 0)
	}
}

// Guards against forwarding a second half of the bucket after an edge if the counter is lost before
// the edge and returns after it.
func TestWindowEdge_counterReturnsAfterIt(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Rejected, ConnectFailed} {
		h := newHarness(t, testSettings(), 2)
		customer, edge := h.advanceToWindowEdge(100, 400*ms)
		h.counterDown = true
		sent := 0.0
		for id := uint32(2); id < 12; id++ {
			h.gateway.admission.callProbability = 1
			h.requestOfSmallPlan(id, customer.id, 1)
			for _, c := range h.calls {
				h.countResult(CountResult{Name: c.name, Outcome: outcome})
			}
			h.calls = nil
			sent += float64(h.attemptsOf(id))
			h.finishAttempt(id, Answered)
		}
		h.crossWindowEdge(customer, edge, ms)
		h.counterDown, h.calls, h.gateway.admission.callProbability = false, nil, 1
		for id := uint32(12); id < 22; id++ {
			h.requestOfSmallPlan(id, customer.id, 1)
			sent += float64(h.attemptsOf(id))
			h.finishAttempt(id, Answered)
		}
		if sent < 2 || sent > 6 { // half of the burst of 10, and the refill of 0.4 s
			t.Errorf("%v: %v units forwarded, want about 5", outcome, sent)
		}
	}
}
