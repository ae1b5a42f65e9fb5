// Package zonestats counts what one gateway observes of zones, which failover decides by. The
// gateway's dispatcher hands it events and the time, and the gateway's digests read its counts; it
// knows no sockets and no clock. All counts only grow. All times in them are milliseconds that the
// gateway was awake, so that one gateway adds at most one second to any of them each second: the
// sum over a span, divided by that span, is the number of distinct gateways that observed it.
package zonestats

import (
	"time"

	"harrierhoist/policy"
)

// thousandths is how many of the counted parts are one unit.
const thousandths = 1000

// Recorder keeps one gateway's counts. It is not safe for concurrent use.
type Recorder struct {
	zones      []*zoneStats
	own        int           // index of the gateway's own zone
	warmUpFrom float64       // part of its power that a server has at its start
	warmUpTime time.Duration // until it has all of it

	countedUntil time.Duration // 0 before the first digest
	awake        time.Duration
	hasEndpoints bool // an endpoint list was received
	ownZone      ownZoneLoss

	offered, admitted    float64 // thousandths of units
	callsDone, callsLate uint64
	names                recorderNames
}

// recorderNames are the names of the counts that are not by zone, made once.
type recorderNames struct {
	awakeTime, offered, admitted, callsDone, callsLate string
}

// New makes a recorder for a gateway whose own zone is at an index of the list of zones.
func New(zones []string, own int, settings *policy.Settings) *Recorder {
	ownZone := zones[own]
	r := &Recorder{own: own, names: recorderNames{
		awakeTime: AwakeTime(ownZone), offered: Offered(ownZone), admitted: Admitted(ownZone),
		callsDone: CounterCalls(ownZone, callDone), callsLate: CounterCalls(ownZone, callLate),
	}}
	r.Reconfigure(settings)
	for _, zone := range zones {
		r.zones = append(r.zones, newZoneStats(ownZone, zone))
	}
	return r
}

// Reconfigure takes over how servers warm up from changed settings.
func (r *Recorder) Reconfigure(settings *policy.Settings) {
	r.warmUpFrom = settings.WarmUpStart
	r.warmUpTime = settings.WarmUpTime
}

// zone is a zone's counts by its index. An endpoint of a zone that the settings do not have counts
// for the nearest index.
func (r *Recorder) zone(index int) *zoneStats {
	return r.zones[min(max(index, 0), len(r.zones)-1)]
}

// AddOffered counts the units of a first try that came in.
func (r *Recorder) AddOffered(units float64) { r.offered += units * thousandths }

// AddShed counts the units of a first try that was rejected for want of capacity before any
// attempt, by a plan that sheds or by the decision module after the quota admitted it. It is demand
// as well: prevents a crowded zone, whose gateways reject what would have to move, from looking
// merely full.
func (r *Recorder) AddShed(units float64) { r.admitted += units * thousandths }

// AddAttempt counts an attempt on a server in a zone, in units. It is demand where it is the first
// of a request that is no client's repeat, so that a request counts once.
func (r *Recorder) AddAttempt(now time.Duration, zone int, units float64, isFirst bool) {
	r.zone(zone).addAttempt(now, units)
	if isFirst {
		r.admitted += units * thousandths
	}
}

// AddResult counts the end of an attempt.
func (r *Recorder) AddResult(now time.Duration, zone int, server uint32, outcome policy.Outcome, took time.Duration) {
	r.zone(zone).addResult(now, server, outcome, took)
}

// AddCounterCall counts the end of a call to the counter; one that failed counts as late.
func (r *Recorder) AddCounterCall(isLate bool) {
	if isLate {
		r.callsLate++
	} else {
		r.callsDone++
	}
}

// SetEndpoints takes over the complete endpoint list as of a time.
func (r *Recorder) SetEndpoints(now time.Duration, endpoints []policy.Endpoint) {
	for _, z := range r.zones {
		z.warmPower = 0
		z.warmingUp = z.warmingUp[:0]
	}
	for _, endpoint := range endpoints {
		switch z := r.zone(endpoint.Zone); {
		case endpoint.State != policy.Ready:
		case r.warmUpFraction(now, endpoint) < 1:
			z.warmingUp = append(z.warmingUp, endpoint)
		default:
			z.warmPower += powerOf(endpoint)
		}
	}
	r.hasEndpoints = true
}

// powerOf is an endpoint's listed power; 1 where none is listed.
func powerOf(endpoint policy.Endpoint) float64 {
	if endpoint.Capacity > 0 {
		return endpoint.Capacity
	}
	return 1
}

// warmUpFraction is the part of its power, 0 to 1, that a server has while it warms up, as the
// decision module takes it.
func (r *Recorder) warmUpFraction(now time.Duration, endpoint policy.Endpoint) float64 {
	if endpoint.StartedAt <= 0 || r.warmUpTime <= 0 {
		return 1
	}
	warmedUp := float64(now-endpoint.StartedAt) / float64(r.warmUpTime)
	return min(1, r.warmUpFrom+(1-r.warmUpFrom)*max(warmedUp, 0))
}

// readyPower is a zone's listed power that is ready now, in servers of power 1.
func (r *Recorder) readyPower(now time.Duration, z *zoneStats) float64 {
	sum := z.warmPower
	for _, endpoint := range z.warmingUp {
		sum += powerOf(endpoint) * r.warmUpFraction(now, endpoint)
	}
	return sum
}
