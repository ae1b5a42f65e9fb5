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
	clockTick      = 2 * time.Millisecond
	arrivalSlack   = 8 * time.Millisecond
	attemptLatency = 20 * time.Millisecond  // of a push in a module's play
	counterLatency = time.Millisecond       // of a call to the counter there
	countTimeout   = 200 * time.Millisecond // beyond which a call is slow
	rowCustomer    = 77                     // the row's, where its windows need not be chosen
	startTime      = time.Minute            // of a module's play
	randomSeed     = 7
	serverCount    = 2
	maxAttempts    = 6 // for a task at most
	maxUnits       = 6
)

// site is the deployment of a row: roomy, warm, nothing that the design does not speak of.
func settingsFor(plan Plan, gateways int) policy.Settings {
	d := policy.Settings{
		Gateways: max(gateways, 1), Zones: 1, ClockTick: clockTick, HasCounter: true, CountTimeout: countTimeout, ReportsUnits: true,
		MaxUnits: maxUnits, CanCancel: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: maxAttempts,
		ArrivalSlack: arrivalSlack, DrainGrace: time.Second, WarmUpStart: 0.15, WarmUpTime: 16 * time.Second, OverloadFactor: 2,
		OverloadSpan: 1500 * time.Millisecond, Plans: []policy.Plan{{Name: plan.Name, Rate: plan.Rate, Burst: plan.Burst}},
	}
	for _, l := range classes {
		d.Classes = append(d.Classes, policy.TrafficClass{Name: l.name, LatencyObjective: l.objective, Timeout: l.timeout, Weight: 1})
	}
	return d
}

// module is a row's play against the module: its host, its clock, and a counter that answers at once while it is up.
// All is in virtual time, so a play is always the same.
type moduleTarget struct {
	t            testing.TB
	gateway      Module
	events       eventLog
	windows      windows
	gatewayCount int
	now          time.Duration
	silent       bool
	totals       map[uint64]float64
	pendingCalls []policy.CountResult // not answered yet, with what each adds as the total
	timers       []timer
	inFlight     map[uint32]uint32 // task to server, while it is out
}

type timer struct {
	token uint64
	at    time.Duration
}

func newModuleTarget(t testing.TB, row Row, plan Plan, variant Variant) *moduleTarget {
	t.Helper()
	m := &moduleTarget{
		t: t, windows: newWindows(rowCustomer, plan), gatewayCount: max(row.Gateways, 1), now: startTime,
		totals: map[uint64]float64{}, inFlight: map[uint32]uint32{},
	}
	g, err := variant.Module(settingsFor(plan, row.Gateways), randomSeed, m)
	if err != nil {
		t.Fatal(err)
	}
	m.gateway = g
	var list []policy.Endpoint
	for i := range serverCount {
		list = append(list, policy.Endpoint{Server: uint32(i + 1), State: policy.Ready, Capacity: 1})
	}
	g.HandleEndpoints(m.now, policy.ListFull, list)
	return m
}

func (m *moduleTarget) execute(s step) {
	switch s.verb {
	case "task":
		t := policy.Request{
			ID: uint32(s.request), Class: s.class, Customer: s.customer, GatewayCount: m.gatewayCount, Units: s.units,
			Deadline: m.now + classes[s.class].timeout,
		}
		if t.Customer == 0 {
			t.Customer = m.windows.customer
		}
		m.gateway.HandleRequest(m.now, t)
	case "answer":
		id := uint32(s.request)
		server, out := m.inFlight[id]
		if !out {
			m.t.Fatalf("task %d is not out", id)
		}
		m.events.add("answered " + decimal(id))
		delete(m.inFlight, id)
		m.gateway.HandleAttemptResult(m.now, policy.AttemptResult{RequestID: id, Server: server, Latency: attemptLatency, Final: true, ActualUnits: s.units})
	case "others":
		m.totals[m.windows.counterName(m.windows.index(m.now))] += s.units
	case "counter":
		m.silent = s.argument == "silent"
	case "wait":
		m.advance(s.duration)
	case "edge":
		m.advance(m.windows.untilNext(m.now))
	case "mark":
		m.events.add("mark " + s.argument)
	case "talks": // whom the module talks to is seen at the host
	}
	m.answerCalls()
}

// count answers the calls made, in order, while the counter is up.
func (m *moduleTarget) answerCalls() {
	for !m.silent && len(m.pendingCalls) > 0 {
		c := m.pendingCalls[0]
		m.pendingCalls = m.pendingCalls[1:]
		m.totals[c.Name] += c.Total
		m.gateway.HandleCount(m.now, policy.CountResult{Name: c.Name, Total: m.totals[c.Name], Latency: counterLatency})
	}
}

// pass lets time go by and rings the timers that fall due.
func (m *moduleTarget) advance(d time.Duration) {
	end := m.now + d
	for {
		due := slices.DeleteFunc(slices.Clone(m.timers), func(w timer) bool { return w.at > end })
		if len(due) == 0 {
			m.now = end
			return
		}
		w := slices.MinFunc(due, func(a, b timer) int { return int(a.at - b.at) })
		m.CancelTimer(w.token)
		m.now = max(m.now, w.at)
		m.gateway.HandleTimer(m.now, w.token)
		m.answerCalls()
	}
}

// settled gives what was seen; nothing is under way between two steps.
func (m *moduleTarget) awaitEvents(func([][]string) bool) *eventLog { return &m.events }

// Attempt and the rest are the module's host.
func (m *moduleTarget) Attempt(task, server uint32, _ time.Duration) {
	m.inFlight[task] = server
	faces := []string{"push " + decimal(task)}
	if server > serverCount { // one that a variant put beside the row's
		faces = append(faces, faces[0]+" elective")
	}
	m.events.add(faces...)
}
func (m *moduleTarget) Cancel(task uint32, _ int) { m.events.add("cancel " + decimal(task)) }
func (m *moduleTarget) Reject(task uint32, _ time.Duration) {
	m.events.add("rejected " + decimal(task))
}
func (m *moduleTarget) Terminate(task uint32) { m.events.add("terminated " + decimal(task)) }
func (m *moduleTarget) CheckHealth(uint32)    { m.events.add("probe") }
func (m *moduleTarget) SendPeer(int, []byte)  { m.events.add("tell") }
func (m *moduleTarget) WatchEndpoints()       {}
func (m *moduleTarget) Log(string)            {}
func (m *moduleTarget) SetTimer(token uint64, after time.Duration) {
	m.timers = append(m.timers, timer{token, m.now + after})
}

func (m *moduleTarget) Count(n uint64, _ time.Duration, units float64) {
	m.pendingCalls = append(m.pendingCalls, policy.CountResult{Name: n, Total: units})
	m.events.add(m.windows.callEvents(m.now, n, units)...)
}

// CancelTimer takes a wake back.
func (m *moduleTarget) CancelTimer(token uint64) {
	m.timers = slices.DeleteFunc(m.timers, func(w timer) bool { return w.token == token })
}
