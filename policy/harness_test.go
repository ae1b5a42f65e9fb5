package policy

import (
	"cmp"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness is a module, its fake host, and a counter that answers at once while it is up.
type harness struct {
	*testing.T
	*fakeHost
	gateway      *Gateway
	count        map[uint64]float64
	down         bool
	gatewayCount int // that serve each customer
}

func testSettings() Settings {
	return Settings{
		Gateways: 2, Zones: 2, ClockTick: 2 * ms, HasCounter: true, CountTimeout: 30 * ms, MaxUnits: 4, MaxAttempts: 5,
		RetryAfter: true, MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, ArrivalSlack: 8 * ms,
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

// newHarness starts a module with n warm servers, numbered from 1, two to a rack.
func newHarness(t *testing.T, d Settings, n int) *harness {
	t.Helper()
	f := &fakeHost{now: time.Minute}
	g, err := New(d, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	world := &harness{T: t, fakeHost: f, gateway: g, count: map[uint64]float64{}, gatewayCount: 2}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Server: uint32(i + 1), State: Ready, Capacity: 1, Rack: i / 2, Zone: 0})
	}
	g.HandleEndpoints(f.now, ListCached, list)
	return world
}

// request sends a request and lets the counter answer.
func (h *harness) request(id uint32, class, plan int, units float64) {
	h.send(Request{ID: id, Class: class, Plan: plan, Customer: uint64(plan), Units: units})
	h.answerCounter()
}

// serveInTurn brings requests 1 to n of a plan, each after the one before was answered, and that
// after a time.
func (h *harness) serveInTurn(n uint32, plan int, units float64, after time.Duration) {
	for id := uint32(1); id <= n; id++ {
		h.request(id, 0, plan, units)
		if after > 0 {
			h.advance(after)
		}
		h.finishAttempt(id, Answered)
	}
}

// send sends a request, by default through the harness's gateways and with two seconds.
func (h *harness) send(r Request) {
	r.GatewayCount = cmp.Or(r.GatewayCount, h.gatewayCount)
	r.Deadline = cmp.Or(r.Deadline, h.now+2*time.Second)
	h.gateway.HandleRequest(h.now, r)
}

// answer reports the final answer to a request's first attempt.
func (h *harness) answer(id, server uint32, latency time.Duration) {
	h.result(AttemptResult{RequestID: id, Server: server, Outcome: Answered, Latency: latency, Final: true})
}

func (h *harness) result(r AttemptResult) { h.gateway.HandleAttemptResult(h.now, r) }

func (h *harness) countResult(r CountResult) { h.gateway.HandleCount(h.now, r) }

// chargeByOthers has other gateways charge the only customer so far; countedUnits is its count in
// the current window.
func (h *harness) chargeByOthers(customerID uint64, units float64) {
	h.count[counterName(customerID, h.gateway.admission.customerList[0].windowAt(h.now))] += units
}

func (h *harness) countedUnits(customerID uint64) float64 {
	return h.count[counterName(customerID, h.gateway.admission.customerList[0].windowAt(h.now))]
}

// answerCounter lets the counter answer the calls made, if it is up.
func (h *harness) answerCounter() {
	for !h.down && len(h.calls) > 0 {
		c := h.calls[0]
		h.calls = h.calls[1:]
		h.count[c.name] += c.units
		h.countResult(CountResult{Name: c.name, Total: h.count[c.name], Latency: ms})
	}
}

// timeOutCounter lets every call to the counter time out.
func (h *harness) timeOutCounter() {
	for _, c := range h.calls {
		h.countResult(CountResult{Name: c.name, Outcome: TimedOut})
	}
	h.calls = nil
}

// finishAttempt reports the result of the latest attempt of a request.
func (h *harness) finishAttempt(id uint32, o Outcome) {
	number, server := -1, uint32(0)
	for i := range h.attempts {
		if p := &h.attempts[i]; p.request == id {
			number++
			server, p.ended = p.server, true
		}
	}
	if number < 0 {
		return
	}
	h.result(AttemptResult{
		RequestID: id, Attempt: number, Server: server, Outcome: o, Latency: 20 * ms, Final: o == Answered,
	})
	h.answerCounter()
}

// advance lets time pass, brings the timers that fall due, and times out the attempts that are out
// too long.
func (h *harness) advance(d time.Duration) {
	end := h.now + d
	for {
		at := -1
		for i, w := range h.timers {
			if w.at <= end && (at < 0 || w.at < h.timers[at].at) {
				at = i
			}
		}
		if at < 0 {
			break
		}
		w := h.timers[at]
		h.timers = append(h.timers[:at:at], h.timers[at+1:]...)
		h.now = max(h.now, w.at)
		h.gateway.HandleTimer(h.now, w.token)
		h.answerCounter()
	}
	h.now = end
	for i := 0; i < len(h.attempts); i++ {
		if p := h.attempts[i]; !p.ended && p.until <= h.now {
			h.finishAttempt(p.request, TimedOut)
		}
	}
}

// attemptsOf returns how many attempts a request had.
func (h *harness) attemptsOf(id uint32) int {
	n := 0
	for _, p := range h.attempts {
		if p.request == id {
			n++
		}
	}
	return n
}

// attemptsTo returns how many attempts went to a server after a time.
func (h *harness) attemptsTo(server uint32, after time.Duration) int {
	n := 0
	for _, p := range h.attempts {
		if p.server == server && p.at > after {
			n++
		}
	}
	return n
}

func (h *harness) want(line string, times int) {
	h.Helper()
	if n := h.occurrences(line); n != times {
		h.Errorf("%q came %d times, want %d; done last: %q", line, n, times, h.log[max(0, len(h.log)-9):])
	}
}

func (h *harness) wantAttempts(id uint32, times int) {
	h.Helper()
	if n := h.attemptsOf(id); n != times {
		h.Errorf("request %d had %d attempts, want %d; done last: %q", id, n, times, h.log[max(0, len(h.log)-9):])
	}
}
