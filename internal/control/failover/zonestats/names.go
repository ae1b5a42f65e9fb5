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

// Outcomes returns the outcomes of attempts that have a count of their own; see Completed.
func Outcomes() []string { return []string{OutcomeAnswered, OutcomeFailed, OutcomeRejected} }

// AwakeTime returns the name of the milliseconds that the gateways of a zone were awake.
func AwakeTime(zone string) string { return observation.JoinName(awakeTimePrefix, zone) }

// HealthTime returns the name of the milliseconds for which gateways of the zone from observed that
// the health of the zone to was quarter (Lost to Healthy). Both may be the same zone. A gateway
// without recent results adds to none of these counts.
func HealthTime(from, to string, quarter int) string {
	return observation.JoinName(healthTimePrefix, from, to, strconv.Itoa(quarter))
}

// Offered returns the name of the units, in thousandths, of the requests that a zone's gateways
// received, without clients' repeats.
func Offered(zone string) string { return observation.JoinName(offeredPrefix, zone) }

// Admitted returns the name of the units, in thousandths, of the requests that quotas admitted at a
// zone's gateways, without clients' repeats. It includes requests that were rejected for lack of
// capacity. The failover controller uses it as the zone's demand.
func Admitted(zone string) string { return observation.JoinName(admittedPrefix, zone) }

// Attempted returns the name of the units, in thousandths, of all attempts by gateways of the zone
// from on servers of the zone to.
func Attempted(from, to string) string { return observation.JoinName(attemptedPrefix, from, to) }

// Completed returns the name of the number of attempts by gateways of the zone from on servers of
// the zone to that ended with an outcome, which is one of Outcomes.
func Completed(from, to, outcome string) string {
	return observation.JoinName(completedPrefix, from, to, outcome)
}

// AnswerTime returns the name of the sum of the latencies, in milliseconds, of the answered
// attempts by gateways of the zone from on servers of the zone to.
func AnswerTime(from, to string) string { return observation.JoinName(answerTimePrefix, from, to) }

// CounterCalls returns the name of the number of calls that a zone's gateways made to the counter
// with an outcome: callOnTime, or callLate, which includes failed calls.
func CounterCalls(zone, outcome string) string {
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

// ReadyTime returns the name of the milliseconds for which gateways of any zone computed that the
// ready power of a zone was in a band.
func ReadyTime(zone string, band int) string {
	return observation.JoinName(readyTimePrefix, zone, strconv.Itoa(band))
}

// ReadyPower returns the name of the integral over time of the ready powers in that band. Its unit
// is one ready and warm server of power 1, times milliseconds.
func ReadyPower(zone string, band int) string {
	return observation.JoinName(readyPowerPrefix, zone, strconv.Itoa(band))
}
