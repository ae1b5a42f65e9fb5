package policy

import (
	"slices"
	"time"
)

// eventTime is when something happened last; 0: never.
type eventTime time.Duration

// happened reports whether it ever did.
func (t eventTime) happened() bool { return t > 0 }

// isWithin reports whether it happened less than a span before the time now.
func (t eventTime) isWithin(span, now time.Duration) bool {
	return t.happened() && now < time.Duration(t)+span
}

// ring keeps the latest samples, up to a size.
type ring[T any] struct {
	samples []T
	next    int // the oldest, once there are as many as the size
}

func (r *ring[T]) add(size int, v T) {
	if len(r.samples) < size {
		r.samples = append(r.samples, v)
		return
	}
	r.samples[r.next] = v
	r.next = (r.next + 1) % size
}

// newest returns the n-th sample from the newest, counted from 0. Until the ring is full, next is 0
// and the newest sample is the last.
func (r *ring[T]) newest(n int) T {
	return r.samples[(r.next-1-n+2*len(r.samples))%len(r.samples)]
}

// latencies keeps the latest times of one kind, and the same in order.
type latencies struct {
	ring[time.Duration]
	sorted []time.Duration
}

func (l *latencies) record(latency time.Duration) {
	l.add(latencySamples, latency)
	l.sorted = append(l.sorted[:0], l.samples...)
	slices.Sort(l.sorted)
}

// decile returns the n-th decile, 0 before any sample.
func (l *latencies) decile(n int) time.Duration {
	if len(l.sorted) == 0 {
		return 0
	}
	return decileOf(l.sorted, n)
}

// decileOf returns the n-th decile of sorted samples, of which there is at least one.
func decileOf[T any](sorted []T, n int) T { return sorted[len(sorted)*n/deciles] }

func (l *latencies) clone() latencies {
	return latencies{ring[time.Duration]{slices.Clone(l.samples), l.next}, slices.Clone(l.sorted)}
}

// latencySample is the part of its latency objective that an attempt took. Queues pass, so it is
// valid for some time only.
type latencySample struct {
	validUntil        time.Duration
	objectiveFraction float64
}

// responseSample is an answer of a warm server.
type responseSample struct {
	at          time.Duration
	warmServers float64 // at that time, for each gateway that shared one
}

// countSample is a count read, and what the customer's bucket could hold then, both in units.
type countSample struct {
	window int64
	at     time.Duration
	total  float64
	level  float64
}
