package countingrule

import (
	"time"

	"harrierhoist/policy"
)

// The lengths of windows are the decision module's, so that both count under the same names. A test
// compares the names.
const (
	windowRefills = 2.0 // a window lasts while so many bursts are refilled
	minWindow     = time.Second
	maxTTL        = 60 * time.Second // the longest that the counter keeps a name
	maxWindow     = maxTTL / ttlWindows
	ttlWindows    = 2 // the counter keeps a name for this many windows, at most for maxTTL
)

// The decision module's hash of customer and window.
const (
	customerMultiplier = 0x9e3779b97f4a7c15
	windowMultiplier   = 0xbf58476d1ce4e5b9
	windowHashShift    = 31 // bits
)

// roundingError is how far, in units, a sum of parts may be off.
const roundingError = 1e-9

// Window is a span of time in which a key is counted under one name.
type Window struct {
	Name  uint64        // at the counter
	Start time.Duration // on the clock that windows go by
	TTL   time.Duration // how long the counter is to keep the name
	Index int64
}

// WindowAt decides which window a key is counted in at a time, under a plan's rate and burst. It is
// the decision module's own window.
func WindowAt(key uint64, plan *policy.Plan, now time.Duration) Window {
	length := time.Duration(windowRefills * plan.Burst / plan.Rate * float64(time.Second))
	length = min(max(length, minWindow), maxWindow)
	// Windows of different keys begin at different times.
	offset := time.Duration(windowHash(key, 0) % uint64(length))
	index := int64((now + offset) / length)
	return Window{
		Name:  windowHash(key, index),
		Start: time.Duration(index)*length - offset,
		TTL:   min(max(ttlWindows*length, minWindow), maxTTL),
		Index: index,
	}
}

// windowHash is the decision module's hash of customer and window.
func windowHash(customer uint64, window int64) uint64 {
	mixed := (customer*customerMultiplier + uint64(window)) * windowMultiplier
	return mixed ^ mixed>>windowHashShift
}

// Remaining is what a key has left at a time, in weighted units, by its count in the window without
// the request that asks.
func Remaining(plan *policy.Plan, window Window, now time.Duration, count float64) float64 {
	return max(min(plan.Burst+plan.Rate*(now-window.Start).Seconds()-count, plan.Burst), 0)
}
