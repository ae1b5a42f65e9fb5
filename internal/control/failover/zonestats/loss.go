package zonestats

import "time"

// lossConfirmTime is how long a gateway's own zone must look lost before the gateway treats it as
// lost without confirmation by other gateways.
const lossConfirmTime = time.Second

// ownZoneView is a gateway's current observation of its own zone.
type ownZoneView int

const (
	ownZoneUnknown ownZoneView = iota
	ownZoneAnswers             // at least half of the servers respond
	ownZoneLooksLost
)

// ownZoneLoss is the state of a gateway's own zone according to its own observations: the zone
// serves requests, is suspected to be lost, or is lost. The zero value is a zone that serves.
type ownZoneLoss struct {
	suspectedSince time.Duration // time at which the zone began to look lost; 0 if it does not
	isLost         bool
}

// isSuspected reports whether the zone looks lost.
func (l *ownZoneLoss) isSuspected() bool { return l.suspectedSince != 0 }

// update applies an observation made at now. The zone becomes lost once it has looked lost for
// lossConfirmTime, and stays lost until at least half of its servers respond.
func (l *ownZoneLoss) update(now time.Duration, view ownZoneView) {
	switch view {
	case ownZoneAnswers:
		*l = ownZoneLoss{}
	case ownZoneUnknown:
		if !l.isLost {
			*l = ownZoneLoss{}
		}
	case ownZoneLooksLost:
		if !l.isSuspected() {
			l.suspectedSince = now
			return
		}
		if now-l.suspectedSince >= lossConfirmTime {
			l.isLost = true
		}
	}
}

// observeOwnZone returns the observation of the own zone, given its ready power and the results of
// attempts. The zone counts as silent only with minConsecutiveFailures attempts in flight, so that
// a single hanging attempt does not cause nearly all other requests to be shed.
func (r *Recorder) observeOwnZone(now time.Duration, power float64) ownZoneView {
	quarter, known := r.zones[r.ownZoneIndex].health(now, minConsecutiveFailures)
	hasNoServer := r.hasEndpoints && power <= 0
	switch {
	case hasNoServer || known && quarter == Lost:
		return ownZoneLooksLost
	case known && quarter > Failing:
		return ownZoneAnswers
	}
	return ownZoneUnknown
}

// IsZoneLost reports whether the gateway's own zone is lost according to its own observations, as
// of the latest call of WriteCounts.
func (r *Recorder) IsZoneLost() bool { return r.ownLoss.isLost }
