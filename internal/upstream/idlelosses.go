package upstream

import (
	"math/bits"
	"time"
)

// Servers, or machines on the way, may drop a connection that rests long before the stated limit and say nothing:
// the next push on it ends as a reset, and may have run for all we know. So the latest pushes tell how long a
// connection may rest. It guards against stale connections of any cause; harm: more handshakes.
const (
	idleBuckets       = 20              // a span is twice the one before; the last is of minutes
	minLosses         = 3.0             // lost pushes that tell something
	staleLossFraction = 0.2             // and the part that they are: by chance some end so after any rest
	lossHalfLife      = 5 * time.Second // in which what was seen counts half: a longer rest is tried again by and by
)

// idleLosses is what became of pushes on connections that had rested, by how long.
type idleLosses struct {
	survived, lost [idleBuckets]float64
	lastHalved     time.Time
}

func idleBucket(idleFor time.Duration) int {
	return min(bits.Len64(uint64(idleFor.Milliseconds())), idleBuckets-1)
}

// record takes the end of a push.
func (l *idleLosses) record(now time.Time, idleFor time.Duration, lost bool) {
	if now.Sub(l.lastHalved) >= lossHalfLife {
		for i := range l.survived {
			l.survived[i] /= 2
			l.lost[i] /= 2
		}
		l.lastHalved = now
	}
	if lost {
		l.lost[idleBucket(idleFor)]++
	} else {
		l.survived[idleBucket(idleFor)]++
	}
}

// isStale tells whether a connection has rested too long: pushes after such a rest, or a shorter one, were lost.
func (l *idleLosses) isStale(idleFor time.Duration) bool {
	for i := range idleBucket(idleFor) + 1 {
		if l.lost[i] >= minLosses && l.lost[i] > staleLossFraction*(l.survived[i]+l.lost[i]) {
			return true
		}
	}
	return false
}
