package dispatch

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// pendingCounterCall is a call to the counter that has no reply yet.
type pendingCounterCall struct {
	units float64
	reply func(float64, policy.Outcome)
}

// fixture is a dispatcher with one server. The test replies to the calls to the counter.
type fixture struct {
	*testing.T
	dispatcher   *Dispatcher
	counterCalls chan pendingCounterCall
}

func newFixture(t *testing.T, change ...func(*policy.Settings)) *fixture {
	t.Helper()
	f := &fixture{T: t, counterCalls: make(chan pendingCounterCall, 100)}
	settings := policy.Settings{
		Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, HasCounter: true,
		LateCountAfter: 30 * time.Millisecond, MaxAttempts: 5, CanCancel: true, SendsRetryAfter: true,
		ReportsUnits:  true,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, ArrivalSlack: 8 * time.Millisecond,
		OverloadSpan: time.Second,
		Classes: []policy.TrafficClass{
			{
				Name: "query", LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second,
				Effect: policy.Idempotent,
			},
			{
				Name: "pay", LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second,
				Effect: policy.NonIdempotent,
			},
		},
		Plans: []policy.Plan{{Name: "wide", Rate: 1000, Burst: 4000}, {Name: "small", Rate: 1, Burst: 3}},
	}
	for _, c := range change {
		c(&settings)
	}
	count := func(_ uint64, units float64, _ time.Duration, reply func(float64, policy.Outcome)) {
		f.counterCalls <- pendingCounterCall{units, reply}
	}
	var err error
	if f.dispatcher, err = New(settings, 7, Dependencies{Count: count}, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	go f.dispatcher.RunTimers(t.Context())
	f.setEndpoint(policy.ListFull, policy.Ready)
	return f
}

// withLongTimeouts makes all timeouts so long that no test depends on the speed of its machine.
func withLongTimeouts(settings *policy.Settings) {
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective, settings.Classes[i].Timeout = time.Minute, time.Hour
	}
}

// expireTimeout delivers the timer of a request's timeout to the module, ahead of time.
func (f *fixture) expireTimeout(request *Request) {
	f.Helper()
	const timerKinds = 4 // kinds of timers, in the low bits of a token; 0: the timeout
	now := f.dispatcher.lock()
	defer f.dispatcher.unlock()
	if f.dispatcher.module.HandleTimer(now, uint64(request.id)*timerKinds); !request.completed {
		f.Error("no final answer")
	}
}

// setEndpoint passes the dispatcher a list with the one server in a state.
func (f *fixture) setEndpoint(kind policy.ListKind, state policy.EndpointState) {
	f.Helper()
	server := Server{Name: "s-1", Address: "here", Endpoint: policy.Endpoint{State: state}}
	f.dispatcher.HandleEndpoints(kind, []Server{server})
}

// expectAction waits for the next decision and checks it.
func (f *fixture) expectAction(request *Request, action Action) Decision {
	f.Helper()
	decision := request.Next()
	if decision.Action != action {
		f.Fatalf("action %v, want %v", decision.Action, action)
	}
	return decision
}

func (f *fixture) admit(class, plan int, timeout time.Duration) *Request {
	f.Helper()
	return f.dispatcher.Admit(RequestSpec{
		Class: class, Plan: plan, Customer: 5, Units: 2, GatewayCount: 1, Timeout: timeout,
	})
}

// forwardRequest admits a request, replies to its counter call and returns its first attempt.
func (f *fixture) forwardRequest(class int, timeout time.Duration) (*Request, Decision) {
	f.Helper()
	request := f.admit(class, 0, timeout)
	(<-f.counterCalls).reply(0, policy.Answered)
	return request, f.expectAction(request, Forward)
}

func TestRequest_checkedThenForwardedThenChargedWithNextCall(t *testing.T) {
	f := newFixture(t)
	request := f.admit(0, 0, time.Second)
	call := <-f.counterCalls
	call.reply(0, policy.Answered)
	got := f.expectAction(request, Forward)
	if got.Server.Address != "here" || time.Until(got.Deadline) > time.Second || got.Context.Err() != nil {
		t.Errorf("decided %+v", got)
	}
	request.ReportResult(Result{Outcome: policy.Answered, ActualUnits: 5})
	for f.admit(0, 0, time.Second); ; { // a call that opens a new window may come first
		if call = <-f.counterCalls; call.units == 5 {
			return
		}
	}
}

