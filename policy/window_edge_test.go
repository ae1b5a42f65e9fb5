package policy

import (
	"fmt"
	"testing"
	"time"
)

// nearWindowEdge brings a customer of the small plan so close to the next edge of its windows: its
// bucket is full then, and one request of no units has made its state.
func (h *harness) nearWindowEdge(customerID uint64, before time.Duration) (customer *customerState, at time.Duration) {
	h.requestOfSmallPlan(1, customerID, 0)
	h.finishAttempt(1, Answered)
	customer = h.gateway.admission.customers[customerID]
	h.advance(2 * customer.windowLength) // so that nothing is left of what came before
	at = customer.windowStart(customer.windowAt(h.now) + 1)
	h.advance(at - before - h.now)
	return customer, at
}

// requestOfSmallPlan sends a request of a customer of the small plan.
func (h *harness) requestOfSmallPlan(id uint32, customerID uint64, units float64) {
	h.send(Request{ID: id, Plan: 1, Customer: customerID, Units: units})
	h.answerCounter()
}

// crossWindowEdge advances time to a little after an edge, and checks that it was one.
func (h *harness) crossWindowEdge(customer *customerState, at, after time.Duration) {
	h.Helper()
	was := customer.windowAt(h.now)
	if h.advance(at + after - h.now); customer.windowAt(h.now) != was+1 {
		h.Fatalf("from window %d to %d: no edge was crossed", was, customer.windowAt(h.now))
	}
}

// Guards against a second burst right after a window's edge.
func TestWindowEdge_allowsNoSecondBurst(t *testing.T) {
	for customerID := range uint64(8) {
		for _, before := range []time.Duration{0, 1, ms, 50 * ms, 100 * ms} {
			t.Run(fmt.Sprint(customerID, before), func(t *testing.T) {
				world := newHarness(t, testSettings(), 2)
				customer, at := world.nearWindowEdge(100+customerID, before+1)
				for id := uint32(2); id <= 6; id++ {
					world.requestOfSmallPlan(id, customer.id, 1.9)
					world.finishAttempt(id, Answered)
					world.wantAttempts(id, 1)
				}
				world.crossWindowEdge(customer, at, 0)
				world.requestOfSmallPlan(7, customer.id, 1.9)
				world.wantAttempts(7, 0)
			})
		}
	}
}

// answerCall lets the counter, which holds its calls, answer one of them.
func (h *harness) answerCall(i int) {
	c := h.calls[i]
	h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
	h.count[c.name] += c.units
	h.countResult(CountResult{Name: c.name, Total: h.count[c.name], Latency: ms})
}

// Charges that are pending at an edge go with the next call, in the later window, in actual units.
func TestWindowEdge_pendingChargesCountOnceInTheLaterWindow(t *testing.T) {
	for billed, want := range map[float64]float64{0: 5, 1: 1, 9: 9} {
		world := newHarness(t, testSettings(), 2)
		customer, at := world.nearWindowEdge(100, 100*ms)
		world.requestOfSmallPlan(2, customer.id, 5)
		world.crossWindowEdge(customer, at, ms)
		world.result(AttemptResult{
			RequestID: 2, Outcome: Answered, Latency: 100 * ms, Final: true, ActualUnits: billed,
		})
		later := counterName(customer.id, customer.windowAt(world.now))
		world.requestOfSmallPlan(3, customer.id, 0.1)
		if got := world.count[later]; got < want || got > want+0.001 {
			t.Errorf("actual units %v: %v units stand in the later window, want %v", billed, got, want)
		}
		if left, most := customer.available+customer.uncounted, 10-want+0.2; left > most {
			t.Errorf("actual units %v: the bucket is taken to hold %v, want %v at most", billed, left, most)
		}
	}
}

// Guards against a charge that no sample shows, as its call before an edge is answered after it.
func TestWindowEdge_lateResultOfTheEarlierWindow(t *testing.T) {
	for _, looked := range []bool{false, true} {
		world := newHarness(t, testSettings(), 2)
		customer, at := world.nearWindowEdge(100, 20*ms)
		world.requestOfSmallPlan(2, customer.id, 9)
		world.down = true
		world.finishAttempt(2, Answered) // the call that brings the 9 units is answered late
		world.crossWindowEdge(customer, at, ms)
		// Of a gateway that initialized it before the charge came.
		world.count[counterName(customer.id, customer.windowAt(world.now))] += 0.01
		if looked {
			world.requestOfSmallPlan(4, customer.id, 0.1)
			world.answerCall(1)
		}
		world.answerCall(0)
		world.requestOfSmallPlan(5, customer.id, 0.1)
		for len(world.calls) > 0 {
			world.answerCall(0)
		}
		if left := customer.available + customer.uncounted; left > 1.1 {
			t.Errorf("sampled %v: the bucket is taken to hold %v, want 1", looked, left)
		}
		world.down = false
		world.requestOfSmallPlan(6, customer.id, 3)
		world.wantAttempts(6, 0)
	}
}

