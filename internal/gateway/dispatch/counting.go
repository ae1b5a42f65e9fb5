package dispatch

import (
	"time"

	"harrierhoist/policy"
)

// CountingRules decide which count each request is charged to, which may be another one than its
// customer's. All methods are called with the dispatcher's lock held. They must not block, and must
// not call methods of the dispatcher that acquire its lock.
type CountingRules interface {
	// WithRulePlans returns settings with the rules' own plans appended.
	WithRulePlans(settings policy.Settings) policy.Settings
	// ApplySettings is called with the settings that have come into force. It returns them as
	// clients may see them: with the rules' plans retired.
	ApplySettings(settings policy.Settings) policy.Settings
	// Assign returns the counts of a new request. The request keeps them even if another rule comes
	// into force before it completes.
	Assign(now time.Duration, spec RequestSpec) CountAssignment
	// HandleCounterCall is called for each call that the decision module makes to the counter.
	HandleCounterCall()
}

// CountAssignment states how a request is counted.
type CountAssignment struct {
	Key          uint64  // number of the count; the module gets it as the customer
	Plan         int     // index of the plan in the settings
	GatewayCount int     // number of gateways that admit requests under the key
	Weight       float64 // units charged per unit of the request
	PerCustomer  bool    // the request counts under its customer, so Result.Usage applies
	// CheckOtherCounts checks the other counts that must admit the request; nil: there are none. It
	// calls done once, from another goroutine and without the dispatcher's lock.
	CheckOtherCounts func(done func(admitted bool))
	// Completed is called once, with the dispatcher's lock held, when the request completes; nil:
	// it is not called. forwarded reports whether an attempt was made. units are the actual units
	// times Weight; 0: not reported.
	Completed func(forwarded bool, units float64)

	actualUnits float64 // of the latest result, times Weight
}

// applyWeight multiplies the result's units by the weight and records them. It clears the usage
// unless the request counts under its customer.
func (a *CountAssignment) applyWeight(result Result) Result {
	result.ActualUnits *= a.Weight
	a.actualUnits = result.ActualUnits
	if !a.PerCustomer {
		result.Usage = 0
	}
	return result
}

// SetCountingRules makes the dispatcher count new requests by rules. Calling it again with the same
// rules updates their plans. If it returns an error, nothing has changed.
func (d *Dispatcher) SetCountingRules(rules CountingRules) error {
	now := d.lock()
	defer d.unlock()
	previous := d.rules
	d.rules = rules
	_, err := d.reconfigure(now, d.settings)
	if err != nil {
		d.rules = previous
	}
	return err
}

// CallCounter calls the counter without the decision module; the parameters are those of
// Dependencies.Count. It does not block, and does not call reply before it returns.
func (d *Dispatcher) CallCounter(
	name uint64, units float64, ttl time.Duration, reply func(total float64, outcome policy.Outcome),
) {
	d.dependencies.Count(name, units, ttl, reply)
}

// isLateReply reports whether a reply took longer than Settings.LateCountAfter. The call is then
// recorded as late, but the reply is still used: the timeout does not end the wait for it.
func (d *Dispatcher) isLateReply(latency time.Duration) bool {
	return d.lateReplyAfter > 0 && latency > d.lateReplyAfter
}

// handleCounterReply handles the counter's reply to a call of the decision module.
func (d *Dispatcher) handleCounterReply(now time.Duration, call *counterCall, total float64, outcome policy.Outcome) {
	latency := now - call.startedAt
	if d.recorder != nil {
		d.recorder.AddCounterCall(outcome != policy.Answered || d.isLateReply(latency))
	}
	reply := policy.CountResult{Name: call.name, Total: total, Latency: latency, Outcome: outcome}
	d.counterCalls.complete(call, reply, func(reply policy.CountResult) { d.module.HandleCount(d.clock.now(), reply) })
}

// admitByRules passes a request to the decision module under its assigned count, after its other
// counts have admitted it.
func (d *Dispatcher) admitByRules(now time.Duration, request *Request, spec RequestSpec, policyRequest policy.Request) {
	assignment := d.rules.Assign(now, spec)
	request.assignment = &assignment
	policyRequest.Customer = assignment.Key
	policyRequest.Plan = assignment.Plan
	policyRequest.GatewayCount = assignment.GatewayCount
	policyRequest.Units = spec.Units * assignment.Weight
	if assignment.CheckOtherCounts == nil {
		d.module.HandleRequest(now, policyRequest)
		return
	}
	assignment.CheckOtherCounts(func(admitted bool) {
		now := d.lock()
		defer d.unlock()
		switch {
		case request.completed: // completed during the check, for example by a disconnect
		case admitted && now < policyRequest.Deadline:
			d.module.HandleRequest(now, policyRequest)
		default:
			request.finish(Decision{Action: Reject})
		}
	})
}
