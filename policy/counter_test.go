package policy

import (
	"slices"
	"testing"
	"time"
)

func TestCounter_lossLimitsForwardingAndCalls(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request(1, 0, 1, 2)
	h.finishAttempt(1, Answered)
	h.counterDown = true
	requestAndFailCalls := func(id uint32, outcome Outcome) {
		h.request(id, 0, 1, 2)
		for _, c := range h.calls {
			h.advance(30 * ms)
			h.countResult(CountResult{Name: c.name, Outcome: outcome})
		}
		h.calls = nil
	}
	for id := uint32(2); id <= 12; id++ {
		requestAndFailCalls(id, []Outcome{TimedOut, Rejected, ConnectFailed}[id%3])
		if h.attemptsOf(id) > 0 {
			h.finishAttempt(id, Answered)
		}
	}
	sent := 0
	for id := uint32(2); id <= 12; id++ {
		sent += 2 * h.attemptsOf(id)
	}
	// 8 of 10 units are left, and the customer's other gateway is assumed to use as many as this
	// one: 4 units, and a small refill.
	if sent < 2 || sent > 6 {
		t.Errorf("%d units forwarded while the counter was lost, want about 4", sent)
	}
	h.calls = nil
	for id := uint32(20); id < 40; id++ {
		h.request(id, 0, 0, 1)
	}
	if len(h.calls) > 10 {
		t.Errorf("%d calls for 20 requests to a lost counter, want at most 10", len(h.calls))
	}
	h.calls, h.counterDown = nil, false
	for id := uint32(50); id < 250; id++ {
		h.advance(50 * ms)
		h.request(id, 0, 0, 1)
		h.finishAttempt(id, Answered)
	}
	before := len(h.log)
	h.request(250, 0, 0, 1)
	h.request(251, 0, 0, 1)
	if !slices.ContainsFunc(h.log[before:], func(line string) bool { return line[:5] == "count" }) {
		t.Error("the counter answers again, but is not called")
	}
}

func TestCounter_silenceDelaysRequestByCounterWait(t *testing.T) {
	settings := testSettings()
	settings.LateCountAfter = time.Second
	h := newHarness(t, settings, 2)
	h.counterDown = true
	h.request(1, 0, 0, 1)
	h.advance(130 * ms)
	h.wantAttempts(1, 1)
	for _, c := range h.calls {
		h.countResult(CountResult{Name: c.name}) // late, and without effect
	}
	h.wantAttempts(1, 1)
}

func TestCounter_returnsEmpty(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serveInTurn(5, 1, 1.9, 0)
	clear(h.count)
	h.request(6, 0, 1, 1.9)
	h.wantAttempts(6, 0)
}

func TestCounter_overloadedIsCalledForCustomersNearTheirLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	calls := map[int]int{} // by plan
	for id := uint32(1); id <= 400; id++ {
		plan := int(id % 2)
		h.gateway.admission.callProbability = minCallProbability
		customer := h.gateway.admission.customerOf(Request{Customer: uint64(plan), Plan: plan})
		customer.refilledAt = h.now
		customer.available = []float64{4000, 2}[plan] // a full bucket and a nearly empty one
		before := len(h.calls)
		h.send(Request{ID: id, Customer: uint64(plan), Plan: plan, Units: 1})
		calls[plan] += len(h.calls) - before
		h.finishAttempt(id, Answered)
	}
	if calls[0] > 30 || calls[1] < 60 {
		t.Errorf("called %d times for a customer with a full bucket, %d times for one near its limit",
			calls[0], calls[1])
	}
}

func TestCounter_lateResultIsAwaitedAndUsed(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.counterDown = true
	h.request(1, 0, 1, 1)
	h.advance(60 * ms) // longer than Settings.LateCountAfter
	h.wantAttempts(1, 0)
	h.countResult(CountResult{Name: h.calls[0].name, Total: 50, Latency: 60 * ms})
	h.wantLogged("reject 1, retry after 500ms", 1)
	if h.gateway.admission.callProbability >= 1 {
		t.Error("a late answer did not lower the probability of calls")
	}
}

// Guards against usage reports that have no effect while counts are missing.
func TestUsageReport_replacesAMissingCount(t *testing.T) {
	for usage, attempts := range map[float64]int{0: 0, 1.1: 1, 2.5: 0} {
		settings := testSettings()
		settings.Gateways, settings.UsageSpan = 40, time.Second
		h := newHarness(t, settings, 4)
		h.gatewayCount, h.counterDown = 40, true
		h.request(1, 0, 1, 1)
		h.timeOutCounter()
		h.result(AttemptResult{
			RequestID: 1, Server: h.attempts[0].server, Outcome: Answered, Latency: 20 * ms, Final: true,
			Usage: usage,
		})
		h.request(2, 0, 1, 1)
		h.timeOutCounter()
		h.wantAttempts(2, attempts)
	}
}

func TestState_idleCustomersAndRemovedServersAreDropped(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 500; id++ {
		h.send(Request{ID: id, Customer: uint64(id), Units: 1})
		h.answerCounter()
		h.finishAttempt(id, Answered)
		h.gateway.HandleEndpoints(h.now, ListDelta, []Endpoint{
			{Server: 100 + id, State: Ready, Capacity: 1}, {Server: 99 + id, State: Removed},
		})
		h.advance(time.Second)
	}
	if n, m := len(h.gateway.admission.customerList), len(h.gateway.admission.customers); n > 130 || n != m {
		t.Errorf("%d customers listed and %d in the map, want the same number, at most 130", n, m)
	}
	if n, m := len(h.gateway.balancer.servers), len(h.gateway.balancer.serversByID); n > 4 || n != m {
		t.Errorf("%d servers listed and %d in the map, want the same number, at most 4", n, m)
	}
}
