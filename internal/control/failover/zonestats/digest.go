package zonestats

import "time"

const (
	// maxDigestSpan is the longest time between two digests that a gateway answers for: of what it was paused beyond that it
	// observed nothing.
	maxDigestSpan = 500 * time.Millisecond
	// lossConfirmTime is how long a gateway's own zone must look lost before it goes by that alone.
	lossConfirmTime = time.Second
)

// WriteCounts gives all counts so far. It is called before each digest, each 0.2 s or so, and counts the health and the power
// of each zone for the time since the call before.
func (r *Recorder) WriteCounts(now time.Duration, add func(name string, n uint64)) {
	ms := r.awakeSince(now)
	for i, zone := range r.zones {
		if quarter, known := zone.health(now, 1); known {
			zone.healthTime[quarter] += ms
		}
		power := r.readyPower(now, zone)
		if r.hasEndpoints {
			band := PowerBand(power)
			zone.readyTime[band] += ms
			zone.readyPower[band] += power * float64(ms)
		}
		if i == r.own {
			r.updateOwnZone(now, power)
		}
		zone.writeCounts(add)
	}
	add(r.names.awakeTime, uint64(r.awake/time.Millisecond))
	add(r.names.offered, uint64(r.offered))
	add(r.names.admitted, uint64(r.admitted))
	add(r.names.callsDone, r.callsDone)
	add(r.names.callsLate, r.callsLate)
}

// awakeSince is the milliseconds that the gateway was awake since the call before; 0 at its start and after a pause.
func (r *Recorder) awakeSince(now time.Duration) uint64 {
	span := now - r.countedUntil
	if r.countedUntil == 0 || span > 2*maxDigestSpan || span < 0 {
		span = 0
	}
	span = min(span, maxDigestSpan)
	r.countedUntil = now - span%time.Millisecond // the rest counts with the next call
	span = span.Truncate(time.Millisecond)
	r.awake += span
	return uint64(span / time.Millisecond)
}

// updateOwnZone keeps whether the own zone is lost as far as this gateway alone can observe. It stays so until half of the zone
// answers. One attempt that hangs is an observation among those of many gateways, but alone it would have nearly all other
// requests shed: here silence takes minFailedRun attempts in flight. Drawback: a gateway with fewer observes a silent zone
// only as its attempts end.
func (r *Recorder) updateOwnZone(now time.Duration, power float64) {
	quarter, known := r.zones[r.own].health(now, minFailedRun)
	seemsLost := r.hasEndpoints && power <= 0 || known && quarter == Lost
	isAnswering := known && quarter > Failing
	switch {
	case !seemsLost && isAnswering:
		r.lossSeenSince, r.ownZoneLost = 0, false
	case !seemsLost:
		if !r.ownZoneLost {
			r.lossSeenSince = 0
		}
	case r.lossSeenSince == 0:
		r.lossSeenSince = now
	case now-r.lossSeenSince >= lossConfirmTime:
		r.ownZoneLost = true
	}
}

// IsZoneLost tells whether the own zone is lost by this gateway's own observations.
func (r *Recorder) IsZoneLost() bool { return r.ownZoneLost }
