// Package zonestats counts one gateway's observations of zones. The failover controller bases its
// decisions on the sums of these counts over all gateways. The gateway's dispatcher reports events,
// with their time, to a Recorder, and the gateway's digests contain the counts. The package does no
// I/O and reads no clock.
//
// Counts never decrease. Those that are times are in milliseconds, and include only time in which
// the gateway was awake, that is, not paused. One gateway therefore adds at most one second per
// second to each of them, and the increase of the sum over an interval, divided by the interval's
// length, is the number of distinct gateways that made the observation.
package zonestats

import (
	"time"

	"harrierhoist/policy"
)

// thousandths is the number of thousandths in one unit; counts of units are in thousandths.
const thousandths = 1000

// Recorder keeps one gateway's counts. It is not safe for concurrent use.
type Recorder struct {
	zones        []*zoneStats
	ownZoneIndex int           // index of the gateway's own zone
	warmUpStart  float64       // fraction of its power that a server has when it starts
	warmUpTime   time.Duration // time after its start at which a server has its full power

	countedUntil time.Duration // time up to which awakeTime is counted; 0 before the first digest
	awakeTime    time.Duration // total time that the gateway was awake
	hasEndpoints bool          // an endpoint list was received
	ownLoss      ownZoneLoss

	offered, admitted      float64 // thousandths of units
	callsOnTime, callsLate uint64
	names                  recorderNames
}

// recorderNames caches the names of the counts that a gateway reports once, not for each zone.
type recorderNames struct {
	awakeTime, offered, admitted, callsOnTime, callsLate string
}

// New returns a recorder for a gateway whose own zone is zones[ownZoneIndex].
func New(zones []string, ownZoneIndex int, settings *policy.Settings) *Recorder {
	ownZone := zones[ownZoneIndex]
	r := &Recorder{ownZoneIndex: ownZoneIndex, names: recorderNames{
		awakeTime: AwakeTimeName(ownZone), offered: OfferedName(ownZone), admitted: AdmittedName(ownZone),
		callsOnTime: CounterCallsName(ownZone, callOnTime), callsLate: CounterCallsName(ownZone, callLate),
	}}
	r.Reconfigure(settings)
	for _, zone := range zones {
		r.zones = append(r.zones, newZoneStats(ownZone, zone))
	}
	return r
}

// Reconfigure applies the warm-up parameters of changed settings.
func (r *Recorder) Reconfigure(settings *policy.Settings) {
	r.warmUpStart = settings.WarmUpStart
	r.warmUpTime = settings.WarmUpTime
}

// zone returns the statistics of the zone with a number, or nil if the zone is not configured. No
// statistics are kept of such a zone, as the failover plan gives this gateway no share of it.
func (r *Recorder) zone(number int) *zoneStats {
	if number < 0 || number >= len(r.zones) {
		return nil
	}
	return r.zones[number]
}

// AddOffered counts the units of a request received from a client for the first time.
func (r *Recorder) AddOffered(units float64) { r.offered += units * thousandths }

// AddShed counts the units of a client's first try that was rejected for lack of capacity before
// any attempt. Such a request is rejected by a failover plan that sheds load, or by the decision
// module after the quota admitted it. It counts as demand. Otherwise an overloaded zone, whose
// gateways reject the requests that should move to other zones, would look just fully utilized.
func (r *Recorder) AddShed(units float64) { r.admitted += units * thousandths }

// AddAttempt counts an attempt on a server in a zone, with the request's units. isFirst is true for
// the first attempt of a request that is not a client's repeat. Only such an attempt counts as
// demand, so that each request counts once. The zone need not be configured.
func (r *Recorder) AddAttempt(now time.Duration, zone int, units float64, isFirst bool) {
	if z := r.zone(zone); z != nil {
		z.addAttempt(now, units)
	}
	if isFirst {
		r.admitted += units * thousandths
	}
}

// AddResult counts the end of an attempt that AddAttempt has counted.
func (r *Recorder) AddResult(
	now time.Duration, zone int, server uint32, outcome policy.Outcome, latency time.Duration,
) {
	if z := r.zone(zone); z != nil {
		z.addResult(now, server, outcome, latency)
	}
}

// AddCounterCall counts the end of a call to the counter. isLate is also true for a failed call.
func (r *Recorder) AddCounterCall(isLate bool) {
	if isLate {
		r.callsLate++
	} else {
		r.callsOnTime++
	}
}

// SetEndpoints replaces the known endpoints with a full endpoint list received at now.
func (r *Recorder) SetEndpoints(now time.Duration, endpoints []policy.Endpoint) {
	for _, z := range r.zones {
		z.warmPower = 0
		z.warmingUp = z.warmingUp[:0]
	}
	for _, endpoint := range endpoints {
		switch z := r.zone(endpoint.Zone); {
		case z == nil, endpoint.State != policy.Ready:
		case r.warmUpFraction(now, endpoint) < 1:
			z.warmingUp = append(z.warmingUp, endpoint)
		default:
			z.warmPower += listedPower(endpoint)
		}
	}
	r.hasEndpoints = true
}

// listedPower returns an endpoint's listed power, or 1 if none is listed.
func listedPower(endpoint policy.Endpoint) float64 {
	if endpoint.Capacity > 0 {
		return endpoint.Capacity
	}
	return 1
}

// warmUpFraction returns the fraction of its power, from 0 to 1, that a server has at now. The
// decision module computes it in the same way. It is 1 for a server whose start time is unknown.
func (r *Recorder) warmUpFraction(now time.Duration, endpoint policy.Endpoint) float64 {
	if endpoint.StartedAt <= 0 || r.warmUpTime <= 0 {
		return 1
	}
	progress := float64(now-endpoint.StartedAt) / float64(r.warmUpTime)
	return min(1, r.warmUpStart+(1-r.warmUpStart)*max(progress, 0))
}

// readyPower returns the power of a zone's ready servers at now, less what warming-up servers still
// lack. Its unit is one server of power 1.
func (r *Recorder) readyPower(now time.Duration, z *zoneStats) float64 {
	sum := z.warmPower
	for _, endpoint := range z.warmingUp {
		sum += listedPower(endpoint) * r.warmUpFraction(now, endpoint)
	}
	return sum
}
