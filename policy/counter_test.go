package policy

import (
	"slices"
	"testing"
	"time"
)

func TestCounter_lossLimitsForwardingAndCalls(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.request(1, 0, 1, 2)
	world.finishAttempt(1, Answered)
	world.counterDown = true
	requestAndFailCalls := func(id uint32, outcome Outcome) {
		world.request(id, 0, 1, 2)
		for _, c := range world.calls {
			world.advance(30 * ms)
			world.countResult(CountResult{Name: c.name, Outcome: outcome})
		}
		world.calls = nil
	}
	for id := uint32(2); id <= 12; id++ {
		requestAndFailCalls(id, []Outcome{TimedOut, Rejected, ConnectFailed}[id%3])
		if world.attemptsOf(id) > 0 {
			world.finishAttempt(id, Answered)
		}
	}
	sent := 0
	for id := uint32(2); id <= 12; id++ {
		sent += 2 * world.attemptsOf(id)
	}
	// 8 of 10 units are left, and the customer's other gateway is assumed to use as many as this
	// one: 4 units, and a small refill.
	if sent < 2 || sent > 6 {
		t.Errorf("%d units forwarded while the counter was lost, want about 4", sent)
	}
	world.calls = nil
	for id := uint32(20); id < 40; id++ {
		world.request(id, 0, 0, 1)
	}
	if len(world.calls) > 10 {
		t.Errorf("%d calls for 20 requests to a lost counter, want at most 10", len(world.calls))
	}
	world.calls, world.counterDown = nil, false
	for id := uint32(50); id < 250; id++ {
		world.advance(50 * ms)
		world.request(id, 0, 0, 1)
		world.finishAttempt(id, Answered)
	}
	before := len(world.log)
	world.request(250, 0, 0, 1)
	world.request(251, 0, 0, 1)
	if !slices.ContainsFunc(world.log[before:], func(line string) bool { return line[:5] == "count" }) {
		t.Error("the counter answers again, but is not called")
	}
}

func TestCounter_silenceDelaysRequestByCounterWait(t *testing.T) {
	settings := testSettings()
	settings.CountTimeout = time.Second
	world := newHarness(t, settings, 2)
	world.counterDown = true
	world.request(1, 0, 0, 1)
	world.advance(130 * ms)
	world.wantAttempts(1, 1)
	for _, c := range world.calls {
		world.countResult(CountResult{Name: c.name}) // late, and without effect
	}
	world.wantAttempts(1, 1)
}

func TestCounter_returnsEmpty(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.serveInTurn(5, 1, 1.9, 0)
	clear(world.count)
	world.request(6, 0, 1, 1.9)
	world.wantAttempts(6, 0)
}

func TestCounter_overloadedIsCalledForCustomersNearTheirLimit(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	calls := map[int]int{} // by plan
	for id := uint32(1); id <= 400; id++ {
		plan := int(id % 2)
		world.gateway.admission.callProbability = minCallProbability
		customer := world.gateway.admission.customerOf(Request{Customer: uint64(plan), Plan: plan})
		customer.refilledAt = world.now
		customer.available = []float64{4000, 2}[plan] // a full bucket and a nearly empty one
		before := len(world.calls)
		world.send(Request{ID: id, Customer: uint64(plan), Plan: plan, Units: 1})
		calls[plan] += len(world.calls) - before
		world.finishAttempt(id, Answered)
	}
	if calls[0] > 30 || calls[1] < 60 {
		t.Errorf("called %d times for a customer with a full bucket, %d times for one near its limit",
			calls[0], calls[1])
	}
}

func TestCounter_lateResultIsAwaitedAndUsed(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.counterDown = true
	world.request(1, 0, 1, 1)
	world.advance(60 * ms) // longer than Settings.CountTimeout
	world.wantAttempts(1, 0)
	world.countResult(CountResult{Name: world.calls[0].name, Total: 50, Latency: 60 * ms})
	world.wantLogged("reject 1 away 500ms", 1)
	if world.gateway.admission.callProbability >= 1 {
		t.Error("a late answer did not lower the probability of calls")
	}
}

// Guards against usage reports that have no effect while counts are missing.
func TestUsageReport_replacesAMissingCount(t *testing.T) {
	for usage, attempts := range map[float64]int{0: 0, 1.1: 1, 2.5: 0} {
		settings := testSettings()
		settings.Gateways, settings.UsageSpan = 40, time.Second
		world := newHarness(t, settings, 4)
		world.gatewayCount, world.counterDown = 40, true
		world.request(1, 0, 1, 1)
		world.timeOutCounter()
		world.result(AttemptResult{
			RequestID: 1, Server: world.attempts[0].server, Outcome: Answered, Latency: 20 * ms, Final: true,
			Usage: usage,
		})
		world.request(2, 0, 1, 1)
		world.timeOutCounter()
		world.wantAttempts(2, attempts)
	}
}

func TestState_idleCustomersAndRemovedServersAreDropped(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 500; id++ {
		world.send(Request{ID: id, Customer: uint64(id), Units: 1})
		world.answerCounter()
		world.finishAttempt(id, Answered)
		world.gateway.HandleEndpoints(world.now, ListDelta, []Endpoint{
			{Server: 100 + id, State: Ready, Capacity: 1}, {Server: 99 + id, State: Removed},
		})
		world.advance(time.Second)
	}
	if n, m := len(world.gateway.admission.customerList), len(world.gateway.admission.customers); n > 130 || n != m {
		t.Errorf("%d customers listed and %d in the map, want the same number, at most 130", n, m)
	}
	if n, m := len(world.gateway.balancer.servers), len(world.gateway.balancer.serversByID); n > 4 || n != m {
		t.Errorf("%d servers listed and %d in the map, want the same number, at most 4", n, m)
	}
}
