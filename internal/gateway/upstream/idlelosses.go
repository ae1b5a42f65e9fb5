package upstream

import (
	"math/bits"
	"time"
)

// Servers, or machines on the way, may drop a connection that is idle long before the stated limit and say nothing: the
// next attempt on it ends as a reset, and may have run for all we know. So the latest attempts tell how long a connection
// may be idle. It guards against stale connections of any cause; the price is more handshakes.
const (
	idleBuckets       = 20              // of idle time, each twice as long as the one before; the last is of minutes
	minLosses         = 3.0             // lost attempts that tell something
	staleLossFraction = 0.2             // and the part that they are: by chance some are lost after any idle time
	lossHalfLife      = 5 * time.Second // in which what was seen counts half: a longer idle time is tried again by and by
)

// idleLosses counts what became of attempts on connections that had been idle, by how long.
type idleLosses struct {
	survived, lost [idleBuckets]float64
	lastHalved     time.Time
}

func idleBucket(idleFor time.Duration) int {
	return min(bits.Len64(uint64(idleFor.Milliseconds())), idleBuckets-1)
}

// record takes the end of an attempt.
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

// isStale tells whether a connection was idle too long: attempts after such an idle time, or a shorter one, were lost.
func (l *idleLosses) isStale(idleFor time.Duration) bool {
	for i := range idleBucket(idleFor) + 1 {
		if l.lost[i] >= minLosses && l.lost[i] > staleLossFraction*(l.survived[i]+l.lost[i]) {
			return true
		}
	}
	return false
}
