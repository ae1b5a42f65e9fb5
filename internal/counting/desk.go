package counting

import (
	"time"

	"harrierhoist/policy"
)

const ( // as the module has them, so that both count under the same names (a test holds them together)
	windowFills = 2.0
	windowLeast = time.Second
	keepMost    = 60 * time.Second
)

const rounding = 1e-9 // units: sums of parts come out a little off

// Window is a stretch of time in which a count goes by one name.
type Window struct {
	Name  uint64        // at the counter
	Start time.Duration // on the clock that windows go by
	Keep  time.Duration // how long the counter is to keep the name
	Nth   int64
}

// At gives the window of a key that a time falls in, under a plan's rate and burst: the module's own.
func At(key uint64, plan *policy.Plan, at time.Duration) Window {
	length := time.Duration(windowFills * plan.Burst / plan.Rate * float64(time.Second))
	length = min(max(length, windowLeast), keepMost/2)
	offset := time.Duration(hash(key, 0) % uint64(length))
	nth := int64((at + offset) / length)
	return Window{hash(key, nth), time.Duration(nth)*length - offset, min(max(2*length, windowLeast), keepMost), nth}
}

// hash is the module's hash of customer and window.
func hash(customer uint64, window int64) uint64 {
	x := (customer*0x9e3779b97f4a7c15 + uint64(window)) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}

// Room is what a count has left at a time, by its total in the window without the task that asks: weighted units.
func Room(plan *policy.Plan, w Window, at time.Duration, total float64) float64 {
	return max(min(plan.Burst+plan.Rate*(at-w.Start).Seconds()-total, plan.Burst), 0)
}

// Second is the desk of the counts that a task has to pass beside the module's own: it takes the units with the
// question, so that what two processes ask at once passes no limit, and gives back what was not used. It guards the
// limit of a rule that may be in force unknown to us. Harm: what waits for its answer is held as used.
type Second struct {
	share float64 // of a limit that this process uses where the counter does not answer
	used  map[uint64]own
	swept time.Duration
}

// own is what this process took from a name.
type own struct {
	units float64
	until time.Duration
}

// NewSecond makes a desk; a fleet of so many gateways shares each count.
func NewSecond(gateways int) *Second {
	return &Second{share: 1 / float64(max(gateways, 1)), used: map[uint64]own{}}
}

// Hold is one task's units at one count. Its units go back, all or in part, by Settle.
type Hold struct {
	Window
	Units  float64 // weighted
	Weight float64
	plan   policy.Plan
	at     time.Duration
}

// Ask gives the hold whose units are to be added to the count now.
func (s *Second) Ask(c Count, plan policy.Plan, units float64, at time.Duration) Hold {
	if at > s.swept+keepMost {
		s.swept = at
		for name, o := range s.used {
			if o.until < at {
				delete(s.used, name)
			}
		}
	}
	return Hold{At(c.Key, &plan, at), units * c.Weight, c.Weight, plan, at}
}

// Told takes the counter's answer (read false: none came in time) and tells whether the task passes.
func (s *Second) Told(h Hold, total float64, read bool) bool {
	o, most := s.used[h.Name], h.plan.Burst+h.plan.Rate*(h.at-h.Start).Seconds()
	pass := o.units+h.Units <= most*s.share
	if read {
		pass = Room(&h.plan, h.Window, h.at, total-h.Units) >= h.Units-rounding
	}
	if pass {
		s.used[h.Name] = own{o.units + h.Units, h.at + h.Keep}
	}
	return pass
}

// Added is whether a hold's units stand in its count.
type Added uint8

// What can be known of that.
const (
	Unknown Added = iota // no answer yet, or the connection was lost
	Yes
	No
)

// Settle gives what is to be added to the hold's count once the task is over, by the weighted units that it used. What
// may not have been added is not taken off again: a count too high rejects, one too low passes a limit.
func (h Hold) Settle(used float64, added Added) float64 {
	switch added {
	case Yes:
		return used - h.Units
	case No:
		return used
	}
	return max(used-h.Units, 0)
}
