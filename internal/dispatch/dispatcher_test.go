package dispatch

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/policy"
)

// pendingCounterCall is a call to the counter that waits for its answer.
type pendingCounterCall struct {
	units float64
	reply func(float64, policy.Outcome)
}

// fixture is a gate with one server, and a counter that answers when it is told to.
type fixture struct {
	*testing.T
	dispatcher   *Dispatcher
	counterCalls chan pendingCounterCall
}

func newFixture(t *testing.T, change ...func(*policy.Settings)) *fixture {
	t.Helper()
	f := &fixture{T: t, counterCalls: make(chan pendingCounterCall, 100)}
	settings := policy.Settings{Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, HasCounter: true,
		CountTimeout: 30 * time.Millisecond, MaxAttempts: 5, CanCancel: true, RetryAfter: true, ReportsUnits: true,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, ArrivalSlack: 8 * time.Millisecond, OverloadSpan: time.Second,
		Classes: []policy.TrafficClass{
			{Name: "look", LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second, Effect: policy.Idempotent},
			{Name: "pay", LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second, Effect: policy.NonIdempotent}},
		Plans: []policy.Plan{{Name: "wide", Rate: 1000, Burst: 4000}, {Name: "small", Rate: 1, Burst: 3}}}
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
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.dispatcher.RunTimers(ctx)
	f.setEndpoint(policy.ListFull, policy.Ready)
	return f
}

// withLongTimeouts leaves every task so much time that no story depends on how quick its machine is.
func withLongTimeouts(d *policy.Settings) {
	for i := range d.Classes {
		d.Classes[i].LatencyObjective, d.Classes[i].Timeout = time.Minute, time.Hour
	}
}

// expire has a task's patience end now: the module is woken under the token that it asks with for that.
func (f *fixture) expire(r *Request) {
	const kinds = 4
	now := f.dispatcher.lock()
	defer f.dispatcher.unlock()
	if f.dispatcher.gateway.HandleTimer(now, uint64(r.id)*kinds); !r.completed {
		f.Error("no final answer")
	}
}

func (f *fixture) setEndpoint(kind policy.ListKind, stage policy.EndpointState) {
	f.dispatcher.HandleEndpoints(kind, []Server{{Name: "s-1", Address: "here", Endpoint: policy.Endpoint{State: stage}}})
}

// expectAction picks and checks the verdict.
func (f *fixture) expectAction(r *Request, action Action) Decision {
	f.Helper()
	decision := r.Next()
	if decision.Action != action {
		f.Fatalf("verdict %v, want %v", decision.Action, action)
	}
	return decision
}

func (f *fixture) admit(class, plan int, timeout time.Duration) *Request {
	return f.dispatcher.Admit(RequestSpec{Class: class, Plan: plan, Customer: 5, Units: 2, GatewayCount: 1, Timeout: timeout})
}

// forwarded brings a task as far as its push.
func (f *fixture) forwarded(class int, timeout time.Duration) (*Request, Decision) {
	f.Helper()
	r := f.admit(class, 0, timeout)
	(<-f.counterCalls).reply(0, policy.Answered)
	return r, f.expectAction(r, Forward)
}

func TestRequest_checkedThenForwardedThenChargedWithNextCall(t *testing.T) {
	f := newFixture(t)
	r := f.admit(0, 0, time.Second)
	call := <-f.counterCalls
	call.reply(0, policy.Answered)
	if got := f.expectAction(r, Forward); got.Server.Address != "here" || time.Until(got.Deadline) > time.Second || got.Context.Err() != nil {
		t.Errorf("picked %+v", got)
	}
	r.ReportResult(Result{Outcome: policy.Answered, Billed: 5})
	for f.admit(0, 0, time.Second); ; { // a new window may be opened first
		if call = <-f.counterCalls; call.units == 5 {
			return
		}
	}
}

func TestRequest_overQuotaIsRejectedWithRetryAfter(t *testing.T) {
	f := newFixture(t)
	r := f.admit(0, 1, time.Second)
	(<-f.counterCalls).reply(50, policy.Answered)
	if got := f.expectAction(r, Reject); got.RetryAfter <= 0 {
		t.Errorf("rejected without a time: %v", got.RetryAfter)
	}
}

func TestCounter_silenceDelaysNobodyAndLateTotalCounts(t *testing.T) {
	f := newFixture(t)
	spec := RequestSpec{Plan: 1, Customer: 5, Units: 1, GatewayCount: 1, Timeout: 10 * time.Second}
	r := f.dispatcher.Admit(spec)
	call := <-f.counterCalls
	f.expectAction(r, Forward)
	call.reply(50, policy.Answered)
	f.expectAction(f.dispatcher.Admit(spec), Reject) // two units would be left by our own count
}

func TestRequest_timeoutAbandonsAttemptAndCompletes(t *testing.T) {
	for class, action := range []Action{Reject, Terminate} {
		f := newFixture(t)
		r, forward := f.forwarded(class, 150*time.Millisecond)
		<-forward.Context.Done()
		r.ReportResult(Result{Outcome: policy.Cancelled})
		f.expectAction(r, action)
	}
}

func TestRequest_disconnectedClientGetsNoAnswer(t *testing.T) {
	f := newFixture(t)
	r, _ := f.forwarded(0, time.Second)
	r.Disconnect()
	r.Disconnect() // told twice, it stays gone
	r.ReportResult(Result{Outcome: policy.Reset})
	f.expectAction(r, Disconnected)
	if n := len(f.dispatcher.requests); n != 0 {
		t.Errorf("%d errands held", n)
	}
}

func TestRequest_drainingServerGetsNoAttempt(t *testing.T) {
	f := newFixture(t)
	f.setEndpoint(policy.ListDelta, policy.Draining)
	r := f.admit(0, 0, 400*time.Millisecond)
	(<-f.counterCalls).reply(0, policy.Answered)
	f.expectAction(r, Reject)
}

func TestTimers_noneLeftByCompletedRequest(t *testing.T) {
	f := newFixture(t)
	r, _ := f.forwarded(0, time.Hour)
	r.ReportResult(Result{Outcome: policy.Answered})
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	if len(f.dispatcher.timers) != 0 || len(f.dispatcher.timersByToken) != 0 {
		t.Errorf("%d wakes left", len(f.dispatcher.timers))
	}
}

func TestEndpoints_failedListKeepsEarlierOne(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	<-f.dispatcher.Wanted()
	f.forwarded(0, time.Second) // the earlier list stands
}

func TestCounter_repliesForNameAreDeliveredInCallOrder(t *testing.T) {
	f := newFixture(t)
	first := f.dispatcher.Admit(RequestSpec{Customer: 9, Plan: 1, GatewayCount: 1, Units: 1, Timeout: time.Second})
	second := f.dispatcher.Admit(RequestSpec{Customer: 9, Plan: 1, GatewayCount: 1, Units: 1, Timeout: time.Second})
	firstCall, secondCall := <-f.counterCalls, <-f.counterCalls
	secondCall.reply(99, policy.Answered) // the later connection is the quicker one
	firstCall.reply(0, policy.Answered)
	f.expectAction(first, Forward)
	f.expectAction(second, Reject)
}

// A list that fails twice in a row had the module ask for a wake twice under one token; both stayed and each was
// answered, and from then on two chains of asks went to discovery from every gateway.
func TestTimers_secondForTokenReplacesFirst(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	f.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	if len(f.dispatcher.timers) != 1 || len(f.dispatcher.timersByToken) != 1 {
		t.Errorf("%d wakes for %d tokens", len(f.dispatcher.timers), len(f.dispatcher.timersByToken))
	}
}
