package zonestats

import "time"

const (
	// maxDigestSpan is the longest time between two digests that a gateway answers for: of a longer
	// one it may have observed nothing.
	maxDigestSpan = 500 * time.Millisecond
	// maxGap is the time between two digests above which the gateway was paused.
	maxGap = 2 * maxDigestSpan
	// minSilentAttempts is how many attempts in flight without an answer are a silence in the
	// counts, where many gateways' observations are compared.
	minSilentAttempts = 1
)

// WriteCounts gives all counts so far. It is called before each digest, each 0.2 s or so, and
// counts the health and the power of each zone for the time since the call before.
func (r *Recorder) WriteCounts(now time.Duration, add func(name string, n uint64)) {
	ms := r.awakeSince(now)
	for i, zone := range r.zones {
		if quarter, known := zone.health(now, minSilentAttempts); known {
			zone.healthTime[quarter] += ms
		}
		power := r.readyPower(now, zone)
		if r.hasEndpoints {
			band := PowerBand(power)
			zone.readyTime[band] += ms
			zone.readyPower[band] += power * float64(ms)
		}
		if i == r.own {
			r.ownZone.update(now, r.observeOwnZone(now, power))
		}
		zone.writeCounts(add)
	}
	add(r.names.awakeTime, uint64(r.awake/time.Millisecond))
	add(r.names.offered, uint64(r.offered))
	add(r.names.admitted, uint64(r.admitted))
	add(r.names.callsDone, r.callsDone)
	add(r.names.callsLate, r.callsLate)
}

// awakeSince decides how many milliseconds count as awake since the call before: none at the start
// and after a pause, and never more than maxDigestSpan.
func (r *Recorder) awakeSince(now time.Duration) uint64 {
	span := now - r.countedUntil
	isFirst := r.countedUntil == 0
	if isFirst || span > maxGap || span < 0 {
		span = 0
	}
	span = min(span, maxDigestSpan)
	r.countedUntil = now - span%time.Millisecond // the rest counts with the next call
	span = span.Truncate(time.Millisecond)
	r.awake += span
	return uint64(span / time.Millisecond)
}
