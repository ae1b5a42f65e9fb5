package policy

import (
	"cmp"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness is a module with a fake host and a counter, which answers immediately unless it is down.
type harness struct {
	*testing.T
	*fakeHost
	gateway      *Gateway
	count        map[uint64]float64 // the counter's totals by name
	counterDown  bool               // the counter does not answer
	gatewayCount int                // number of gateways that serve each customer
}

// testSettings returns settings with classes of every effect and plans with every kind of quota.
func testSettings() Settings {
	return Settings{
		Gateways: 2, Zones: 2, ClockTick: 2 * ms, HasCounter: true, LateCountAfter: 30 * ms, MaxUnits: 4,
		MaxAttempts:     5,
		SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, ArrivalSlack: 8 * ms,
		WarmUpStart: 0.2, WarmUpTime: 10 * time.Second, OverloadFactor: 2, OverloadSpan: time.Second,
		Classes: []TrafficClass{
			{Name: "look", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 1, Effect: Idempotent},
			{
				Name: "hold", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 2,
				Effect: Keyed, Group: GroupRack,
				DedupWindow: 300 * ms,
			},
			{Name: "pay", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 3, Effect: NonIdempotent},
			{
				Name: "mark", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 2,
				Effect: Keyed, Group: GroupAll,
				DedupWindow: 300 * ms,
			},
		},
		Plans: []Plan{
			{Name: "wide", Rate: 1000, Burst: 4000},
			{Name: "small", Rate: 2, Burst: 10},
			{Name: "capped", Rate: 100, Burst: 400, CeilingRate: 10, CeilingBurst: 20},
			{Name: "few", Rate: 1000, Burst: 4000, MaxInFlight: 2},
			{Name: "out", MaxInFlight: 2},
		},
	}
}

// newHarness starts a module with n warm servers, two per rack. Their IDs start at 1.
func newHarness(t *testing.T, settings Settings, n int) *harness {
	t.Helper()
	f := &fakeHost{now: time.Minute}
	g, err := New(settings, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{T: t, fakeHost: f, gateway: g, count: map[uint64]float64{}, gatewayCount: 2}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Server: uint32(i + 1), State: Ready, Capacity: 1, Rack: i / 2, Zone: 0})
	}
	g.HandleEndpoints(f.now, ListCached, list)
	return h
}

// request sends a request and lets the counter answer.
func (h *harness) request(id uint32, class, plan int, units float64) {
	h.send(Request{ID: id, Class: class, Plan: plan, Customer: uint64(plan), Units: units})
	h.answerCounter()
}

// serveInTurn sends requests 1 to n of a plan one after the other, and answers each before the next
// one, after the given latency.
func (h *harness) serveInTurn(n uint32, plan int, units float64, latency time.Duration) {
	for id := uint32(1); id <= n; id++ {
		h.request(id, 0, plan, units)
		if latency > 0 {
			h.advance(latency)
		}
		h.finishAttempt(id, Answered)
	}
}

// send sends a request. By default gatewayCount gateways serve its customer, and its deadline is in
// two seconds.
func (h *harness) send(r Request) {
	r.GatewayCount = cmp.Or(r.GatewayCount, h.gatewayCount)
	r.Deadline = cmp.Or(r.Deadline, h.now+2*time.Second)
	h.gateway.HandleRequest(h.now, r)
}

// answer reports the final answer to a request's first attempt.
func (h *harness) answer(id, server uint32, latency time.Duration) {
	h.result(AttemptResult{RequestID: id, Server: server, Outcome: Answered, Latency: latency, Final: true})
}

// result delivers an attempt's result to the module.
func (h *harness) result(r AttemptResult) { h.gateway.HandleAttemptResult(h.now, r) }

// countResult delivers the result of a call to the counter to the module.
func (h *harness) countResult(r CountResult) { h.gateway.HandleCount(h.now, r) }

// chargeByOthers adds units of other gateways to the customer's count in the current window. There
// must be only one customer so far.
func (h *harness) chargeByOthers(customerID uint64, units float64) {
	h.count[counterName(customerID, h.gateway.admission.customerList[0].windowAt(h.now))] += units
}

// countedUnits returns the customer's count in the current window. There must be only one customer
// so far.
func (h *harness) countedUnits(customerID uint64) float64 {
	return h.count[counterName(customerID, h.gateway.admission.customerList[0].windowAt(h.now))]
}

// answerCounter lets the counter answer all pending calls, unless it is down.
func (h *harness) answerCounter() {
	for !h.counterDown && len(h.calls) > 0 {
		c := h.calls[0]
		h.calls = h.calls[1:]
		h.count[c.name] += c.units
		h.countResult(CountResult{Name: c.name, Total: h.count[c.name], Latency: ms})
	}
}

// timeOutCounter lets all pending calls to the counter time out.
func (h *harness) timeOutCounter() {
	for _, c := range h.calls {
		h.countResult(CountResult{Name: c.name, Outcome: TimedOut})
	}
	h.calls = nil
}

// finishAttempt reports the result of the latest attempt of a request, if there is one.
func (h *harness) finishAttempt(id uint32, outcome Outcome) {
	number, server := -1, uint32(0)
	for i := range h.attempts {
		if attempt := &h.attempts[i]; attempt.request == id {
			number++
			server, attempt.ended = attempt.server, true
		}
	}
	if number < 0 {
		return
	}
	h.result(AttemptResult{
		RequestID: id, Attempt: number, Server: server, Outcome: outcome, Latency: 20 * ms, Final: outcome == Answered,
	})
	h.answerCounter()
}

// advance advances the time by a span, fires the timers that are due, and then times out the
// attempts that have reached their end.
func (h *harness) advance(span time.Duration) {
	end := h.now + span
	for {
		next := -1
		for i, timer := range h.timers {
			if timer.at <= end && (next < 0 || timer.at < h.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		timer := h.timers[next]
		h.timers = append(h.timers[:next:next], h.timers[next+1:]...)
		h.now = max(h.now, timer.at)
		h.gateway.HandleTimer(h.now, timer.token)
		h.answerCounter()
	}
	h.now = end
	for i := 0; i < len(h.attempts); i++ {
		if attempt := h.attempts[i]; !attempt.ended && attempt.until <= h.now {
			h.finishAttempt(attempt.request, TimedOut)
		}
	}
}

// attemptsOf returns the number of attempts of a request.
func (h *harness) attemptsOf(id uint32) int {
	n := 0
	for _, attempt := range h.attempts {
		if attempt.request == id {
			n++
		}
	}
	return n
}

// attemptsTo returns the number of attempts that a server got after a time.
func (h *harness) attemptsTo(server uint32, after time.Duration) int {
	n := 0
	for _, attempt := range h.attempts {
		if attempt.server == server && attempt.at > after {
			n++
		}
	}
	return n
}

// wantLogged checks how often a line is in the host's log.
func (h *harness) wantLogged(line string, times int) {
	h.Helper()
	if n := h.occurrences(line); n != times {
		h.Errorf("%q logged %d times, want %d; last calls: %q", line, n, times, h.log[max(0, len(h.log)-9):])
	}
}

// wantAttempts checks the number of attempts of a request.
func (h *harness) wantAttempts(id uint32, times int) {
	h.Helper()
	if n := h.attemptsOf(id); n != times {
		h.Errorf("request %d had %d attempts, want %d; last calls: %q", id, n, times, h.log[max(0, len(h.log)-9):])
	}
}
