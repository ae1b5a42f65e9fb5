package upstream

import (
	"math/bits"
	"time"
)

const (
	// idleBuckets is the number of buckets of the idle time histogram. Each bucket is twice as wide
	// as the previous one, and the last one starts at several minutes.
	idleBuckets = 20
	// minLosses is the smallest count of lost connections in a bucket at which connections that
	// have been idle for that long or longer are considered stale.
	minLosses = 3.0
	// staleLossFraction is the fraction of lost connections in a bucket above which connections
	// that have been idle for that long or longer are considered stale. Some connections are lost
	// by chance after any idle time.
	staleLossFraction = 0.2
	// lossHalfLife is the time after which all counts are halved, so that connections are
	// eventually reused again after idle times at which they were considered stale.
	lossHalfLife = 5 * time.Second
	// halvingDivisor is the divisor that is applied to the counts every lossHalfLife.
	halvingDivisor = 2
)

// idleLosses counts, by idle time, the attempts that kept and that lost a connection that had been
// idle. Servers, or network devices on the path, may silently drop an idle connection long before
// the stated idle limit. The next attempt on such a connection ends with Reset and may have run.
//
// It is not safe for concurrent use.
type idleLosses struct {
	kept, lost [idleBuckets]float64
	lastHalved time.Time
}

// idleBucket returns the index of the bucket of an idle time. Bucket 0 holds times below 1 ms, and
// bucket n holds times of at least 2^(n-1) ms.
func idleBucket(idleFor time.Duration) int {
	return min(bits.Len64(uint64(idleFor.Milliseconds())), idleBuckets-1)
}

// record counts an attempt on a connection that had been idle for idleFor; lost says whether the
// attempt lost the connection.
func (l *idleLosses) record(now time.Time, idleFor time.Duration, lost bool) {
	if now.Sub(l.lastHalved) >= lossHalfLife {
		for i := range l.kept {
			l.kept[i] /= halvingDivisor
			l.lost[i] /= halvingDivisor
		}
		l.lastHalved = now
	}
	if lost {
		l.lost[idleBucket(idleFor)]++
	} else {
		l.kept[idleBucket(idleFor)]++
	}
}

// isStale reports whether a connection that has been idle for idleFor must not be reused: too many
// attempts after this idle time, or after a shorter one, lost their connection.
func (l *idleLosses) isStale(idleFor time.Duration) bool {
	for i := range idleBucket(idleFor) + 1 {
		if l.lost[i] >= minLosses && l.lost[i] > staleLossFraction*(l.kept[i]+l.lost[i]) {
			return true
		}
	}
	return false
}
