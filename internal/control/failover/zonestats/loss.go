package zonestats

import "time"

// lossConfirmTime is how long a gateway's own zone must look lost before the gateway acts on that
// alone.
const lossConfirmTime = time.Second

// ownZoneView is how a gateway's own zone looks to the gateway alone.
type ownZoneView int

const (
	ownZoneUnclear ownZoneView = iota
	ownZoneAnswers             // half of it or more
	ownZoneLooksLost
)

// ownZoneLoss is whether a gateway's own zone is lost by its own observations: it serves, is
// suspected since some time, or is lost.
type ownZoneLoss struct {
	suspectedSince time.Duration // read by isSuspected
	lost           bool
}

// isSuspected tells whether the zone looks lost.
func (l *ownZoneLoss) isSuspected() bool { return l.suspectedSince != 0 }

// update decides whether the own zone is lost: once it has looked so for lossConfirmTime, and until
// half of it answers.
func (l *ownZoneLoss) update(now time.Duration, view ownZoneView) {
	switch view {
	case ownZoneAnswers:
		*l = ownZoneLoss{}
	case ownZoneUnclear:
		if !l.lost {
			*l = ownZoneLoss{}
		}
	case ownZoneLooksLost:
		if !l.isSuspected() {
			l.suspectedSince = now
			return
		}
		if now-l.suspectedSince >= lossConfirmTime {
			l.lost = true
		}
	}
}

// observeOwnZone decides how the own zone looks, by its ready power in servers of power 1 and by
// attempts. Here a silence takes minFailedRun attempts in flight: prevents one attempt that hangs
// from having nearly all other requests shed.
func (r *Recorder) observeOwnZone(now time.Duration, power float64) ownZoneView {
	quarter, known := r.zones[r.own].health(now, minFailedRun)
	hasNoServer := r.hasEndpoints && power <= 0
	switch {
	case hasNoServer || known && quarter == Lost:
		return ownZoneLooksLost
	case known && quarter > Failing:
		return ownZoneAnswers
	}
	return ownZoneUnclear
}

// IsZoneLost tells whether the own zone is lost by this gateway's own observations.
func (r *Recorder) IsZoneLost() bool { return r.ownZone.lost }
