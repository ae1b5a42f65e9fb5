package dispatch

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// notifyEndpoint has discovery tell one server's entry.
func (f *fixture) notifyEndpoint(name, address string, stage policy.EndpointState, since time.Duration) {
	f.dispatcher.HandleEndpoints(policy.ListDelta, []Server{{Name: name, Address: address, Endpoint: policy.Endpoint{State: stage, StartedAt: since}}})
}

// What takes an attempt's reason away calls it off at once while nothing of it was written, and leaves it as it is from
// its first byte on, where nothing may be given up. It was asked of nobody: the module only marked the task as over.
func TestAttempt_cancelledUntilFirstByteOnly(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(f *fixture, r *Request)
		next    Action // of an attempt that was called off
	}{
		"the client goes":         {func(_ *fixture, r *Request) { r.Disconnect() }, Disconnected},
		"the final answer is due": {func(f *fixture, r *Request) { f.expire(r) }, Reject},
		"the server drains":       {func(f *fixture, _ *Request) { f.notifyEndpoint("s-1", "here", policy.Draining, 0) }, Forward},
		"the server is gone":      {func(f *fixture, _ *Request) { f.notifyEndpoint("s-1", "here", policy.Removed, 0) }, Forward},
		"a whole list leaves it":  {func(f *fixture, _ *Request) { f.dispatcher.HandleEndpoints(policy.ListFull, nil) }, Forward},
		"it moves":                {func(f *fixture, _ *Request) { f.notifyEndpoint("s-1", "there", policy.Ready, 0) }, Forward},
		"it is in a new life":     {func(f *fixture, _ *Request) { f.notifyEndpoint("s-1", "here", policy.Ready, 1) }, Forward},
		"it drains and comes again": {func(f *fixture, r *Request) {
			f.setEndpoint(policy.ListFull, policy.Removed)
			f.setEndpoint(policy.ListFull, policy.Ready)
		}, Forward},
	} {
		for _, begun := range []bool{false, true} {
			for _, class := range []int{0, 1} {
				t.Run(fmt.Sprint(name, ", begun ", begun, ", lane ", class), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t, withLongTimeouts, func(d *policy.Settings) { d.CanCancel = false })
					r, forward := f.forwarded(class, time.Hour)
					if begun && !forward.Begin() {
						t.Fatal("it may not begin")
					}
					c.happens(f, r)
					if cancelled := forward.Context.Err() != nil; cancelled == begun {
						t.Fatalf("called off: %v", cancelled)
					}
					if forward.Begin() {
						t.Fatal("it may begin, or twice")
					}
					if begun {
						return
					}
					f.notifyEndpoint("s-2", "elsewhere", policy.Ready, 0)
					r.ReportResult(Result{Outcome: policy.NotSent})
					want := c.next
					if want == Reject && class == 1 {
						want = Terminate // that it was called off came after the final answer
					}
					if got := f.expectAction(r, want); c.next == Forward && got.Server.Name == "s-1" && got.Server.Address == forward.Server.Address &&
						got.Server.Endpoint.StartedAt == forward.Server.Endpoint.StartedAt && name != "it drains and comes again" {
						t.Errorf("and sent there again: %+v", got.Server)
					}
				})
			}
		}
	}
}

// A list that says the same of a server, or something of another, calls nothing off.
func TestAttempt_continuesWhenItsServerIsUnchanged(t *testing.T) {
	f := newFixture(t, withLongTimeouts)
	r, forward := f.forwarded(0, time.Hour)
	f.setEndpoint(policy.ListFull, policy.Ready)
	f.notifyEndpoint("s-2", "elsewhere", policy.Draining, 0)
	f.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	if forward.Context.Err() != nil || !forward.Begin() {
		t.Error("called off")
	}
	r.ReportResult(Result{Outcome: policy.Answered})
}

// A first byte and a call off that come in the same moment never both happen.
func TestAttempt_beginAndCancelExcludeEachOther(t *testing.T) {
	f := newFixture(t, withLongTimeouts, func(d *policy.Settings) { d.CanCancel, d.HasCounter = false, false })
	for range 200 {
		r := f.admit(0, 0, time.Hour)
		forward := f.expectAction(r, Forward)
		began := make(chan bool)
		go func() { began <- forward.Begin() }()
		r.Disconnect()
		if <-began == (forward.Context.Err() != nil) {
			t.Fatalf("begun and called off alike")
		}
		r.ReportResult(Result{Outcome: policy.NotSent})
		f.expectAction(r, Disconnected)
	}
}

