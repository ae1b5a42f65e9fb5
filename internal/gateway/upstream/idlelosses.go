package upstream

import (
	"math/bits"
	"time"
)

const (
	// idleBuckets is the number of buckets of idle times in milliseconds. Each is twice as long as
	// the one before, and the last one begins at several minutes.
	idleBuckets = 20
	// minLosses is the smallest count of lost attempts that makes an idle time stale.
	minLosses = 3.0
	// staleLossFraction is the smallest part of the attempts after an idle time that makes it
	// stale: some are lost by chance after any.
	staleLossFraction = 0.2
	// lossHalfLife is the time in which counts are halved, so that longer idle times are tried
	// again.
	lossHalfLife = 5 * time.Second
	// halvingDivisor divides the counts then.
	halvingDivisor = 2
)

// idleLosses counts attempts on connections that had been idle, by bucket of idle time, and those
// that lost their connection. Servers, or machines on the way, may drop an idle connection long
// before the stated limit and say nothing. The next attempt on it ends as a reset, and may have
// run.
type idleLosses struct {
	survived, lost [idleBuckets]float64
	lastHalved     time.Time
}

// idleBucket returns the bucket of an idle time: 0 below 1 ms, n from 2^(n-1) ms.
func idleBucket(idleFor time.Duration) int {
	return min(bits.Len64(uint64(idleFor.Milliseconds())), idleBuckets-1)
}

// record counts an attempt on a connection that had been idle for idleFor.
func (l *idleLosses) record(now time.Time, idleFor time.Duration, lost bool) {
	if now.Sub(l.lastHalved) >= lossHalfLife {
		for i := range l.survived {
			l.survived[i] /= halvingDivisor
			l.lost[i] /= halvingDivisor
		}
		l.lastHalved = now
	}
	if lost {
		l.lost[idleBucket(idleFor)]++
	} else {
		l.survived[idleBucket(idleFor)]++
	}
}

// isStale reports whether a connection was idle for too long: too many attempts after such an idle
// time, or a shorter one, were lost.
func (l *idleLosses) isStale(idleFor time.Duration) bool {
	for i := range idleBucket(idleFor) + 1 {
		if l.lost[i] >= minLosses && l.lost[i] > staleLossFraction*(l.survived[i]+l.lost[i]) {
			return true
		}
	}
	return false
}
