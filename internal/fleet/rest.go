package fleet

import (
	"math/bits"
	"time"
)

// Servers, or machines on the way, may drop a connection that rests long before the stated limit and say nothing:
// the next push on it ends as a reset, and may have run for all we know. So the latest pushes tell how long a
// connection may rest. It guards against stale connections of any cause; harm: more handshakes.
const (
	restSpans  = 20              // a span is twice the one before; the last is of minutes
	staleLeast = 3.0             // lost pushes that tell something
	stalePart  = 0.2             // and the part that they are: by chance some end so after any rest
	staleHalf  = 5 * time.Second // in which what was seen counts half: a longer rest is tried again by and by
)

// rests is what became of pushes on connections that had rested, by how long.
type rests struct {
	good, bad [restSpans]float64
	at        time.Time
}

func span(rest time.Duration) int { return min(bits.Len64(uint64(rest.Milliseconds())), restSpans-1) }

// add takes the end of a push.
func (r *rests) add(now time.Time, rest time.Duration, lost bool) {
	if now.Sub(r.at) >= staleHalf {
		for i := range r.good {
			r.good[i] /= 2
			r.bad[i] /= 2
		}
		r.at = now
	}
	if lost {
		r.bad[span(rest)]++
	} else {
		r.good[span(rest)]++
	}
}

// stale tells whether a connection has rested too long: pushes after such a rest, or a shorter one, were lost.
func (r *rests) stale(rest time.Duration) bool {
	for i := range span(rest) + 1 {
		if r.bad[i] >= staleLeast && r.bad[i] > stalePart*(r.good[i]+r.bad[i]) {
			return true
		}
	}
	return false
}
