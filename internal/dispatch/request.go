package dispatch

import (
	"context"
	"time"

	"harrierhoist/internal/settlement/account"
	"harrierhoist/policy"
)

// RequestSpec is what a client asks; Patience counts from now.
type RequestSpec struct {
	Class, Plan, FirstGateway, GatewayCount int

	Customer uint64
	Units    float64
	Timeout  time.Duration
	Repeat   bool
}

// Result tells how a push ended.
type Result struct {
	Outcome    policy.Outcome
	Billed     float64 // true units; 0: not told
	Use        float64 // 1 + the part of its rate that the customer used of late; 0: not told
	LoadReport []float32
}

// Action is what is to be done with a task.
type Action uint8

// The verdicts. All but Push are final.
const (
	Forward Action = iota
	Reject
	Terminate
	Disconnected // its client has gone: no answer is owed
)

// Decision is a verdict and what goes with it.
type Decision struct {
	Action        Action
	Server        Server
	Deadline      time.Time       // a push that has no answer by then is given up
	WriteDeadline time.Time       // and one that is not written whole by then must not be; at most Until
	Context       context.Context // ends when the push is to be given up at once
	Begin         func() bool     // asked once, right before the first byte: it goes out only on a yes
	RetryAfter    time.Duration   // a rejected client is to stay away so long
}

// Request is a task on its way, carried by one goroutine.
type Request struct {
	dispatcher  *Dispatcher
	id          uint32
	decisions   chan Decision
	attempts    int
	server      uint32
	zone        int // of that server
	attemptedAt time.Duration
	current     *attempt // the latest; nil: none yet
	units       float64
	completed   bool
	repeat      bool                    // the client says that it asks again
	claim       *account.RequestTracker // what it owes; nil: nothing is kept of it
	assignment  *CountAssignment        // nil: under its customer alone
}

// Admit takes a task. It is carried by calling Pick until that is final.
func (d *Dispatcher) Admit(spec RequestSpec) *Request {
	now := d.lock()
	defer d.unlock()
	d.refreshSteering(now)
	d.lastRequestID++
	r := &Request{dispatcher: d, id: d.lastRequestID, units: spec.Units, repeat: spec.Repeat,
		decisions: make(chan Decision, 2)} // a push and what is final
	if d.shedRequest(r, spec.Repeat) {
		return r
	}
	d.requests[r.id] = r
	request := policy.Request{ID: r.id, Class: spec.Class, Plan: spec.Plan, Customer: spec.Customer, FirstGateway: spec.FirstGateway,
		GatewayCount: spec.GatewayCount, Units: spec.Units, Deadline: now + spec.Timeout, Repeat: spec.Repeat}
	r.claim = d.account.TrackRequest(now, request)
	request.PreferOwner = r.claim.PreferredPartner()
	if d.rules != nil {
		d.admitByRules(now, r, spec, request)
		return r
	}
	d.gateway.HandleRequest(now, request)
	return r
}

// Next waits for what is to be done with the task.
func (r *Request) Next() Decision { return <-r.decisions }

// ReportResult tells how the push ended that was picked last. After an answer there is nothing more to pick.
func (r *Request) ReportResult(result Result) {
	now := r.dispatcher.lock()
	defer r.dispatcher.unlock()
	r.current.abandon()
	r.claim.OnAttemptEnd(now, result.Outcome, result.Billed)
	if recorder := r.dispatcher.dependencies.Recorder; recorder != nil {
		recorder.AddResult(now, r.zone, r.server, result.Outcome, now-r.attemptedAt)
	}
	if r.assignment != nil {
		result = r.assignment.weightResult(result)
	}
	if result.Outcome == policy.Answered && !r.completed { // else its end was told when the final answer was given
		r.complete()
	}
	r.dispatcher.gateway.HandleAttemptResult(now, policy.AttemptResult{RequestID: r.id, Attempt: r.attempts - 1, Server: r.server, Outcome: result.Outcome,
		Latency: now - r.attemptedAt, Final: r.completed, ActualUnits: result.Billed, Usage: result.Use, LoadReport: r.dispatcher.checkedLoadReport(result.LoadReport)})
}

// Disconnect tells that the client has gone.
func (r *Request) Disconnect() {
	now := r.dispatcher.lock()
	defer r.dispatcher.unlock()
	if !r.completed {
		r.finish(Decision{Action: Disconnected})
		r.dispatcher.gateway.HandleDisconnect(now, r.id)
	}
}

func (r *Request) complete() {
	r.completed = true
	delete(r.dispatcher.requests, r.id)
	if r.assignment != nil && r.assignment.Completed != nil {
		r.assignment.Completed(r.attempts > 0, r.assignment.billedUnits)
	}
}

func (r *Request) finish(decision Decision) {
	r.complete()
	r.current.cancelUnbegun()
	r.claim.OnRequestEnd(decision.Action == Disconnected)
	r.decisions <- decision
}

// checkedLoadReport makes a report as long as the module expects it.
func (d *Dispatcher) checkedLoadReport(report []float32) []float32 {
	if len(report) != d.loadReportLength {
		return nil
	}
	return report
}
