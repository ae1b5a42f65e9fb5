package dispatch

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// notifyEndpoint passes the dispatcher a delta with one server.
func (f *fixture) notifyEndpoint(name, address string, state policy.EndpointState, startedAt time.Duration) {
	f.Helper()
	f.dispatcher.HandleEndpoints(policy.ListDelta, []Server{{
		Name: name, Address: address, Endpoint: policy.Endpoint{State: state, StartedAt: startedAt},
	}})
}

// cancelCause is an event after which an attempt at server s-1 serves no purpose.
type cancelCause struct {
	name             string
	trigger          func(f *fixture, request *Request)
	nextAction       Action // the decision that follows a cancelled attempt
	isServerReusable bool   // the server may be selected again with an unchanged entry
}

// Guards against attempts whose first byte is sent after they have lost their purpose, if the
// module cannot cancel attempts (Settings.CanCancel).
func TestAttempt_cancelledUntilFirstByteOnly(t *testing.T) {
	notify := func(address string, state policy.EndpointState, startedAt time.Duration) func(*fixture, *Request) {
		return func(f *fixture, _ *Request) { f.notifyEndpoint("s-1", address, state, startedAt) }
	}
	for _, cause := range []cancelCause{
		{name: "client disconnects", trigger: func(_ *fixture, request *Request) {
			request.Disconnect()
		}, nextAction: Disconnected},
		{name: "final answer is due", trigger: func(f *fixture, request *Request) {
			f.expireTimeout(request)
		}, nextAction: Reject},
		{name: "server drains", trigger: notify("here", policy.Draining, 0), nextAction: Forward},
		{name: "server is removed", trigger: notify("here", policy.Removed, 0), nextAction: Forward},
		{name: "full list leaves server out", trigger: func(f *fixture, _ *Request) {
			f.dispatcher.HandleEndpoints(policy.ListFull, nil)
		}, nextAction: Forward},
		{name: "server has another address", trigger: notify("there", policy.Ready, 0), nextAction: Forward},
		{name: "server was started again", trigger: notify("here", policy.Ready, 1), nextAction: Forward},
		{name: "server is removed and comes back", trigger: func(f *fixture, _ *Request) {
			f.setEndpoint(policy.ListFull, policy.Removed)
			f.setEndpoint(policy.ListFull, policy.Ready)
		}, nextAction: Forward, isServerReusable: true},
	} {
		for _, class := range []int{0, 1} {
			t.Run(fmt.Sprint(cause.name, ", unsent, class ", class), func(t *testing.T) {
				t.Parallel()
				cause.checkUnsent(t, class)
			})
			t.Run(fmt.Sprint(cause.name, ", sending, class ", class), func(t *testing.T) {
				t.Parallel()
				cause.checkSending(t, class)
			})
		}
	}
}

func withoutCancelling(settings *policy.Settings) { settings.CanCancel = false }

// checkSending expects an attempt whose first byte has been sent to continue.
func (c *cancelCause) checkSending(t *testing.T, class int) {
	t.Helper()
	f := newFixture(t, withLongTimeouts, withoutCancelling)
	request, forward := f.forwardRequest(class, time.Hour)
	if !forward.BeginSend() {
		t.Fatal("first byte refused")
	}
	c.trigger(f, request)
	if forward.Context.Err() != nil {
		t.Fatal("cancelled after its first byte")
	}
	if forward.BeginSend() {
		t.Fatal("first byte allowed twice")
	}
}

// checkUnsent expects an attempt whose first byte has not been sent to be cancelled, and the
// request to proceed with nextAction.
func (c *cancelCause) checkUnsent(t *testing.T, class int) {
	t.Helper()
	f := newFixture(t, withLongTimeouts, withoutCancelling)
	request, forward := f.forwardRequest(class, time.Hour)
	c.trigger(f, request)
	if forward.Context.Err() == nil {
		t.Fatal("not cancelled")
	}
	if forward.BeginSend() {
		t.Fatal("first byte allowed after cancellation")
	}
	f.notifyEndpoint("s-2", "elsewhere", policy.Ready, 0)
	request.ReportResult(Result{Outcome: policy.NotSent})
	want := c.nextAction
	if want == Reject && class == 1 {
		want = Terminate // NotSent is reported after the final decision
	}
	next := f.expectAction(request, want)
	isSame := next.Server.Name == "s-1" && next.Server.Address == forward.Server.Address &&
		next.Server.Endpoint.StartedAt == forward.Server.Endpoint.StartedAt
	if next.Action == Forward && isSame && !c.isServerReusable {
		t.Errorf("forwarded to the same server again: %+v", next.Server)
	}
}

// A list that repeats an entry, or changes another server's entry, cancels nothing.
func TestAttempt_continuesWhenItsServerIsUnchanged(t *testing.T) {
	f := newFixture(t, withLongTimeouts)
	request, forward := f.forwardRequest(0, time.Hour)
	f.setEndpoint(policy.ListFull, policy.Ready)
	f.notifyEndpoint("s-2", "elsewhere", policy.Draining, 0)
	f.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	if forward.Context.Err() != nil || !forward.BeginSend() {
		t.Error("cancelled")
	}
	request.ReportResult(Result{Outcome: policy.Answered})
}