// Two gateways that find the later window's count untouched at once both read the one before: what
// the bucket lacks is carried over at least once, and neither forwards again what it forwarded
// before the edge.
func TestWindowEdge_twoGatewaysOpenAWindowAtOnce(t *testing.T) {
	one, two := newHarness(t, testSettings(), 2), newHarness(t, testSettings(), 2)
	two.count = one.count
	for _, world := range []*harness{one, two} {
		world.nearWindowEdge(100, 20*ms)
	}
	customer, edge := one.nearWindowEdge(100, 20*ms)
	two.advance(one.now - two.now)
	for id := uint32(2); id <= 3; id++ { // the first of each are in flight at once, the second bring what they took
		for _, world := range []*harness{one, two} {
			world.requestOfSmallPlan(id, 100, float64(3-id)*4.5)
		}
		for _, world := range []*harness{one, two} {
			world.finishAttempt(id, Answered)
		}
	}
	before, later := counterName(100, customer.windowAt(edge-1)), counterName(100, customer.windowAt(edge))
	if got := one.count[before]; got != 9 {
		t.Fatalf("%v units stand in the window before, want 9", got)
	}
	for _, world := range []*harness{one, two} {
		world.crossWindowEdge(world.gateway.admission.customers[100], edge, ms)
		world.down = true
		world.requestOfSmallPlan(4, 100, 0.5)
	}
	for len(one.calls)+len(two.calls) > 0 {
		for _, world := range []*harness{one, two} {
			if len(world.calls) > 0 {
				world.answerCall(0)
			}
		}
	}
	if got := one.count[later]; got < 8.9 || got > 18 {
		t.Errorf("%v units carried over, want the 9 once or twice", got)
	}
	for _, world := range []*harness{one, two} {
		world.down = false
		world.requestOfSmallPlan(5, 100, 3)
		world.wantAttempts(5, 0)
	}
}

// No count comes after the edge: the estimate goes on from before it.
func TestWindowEdge_noResultAfterIt(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Rejected, ConnectFailed} {
		world := newHarness(t, testSettings(), 2)
		customer, edge := world.nearWindowEdge(100, 50*ms)
		world.requestOfSmallPlan(2, customer.id, 8)
		world.finishAttempt(2, Answered)
		world.crossWindowEdge(customer, edge, ms)
		world.down = true
		world.requestOfSmallPlan(3, customer.id, 4)
		for _, c := range world.calls {
			world.countResult(CountResult{Name: c.name, Outcome: outcome})
		}
		world.wantAttempts(3, 0)
	}
}

// Guards against a second half of the bucket after an edge at which the counter forgot the first.
func TestWindowEdge_counterReturnsAfterIt(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Rejected, ConnectFailed} {
		world := newHarness(t, testSettings(), 2)
		customer, edge := world.nearWindowEdge(100, 400*ms)
		world.down = true
		sent := 0.0
		for id := uint32(2); id < 12; id++ {
			world.gateway.admission.callProbability = 1
			world.requestOfSmallPlan(id, customer.id, 1)
			for _, c := range world.calls {
				world.countResult(CountResult{Name: c.name, Outcome: outcome})
			}
			world.calls = nil
			sent += float64(world.attemptsOf(id))
			world.finishAttempt(id, Answered)
		}
		world.crossWindowEdge(customer, edge, ms)
		world.down, world.calls, world.gateway.admission.callProbability = false, nil, 1
		for id := uint32(12); id < 22; id++ {
			world.requestOfSmallPlan(id, customer.id, 1)
			sent += float64(world.attemptsOf(id))
			world.finishAttempt(id, Answered)
		}
		if sent < 2 || sent > 6 { // half of 10, and what came in 0.4 s
			t.Errorf("%v: %v units forwarded, want about 5", outcome, sent)
		}
	}
}
