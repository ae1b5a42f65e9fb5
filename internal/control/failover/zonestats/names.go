package zonestats

import (
	"math"
	"strconv"

	"harrierhoist/internal/coordination/observation"
)

// The health of a zone as observed by one gateway: the number of quarters of its servers that
// respond, among those with a recent result. Values up to Failing indicate a loss.
const (
	Lost    = 0
	Failing = 1
	Healthy = 4
)

// Prefixes of the names of counts. Processes of different releases exchange the names, so they must
// not change.
const (
	awakeTimePrefix    = "time"
	healthTimePrefix   = "judged"
	offeredPrefix      = "came"
	admittedPrefix     = "let"
	attemptedPrefix    = "pushed"
	completedPrefix    = "ended"
	answerTimePrefix   = "took"
	counterCallsPrefix = "count"
	readyTimePrefix    = "ready"
	readyPowerPrefix   = "strength"
)

// Outcomes of attempts in the names of counts. They must not change either.
const (
	OutcomeAnswered = "well"
	OutcomeFailed   = "ill"
	OutcomeRejected = "full"
)

// Outcomes of calls to the counter in the names of counts. They must not change either.
const (
	callOnTime = "well"
	callLate   = "late"
)

// Outcomes returns the outcomes of attempts that have a count of their own; see CompletedName.
func Outcomes() []string { return []string{OutcomeAnswered, OutcomeFailed, OutcomeRejected} }

// AwakeTimeName returns the name of the count of milliseconds for which a zone's gateways were
// awake.
func AwakeTimeName(zone string) string { return observation.JoinName(awakeTimePrefix, zone) }

// HealthTimeName returns the name of the count of milliseconds for which gateways in fromZone
// observed that the health of toZone was quarter (Lost to Healthy). Both may be the same zone. A
// gateway without recent results adds nothing.
func HealthTimeName(fromZone, toZone string, quarter int) string {
	return observation.JoinName(healthTimePrefix, fromZone, toZone, strconv.Itoa(quarter))
}

// OfferedName returns the name of the count of units, in thousandths, of the requests that a zone's
// gateways received, without clients' repeats.
func OfferedName(zone string) string { return observation.JoinName(offeredPrefix, zone) }

// AdmittedName returns the name of the count of units, in thousandths, of the requests that quotas
// admitted at a zone's gateways, without clients' repeats. The count includes requests that were
// then rejected for lack of capacity. The failover controller uses it as the zone's demand.
func AdmittedName(zone string) string { return observation.JoinName(admittedPrefix, zone) }

// AttemptedName returns the name of the count of units, in thousandths, of all attempts by gateways
// in fromZone on servers in toZone.
func AttemptedName(fromZone, toZone string) string {
	return observation.JoinName(attemptedPrefix, fromZone, toZone)
}

// CompletedName returns the name of the count of attempts by gateways in fromZone on servers in
// toZone that ended with an outcome, which is one of Outcomes.
func CompletedName(fromZone, toZone, outcome string) string {
	return observation.JoinName(completedPrefix, fromZone, toZone, outcome)
}

// AnswerTimeName returns the name of the sum of latencies, in milliseconds, of the answered
// attempts by gateways in fromZone on servers in toZone.
func AnswerTimeName(fromZone, toZone string) string {
	return observation.JoinName(answerTimePrefix, fromZone, toZone)
}

// CounterCallsName returns the name of the count of calls by a zone's gateways to the counter that
// ended with an outcome: callOnTime, or callLate, which includes failed calls.
func CounterCallsName(zone, outcome string) string {
	return observation.JoinName(counterCallsPrefix, zone, outcome)
}

// Ready power is reported in bands. The failover controller takes the median gateway's band and the
// mean within that band, so that a single gateway with a wrong endpoint list does not shift the
// result.
const (
	PowerBands   = 64   // number of bands; band 0 is a power of 0
	firstBandEnd = 0.1  // upper end of band 1, in servers of power 1
	bandRatio    = 1.25 // ratio between the upper ends of consecutive bands
)

// PowerBand returns the band of a ready power, from 0 to PowerBands-1.
func PowerBand(power float64) int {
	if power <= 0 {
		return 0
	}
	return min(max(1+int(math.Ceil(math.Log(power/firstBandEnd)/math.Log(bandRatio))), 1), PowerBands-1)
}

// ReadyTimeName returns the name of the count of milliseconds for which gateways, in any zone,
// computed that a zone's ready power was in a band.
func ReadyTimeName(zone string, band int) string {
	return observation.JoinName(readyTimePrefix, zone, strconv.Itoa(band))
}

// ReadyPowerName returns the name of the sum of a zone's ready powers in a band, each multiplied by
// its duration. The unit is one ready and warm server of power 1 times one millisecond.
func ReadyPowerName(zone string, band int) string {
	return observation.JoinName(readyPowerPrefix, zone, strconv.Itoa(band))
}
