package countingrule

import (
	"time"

	"harrierhoist/policy"
)

// The lengths of windows as the decision module has them, so that both count under the same names. A test compares the
// names.
const (
	windowRefills = 2.0 // a window lasts while so many bursts are refilled
	minWindow     = time.Second
	maxTTL        = 60 * time.Second // a window lasts half of it at most
)

// roundingError in units: sums of parts are a little off.
const roundingError = 1e-9

// Window is a span of time in which a key is counted under one name.
type Window struct {
	Name  uint64        // at the counter
	Start time.Duration // on the clock that windows go by
	TTL   time.Duration // how long the counter is to keep the name
	Index int64
}

// WindowAt gives a key's window at a time, under a plan's rate and burst: the decision module's own.
func WindowAt(key uint64, plan *policy.Plan, now time.Duration) Window {
	length := time.Duration(windowRefills * plan.Burst / plan.Rate * float64(time.Second))
	length = min(max(length, minWindow), maxTTL/2)
	offset := time.Duration(windowHash(key, 0) % uint64(length)) // keys' windows do not all begin at once
	index := int64((now + offset) / length)
	return Window{
		Name:  windowHash(key, index),
		Start: time.Duration(index)*length - offset,
		TTL:   min(max(2*length, minWindow), maxTTL),
		Index: index,
	}
}

// windowHash is the decision module's hash of customer and window.
func windowHash(customer uint64, window int64) uint64 {
	mixed := (customer*0x9e3779b97f4a7c15 + uint64(window)) * 0xbf58476d1ce4e5b9
	return mixed ^ mixed>>31
}

// Remaining is what a key has left at a time, in weighted units, by its count in the window without the request that
// asks.
func Remaining(plan *policy.Plan, window Window, now time.Duration, count float64) float64 {
	return max(min(plan.Burst+plan.Rate*(now-window.Start).Seconds()-count, plan.Burst), 0)
}
