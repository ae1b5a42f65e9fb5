package zonestats

import (
	"math"
	"strconv"

	"harrierhoist/internal/coordination/observation"
)

// How much of a zone answers, as one gateway observes it: the part of the servers with a recent
// result that answer, in quarters. Failing or less speaks of a loss.
const (
	Lost    = 0
	Failing = 1
	Healthy = 4
)

// The first parts of the counts' names. They go between processes of different releases, so they
// never change.
const (
	nameAwakeTime    = "time"
	nameHealthTime   = "judged"
	nameOffered      = "came"
	nameAdmitted     = "let"
	nameAttempted    = "pushed"
	nameCompleted    = "ended"
	nameAnswerTime   = "took"
	nameCounterCalls = "count"
	nameReadyTime    = "ready"
	nameReadyPower   = "strength"
)

// The outcomes of attempts in the counts' names. They never change either.
const (
	OutcomeAnswered = "well"
	OutcomeFailed   = "ill"
	OutcomeRejected = "full"
)

// The outcomes of calls to the counter in the counts' names.
const (
	callDone = "well"
	callLate = "late"
)

// Outcomes are the outcomes of attempts that Completed counts.
func Outcomes() []string { return []string{OutcomeAnswered, OutcomeFailed, OutcomeRejected} }

// AwakeTime names the milliseconds that the gateways of a zone were awake.
func AwakeTime(zone string) string { return observation.JoinName(nameAwakeTime, zone) }

// HealthTime names the milliseconds in which the gateways of a zone held another zone, or their
// own, to be at a quarter (Lost to Healthy). A gateway without recent results adds to none.
func HealthTime(from, to string, quarter int) string {
	return observation.JoinName(nameHealthTime, from, to, strconv.Itoa(quarter))
}

// Offered names the units, in thousandths, of the requests that came in at a zone's gateways,
// without repeats by clients.
func Offered(zone string) string { return observation.JoinName(nameOffered, zone) }

// Admitted names the units, in thousandths, of the requests that quotas admitted at a zone's
// gateways at their clients' first try, attempted or rejected for want of capacity. It is the
// demand that the failover controller goes by.
func Admitted(zone string) string { return observation.JoinName(nameAdmitted, zone) }

// Attempted names the units, in thousandths, of all attempts from a zone on another.
func Attempted(from, to string) string { return observation.JoinName(nameAttempted, from, to) }

// Completed names the attempts from a zone on another that ended with an outcome, one of Outcomes.
func Completed(from, to, outcome string) string {
	return observation.JoinName(nameCompleted, from, to, outcome)
}

// AnswerTime names the milliseconds that answers took, by zones.
func AnswerTime(from, to string) string { return observation.JoinName(nameAnswerTime, from, to) }

// CounterCalls names the calls of a zone's gateways to the counter, by outcome: done, or late,
// which includes those that failed.
func CounterCalls(zone, outcome string) string {
	return observation.JoinName(nameCounterCalls, zone, outcome)
}

// Ready power is reported in bands, so that one gateway with a wrong endpoint list moves no mean:
// the median gateway's band is taken, and the mean within it.
const (
	PowerBands   = 64   // band 0 is no power at all
	firstBandEnd = 0.1  // the power at which band 1 ends, in servers of power 1
	bandRatio    = 1.25 // of the ends of consecutive bands
)

// PowerBand is the band of a ready power: 0 to PowerBands-1.
func PowerBand(power float64) int {
	if power <= 0 {
		return 0
	}
	return min(max(1+int(math.Ceil(math.Log(power/firstBandEnd)/math.Log(bandRatio))), 1), PowerBands-1)
}

// ReadyTime names the milliseconds in which gateways of any zone held a zone's ready power to be in
// a band.
func ReadyTime(zone string, band int) string {
	return observation.JoinName(nameReadyTime, zone, strconv.Itoa(band))
}

// ReadyPower names the sum of the ready powers in that band: in servers of power 1 that are ready
// and warm, times milliseconds.
func ReadyPower(zone string, band int) string {
	return observation.JoinName(nameReadyPower, zone, strconv.Itoa(band))
}
