package clerk

import (
	"sync"
	"time"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/counting"
	"harrierhoist/internal/gate"
	"harrierhoist/policy"
)

// waitPart is the part of the soft limit that the other counts may take to answer, as the module's own check.
const waitPart = 4

// Take is for the gate: a task is counted by what holds now, and so is all that comes of it later.
func (c *Clerk) Take(now time.Duration, t gate.Task) gate.Counted {
	h, held := c.hear()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(h)
	standing := c.standing(now, held)
	if len(standing) == 0 { // no rule in force is known here: today's
		standing = []uint64{0}
	}
	first := c.fitted[standing[0]].Count(t.Customer, t.Lane, t.Plan)
	out := gate.Counted{Key: first.Key, Plan: first.Plan, Width: t.Width, Weight: first.Weight, Own: first.Version == 0}
	if first.Shared {
		out.Width = c.site.Gateways
	}
	var more []counting.Hold
	for _, v := range standing[1:] {
		n := c.fitted[v].Count(t.Customer, t.Lane, t.Plan)
		if plan := c.site.Plans[n.Plan]; n.Key != first.Key && plan.Rate > 0 {
			more = append(more, c.second.Ask(n, plan, t.Units, now))
		}
	}
	var holds *holds
	if len(more) > 0 {
		holds = c.hold(more, t, first.Weight)
		out.Wait = holds.ask
	}
	played := c.play != nil && c.play.Played(t.Customer)
	if played {
		c.play.Earn(c.calls)
		c.calls = 0
		c.send(c.play.Take(now, canary.Task{Customer: t.Customer, Lane: t.Lane, Plan: t.Plan, Units: t.Units}))
	}
	if played || holds != nil {
		out.Over = func(pushed bool, units float64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if played && c.play != nil {
				c.play.Real(first.Version, t.Units, pushed)
			}
			if holds != nil {
				holds.over(pushed, units)
			}
		}
	}
	return out
}

// send makes the play's calls. An answer may come once the play is over; it is not heard then.
func (c *Clerk) send(calls []canary.Call) {
	play := c.play
	for _, call := range calls {
		c.count(call.Name, call.Units, call.Keep, func(total float64, how policy.Outcome) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if more := play.Told(c.gate.Now(), call.ID, total, how == policy.Answered); play == c.play {
				c.send(more)
			}
		})
	}
}

// holds are a task's units at the counts that it has to pass beside the module's.
type holds struct {
	*Clerk
	all    []counting.Hold
	within time.Duration
	weight float64 // by which the module counts: true units come multiplied by it

	// These are under the clerk's lock.
	then   func(bool)
	open   int
	pass   bool
	ended  bool // the task is over
	pushed bool
	units  float64
	added  []counting.Added // by hold
	passed []bool
}

func (c *Clerk) hold(all []counting.Hold, t gate.Task, weight float64) *holds {
	within := c.site.Lanes[t.Lane].SoftLimit / waitPart
	return &holds{Clerk: c, all: all, within: within, weight: weight, open: len(all), pass: true,
		added: make([]counting.Added, len(all)), passed: make([]bool, len(all))}
}

// ask has the counts asked; a count that does not answer in time goes by this process's own share.
func (h *holds) ask(then func(pass bool)) {
	h.then = then
	for i := range h.all {
		var once sync.Once
		late := time.AfterFunc(h.within, func() { once.Do(func() { h.told(i, 0, false) }) })
		h.count(h.all[i].Name, h.all[i].Units, h.all[i].Keep, func(total float64, how policy.Outcome) {
			late.Stop()
			h.Clerk.mu.Lock()
			if how == policy.Answered {
				h.added[i] = counting.Yes
			} else if how != policy.TimedOut {
				h.added[i] = counting.No
			}
			h.Clerk.mu.Unlock()
			once.Do(func() { h.told(i, total, how == policy.Answered) })
		})
	}
}

func (h *holds) told(i int, total float64, read bool) {
	hold := h.all[i]
	h.Clerk.mu.Lock()
	passed, before := h.second.Told(hold, total, read)
	h.Clerk.mu.Unlock()
	if before != nil {
		h.count(before.Name, 0, before.Keep, func(total float64, how policy.Outcome) {
			if lacks := hold.Lacks(*before, total); how == policy.Answered && lacks > 0 {
				h.count(hold.Name, lacks, hold.Keep, func(float64, policy.Outcome) {})
			}
		})
	}
	h.Clerk.mu.Lock()
	h.passed[i] = passed
	h.pass = h.pass && passed
	h.open--
	last, pass := h.open == 0, h.pass
	if last && h.ended { // its client has gone meanwhile
		h.settle()
	}
	h.Clerk.mu.Unlock()
	if last {
		h.then(pass)
	}
}

// over takes word that the task has its final answer. The clerk's lock is held.
func (h *holds) over(pushed bool, units float64) {
	h.ended, h.pushed, h.units = true, pushed, units/h.weight
	if h.open == 0 {
		h.settle()
	}
}

// settle gives back what a task did not use, or charges what it used beyond. It comes once: with the last count's
// answer or with the final answer, whichever is later.
func (h *holds) settle() {
	for i, hold := range h.all {
		used := 0.0
		if h.pushed {
			used = hold.Units
			if h.units > 0 {
				used = hold.Weight * h.units
			}
		}
		if more := h.second.Settle(hold, h.passed[i], used, h.added[i]); more != 0 {
			h.count(hold.Name, more, hold.Keep, func(float64, policy.Outcome) {})
		}
	}
}
