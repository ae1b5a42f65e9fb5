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
	share float64          // of a limit that this process uses where the counter does not answer
	seen  map[uint64]*seen // by key
	swept time.Duration
}

// seen is what this process knows of a key.
type seen struct {
	at   time.Duration // of the latest total
	room float64       // that it left, less what passed here since
	own  float64       // that this process's share of the limit holds
	nth  int64         // the window
}

// NewSecond makes a desk; a fleet of so many gateways shares each count.
func NewSecond(gateways int) *Second {
	return &Second{share: 1 / float64(max(gateways, 1)), seen: map[uint64]*seen{}}
}

// Hold is one task's units at one count. Its units go back, all or in part, by Settle.
type Hold struct {
	Window
	Units  float64 // weighted
	Weight float64
	key    uint64
	plan   policy.Plan
	at     time.Duration
}

// Ask gives the hold whose units are to be added to the count now.
func (s *Second) Ask(c Count, plan policy.Plan, units float64, at time.Duration) Hold {
	if at > s.swept+keepMost {
		s.swept = at
		for key, k := range s.seen {
			if k.at+keepMost < at {
				delete(s.seen, key)
			}
		}
	}
	return Hold{At(c.Key, &plan, at), units * c.Weight, c.Weight, c.Key, plan, at}
}

// Told takes the counter's answer (read false: none came in time) and tells whether the task passes. Where the window
// was untouched, before is the one before it, to be read with nought: what Lacks makes of its total is to be added to
// this window's count, as the module does. Until that stands, and where another process is to do it, our own latest
// look bounds the room.
func (s *Second) Told(h Hold, total float64, read bool) (pass bool, before *Window) {
	k := s.seen[h.key]
	if k == nil {
		k = &seen{at: h.at, room: h.plan.Burst, own: h.plan.Burst * s.share, nth: -1}
		s.seen[h.key] = k
	}
	fresh, since := k.nth != h.Nth, max(h.at-k.at, 0).Seconds()
	k.nth, k.at = h.Nth, max(h.at, k.at)
	k.room = min(k.room+h.plan.Rate*since, h.plan.Burst)
	k.own = min(k.own+h.plan.Rate*since*s.share, h.plan.Burst*s.share)
	room := min(k.own, k.room)
	if read {
		k.room = min(k.room, Room(&h.plan, h.Window, h.at, total-h.Units))
		room = k.room
		if fresh && total <= h.Units+rounding {
			w := At(h.key, &h.plan, h.Start-1)
			before = &w
		}
	}
	if pass = room >= h.Units-rounding; pass {
		k.room, k.own = k.room-h.Units, max(k.own-h.Units, 0)
	}
	return pass, before
}

// Lacks is what a store lacked at the end of the window before, whose total was read with nought.
func (h Hold) Lacks(before Window, total float64) float64 {
	return h.plan.Burst - Room(&h.plan, before, h.Start, total)
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
func (s *Second) Settle(h Hold, passed bool, used float64, added Added) float64 {
	if k := s.seen[h.key]; k != nil && passed {
		k.room += h.Units - used
	}
	switch added {
	case Yes:
		return used - h.Units
	case No:
		return used
	}
	return max(used-h.Units, 0)
}
