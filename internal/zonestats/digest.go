package zonestats

import (
	"math"
	"time"
)

// This file is what a digest is made of: the judgements of halls since the one before, and all counts.

// health gives the quarter at which a hall is seen, or false: nothing is known of late. So many pushes out without an
// answer are a silence.
func (z *zoneStats) health(now time.Duration, out int) (int, bool) {
	if z.waitingSince != 0 && z.inFlight >= out && now-z.waitingSince > z.silenceTimeout() {
		return Lost, true
	}
	sound, known, freshWell, freshIll := 0, 0, 0, 0
	for server, l := range z.results {
		age := now - l.at
		if age > resultMemory {
			delete(z.results, server)
			continue
		}
		known++
		if l.answered {
			sound++
		}
		switch {
		case age > freshTime:
		case l.answered:
			freshWell++
		default:
			freshIll++
		}
	}
	switch {
	case known == 0:
		clear(z.failedRun)
		return 0, false
	case len(z.failedRun) >= minFailedRun || freshIll >= minFreshFailures && freshWell == 0:
		return Lost, true
	case freshIll > 0 && freshWell == 0:
		return Failing, true
	}
	return int(math.Round(Healthy * float64(sound) / float64(known))), true
}

// WriteCounts gives all counts so far; it is called before each digest, each 0.2 s or so, and judges the time since the
// call before.
func (r *Recorder) WriteCounts(now time.Duration, add func(name string, n uint64)) {
	span := now - r.countedUntil
	if r.countedUntil == 0 || span > 2*maxDigestSpan || span < 0 {
		span = 0 // it began, or stood still
	}
	span = min(span, maxDigestSpan)
	r.countedUntil = now
	ms := uint64(span / time.Millisecond)
	r.countedUntil -= span % time.Millisecond // the rest counts with the next
	r.awake += time.Duration(ms) * time.Millisecond
	for i, z := range r.zones {
		q, known := z.health(now, 1)
		if known {
			z.healthTime[q] += ms
		}
		power := r.readyPower(now, z)
		if r.hasEndpoints {
			b := PowerBand(power)
			z.readyTime[b] += ms
			z.readyPower[b] += power * float64(ms)
		}
		if i == r.own {
			alone, heard := z.health(now, minFailedRun)
			r.updateOwnZone(now, alone, heard, power)
		}
		z.writeCounts(add)
	}
	add(r.awakeTimeName, uint64(r.awake/time.Millisecond))
	add(r.offeredName, uint64(r.offered))
	add(r.admittedName, uint64(r.admitted))
	add(r.callsDoneName, r.counterCalls[0])
	add(r.callsLateName, r.counterCalls[1])
}

// writeCounts gives the counts of a hall that are not nought.
func (z *zoneStats) writeCounts(add func(name string, n uint64)) {
	some := func(name string, n uint64) {
		if n > 0 {
			add(name, n)
		}
	}
	for q, n := range z.healthTime {
		some(z.healthTimeNames[q], n)
	}
	for i, n := range z.completed {
		some(z.completedNames[i], n)
	}
	some(z.attemptedName, uint64(z.attempted))
	some(z.answerTimeName, uint64(z.answerTime))
	for b, n := range z.readyTime {
		some(z.readyTimeNames[b], n)
		some(z.readyPowerNames[b], uint64(z.readyPower[b]))
	}
}

// updateOwnZone keeps whether our own hall is lost as far as we alone can see. It stays so until half of it answers. One push that
// hangs is a word among many gateways, but alone it would have nearly all other tasks shed: silence takes runLeast
// pushes out here. Harm: a gateway with fewer sees a silent hall only as its pushes end.
func (r *Recorder) updateOwnZone(now time.Duration, q int, known bool, power float64) {
	looks := r.hasEndpoints && power <= 0 || known && q == Lost
	switch {
	case !looks && (!known || q <= Failing):
		if !r.ownZoneLost {
			r.lossSeenSince = 0
		}
	case !looks:
		r.lossSeenSince, r.ownZoneLost = 0, false
	case r.lossSeenSince == 0:
		r.lossSeenSince = now
	case now-r.lossSeenSince >= lossConfirmTime:
		r.ownZoneLost = true
	}
}

// IsZoneLost tells whether by this gateway's own evidence its own hall is lost.
func (r *Recorder) IsZoneLost() bool { return r.ownZoneLost }
