package conformance

import (
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// Module is what a row needs of a module: the events of the ordinary path.
type Module interface {
	HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint)
	HandleRequest(now time.Duration, t policy.Request)
	HandleAttemptResult(now time.Duration, p policy.AttemptResult)
	HandleTimer(now time.Duration, token uint64)
	HandleCount(now time.Duration, t policy.CountResult)
}

const (
	tick       = 2 * time.Millisecond
	slack      = 8 * time.Millisecond
	answerTime = 20 * time.Millisecond  // of a push in a module's play
	callTime   = time.Millisecond       // of a call to the counter there
	countLimit = 200 * time.Millisecond // beyond which a call is slow
	customer   = 77                     // the row's, where its windows need not be chosen
	origin     = time.Minute            // of a module's play
	seed       = 7
	servers    = 2
	pushes     = 6 // for a task at most
	mostUnits  = 6
)

// site is the deployment of a row: roomy, warm, nothing that the design does not speak of.
func site(p Plan, gateways int) policy.Settings {
	d := policy.Settings{
		Gateways: max(gateways, 1), Zones: 1, ClockTick: tick, HasCounter: true, CountTimeout: countLimit, ReportsUnits: true,
		MaxUnits: mostUnits, CanCancel: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: pushes,
		ArrivalSlack: slack, DrainGrace: time.Second, WarmUpStart: 0.15, WarmUpTime: 16 * time.Second, OverloadFactor: 2,
		OverloadSpan: 1500 * time.Millisecond, Plans: []policy.Plan{{Name: p.Name, Rate: p.Rate, Burst: p.Burst}},
	}
	for _, l := range lanes {
		d.Classes = append(d.Classes, policy.TrafficClass{Name: l.name, LatencyObjective: l.soft, Timeout: l.patience, Weight: 1})
	}
	return d
}

// module is a row's play against the module: its host, its clock, and a counter that answers at once while it is up.
// All is in virtual time, so a play is always the same.
type module struct {
	t        testing.TB
	g        Module
	seen     seen
	windows  windows
	gateways int
	now      time.Duration
	silent   bool
	totals   map[uint64]float64
	calls    []policy.CountResult // not answered yet, with what each adds as the total
	wakes    []wake
	pushed   map[uint32]uint32 // task to server, while it is out
}

type wake struct {
	token uint64
	at    time.Duration
}

func newModule(t testing.TB, row Row, p Plan, v Variant) *module {
	t.Helper()
	m := &module{
		t: t, windows: windowsOf(customer, p), gateways: max(row.Gateways, 1), now: origin,
		totals: map[uint64]float64{}, pushed: map[uint32]uint32{},
	}
	g, err := v.Module(site(p, row.Gateways), seed, m)
	if err != nil {
		t.Fatal(err)
	}
	m.g = g
	var list []policy.Endpoint
	for i := range servers {
		list = append(list, policy.Endpoint{Server: uint32(i + 1), State: policy.Ready, Capacity: 1})
	}
	g.HandleEndpoints(m.now, policy.ListFull, list)
	return m
}

func (m *module) do(s step) {
	switch s.verb {
	case "task":
		t := policy.Request{
			ID: uint32(s.task), Class: s.lane, Customer: s.customer, GatewayCount: m.gateways, Units: s.units,
			Deadline: m.now + lanes[s.lane].patience,
		}
		if t.Customer == 0 {
			t.Customer = m.windows.customer
		}
		m.g.HandleRequest(m.now, t)
	case "answer":
		id := uint32(s.task)
		server, out := m.pushed[id]
		if !out {
			m.t.Fatalf("task %d is not out", id)
		}
		m.seen.add("answered " + decimal(id))
		delete(m.pushed, id)
		m.g.HandleAttemptResult(m.now, policy.AttemptResult{RequestID: id, Server: server, Latency: answerTime, Final: true, ActualUnits: s.units})
	case "others":
		m.totals[m.windows.name(m.windows.number(m.now))] += s.units
	case "counter":
		m.silent = s.word == "silent"
	case "wait":
		m.pass(s.span)
	case "edge":
		m.pass(m.windows.edge(m.now))
	case "mark":
		m.seen.add("mark " + s.word)
	case "talks": // whom the module talks to is seen at the host
	}
	m.count()
}

// count answers the calls made, in order, while the counter is up.
func (m *module) count() {
	for !m.silent && len(m.calls) > 0 {
		c := m.calls[0]
		m.calls = m.calls[1:]
		m.totals[c.Name] += c.Total
		m.g.HandleCount(m.now, policy.CountResult{Name: c.Name, Total: m.totals[c.Name], Latency: callTime})
	}
}

// pass lets time go by and rings the timers that fall due.
func (m *module) pass(d time.Duration) {
	end := m.now + d
	for {
		due := slices.DeleteFunc(slices.Clone(m.wakes), func(w wake) bool { return w.at > end })
		if len(due) == 0 {
			m.now = end
			return
		}
		w := slices.MinFunc(due, func(a, b wake) int { return int(a.at - b.at) })
		m.CancelTimer(w.token)
		m.now = max(m.now, w.at)
		m.g.HandleTimer(m.now, w.token)
		m.count()
	}
}

// settled gives what was seen; nothing is under way between two steps.
func (m *module) settled(func([][]string) bool) *seen { return &m.seen }

// Attempt and the rest are the module's host.
func (m *module) Attempt(task, server uint32, _ time.Duration) {
	m.pushed[task] = server
	faces := []string{"push " + decimal(task)}
	if server > servers { // one that a variant put beside the row's
		faces = append(faces, faces[0]+" elective")
	}
	m.seen.add(faces...)
}
func (m *module) Cancel(task uint32, _ int)           { m.seen.add("cancel " + decimal(task)) }
func (m *module) Reject(task uint32, _ time.Duration) { m.seen.add("rejected " + decimal(task)) }
func (m *module) Terminate(task uint32)               { m.seen.add("terminated " + decimal(task)) }
func (m *module) CheckHealth(uint32)                  { m.seen.add("probe") }
func (m *module) SendPeer(int, []byte)                { m.seen.add("tell") }
func (m *module) WatchEndpoints()                     {}
func (m *module) Log(string)                          {}
func (m *module) SetTimer(token uint64, after time.Duration) {
	m.wakes = append(m.wakes, wake{token, m.now + after})
}

func (m *module) Count(n uint64, _ time.Duration, units float64) {
	m.calls = append(m.calls, policy.CountResult{Name: n, Total: units})
	m.seen.add(m.windows.call(m.now, n, units)...)
}

// CancelTimer takes a wake back.
func (m *module) CancelTimer(token uint64) {
	m.wakes = slices.DeleteFunc(m.wakes, func(w wake) bool { return w.token == token })
}
