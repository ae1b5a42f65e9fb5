package conformance

import (
	"fmt"
	"time"
)

// Lengths and names of windows, as the clauses give them.
const (
	burstsPerWindow = 2.0 // bursts that refill within a window, at the plan's rate
	maxWindow       = 30 * time.Second
	minWindow       = time.Second

	customerMultiplier = 0x9e3779b97f4a7c15
	finalMultiplier    = 0xbf58476d1ce4e5b9
	finalShift         = 31
	offsetIndex        = 0 // the index whose name gives the offset of a customer's windows
)

// windows computes a customer's windows from what the clauses say of their length and names,
// independently of the module.
type windows struct {
	customer       uint64
	key            uint64 // that names are made of: the customer, or what a counting rule has in its place
	length, offset time.Duration
}

func newWindows(customer uint64, plan Plan) windows {
	length := time.Duration(burstsPerWindow * plan.Burst / plan.Rate * float64(time.Second))
	w := windows{customer: customer, key: customer, length: min(max(length, minWindow), maxWindow)}
	w.offset = time.Duration(w.counterName(offsetIndex) % uint64(w.length))
	return w
}

// counterName is the name of the count of a window.
func (w windows) counterName(index int64) uint64 {
	x := (w.key*customerMultiplier + uint64(index)) * finalMultiplier
	return x ^ x>>finalShift
}

// index is the number of the window at a time.
func (w windows) index(at time.Duration) int64 { return int64((at + w.offset) / w.length) }

// untilNext is the time left until the next window starts.
func (w windows) untilNext(at time.Duration) time.Duration {
	return time.Duration(w.index(at)+1)*w.length - w.offset - at
}

// callEvents returns the forms of a call to the counter: by the window relative to the current one,
// and by name. A name that belongs to none of the three windows is unknown.
func (w windows) callEvents(at time.Duration, name uint64, units float64) []string {
	window := windowUnknown
	for i, word := range []string{"previous", "current", "next"} {
		if w.counterName(w.index(at)+int64(i)-1) == name {
			window = word
		}
	}
	return []string{fmt.Sprintf("count %s %g", window, units), fmt.Sprintf("count %016x %g", name, units)}
}

const windowUnknown = "unknown"
