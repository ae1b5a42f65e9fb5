package zonestats

import "time"

const (
	// maxDigestInterval is the maximum time that one digest adds to the counts. If the interval
	// between two digests was longer, the gateway may not have observed all of it.
	maxDigestInterval = 500 * time.Millisecond
	// pauseThreshold is the time between two digests above which the gateway is assumed to have
	// been paused. Such an interval is not counted.
	pauseThreshold = 2 * maxDigestInterval
	// minSilentInFlight is the minimum number of attempts in flight in a zone for its silence to
	// count as a loss in HealthTimeName. One is enough, as the failover controller compares the
	// observations of many gateways.
	minSilentInFlight = 1
)

// WriteCounts calls add with the name and total of each count. It first counts the current health
// and ready power of each zone for the time since the previous call. It must be called before each
// digest, about every 0.2 s.
func (r *Recorder) WriteCounts(now time.Duration, add func(name string, n uint64)) {
	ms := r.advanceAwakeTime(now)
	for i, zone := range r.zones {
		if quarter, known := zone.health(now, minSilentInFlight); known {
			zone.healthTime[quarter] += ms
		}
		power := r.readyPower(now, zone)
		if r.hasEndpoints {
			band := PowerBand(power)
			zone.readyTime[band] += ms
			zone.readyPower[band] += power * float64(ms)
		}
		if i == r.ownZoneIndex {
			r.ownLoss.update(now, r.observeOwnZone(now, power))
		}
		zone.writeCounts(add)
	}
	add(r.names.awakeTime, uint64(r.awakeTime/time.Millisecond))
	add(r.names.offered, uint64(r.offered))
	add(r.names.admitted, uint64(r.admitted))
	add(r.names.callsOnTime, r.callsOnTime)
	add(r.names.callsLate, r.callsLate)
}

// advanceAwakeTime adds the time since the previous call to awakeTime and returns the added
// milliseconds. It adds nothing on the first call and after a pause, and at most maxDigestInterval.
func (r *Recorder) advanceAwakeTime(now time.Duration) uint64 {
	interval := now - r.countedUntil
	isFirst := r.countedUntil == 0
	if isFirst || interval > pauseThreshold || interval < 0 {
		interval = 0
	}
	interval = min(interval, maxDigestInterval)
	r.countedUntil = now - interval%time.Millisecond // the next call counts the remainder
	interval = interval.Truncate(time.Millisecond)
	r.awakeTime += interval
	return uint64(interval / time.Millisecond)
}
