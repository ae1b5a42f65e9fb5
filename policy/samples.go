package policy

import (
	"slices"
	"time"
)

// eventTime is the time of the latest event of a kind; 0: none yet.
type eventTime time.Duration

// happened reports whether there was such an event.
func (t eventTime) happened() bool { return t > 0 }

// isWithin reports whether the event happened less than span before now.
func (t eventTime) isWithin(span, now time.Duration) bool {
	return t.happened() && now < time.Duration(t)+span
}

// ring keeps the latest samples, up to the size given to add.
type ring[T any] struct {
	samples []T
	next    int // index of the oldest sample once the ring is full; 0 before
}

// add records a sample. Once the ring holds size samples, the new one replaces the oldest.
func (r *ring[T]) add(size int, v T) {
	if len(r.samples) < size {
		r.samples = append(r.samples, v)
		return
	}
	r.samples[r.next] = v
	r.next = (r.next + 1) % size
}

// newest returns the n-th newest sample, counted from 0. Until the ring is full, next is 0 and the
// newest sample is the last one in the slice.
func (r *ring[T]) newest(n int) T {
	return r.samples[(r.next-1-n+2*len(r.samples))%len(r.samples)]
}

// latencies keeps the latest latencies of one kind, in order of arrival and sorted.
type latencies struct {
	ring[time.Duration]
	sorted []time.Duration
}

func (l *latencies) record(latency time.Duration) {
	l.add(latencySamples, latency)
	l.sorted = append(l.sorted[:0], l.samples...)
	slices.Sort(l.sorted)
}

// decile returns the n-th decile, or 0 if there is no sample.
func (l *latencies) decile(n int) time.Duration {
	if len(l.sorted) == 0 {
		return 0
	}
	return decileOf(l.sorted, n)
}

// decileOf returns the n-th decile of sorted samples. There must be at least one.
func decileOf[T any](sorted []T, n int) T { return sorted[len(sorted)*n/deciles] }

func (l *latencies) clone() latencies {
	return latencies{ring[time.Duration]{slices.Clone(l.samples), l.next}, slices.Clone(l.sorted)}
}

// latencySample is the latency of an attempt as a fraction of its latency objective. It is valid
// for a limited time, because queues drain.
type latencySample struct {
	validUntil        time.Duration
	objectiveFraction float64
}

// responseSample is an answer of a warm server.
type responseSample struct {
	at          time.Duration
	warmServers float64 // warm servers at that time, divided by the gateways that share each server
}

// countSample is a total read from the counter and the level of the customer's bucket at that time,
// both in units.
type countSample struct {
	window int64
	at     time.Duration
	total  float64
	level  float64
}
