package conformance

import (
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// Module is what a case needs of a decision module: the events of the ordinary path.
type Module interface {
	HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint)
	HandleRequest(now time.Duration, request policy.Request)
	HandleAttemptResult(now time.Duration, result policy.AttemptResult)
	HandleTimer(now time.Duration, token uint64)
	HandleCount(now time.Duration, count policy.CountResult)
}

// The settings of all cases, of modules and processes.
const (
	clockTick    = 2 * time.Millisecond
	arrivalSlack = 8 * time.Millisecond
	countTimeout = 200 * time.Millisecond // beyond which a counter call is slow
	maxAttempts  = 6                      // of a request
	maxUnits     = 6                      // of a request
	serverCount  = 2
	randomSeed   = 7
)

// What only module targets use.
const (
	attemptLatency  = 20 * time.Millisecond
	counterLatency  = time.Millisecond
	defaultCustomer = 77          // a module's clock is virtual: its windows need not be chosen
	startTime       = time.Minute // on the virtual clock
)

// settingsFor returns the settings of a case: ample capacity, warm servers, nothing that the design
// does not speak of.
func settingsFor(plan Plan, gateways int) policy.Settings {
	settings := policy.Settings{
		Gateways: max(gateways, 1), Zones: 1, ClockTick: clockTick, HasCounter: true, LateCountAfter: countTimeout,
		ReportsUnits: true,
		MaxUnits:     maxUnits, CanCancel: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		MaxAttempts:  maxAttempts,
		ArrivalSlack: arrivalSlack, DrainGrace: time.Second, WarmUpStart: 0.15, WarmUpTime: 16 * time.Second,
		OverloadFactor: 2,
		OverloadSpan:   1500 * time.Millisecond,
		Plans:          []policy.Plan{{Name: plan.Name, Rate: plan.Rate, Burst: plan.Burst}},
	}
	for _, c := range classes {
		settings.Classes = append(settings.Classes, policy.TrafficClass{
			Name: c.name, LatencyObjective: c.objective, Timeout: c.timeout, Weight: 1,
		})
	}
	return settings
}

// moduleTarget runs a case against the module: it is the module's host, its clock, and a counter
// that answers at once unless it is silent. Time is virtual, so a run is always the same.
type moduleTarget struct {
	t            testing.TB
	module       Module
	events       eventLog
	windows      windows
	gatewayCount int
	now          time.Duration
	silent       bool                 // the counter
	totals       map[uint64]float64   // of the counter, by name
	pendingCalls []policy.CountResult // not answered yet; Total is what the call adds
	timers       []timer
	inFlight     map[uint32]uint32 // server by request
}

type timer struct {
	token uint64
	at    time.Duration
}

func newModuleTarget(tb testing.TB, testCase Case, plan Plan, variant Variant) *moduleTarget {
	tb.Helper()
	created := &moduleTarget{
		t: tb, windows: newWindows(defaultCustomer, plan), gatewayCount: max(testCase.Gateways, 1), now: startTime,
		totals: map[uint64]float64{}, inFlight: map[uint32]uint32{},
	}
	module, err := variant.Module(settingsFor(plan, testCase.Gateways), randomSeed, created)
	if err != nil {
		tb.Fatal(err)
	}
	created.module = module
	var list []policy.Endpoint
	for i := range serverCount {
		list = append(list, policy.Endpoint{Server: uint32(i + 1), State: policy.Ready, Capacity: 1})
	}
	module.HandleEndpoints(created.now, policy.ListFull, list)
	return created
}

func (m *moduleTarget) execute(todo action) {
	m.t.Helper()
	switch todo.verb {
	case actionRequest:
		m.sendRequest(todo)
	case actionAnswer:
		m.answerAttempt(uint32(todo.request), todo.units)
	case actionOthers:
		m.totals[m.windows.counterName(m.windows.index(m.now))] += todo.units
	case actionCounter:
		m.silent = todo.argument == counterSilent
	case actionWait:
		m.advance(todo.duration)
	case actionEdge:
		m.advance(m.windows.untilNext(m.now))
	case actionMarker:
		m.events.add("marker " + todo.argument)
	case actionConnections: // the module has none: whom it calls is recorded by its host
	}
	m.answerCalls()
}

func (m *moduleTarget) sendRequest(todo action) {
	request := policy.Request{
		ID: uint32(todo.request), Class: todo.class, Customer: todo.customer, GatewayCount: m.gatewayCount,
		Units:    todo.units,
		Deadline: m.now + classes[todo.class].timeout,
	}
	if request.Customer == 0 {
		request.Customer = m.windows.customer
	}
	m.module.HandleRequest(m.now, request)
}

func (m *moduleTarget) answerAttempt(id uint32, units float64) {
	m.t.Helper()
	server, found := m.inFlight[id]
	if !found {
		m.t.Fatalf("request %d is not in flight", id)
	}
	m.events.add("answered " + decimal(id))
	delete(m.inFlight, id)
	m.module.HandleAttemptResult(m.now, policy.AttemptResult{
		RequestID: id, Server: server, Latency: attemptLatency, Final: true, ActualUnits: units,
	})
}

// answerCalls answers the pending counter calls in order, unless the counter is silent.
func (m *moduleTarget) answerCalls() {
	for !m.silent && len(m.pendingCalls) > 0 {
		call := m.pendingCalls[0]
		m.pendingCalls = m.pendingCalls[1:]
		m.totals[call.Name] += call.Total
		m.module.HandleCount(m.now,
			policy.CountResult{Name: call.Name, Total: m.totals[call.Name], Latency: counterLatency})
	}
}

// advance lets virtual time pass and fires the timers that fall due.
func (m *moduleTarget) advance(span time.Duration) {
	end := m.now + span
	for {
		due := slices.DeleteFunc(slices.Clone(m.timers), func(t timer) bool { return t.at > end })
		if len(due) == 0 {
			m.now = end
			return
		}
		first := slices.MinFunc(due, func(a, b timer) int { return int(a.at - b.at) })
		m.CancelTimer(first.token)
		m.now = max(m.now, first.at)
		m.module.HandleTimer(m.now, first.token)
		m.answerCalls()
	}
}

// awaitEvents returns the log at once: nothing is under way between two actions.
func (m *moduleTarget) awaitEvents(func([][]string) bool) *eventLog { return &m.events }