// A concurrent first byte and cancellation never both succeed.
func TestAttempt_sendAndCancelExcludeEachOther(t *testing.T) {
	f := newFixture(t, withLongTimeouts, func(d *policy.Settings) { d.CanCancel, d.HasCounter = false, false })
	for range 200 {
		request := f.admit(0, 0, time.Hour)
		forward := f.expectAction(request, Forward)
		sent := make(chan bool)
		go func() { sent <- forward.BeginSend() }()
		request.Disconnect()
		if <-sent == (forward.Context.Err() != nil) {
			t.Fatal("want either sent or cancelled")
		}
		request.ReportResult(Result{Outcome: policy.NotSent})
		f.expectAction(request, Disconnected)
	}
}

// A request whose client disconnects while no attempt is in flight gets no attempt, whether it
// waits for the counter, for a server, or for a retry.
func TestRequest_noAttemptAfterDisconnect(t *testing.T) {
	for name, arrange := range map[string]func(f *fixture) *Request{
		"waits for the counter": func(f *fixture) *Request { return f.admit(0, 0, time.Hour) },
		"waits for a server": func(f *fixture) *Request {
			f.setEndpoint(policy.ListFull, policy.Draining)
			request := f.admit(0, 0, time.Hour)
			(<-f.counterCalls).reply(0, policy.Answered)
			return request
		},
		"waits for a retry": func(f *fixture) *Request {
			request, forward := f.forwardRequest(0, time.Hour)
			f.setEndpoint(policy.ListFull, policy.Draining)
			forward.BeginSend()
			request.ReportResult(Result{Outcome: policy.Rejected})
			return request
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, withLongTimeouts)
			request := arrange(f)
			request.Disconnect()
			f.setEndpoint(policy.ListFull, policy.Ready)
			f.expectAction(request, Disconnected)
			// When this later request gets an attempt, the earlier one has been considered as well.
			other := f.admit(0, 0, time.Hour)
			fakes.Eventually(t, "an attempt", func() bool {
				for len(f.counterCalls) > 0 {
					(<-f.counterCalls).reply(0, policy.Answered)
				}
				return len(other.decisions) > 0
			})
			// Longer than the 20 ms after which waiting requests try again to get a server.
			time.Sleep(25 * time.Millisecond)
			if len(request.decisions) != 0 || len(f.dispatcher.requests) != 1 {
				t.Errorf("%d more decisions, %d requests in flight", len(request.decisions), len(f.dispatcher.requests))
			}
		})
	}
}

// A retry of a keyed request must be written completely before the dedup window ends, so its write
// deadline is the end of the window.
func TestWriteDeadline_retryOfKeyedRequestEndsWithWindow(t *testing.T) {
	const window = time.Minute
	f := newFixture(t, withLongTimeouts, func(d *policy.Settings) {
		d.Classes[0].Effect, d.Classes[0].DedupWindow = policy.Keyed, window
	})
	f.notifyEndpoint("s-2", "elsewhere", policy.Ready, 0)
	before := time.Now()
	request, forward := f.forwardRequest(0, time.Hour)
	if !forward.WriteDeadline.Equal(forward.Deadline) {
		t.Errorf("first attempt: write deadline %v, want %v", forward.WriteDeadline, forward.Deadline)
	}
	forward.BeginSend()
	after := time.Now()
	// The window of the third attempt also starts with the first attempt.
	for _, outcome := range []policy.Outcome{policy.Reset, policy.Rejected} {
		request.ReportResult(Result{Outcome: outcome})
		forward = f.expectAction(request, Forward)
		if forward.WriteDeadline.Before(before.Add(window)) || forward.WriteDeadline.After(after.Add(window)) {
			t.Errorf("write deadline %v, after the first %v", forward.WriteDeadline, forward.WriteDeadline.Sub(before))
		}
	}
}

// An attempt that certainly never ran does not start a dedup window.
func TestWriteDeadline_attemptThatNeverRanStartsNoWindow(t *testing.T) {
	f := newFixture(t, withLongTimeouts, func(d *policy.Settings) {
		d.Classes[0].Effect, d.Classes[0].DedupWindow = policy.Keyed, time.Minute
	})
	f.notifyEndpoint("s-2", "elsewhere", policy.Ready, 0)
	request, _ := f.forwardRequest(0, time.Hour)
	request.ReportResult(Result{Outcome: policy.ConnectFailed})
	if forward := f.expectAction(request, Forward); !forward.WriteDeadline.Equal(forward.Deadline) {
		t.Errorf("write deadline %v", forward.WriteDeadline)
	}
}

// The dispatcher never blocks on the goroutine that handles a request: an unread decision and the
// final one fit into the channel.
func TestDispatcher_neverBlocksOnUnreadDecisions(t *testing.T) {
	f := newFixture(t, withLongTimeouts)
	request, _ := f.forwardRequest(0, time.Hour)
	f.notifyEndpoint("s-2", "elsewhere", policy.Ready, 0)
	f.notifyEndpoint("s-1", "here", policy.Draining, 0)
	request.ReportResult(Result{Outcome: policy.NotSent})
	f.expireTimeout(request) // forwarded again, then rejected before that decision is read
	request.Disconnect()
	second := f.expectAction(request, Forward)
	if second.BeginSend() {
		t.Error("first byte allowed after the final decision")
	}
	request.ReportResult(Result{Outcome: policy.NotSent})
	f.expectAction(request, Reject)
	if len(request.decisions) != 0 || len(f.dispatcher.requests) != 0 {
		t.Errorf("%d more decisions, %d requests in flight", len(request.decisions), len(f.dispatcher.requests))
	}
}
