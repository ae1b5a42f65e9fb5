package gate

import (
	"time"

	"harrierhoist/policy"
)

// Counting says under which counts tasks fall, where that is not always their customer's. All but Wait's answer is
// called under the gate's lock and may neither wait nor call back.
type Counting interface {
	// Plans gives settings with the rules' own plans behind them. Shaped takes them as they are in force, and gives them
	// as clients may know them: with the rules' plans closed.
	Plans(site policy.Deployment) policy.Deployment
	Shaped(site policy.Deployment) policy.Deployment
	// Take gives the counts of a task that is taken now. It keeps them whatever holds later.
	Take(now time.Duration, t Task) Counted
	// Called tells that the module calls the counter.
	Called()
}

// Counted is how a task is counted.
type Counted struct {
	Key    uint64 // stands for its customer in the module
	Plan   int
	Width  int
	Weight float64 // of a unit
	Own    bool    // counted under its customer: what a server tells of the customer's use holds
	// Wait asks the other counts that the task has to pass, nil where there are none. It calls then once, from another
	// goroutine, without the gate's lock.
	Wait func(then func(pass bool))
	// Over is told once, when the task has its final answer: whether it was pushed, and its true weighted units (0: not
	// told).
	Over func(pushed bool, units float64)

	billed float64
}

// weigh turns an outcome's units to those of the task's count.
func (c *Counted) weigh(r Result) Result {
	r.Billed *= c.Weight
	c.billed = r.Billed
	if !c.Own {
		r.Use = 0
	}
	return r
}

// CountBy has tasks counted as c says, from here on; called again, it takes the plans anew. An error means that nothing
// has changed.
func (g *Gate) CountBy(c Counting) error {
	now := g.enter()
	defer g.leave()
	was := g.counting
	g.counting = c
	_, err := g.reshape(now, g.site)
	if err != nil {
		g.counting = was
	}
	return err
}

// Call calls the counter past the module. It neither waits nor calls back before it returns.
func (g *Gate) Call(name uint64, units float64, keep time.Duration, told func(float64, policy.Outcome)) {
	g.outside.Count(name, units, keep, told)
}

// Now is the clock that windows go by, which all gateways share.
func (g *Gate) Now() time.Duration { return g.now() }

// byRule hands a task to the module under its count, once the other counts let it pass.
func (g *Gate) byRule(now time.Duration, e *Errand, t Task, task policy.Task) {
	c := g.counting.Take(now, t)
	e.counted = &c
	task.Customer, task.Plan, task.Width, task.Units = c.Key, c.Plan, c.Width, t.Units*c.Weight
	if c.Wait == nil {
		g.module.Take(now, task)
		return
	}
	c.Wait(func(pass bool) {
		now := g.enter()
		defer g.leave()
		switch {
		case e.over: // its client has gone
		case pass && now < task.Expires:
			g.module.Take(now, task)
		default:
			e.close(Choice{Verdict: Reject})
		}
	})
}
