package policy

import (
	"slices"
	"testing"
	"time"
)

func TestCounter_lost(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.request(1, 0, 1, 2)
	s.finishAttempt(1, Answered)
	s.down = true
	lost := func(id uint32, o Outcome) {
		s.request(id, 0, 1, 2)
		for _, c := range s.calls {
			s.advance(30 * ms)
			s.gateway.HandleCount(s.now, CountResult{Name: c.name, Outcome: o})
		}
		s.calls = nil
	}
	for id := uint32(2); id <= 12; id++ {
		lost(id, []Outcome{TimedOut, Rejected, ConnectFailed}[id%3])
		if s.attemptsOf(id) > 0 {
			s.finishAttempt(id, Answered)
		}
	}
	sent := 0
	for id := uint32(2); id <= 12; id++ {
		sent += 2 * s.attemptsOf(id)
	}
	// 8 of 10 units were left, and the other gateway of the set may use as much as we: 4, and a little refill.
	if sent < 2 || sent > 6 {
		t.Errorf("%d units sent on while the counter was lost, want about 4", sent)
	}
	s.calls = nil
	for id := uint32(20); id < 40; id++ {
		s.request(id, 0, 0, 1)
	}
	if len(s.calls) > 10 {
		t.Errorf("%d calls for 20 tasks to a lost counter, want most left out", len(s.calls))
	}
	s.calls, s.down = nil, false
	for id := uint32(50); id < 250; id++ {
		s.advance(50 * ms)
		s.request(id, 0, 0, 1)
		s.finishAttempt(id, Answered)
	}
	calls := len(s.log)
	s.request(250, 0, 0, 1)
	s.request(251, 0, 0, 1)
	if !slices.ContainsFunc(s.log[calls:], func(d string) bool { return d[:5] == "count" }) {
		t.Error("the counter answers again, and is not asked")
	}
}

func TestCounter_silentCostsPartOfTheObjective(t *testing.T) {
	d := testSettings()
	d.CountTimeout = time.Second
	s := newHarness(t, d, 2)
	s.down = true
	s.request(1, 0, 0, 1)
	s.advance(130 * ms)
	s.wantAttempts(1, 1)
	for _, c := range s.calls {
		s.gateway.HandleCount(s.now, CountResult{Name: c.name}) // late, and harmless
	}
	s.wantAttempts(1, 1)
}

func TestCounter_returnsEmpty(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 5; id++ {
		s.request(id, 0, 1, 1.9)
		s.finishAttempt(id, Answered)
	}
	clear(s.count)
	s.request(6, 0, 1, 1.9)
	s.wantAttempts(6, 0)
}

func TestCounter_overloadedIsCalledForCustomersNearTheirLimit(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	asked := map[int]int{}
	for id := uint32(1); id <= 400; id++ {
		plan := int(id % 2)
		s.gateway.admission.callProbability = minCallProbability
		customer := s.gateway.admission.customerOf(Request{Customer: uint64(plan), Plan: plan})
		customer.refilledAt, customer.available = s.now, []float64{4000, 2}[plan] // one has all of its store, one hardly anything
		before := len(s.calls)
		s.gateway.HandleRequest(s.now, Request{ID: id, Customer: uint64(plan), Plan: plan, GatewayCount: 2, Units: 1, Deadline: s.now + 2*time.Second})
		asked[plan] += len(s.calls) - before
		s.finishAttempt(id, Answered)
	}
	if asked[0] > 30 || asked[1] < 60 {
		t.Errorf("asked %d times for a customer with all of its store, %d times for one near its limit", asked[0], asked[1])
	}
}

func TestCounter_lateResultIsAwaitedAndUsed(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.down = true
	s.request(1, 0, 1, 1)
	s.advance(60 * ms) // beyond the limit that the simulator's counter has
	s.wantAttempts(1, 0)
	s.gateway.HandleCount(s.now, CountResult{Name: s.calls[0].name, Total: 50, Latency: 60 * ms})
	s.want("reject 1 away 500ms", 1)
	if s.gateway.admission.callProbability >= 1 {
		t.Error("a late answer is no sign of a crowded counter")
	}
}

// The meter's word was dropped: without a total a customer that used little was held to what one gateway of forty may
// send on if all send as much.
func TestUsageReport_replacesAMissingCount(t *testing.T) {
	for use, pushes := range map[float64]int{0: 0, 1.1: 1, 2.5: 0} {
		d := testSettings()
		d.Gateways, d.UsageSpan = 40, time.Second
		s := newHarness(t, d, 4)
		s.gatewayCount, s.down = 40, true
		s.request(1, 0, 1, 1)
		s.timeOutCounter()
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: 1, Server: s.attempts[0].server, Outcome: Answered, Latency: 20 * ms, Final: true,
			Usage: use})
		s.request(2, 0, 1, 1)
		s.timeOutCounter()
		s.wantAttempts(2, pushes)
	}
}

func TestState_ofIdleCustomersAndRemovedServersIsDropped(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 500; id++ {
		s.gateway.HandleRequest(s.now, Request{ID: id, Customer: uint64(id), GatewayCount: 2, Units: 1, Deadline: s.now + 2*time.Second})
		s.answerCounter()
		s.finishAttempt(id, Answered)
		s.gateway.HandleEndpoints(s.now, ListDelta, []Endpoint{{Server: 100 + id, State: Ready, Capacity: 1}, {Server: 99 + id, State: Removed}})
		s.advance(time.Second)
	}
	if n, m := len(s.gateway.admission.customerList), len(s.gateway.admission.customers); n > 130 || n != m {
		t.Errorf("%d books of %d customers are kept", n, m)
	}
	if n, m := len(s.gateway.balancer.servers), len(s.gateway.balancer.serversByID); n > 4 || n != m {
		t.Errorf("%d servers in %d places are kept", n, m)
	}
}
