package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// fakeHost is a host that writes down what it is asked.
type fakeHost struct {
	log      []string
	attempts []fakeAttempt
	calls    []fakeCall
	timers   []fakeTimer
	now      time.Duration
}

type fakeAttempt struct {
	request, server uint32
	at, until       time.Duration
	ended           bool
}

type fakeCall struct {
	name  uint64
	units float64
}

type fakeTimer struct {
	token uint64
	at    time.Duration
}

func (f *fakeHost) record(form string, a ...any) { f.log = append(f.log, fmt.Sprintf(form, a...)) }

func (f *fakeHost) Attempt(task, server uint32, until time.Duration) {
	f.attempts = append(f.attempts, fakeAttempt{task, server, f.now, until, false})
	f.record("push %d to %d until %v", task, server, until)
}
func (f *fakeHost) Cancel(task uint32, number int) { f.record("cancel %d %d", task, number) }
func (f *fakeHost) Reject(task uint32, retryAfter time.Duration) {
	f.record("reject %d away %v", task, retryAfter.Round(ms))
}
func (f *fakeHost) Terminate(task uint32)              { f.record("terminate %d", task) }
func (f *fakeHost) CheckHealth(server uint32)          { f.record("probe %d", server) }
func (f *fakeHost) SendPeer(gateway int, words []byte) { f.record("tell %d %x", gateway, words) }
func (f *fakeHost) WatchEndpoints()                    { f.record("watch") }
func (f *fakeHost) Log(line string)                    { f.record("log %s", line) }
func (f *fakeHost) SetTimer(token uint64, after time.Duration) {
	f.timers = append(f.timers, fakeTimer{token, f.now + after})
}
func (f *fakeHost) CancelTimer(token uint64) {
	f.timers = slices.DeleteFunc(f.timers, func(w fakeTimer) bool { return w.token == token })
}
func (f *fakeHost) Count(name uint64, _ time.Duration, units float64) {
	f.calls = append(f.calls, fakeCall{name, units})
	f.record("count %x %g", name, units)
}

func (f *fakeHost) occurrences(line string) int {
	n := 0
	for _, d := range f.log {
		if d == line {
			n++
		}
	}
	return n
}

// harness is a gateway, its fake host, and a counter that answers at once while it is up.
type harness struct {
	*testing.T
	*fakeHost
	gateway      *Gateway
	count        map[uint64]float64
	down         bool
	gatewayCount int // of the customers' sets
}

func testSettings() Settings {
	return Settings{
		Gateways: 2, Zones: 2, ClockTick: 2 * ms, HasCounter: true, CountTimeout: 30 * ms, MaxUnits: 4, MaxAttempts: 5,
		RetryAfter: true, MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, ArrivalSlack: 8 * ms,
		WarmUpStart: 0.2, WarmUpTime: 10 * time.Second, OverloadFactor: 2, OverloadSpan: time.Second,
		Classes: []TrafficClass{
			{Name: "look", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 1, Effect: Idempotent},
			{Name: "hold", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 2, Effect: Keyed, Group: GroupRack,
				DedupWindow: 300 * ms},
			{Name: "pay", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 3, Effect: NonIdempotent},
			{Name: "mark", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 2, Effect: Keyed, Group: GroupAll,
				DedupWindow: 300 * ms},
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

// newHarness starts a gateway with n warm servers, numbered from 1, two to a cell.
func newHarness(t *testing.T, d Settings, n int) *harness {
	t.Helper()
	f := &fakeHost{now: time.Minute}
	g, err := New(d, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	s := &harness{T: t, fakeHost: f, gateway: g, count: map[uint64]float64{}, gatewayCount: 2}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Server: uint32(i + 1), State: Ready, Capacity: 1, Rack: i / 2, Zone: 0})
	}
	g.HandleEndpoints(f.now, ListCached, list)
	return s
}

// request brings a task and lets the counter answer.
func (s *harness) request(id uint32, class, plan int, units float64) {
	s.gateway.HandleRequest(s.now, Request{ID: id, Class: class, Plan: plan, Customer: uint64(plan), GatewayCount: s.gatewayCount, Units: units,
		Deadline: s.now + 2*time.Second})
	s.answerCounter()
}

// chargeByOthers has other gateways charge the only customer so far; total is its count in the current window.
func (s *harness) chargeByOthers(customerID uint64, units float64) {
	s.count[counterName(customerID, s.gateway.admission.customerList[0].windowAt(s.now))] += units
}

func (s *harness) countedUnits(customerID uint64) float64 {
	return s.count[counterName(customerID, s.gateway.admission.customerList[0].windowAt(s.now))]
}

// answerCounter answers the calls made, if it is up.
func (s *harness) answerCounter() {
	for !s.down && len(s.calls) > 0 {
		c := s.calls[0]
		s.calls = s.calls[1:]
		s.count[c.name] += c.units
		s.gateway.HandleCount(s.now, CountResult{Name: c.name, Total: s.count[c.name], Latency: ms})
	}
}

// timeOutCounter lets every call to the counter time out.
func (s *harness) timeOutCounter() {
	for _, c := range s.calls {
		s.gateway.HandleCount(s.now, CountResult{Name: c.name, Outcome: TimedOut})
	}
	s.calls = nil
}

// finishAttempt brings the outcome of the latest push of a task.
func (s *harness) finishAttempt(id uint32, o Outcome) {
	number, server := -1, uint32(0)
	for i := range s.attempts {
		if p := &s.attempts[i]; p.request == id {
			number++
			server, p.ended = p.server, true
		}
	}
	if number < 0 {
		return
	}
	s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: id, Attempt: number, Server: server, Outcome: o, Latency: 20 * ms, Final: o == Answered})
	s.answerCounter()
}

// advance lets time go by, rings the timers that fall due, and ends what is out beyond its time.
func (s *harness) advance(d time.Duration) {
	end := s.now + d
	for {
		at := -1
		for i, w := range s.timers {
			if w.at <= end && (at < 0 || w.at < s.timers[at].at) {
				at = i
			}
		}
		if at < 0 {
			break
		}
		w := s.timers[at]
		s.timers = append(s.timers[:at:at], s.timers[at+1:]...)
		s.now = max(s.now, w.at)
		s.gateway.HandleTimer(s.now, w.token)
		s.answerCounter()
	}
	s.now = end
	for i := 0; i < len(s.attempts); i++ {
		if p := s.attempts[i]; !p.ended && p.until <= s.now {
			s.finishAttempt(p.request, TimedOut)
		}
	}
}

// attemptsOf is how often a task was pushed.
func (s *harness) attemptsOf(id uint32) int {
	n := 0
	for _, p := range s.attempts {
		if p.request == id {
			n++
		}
	}
	return n
}

// attemptsTo is how many pushes went to a server after a time.
func (s *harness) attemptsTo(server uint32, after time.Duration) int {
	n := 0
	for _, p := range s.attempts {
		if p.server == server && p.at > after {
			n++
		}
	}
	return n
}

func (s *harness) want(line string, times int) {
	s.Helper()
	if n := s.occurrences(line); n != times {
		s.Errorf("%q came %d times, want %d; done last: %q", line, n, times, s.log[max(0, len(s.log)-9):])
	}
}

func (s *harness) wantAttempts(id uint32, times int) {
	s.Helper()
	if n := s.attemptsOf(id); n != times {
		s.Errorf("task %d pushed %d times, want %d; done last: %q", id, n, times, s.log[max(0, len(s.log)-9):])
	}
}
