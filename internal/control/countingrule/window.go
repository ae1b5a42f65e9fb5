package countingrule

import (
	"time"

	"harrierhoist/policy"
)

// Windows have the same lengths as in the decision module, so that both use the same names at the
// counter. A test compares the names.
const (
	windowRefills = 2.0 // length of a window, as a multiple of the time to refill a whole burst
	minWindow     = time.Second
	maxTTL        = 60 * time.Second // longest time for which the counter keeps a name
	maxWindow     = maxTTL / ttlWindows
	ttlWindows    = 2 // time for which the counter keeps a name, in lengths of a window; at most maxTTL
)

// Constants of the decision module's hash of customer and window.
const (
	customerMultiplier = 0x9e3779b97f4a7c15
	windowMultiplier   = 0xbf58476d1ce4e5b9
	windowHashShift    = 31 // bits
)

// roundingError is the tolerance, in units, for rounding errors in sums.
const roundingError = 1e-9

// Window is an interval in which a key is counted under one name.
type Window struct {
	Name  uint64        // name of the count at the counter
	Start time.Duration // on the clock that all processes share
	TTL   time.Duration // time for which the counter must keep the name
	Index int64         // number of the window; it increases by one from window to window
}

// WindowAt returns the window in which a key is counted at a time under a plan's rate and burst.
// The decision module uses the same window.
func WindowAt(key uint64, plan *policy.Plan, now time.Duration) Window {
	length := time.Duration(windowRefills * plan.Burst / plan.Rate * float64(time.Second))
	length = min(max(length, minWindow), maxWindow)
	// The offset makes the windows of different keys begin at different times.
	offset := time.Duration(windowHash(key, 0) % uint64(length))
	index := int64((now + offset) / length)
	return Window{
		Name:  windowHash(key, index),
		Start: time.Duration(index)*length - offset,
		TTL:   min(max(ttlWindows*length, minWindow), maxTTL),
		Index: index,
	}
}

// windowHash returns the same hash of customer and window as the decision module.
func windowHash(customer uint64, window int64) uint64 {
	mixed := (customer*customerMultiplier + uint64(window)) * windowMultiplier
	return mixed ^ mixed>>windowHashShift
}

// Remaining returns the weighted units that a key has left at a time. count is the key's count in
// the window, without the request that is being decided.
func Remaining(plan *policy.Plan, window Window, now time.Duration, count float64) float64 {
	return max(min(plan.Burst+plan.Rate*(now-window.Start).Seconds()-count, plan.Burst), 0)
}
