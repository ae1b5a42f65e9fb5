package policy

import (
	"fmt"
	"testing"
	"time"
)

// nearWindowEdge brings a customer of the small plan so close to the next edge of its windows: its store is full
// then, and one task at nought has opened its book.
func (s *harness) nearWindowEdge(customerID uint64, before time.Duration) (customer *customerState, at time.Duration) {
	s.requestOfSmallPlan(1, customerID, 0)
	s.finishAttempt(1, Answered)
	customer = s.gateway.admission.customers[customerID]
	s.advance(2 * customer.windowLength) // so that nothing is left of what came before
	at = customer.windowStart(customer.windowAt(s.now) + 1)
	s.advance(at - before - s.now)
	return customer, at
}

// requestOfSmallPlan takes a task of a customer of the small plan.
func (s *harness) requestOfSmallPlan(id uint32, customerID uint64, units float64) {
	s.gateway.HandleRequest(s.now, Request{ID: id, Plan: 1, Customer: customerID, GatewayCount: s.gatewayCount, Units: units,
		Deadline: s.now + 2*time.Second})
	s.answerCounter()
}

// crossWindowEdge passes time up to a little after an edge, and checks that it was one.
func (s *harness) crossWindowEdge(customer *customerState, at, after time.Duration) {
	s.Helper()
	was := customer.windowAt(s.now)
	if s.advance(at + after - s.now); customer.windowAt(s.now) != was+1 {
		s.Fatalf("from window %d to %d: no edge was crossed", was, customer.windowAt(s.now))
	}
}

// Five tasks used a customer's store up just before an edge of its windows, and a sixth was let through
// just after.
func TestWindowEdge_allowsNoSecondBurst(t *testing.T) {
	for customerID := range uint64(8) {
		for _, before := range []time.Duration{0, 1, ms, 50 * ms, 100 * ms} {
			t.Run(fmt.Sprint(customerID, before), func(t *testing.T) {
				s := newHarness(t, testSettings(), 2)
				customer, at := s.nearWindowEdge(100+customerID, before+1)
				for id := uint32(2); id <= 6; id++ {
					s.requestOfSmallPlan(id, customer.id, 1.9)
					s.finishAttempt(id, Answered)
					s.wantAttempts(id, 1)
				}
				s.crossWindowEdge(customer, at, 0)
				s.requestOfSmallPlan(7, customer.id, 1.9)
				s.wantAttempts(7, 0)
			})
		}
	}
}

// answerCall lets the counter, which holds its calls, answer one of them.
func (s *harness) answerCall(i int) {
	c := s.calls[i]
	s.calls = append(s.calls[:i:i], s.calls[i+1:]...)
	s.count[c.name] += c.units
	s.gateway.HandleCount(s.now, CountResult{Name: c.name, Total: s.count[c.name], Latency: ms})
}

// What waits to be charged at an edge goes with the next check, in the later window, and with true units.
func TestWindowEdge_pendingChargesCountOnceInTheLaterWindow(t *testing.T) {
	for billed, want := range map[float64]float64{0: 5, 1: 1, 9: 9} {
		s := newHarness(t, testSettings(), 2)
		customer, at := s.nearWindowEdge(100, 100*ms)
		s.requestOfSmallPlan(2, customer.id, 5)
		s.crossWindowEdge(customer, at, ms)
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: 2, Outcome: Answered, Latency: 100 * ms, Final: true, ActualUnits: billed})
		later := counterName(customer.id, customer.windowAt(s.now))
		s.requestOfSmallPlan(3, customer.id, 0.1)
		if got := s.count[later]; got < want || got > want+0.001 {
			t.Errorf("billed %v: %v units stand in the later window, want %v", billed, got, want)
		}
		if left, most := customer.available+customer.uncounted, 10-want+0.2; left > most {
			t.Errorf("billed %v: the store is taken to hold %v, want %v at most", billed, left, most)
		}
	}
}

// The call that took a charge before an edge is answered after it: with no look at the later window yet,
// and with one. With one, the charge stood neither in that look nor in any later total.
func TestWindowEdge_lateResultOfTheEarlierWindow(t *testing.T) {
	for _, looked := range []bool{false, true} {
		s := newHarness(t, testSettings(), 2)
		customer, at := s.nearWindowEdge(100, 20*ms)
		s.requestOfSmallPlan(2, customer.id, 9)
		s.down = true
		s.finishAttempt(2, Answered) // the call that brings the 9 units is answered late
		s.crossWindowEdge(customer, at, ms)
		s.count[counterName(customer.id, customer.windowAt(s.now))] += 0.01 // of a gateway that opened it before the charge came
		if looked {
			s.requestOfSmallPlan(4, customer.id, 0.1)
			s.answerCall(1)
		}
		s.answerCall(0)
		s.requestOfSmallPlan(5, customer.id, 0.1)
		for len(s.calls) > 0 {
			s.answerCall(0)
		}
		if left := customer.available + customer.uncounted; left > 1.1 {
			t.Errorf("looked %v: the store is taken to hold %v, want 1", looked, left)
		}
		s.down = false
		s.requestOfSmallPlan(6, customer.id, 3)
		s.wantAttempts(6, 0)
	}
}

