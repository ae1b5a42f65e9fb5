package policy

import (
	"testing"
	"time"
)

// newSparseHarness is a customer of the small plan whose tasks come through fifty gateways.
func newSparseHarness(t *testing.T) *harness {
	d := testSettings()
	d.Gateways = 50
	s := newHarness(t, d, 4)
	s.gatewayCount = 50
	return s
}

func TestSparse_chargeDoesNotWaitForTheNextCheck(t *testing.T) {
	s := newSparseHarness(t)
	s.request(1, 0, 1, 2)
	s.finishAttempt(1, Answered)
	if got := s.countedUnits(1); got != 2 {
		t.Errorf("%v units stand in the count, want the 2 of the answer", got)
	}
}

func TestSparse_windowStartsWithTheOverrunOfTheEarlier(t *testing.T) {
	s := newSparseHarness(t)
	s.request(1, 0, 1, 1) // so that the customer's windows are known
	s.finishAttempt(1, Answered)
	customer := s.gateway.admission.customerList[0]
	rest := customer.windowStart(customer.windowAt(s.now)+1) - s.now
	s.advance(rest - ms)
	s.chargeByOthers(1, 5+2*rest.Seconds()) // of 9 that were left and 2 a second that came since
	s.advance(ms)
	s.request(2, 0, 1, 1)
	if got := s.countedUnits(1); got < 5.9 || got > 6.1 {
		t.Errorf("the new window starts with %v units, want the 6 that its store lacks", got)
	}
}

func TestSparse_keepsToAnEvenShareWithoutACount(t *testing.T) {
	s := newSparseHarness(t)
	s.down = true
	for id := uint32(1); id <= 4; id++ {
		s.request(id, 0, 1, 2)
		s.advance(40 * ms)
		s.timeOutCounter()
	}
	s.wantAttempts(1, 1)
	s.wantAttempts(2, 0)
	s.wantAttempts(4, 0)
}

// overloadCounter has the counter take so many of ten calls, turn the others away, and gives how often it was called and how
// often it refused, after it was called a while. Each task is of a thin customer of its own.
func (s *harness) overloadCounter(tasks int, takes func(call int) bool) (calls, refused int) {
	s.down = true
	n := 0
	for i := range tasks {
		id := uint32(1000 + i)
		s.gateway.HandleRequest(s.now, Request{ID: id, Class: 0, Plan: 1, Customer: uint64(1000 + i), GatewayCount: 50, Units: 1, Deadline: s.now + 2*time.Second})
		for len(s.calls) > 0 {
			c := s.calls[0]
			s.calls = s.calls[1:]
			n++
			how := Answered
			if !takes(n) {
				how = Rejected
			}
			if i > tasks/2 {
				calls++
				if how == Rejected {
					refused++
				}
			}
			s.gateway.HandleCount(s.now, CountResult{Name: c.name, Latency: ms, Outcome: how})
		}
		s.advance(5 * ms)
		s.finishAttempt(id, Answered)
	}
	return calls, refused
}

func TestCounter_callsSettleSlightlyAboveItsCapacity(t *testing.T) {
	s := newSparseHarness(t)
	// The counter bears a call each 20 ms, and a few at once: far less than the two that a task each 5 ms would make.
	var free time.Duration
	calls, refused := s.overloadCounter(4000, func(int) bool {
		if free = max(free, s.now-100*ms); free > s.now {
			return false
		}
		free += 20 * ms
		return true
	})
	if part := float64(refused) / float64(calls); part > 0.2 || calls < 200 {
		t.Errorf("%d of %d calls turned away (%.2f), want under a fifth", refused, calls, part)
	}
}

func TestSparse_repeatsNeedACountWhileTheCounterIsOverloaded(t *testing.T) {
	s := newSparseHarness(t)
	s.overloadCounter(400, func(n int) bool { return n%3 != 0 })
	s.gateway.admission.callProbability = minCallProbability // nearly no call goes out
	first, again := 0, 0
	for i := range 100 {
		s.gateway.admission.fastAnswers = 1 // the counter answered a moment ago
		for _, repeat := range []bool{false, true} {
			id := uint32(5000 + 2*i)
			if repeat {
				id++
			}
			s.gateway.HandleRequest(s.now, Request{ID: id, Class: 0, Plan: 1, Customer: uint64(9000 + i), GatewayCount: 50, Units: 1, Deadline: s.now + 2*time.Second, Repeat: repeat})
			s.calls = nil
			n := s.attemptsOf(id)
			if s.finishAttempt(id, Answered); repeat {
				again += n
			} else {
				first += n
			}
		}
		s.advance(100 * ms)
	}
	if first < 85 || again > 10 {
		t.Errorf("%d first tries and %d repeats of a hundred each pushed without a total", first, again)
	}
}

func TestSparse_acceptedChargesStandForRejectedOnes(t *testing.T) {
	s := newSparseHarness(t)
	s.overloadCounter(1500, func(n int) bool { return n%2 == 0 }) // half of all calls are turned away
	total, tasks := 0.0, 3000
	for i := range tasks {
		id := uint32(10000 + i)
		s.gateway.admission.callProbability, s.gateway.admission.acceptedFraction = 0.5, 0.5
		s.gateway.HandleRequest(s.now, Request{ID: id, Class: 0, Plan: 1, Customer: uint64(20000 + i), GatewayCount: 50, Units: 1, Deadline: s.now + 2*time.Second})
		s.calls = nil
		s.gateway.admission.callProbability, s.gateway.admission.acceptedFraction = 0.5, 0.5
		pushed := s.attemptsOf(id)
		s.finishAttempt(id, Answered)
		for _, c := range s.calls {
			if s.gateway.random.Float64() < 0.5 {
				total += c.units
			}
		}
		s.calls = nil
		if pushed == 0 {
			tasks--
		}
		s.advance(2 * ms)
	}
	if part := total / float64(tasks); part < 0.85 || part > 1.15 {
		t.Errorf("the count has %.2f of the units sent on", part)
	}
}

// Clients that repeat at once took all calls of a crowded counter from first tries.
func TestSparse_repeatsMakeNoCallsWhileSomeAreSkipped(t *testing.T) {
	d := testSettings()
	d.Gateways = 40
	s := newHarness(t, d, 4)
	s.gatewayCount, s.down = 40, true
	s.request(1, 0, 1, 1)
	s.timeOutCounter()
	s.gateway.HandleRequest(s.now, Request{ID: 2, Plan: 1, Customer: 1, GatewayCount: 40, Units: 1, Deadline: s.now + 2*time.Second,
		Repeat: true})
	s.want("reject 2 away 125ms", 1)
	if len(s.calls) != 0 {
		t.Errorf("a repeat made %d calls", len(s.calls))
	}
}
