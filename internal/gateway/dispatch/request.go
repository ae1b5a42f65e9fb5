package dispatch

import (
	"time"

	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/policy"
)

// maxUnreadDecisions is how many decisions of a request can wait to be read: an attempt and the
// final one. The dispatcher never waits for the goroutine that carries the request.
const maxUnreadDecisions = 2

// RequestSpec is what a client requests.
type RequestSpec struct {
	Class, Plan  int // numbers in the settings
	FirstGateway int // number of the first gateway of the customer's set
	GatewayCount int // number of gateways in it
	Customer     uint64
	Units        float64
	Timeout      time.Duration // from now
	Repeat       bool          // the client says that it asks again
}

// Request is a request in flight. One goroutine carries it.
type Request struct {
	dispatcher *Dispatcher
	id         uint32
	units      float64
	isRepeat   bool
	decisions  chan Decision
	completed  bool // its final decision is made

	attempts    int
	current     *attempt // the latest; nil: none yet
	server      uint32   // of the latest, as its zone and start
	zone        int
	attemptedAt time.Duration

	tracker    *account.RequestTracker // of what it owes; nil: nothing is kept of it
	assignment *CountAssignment        // nil: it counts under its customer alone
}

// Admit takes a request. Its caller carries it by calling Next until the decision is final.
func (d *Dispatcher) Admit(spec RequestSpec) *Request {
	now := d.lock()
	defer d.unlock()
	d.refreshSteering(now)
	d.lastRequestID++
	request := &Request{
		dispatcher: d, id: d.lastRequestID, units: spec.Units, isRepeat: spec.Repeat,
		decisions: make(chan Decision, maxUnreadDecisions),
	}
	if d.shedRequest(request) {
		return request
	}
	d.requests[request.id] = request
	asked := policy.Request{
		ID: request.id, Class: spec.Class, Plan: spec.Plan, Customer: spec.Customer, FirstGateway: spec.FirstGateway,
		GatewayCount: spec.GatewayCount, Units: spec.Units, Deadline: now + spec.Timeout, Repeat: spec.Repeat,
	}
	request.tracker = d.accounts.TrackRequest(now, asked)
	asked.PreferredOwner = request.tracker.PreferredPartner()
	if d.rules != nil {
		d.admitByRules(now, request, spec, asked)
		return request
	}
	d.module.HandleRequest(now, asked)
	return request
}

// Next waits for the next decision.
func (r *Request) Next() Decision { return <-r.decisions }

// ReportResult takes how the attempt ended that Next gave last. After an answer there is no further
// decision.
func (r *Request) ReportResult(result Result) {
	dispatcher := r.dispatcher
	now := dispatcher.lock()
	defer dispatcher.unlock()
	r.current.abandon()
	r.tracker.OnAttemptEnd(now, result.Outcome, result.ActualUnits)
	if dispatcher.recorder != nil {
		dispatcher.recorder.AddResult(now, r.zone, r.server, result.Outcome, now-r.attemptedAt)
	}
	if r.assignment != nil {
		result = r.assignment.weightResult(result)
	}
	if result.Outcome == policy.Answered && !r.completed {
		r.complete()
	}
	dispatcher.module.HandleAttemptResult(now, policy.AttemptResult{
		RequestID:   r.id,
		Attempt:     r.attempts - 1,
		Server:      r.server,
		Outcome:     result.Outcome,
		Latency:     now - r.attemptedAt,
		Final:       r.completed,
		ActualUnits: result.ActualUnits,
		Usage:       result.Usage,
		LoadReport:  dispatcher.checkedLoadReport(result.LoadReport),
	})
}

// Disconnect says that the client has gone. Called again, or after the final decision, it does
// nothing.
func (r *Request) Disconnect() {
	now := r.dispatcher.lock()
	defer r.dispatcher.unlock()
	if !r.completed {
		r.finish(Decision{Action: Disconnected})
		r.dispatcher.module.HandleDisconnect(now, r.id)
	}
}

// GiveUp terminates the request and abandons its attempt, whose outcome is still reported, as the
// process is about to be killed. After the final decision it does nothing.
func (r *Request) GiveUp() {
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

// finish completes the request by a final decision.
func (r *Request) finish(decision Decision) {
	r.complete()
	r.current.cancelUnbegun()
	r.tracker.OnRequestEnd(decision.Action == Disconnected)
	r.decisions <- decision
}

// complete removes the request from those that the decision module may still refer to.
func (r *Request) complete() {
	r.completed = true
	delete(r.dispatcher.requests, r.id)
	if r.assignment != nil && r.assignment.Completed != nil {
		r.assignment.Completed(r.attempts > 0, r.assignment.actualUnits)
	}
}