// Two gateways find the later window's count untouched at once, and both read the one before: what the
// store lacks is carried over, twice perhaps, never less than once; and neither sends on what it sent on
// before the edge.
func TestWindowEdge_twoGatewaysOpenAWindowAtOnce(t *testing.T) {
	one, two := newHarness(t, testSettings(), 2), newHarness(t, testSettings(), 2)
	two.count = one.count
	for _, s := range []*harness{one, two} {
		s.nearWindowEdge(100, 20*ms)
	}
	customer, at := one.nearWindowEdge(100, 20*ms)
	two.advance(one.now - two.now)
	for id := uint32(2); id <= 3; id++ { // the first of each are out at once, the second bring what they took
		for _, s := range []*harness{one, two} {
			s.requestOfSmallPlan(id, 100, float64(3-id)*4.5)
		}
		for _, s := range []*harness{one, two} {
			s.finishAttempt(id, Answered)
		}
	}
	before, later := counterName(100, customer.windowAt(at-1)), counterName(100, customer.windowAt(at))
	if got := one.count[before]; got != 9 {
		t.Fatalf("%v units stand in the window before, want 9", got)
	}
	for _, s := range []*harness{one, two} {
		s.crossWindowEdge(s.gateway.admission.customers[100], at, ms)
		s.down = true
		s.requestOfSmallPlan(4, 100, 0.5)
	}
	for len(one.calls)+len(two.calls) > 0 {
		for _, s := range []*harness{one, two} {
			if len(s.calls) > 0 {
				s.answerCall(0)
			}
		}
	}
	if got := one.count[later]; got < 8.9 || got > 18 {
		t.Errorf("%v units carried over, want the 9 once or twice", got)
	}
	for _, s := range []*harness{one, two} {
		s.down = false
		s.requestOfSmallPlan(5, 100, 3)
		s.wantAttempts(5, 0)
	}
}

// No total comes after the edge: the guess goes on from before it.
func TestWindowEdge_noResultAfterIt(t *testing.T) {
	for _, o := range []Outcome{TimedOut, Rejected, ConnectFailed} {
		s := newHarness(t, testSettings(), 2)
		customer, at := s.nearWindowEdge(100, 50*ms)
		s.requestOfSmallPlan(2, customer.id, 8)
		s.finishAttempt(2, Answered)
		s.crossWindowEdge(customer, at, ms)
		s.down = true
		s.requestOfSmallPlan(3, customer.id, 4)
		for _, c := range s.calls {
			s.gateway.HandleCount(s.now, CountResult{Name: c.name, Outcome: o})
		}
		s.wantAttempts(3, 0)
	}
}

// The counter is lost before an edge and back after it: its new count knows nothing, so what we sent on
// meanwhile and what we took the other gateway to send on still hold. Each gateway of the set sent on its
// half, and after the edge its half again.
func TestWindowEdge_counterReturnsAfterIt(t *testing.T) {
	for _, o := range []Outcome{TimedOut, Rejected, ConnectFailed} {
		s := newHarness(t, testSettings(), 2)
		customer, at := s.nearWindowEdge(100, 400*ms)
		s.down = true
		sent := 0.0
		for id := uint32(2); id < 12; id++ {
			s.gateway.admission.callProbability = 1
			s.requestOfSmallPlan(id, customer.id, 1)
			for _, c := range s.calls {
				s.gateway.HandleCount(s.now, CountResult{Name: c.name, Outcome: o})
			}
			s.calls = nil
			sent += float64(s.attemptsOf(id))
			s.finishAttempt(id, Answered)
		}
		s.crossWindowEdge(customer, at, ms)
		s.down, s.calls, s.gateway.admission.callProbability = false, nil, 1
		for id := uint32(12); id < 22; id++ {
			s.requestOfSmallPlan(id, customer.id, 1)
			sent += float64(s.attemptsOf(id))
			s.finishAttempt(id, Answered)
		}
		if sent < 2 || sent > 6 { // half of 10, and what came in 0.4 s
			t.Errorf("%v: %v units sent on, want about 5", o, sent)
		}
	}
}
