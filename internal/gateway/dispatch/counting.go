package dispatch

import (
	"time"

	"harrierhoist/policy"
)

// CountingRules say under which counts requests fall, where that is not always their customer's.
// All methods are called under the dispatcher's lock and may neither wait nor call back.
type CountingRules interface {
	// WithRulePlans gives settings with the rules' own plans behind them. WithoutRulePlans takes
	// them as they are in force, and gives them as clients may know them: with the rules' plans
	// retired.
	WithRulePlans(settings policy.Settings) policy.Settings
	WithoutRulePlans(settings policy.Settings) policy.Settings
	// Assign gives the counts of a request that comes in now. The request keeps them, whichever
	// rule is in force later.
	Assign(now time.Duration, spec RequestSpec) CountAssignment
	// HandleCounterCall is called at each call of the decision module to the counter.
	HandleCounterCall()
}

// CountAssignment is how a request is counted.
type CountAssignment struct {
	Key          uint64 // in place of its customer
	Plan         int
	GatewayCount int
	Weight       float64 // of a unit
	PerCustomer  bool    // counted under its customer: the use that servers report counts
	// CheckOthers asks the other counts that the request has to pass, nil where there are none. It
	// calls the function given to it once, from another goroutine, without the dispatcher's lock.
	CheckOthers func(then func(pass bool))
	// Completed is called once, when the request has its final answer: whether it was forwarded,
	// and its true weighted units (0: not reported).
	Completed func(forwarded bool, units float64)

	actualUnits float64
}

// weightResult turns a result's units into those of the request's count.
func (a *CountAssignment) weightResult(result Result) Result {
	result.ActualUnits *= a.Weight
	a.actualUnits = result.ActualUnits
	if !a.PerCustomer {
		result.Usage = 0
	}
	return result
}

// SetCountingRules has requests counted by rules from here on; called again, it takes their plans
// anew. An error means that nothing has changed.
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

// CallCounter calls the counter past the decision module. It neither waits nor calls back before it
// returns.
func (d *Dispatcher) CallCounter(
	name uint64, units float64, ttl time.Duration, reply func(total float64, outcome policy.Outcome),
) {
	d.dependencies.Count(name, units, ttl, reply)
}

// isLateReply decides whether a call to the counter is recorded as late though it was answered: its
// reply took longer than Settings.CountTimeout. It ends no wait: the reply is used all the same.
func (d *Dispatcher) isLateReply(latency time.Duration) bool {
	return d.lateReplyAfter > 0 && latency > d.lateReplyAfter
}

// handleCounterReply takes the counter's reply to a call of the decision module.
func (d *Dispatcher) handleCounterReply(now time.Duration, call *counterCall, total float64, outcome policy.Outcome) {
	latency := now - call.startedAt
	if d.recorder != nil {
		d.recorder.AddCounterCall(outcome != policy.Answered || d.isLateReply(latency))
	}
	reply := policy.CountResult{Name: call.name, Total: total, Latency: latency, Outcome: outcome}
	d.counterCalls.complete(call, reply, func(reply policy.CountResult) { d.module.HandleCount(d.clock.now(), reply) })
}

// admitByRules hands a request to the decision module under its count, once the other counts let it
// pass.
func (d *Dispatcher) admitByRules(now time.Duration, request *Request, spec RequestSpec, asked policy.Request) {
	assignment := d.rules.Assign(now, spec)
	request.assignment = &assignment
	asked.Customer = assignment.Key
	asked.Plan = assignment.Plan
	asked.GatewayCount = assignment.GatewayCount
	asked.Units = spec.Units * assignment.Weight
	if assignment.CheckOthers == nil {
		d.module.HandleRequest(now, asked)
		return
	}
	assignment.CheckOthers(func(pass bool) {
		now := d.lock()
		defer d.unlock()
		switch {
		case request.completed: // its client has gone
		case pass && now < asked.Deadline:
			d.module.HandleRequest(now, asked)
		default:
			request.finish(Decision{Action: Reject})
		}
	})
}