func TestRequest_overQuotaIsRejectedWithRetryAfter(t *testing.T) {
	f := newFixture(t)
	request := f.admit(0, 1, time.Second)
	(<-f.counterCalls).reply(50, policy.Answered)
	if got := f.expectAction(request, Reject); got.RetryAfter <= 0 {
		t.Errorf("rejected with Retry-After %v", got.RetryAfter)
	}
}

func TestCounter_unansweredCallDelaysNoRequestAndLateTotalIsUsed(t *testing.T) {
	f := newFixture(t)
	spec := RequestSpec{Plan: 1, Customer: 5, Units: 1, GatewayCount: 1, Timeout: 10 * time.Second}
	request := f.dispatcher.Admit(spec)
	call := <-f.counterCalls
	f.expectAction(request, Forward)
	call.reply(50, policy.Answered)
	// By the gateway's own count, two units would be left, and the request would be admitted.
	f.expectAction(f.dispatcher.Admit(spec), Reject)
}

func TestRequest_timeoutAbandonsAttemptAndCompletes(t *testing.T) {
	for name, test := range map[string]struct {
		class int
		want  Action
	}{
		"idempotent":     {0, Reject},
		"non-idempotent": {1, Terminate},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			request, forward := f.forwardRequest(test.class, 150*time.Millisecond)
			<-forward.Context.Done()
			request.ReportResult(Result{Outcome: policy.Cancelled})
			f.expectAction(request, test.want)
		})
	}
}

func TestRequest_disconnectedClientGetsNoAnswer(t *testing.T) {
	f := newFixture(t)
	request, _ := f.forwardRequest(0, time.Second)
	request.Disconnect()
	request.Disconnect() // has no effect
	request.ReportResult(Result{Outcome: policy.Reset})
	f.expectAction(request, Disconnected)
	if n := len(f.dispatcher.requests); n != 0 {
		t.Errorf("%d requests in flight", n)
	}
}

func TestRequest_drainingServerGetsNoAttempt(t *testing.T) {
	f := newFixture(t)
	f.setEndpoint(policy.ListDelta, policy.Draining)
	request := f.admit(0, 0, 400*time.Millisecond)
	(<-f.counterCalls).reply(0, policy.Answered)
	f.expectAction(request, Reject)
}

func TestTimers_noneLeftByCompletedRequest(t *testing.T) {
	f := newFixture(t)
	request, _ := f.forwardRequest(0, time.Hour)
	request.ReportResult(Result{Outcome: policy.Answered})
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	if len(f.dispatcher.timers.heap) != 0 || len(f.dispatcher.timers.byToken) != 0 {
		t.Errorf("%d timers left", len(f.dispatcher.timers.heap))
	}
}

func TestEndpoints_failedListKeepsEarlierOne(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	if n := f.pendingTimers(); n != 1 {
		t.Fatalf("%d timers after a failed list, want the one that retries it", n)
	}
	fakes.Eventually(t, "a retry of the list", func() bool { return f.pendingTimers() == 0 })
	f.forwardRequest(0, time.Second)
}

func (f *fixture) pendingTimers() int {
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	return len(f.dispatcher.timers.heap)
}

func TestCounter_repliesForNameAreDeliveredInCallOrder(t *testing.T) {
	f := newFixture(t)
	first := f.dispatcher.Admit(RequestSpec{Customer: 9, Plan: 1, GatewayCount: 1, Units: 1, Timeout: time.Second})
	second := f.dispatcher.Admit(RequestSpec{Customer: 9, Plan: 1, GatewayCount: 1, Units: 1, Timeout: time.Second})
	firstCall, secondCall := <-f.counterCalls, <-f.counterCalls
	secondCall.reply(99, policy.Answered) // replies arrive out of order
	firstCall.reply(0, policy.Answered)
	f.expectAction(first, Forward)
	f.expectAction(second, Reject)
}

// Guards against two independent chains of polls by one gateway after two consecutive failed lists.
func TestTimers_secondTimerForTokenReplacesFirst(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	f.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	if len(f.dispatcher.timers.heap) != 1 || len(f.dispatcher.timers.byToken) != 1 {
		t.Errorf("%d timers for %d tokens", len(f.dispatcher.timers.heap), len(f.dispatcher.timers.byToken))
	}
}
