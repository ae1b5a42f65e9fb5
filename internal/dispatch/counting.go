package dispatch

import (
	"time"

	"harrierhoist/policy"
)

// CountingRules says under which counts tasks fall, where that is not always their customer's. All but Wait's answer is
// called under the gate's lock and may neither wait nor call back.
type CountingRules interface {
	// WithRulePlans gives settings with the rules' own plans behind them. Shaped takes them as they are in force, and gives them
	// as clients may know them: with the rules' plans closed.
	WithRulePlans(settings policy.Settings) policy.Settings
	WithoutRulePlans(settings policy.Settings) policy.Settings
	// Assign gives the counts of a task that is taken now. It keeps them whatever holds later.
	Assign(now time.Duration, spec RequestSpec) CountAssignment
	// HandleCounterCall tells that the module calls the counter.
	HandleCounterCall()
}

// CountAssignment is how a task is counted.
type CountAssignment struct {
	Key         uint64 // stands for its customer in the module
	Plan        int
	Width       int
	Weight      float64 // of a unit
	PerCustomer bool    // counted under its customer: what a server tells of the customer's use holds
	// CheckOthers asks the other counts that the task has to pass, nil where there are none. It calls then once, from another
	// goroutine, without the gate's lock.
	CheckOthers func(then func(pass bool))
	// Completed is told once, when the task has its final answer: whether it was pushed, and its true weighted units (0: not
	// told).
	Completed func(pushed bool, units float64)

	billedUnits float64
}

// weightResult turns an outcome's units to those of the task's count.
func (a *CountAssignment) weightResult(result Result) Result {
	result.Billed *= a.Weight
	a.billedUnits = result.Billed
	if !a.PerCustomer {
		result.Use = 0
	}
	return result
}

// SetCountingRules has tasks counted as c says, from here on; called again, it takes the plans anew. An error means that nothing
// has changed.
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

// CallCounter calls the counter past the module. It neither waits nor calls back before it returns.
func (d *Dispatcher) CallCounter(name uint64, units float64, ttl time.Duration, reply func(float64, policy.Outcome)) {
	d.dependencies.Count(name, units, ttl, reply)
}

// Now is the clock that windows go by, which all gateways share.
func (d *Dispatcher) Now() time.Duration { return d.now() }

// admitByRules hands a task to the module under its count, once the other counts let it pass.
func (d *Dispatcher) admitByRules(now time.Duration, r *Request, spec RequestSpec, request policy.Request) {
	assignment := d.rules.Assign(now, spec)
	r.assignment = &assignment
	request.Customer, request.Plan, request.GatewayCount, request.Units = assignment.Key, assignment.Plan, assignment.Width, spec.Units*assignment.Weight
	if assignment.CheckOthers == nil {
		d.gateway.HandleRequest(now, request)
		return
	}
	assignment.CheckOthers(func(pass bool) {
		now := d.lock()
		defer d.unlock()
		switch {
		case r.completed: // its client has gone
		case pass && now < request.Deadline:
			d.gateway.HandleRequest(now, request)
		default:
			r.finish(Decision{Action: Reject})
		}
	})
}
