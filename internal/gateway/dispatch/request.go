package dispatch

import (
	"time"

	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/policy"
)

// maxUnreadDecisions is the maximum number of unread decisions of a request: an attempt and the
// final decision. It is the capacity of the request's channel, so the dispatcher never blocks on
// the goroutine that handles the request.
const maxUnreadDecisions = 2

// RequestSpec describes a client's request.
type RequestSpec struct {
	Class, Plan  int // indexes in the settings
	FirstGateway int // index of the first gateway that serves the customer
	GatewayCount int // number of gateways that serve the customer
	Customer     uint64
	Units        float64
	Timeout      time.Duration // from the call of Admit
	Repeat       bool          // the client states that it has sent the request before
	// Presence returns the presence of the client; nil: it is always connected. It is called with
	// the dispatcher's lock held, and must not call the dispatcher.
	Presence func() policy.Presence
}

// Request is a request in flight. One goroutine handles it, by calling Next and ReportResult;
// Disconnect and Abort may be called from any goroutine.
type Request struct {
	dispatcher *Dispatcher
	id         uint32
	units      float64
	isRepeat   bool
	decisions  chan Decision
	completed  bool // the request is answered or its final decision is made

	attempts    int           // number of attempts so far
	current     *attempt      // the latest attempt; nil: none yet
	serverID    uint32        // server of the latest attempt
	zone        int           // zone of that server
	attemptedAt time.Duration // start of the latest attempt

	tracker    *account.RequestTracker // accounts the debts of the request; nil: none are accounted
	assignment *CountAssignment        // nil: the request counts under its customer only
}

// Admit starts handling a request. The caller must call Next until it returns a final decision or
// the server's answer is reported.
func (d *Dispatcher) Admit(spec RequestSpec) *Request {
	now := d.lock()
	defer d.unlock()
	d.refreshSteering(now)
	d.lastRequestID++
	request := &Request{
		dispatcher: d, id: d.lastRequestID, units: spec.Units, isRepeat: spec.Repeat,
		decisions: make(chan Decision, maxUnreadDecisions),
	}
	if d.rejectIfShed(request) {
		return request
	}
	d.requests[request.id] = request
	policyRequest := policy.Request{
		ID: request.id, Class: spec.Class, Plan: spec.Plan, Customer: spec.Customer, FirstGateway: spec.FirstGateway,
		GatewayCount: spec.GatewayCount, Units: spec.Units, Deadline: now + spec.Timeout, Repeat: spec.Repeat,
		Presence: spec.Presence,
	}
	request.tracker = d.accounts.TrackRequest(now, policyRequest)
	policyRequest.PreferredOwner = request.tracker.PreferredPartner()
	if d.rules != nil {
		d.admitByRules(now, request, spec, policyRequest)
		return request
	}
	d.module.HandleRequest(now, policyRequest)
	return request
}

// Next blocks until the next decision and returns it.
func (r *Request) Next() Decision { return <-r.decisions }

// ReportResult reports the result of the attempt that Next returned last. After an answer no
// further decision is made.
func (r *Request) ReportResult(result Result) {
	dispatcher := r.dispatcher
	now := dispatcher.lock()
	defer dispatcher.unlock()
	r.current.abandon()
	r.tracker.OnAttemptEnd(now, result.Outcome, result.ActualUnits)
	if dispatcher.recorder != nil {
		dispatcher.recorder.AddResult(now, r.zone, r.serverID, result.Outcome, now-r.attemptedAt)
	}
	if r.assignment != nil {
		result = r.assignment.applyWeight(result)
	}
	if result.Outcome == policy.Answered && !r.completed {
		r.complete()
	}
	dispatcher.module.HandleAttemptResult(now, policy.AttemptResult{
		RequestID:   r.id,
		Attempt:     r.attempts - 1,
		Server:      r.serverID,
		Outcome:     result.Outcome,
		Latency:     now - r.attemptedAt,
		Final:       r.completed,
		ActualUnits: result.ActualUnits,
		Usage:       result.Usage,
		LoadReport:  dispatcher.checkedLoadReport(result.LoadReport),
	})
}

// Disconnect reports that the client has disconnected. After the final decision, or if called
// again, it does nothing.
func (r *Request) Disconnect() {
	now := r.dispatcher.lock()
	defer r.dispatcher.unlock()
	if !r.completed {
		r.finish(Decision{Action: Disconnected})
		r.dispatcher.module.HandleDisconnect(now, r.id)
	}
}

// Abort terminates the request and abandons its attempt, whose result must still be reported. The
// decision module handles it like a disconnect. The listener calls it shortly before the process is
// killed. After the final decision it does nothing.
func (r *Request) Abort() {
	now := r.dispatcher.lock()
	defer r.dispatcher.unlock()
	if r.completed {
		return
	}
	r.finish(Decision{Action: Terminate})
	r.dispatcher.module.HandleDisconnect(now, r.id)
	if r.current != nil {
		r.current.abandon()
	}
}

// finish completes the request with a final decision.
func (r *Request) finish(decision Decision) {
	r.complete()
	r.current.cancelUnsent()
	r.tracker.OnRequestEnd(decision.Action == Disconnected)
	r.decisions <- decision
}

// complete marks the request as completed and removes it from the requests that the decision module
// may still refer to.
func (r *Request) complete() {
	r.completed = true
	delete(r.dispatcher.requests, r.id)
	if r.assignment != nil && r.assignment.Completed != nil {
		r.assignment.Completed(r.attempts > 0, r.assignment.actualUnits)
	}
}