// A task whose client goes while no attempt is out gets none: it waits for the counter, for a server, or for the next
// try.
func TestRequest_noAttemptAfterDisconnect(t *testing.T) {
	for name, bring := range map[string]func(f *fixture) *Request{
		"a counter total": func(f *fixture) *Request { return f.admit(0, 0, time.Hour) },
		"a server": func(f *fixture) *Request {
			f.setEndpoint(policy.ListFull, policy.Draining)
			r := f.admit(0, 0, time.Hour)
			(<-f.counterCalls).reply(0, policy.Answered)
			return r
		},
		"a retry": func(f *fixture) *Request {
			r, forward := f.forwarded(0, time.Hour)
			f.setEndpoint(policy.ListFull, policy.Draining)
			forward.Begin()
			r.ReportResult(Result{Outcome: policy.Rejected})
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, withLongTimeouts)
			r := bring(f)
			r.Disconnect()
			f.setEndpoint(policy.ListFull, policy.Ready)
			f.expectAction(r, Disconnected)
			other := f.admit(0, 0, time.Hour) // the waits of before are over once this one has had its turn
			fakes.Eventually(t, "a push", func() bool {
				for len(f.counterCalls) > 0 {
					(<-f.counterCalls).reply(0, policy.Answered)
				}
				return len(other.decisions) > 0
			})
			time.Sleep(25 * time.Millisecond)
			if len(r.decisions) != 0 || len(f.dispatcher.requests) != 1 {
				t.Errorf("%d choices more, %d errands", len(r.decisions), len(f.dispatcher.requests))
			}
		})
	}
}

// A receipted task is repeated within its window alone, to the last byte: the time to be out by goes with the push.
func TestWriteDeadline_retryOfKeyedRequestEndsWithWindow(t *testing.T) {
	const window = time.Minute
	f := newFixture(t, withLongTimeouts, func(d *policy.Settings) {
		d.Classes[0].Effect, d.Classes[0].DedupWindow = policy.Keyed, window
	})
	f.notifyEndpoint("s-2", "elsewhere", policy.Ready, 0)
	before := time.Now()
	r, forward := f.forwarded(0, time.Hour)
	if !forward.WriteDeadline.Equal(forward.Deadline) {
		t.Errorf("the first has until %v, not %v", forward.WriteDeadline, forward.Deadline)
	}
	forward.Begin()
	after := time.Now()
	for _, outcome := range []policy.Outcome{policy.Reset, policy.Rejected} { // the third goes by the first too
		r.ReportResult(Result{Outcome: outcome})
		forward = f.expectAction(r, Forward)
		if forward.WriteDeadline.Before(before.Add(window)) || forward.WriteDeadline.After(after.Add(window)) {
			t.Errorf("out by %v, after the first %v", forward.WriteDeadline, forward.WriteDeadline.Sub(before))
		}
	}
}

// One that surely never ran bounds nothing.
func TestWriteDeadline_attemptThatNeverRanStartsNoWindow(t *testing.T) {
	f := newFixture(t, withLongTimeouts, func(d *policy.Settings) {
		d.Classes[0].Effect, d.Classes[0].DedupWindow = policy.Keyed, time.Minute
	})
	f.notifyEndpoint("s-2", "elsewhere", policy.Ready, 0)
	r, _ := f.forwarded(0, time.Hour)
	r.ReportResult(Result{Outcome: policy.ConnectFailed})
	if forward := f.expectAction(r, Forward); !forward.WriteDeadline.Equal(forward.Deadline) {
		t.Errorf("out by %v", forward.WriteDeadline)
	}
}

// Nothing that the module asks for waits for the carrier of a task: a choice not yet taken and the final answer fit.
func TestDispatcher_neverBlocksOnUnreadDecisions(t *testing.T) {
	f := newFixture(t, withLongTimeouts)
	r, _ := f.forwarded(0, time.Hour)
	f.notifyEndpoint("s-2", "elsewhere", policy.Ready, 0)
	f.notifyEndpoint("s-1", "here", policy.Draining, 0)
	r.ReportResult(Result{Outcome: policy.NotSent})
	f.expire(r) // pushed again, and rejected before anyone looked
	r.Disconnect()
	again := f.expectAction(r, Forward)
	if again.Begin() {
		t.Error("it may begin after the final answer")
	}
	r.ReportResult(Result{Outcome: policy.NotSent})
	f.expectAction(r, Reject)
	if len(r.decisions) != 0 || len(f.dispatcher.requests) != 0 {
		t.Errorf("%d choices more, %d errands", len(r.decisions), len(f.dispatcher.requests))
	}
}
