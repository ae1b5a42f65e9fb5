package zonestats

import (
	"math"
	"time"

	"harrierhoist/policy"
)

const (
	// maxResultAge is the age above which the latest result of a server is ignored.
	maxResultAge = 6 * time.Second
	// minConsecutiveFailures is the number of distinct servers that must fail, without a response
	// from any server in between, for the zone to count as lost regardless of older results.
	minConsecutiveFailures = 3
	// freshResultAge is the age up to which a result is fresh. If no server has a fresh response, a
	// fresh failure of one server makes the zone failing, and failures of minFreshFailures servers
	// make it lost.
	freshResultAge   = time.Second
	minFreshFailures = 2
	// A zone with attempts in flight counts as lost if no server in it has reacted for the longer
	// of minSilenceTimeout and silenceTimeoutFactor times the smoothed answer time.
	minSilenceTimeout    = 500 * time.Millisecond
	silenceTimeoutFactor = 3.0
	// answerTimeSmoothing is the number of answers over which the answer time is exponentially
	// smoothed.
	answerTimeSmoothing = 16.0
)

// Indexes of zoneStats.completed, in the order of Outcomes.
const (
	indexAnswered = iota
	indexFailed
	indexRejected
)

// lastResult is a server's latest result.
type lastResult struct {
	at           time.Duration
	isResponsive bool // the server answered or rejected the attempt
}

// zoneStats holds a gateway's recent observations of a zone, and its counts for that zone.
type zoneStats struct {
	results             map[uint32]lastResult // by server
	failedSinceResponse map[uint32]bool       // servers that failed since the last response of any server
	inFlight            int                   // number of attempts in flight
	waitingSince        time.Duration         // start of the current wait for a reaction; 0 if there is none
	smoothedAnswerTime  time.Duration         // moving average over about answerTimeSmoothing answers

	warmPower float64           // power of the ready and warm servers, in servers of power 1
	warmingUp []policy.Endpoint // ready servers that are still warming up

	healthTime [Healthy + 1]uint64       // milliseconds, by health in quarters
	completed  [indexRejected + 1]uint64 // number of attempts, by outcome
	attempted  float64                   // thousandths of units
	answerTime float64                   // milliseconds
	readyTime  [PowerBands]uint64        // milliseconds, by band
	readyPower [PowerBands]float64       // power times milliseconds, by band
	names      zoneNames
}

// zoneNames caches the names of a zone's counts.
type zoneNames struct {
	healthTime            [Healthy + 1]string
	completed             [indexRejected + 1]string
	attempted, answerTime string
	readyTime, readyPower [PowerBands]string
}

// newZoneStats returns empty statistics of toZone as observed by a gateway in fromZone. Both may be
// the same zone.
func newZoneStats(fromZone, toZone string) *zoneStats {
	z := &zoneStats{results: map[uint32]lastResult{}, failedSinceResponse: map[uint32]bool{}}
	z.names.attempted = AttemptedName(fromZone, toZone)
	z.names.answerTime = AnswerTimeName(fromZone, toZone)
	for quarter := range z.names.healthTime {
		z.names.healthTime[quarter] = HealthTimeName(fromZone, toZone, quarter)
	}
	for i, outcome := range Outcomes() {
		z.names.completed[i] = CompletedName(fromZone, toZone, outcome)
	}
	for band := range PowerBands {
		z.names.readyTime[band] = ReadyTimeName(toZone, band)
		z.names.readyPower[band] = ReadyPowerName(toZone, band)
	}
	return z
}

// addAttempt counts the start of an attempt.
func (z *zoneStats) addAttempt(now time.Duration, units float64) {
	z.attempted += units * thousandths
	z.inFlight++
	if !z.isAwaitingReaction() {
		z.waitingSince = now
	}
}

// addResult counts the end of an attempt. An attempt cancelled after the silence timeout or later
// counts as failed; one cancelled earlier is not counted, as it shows nothing about the server. A
// server that rejects an attempt is responsive.
func (z *zoneStats) addResult(now time.Duration, server uint32, outcome policy.Outcome, latency time.Duration) {
	z.inFlight = max(z.inFlight-1, 0)
	index := indexFailed
	switch outcome {
	case policy.Errored, policy.TimedOut, policy.ConnectFailed, policy.Reset:
	case policy.Answered:
		index = indexAnswered
		z.answerTime += float64(latency) / float64(time.Millisecond)
		z.smoothedAnswerTime += time.Duration(float64(latency-z.smoothedAnswerTime) / answerTimeSmoothing)
	case policy.Rejected:
		index = indexRejected
	case policy.NotSent:
		return
	case policy.Cancelled:
		if latency < z.silenceTimeout() {
			return
		}
	}
	z.completed[index]++
	z.results[server] = lastResult{at: now, isResponsive: index != indexFailed}
	if index == indexFailed {
		z.failedSinceResponse[server] = true
	} else {
		clear(z.failedSinceResponse)
	}
	if outcome == policy.Cancelled || outcome == policy.TimedOut {
		return // the server did not react, so the wait continues
	}
	z.waitingSince = 0
	if z.inFlight > 0 {
		z.waitingSince = now
	}
}

// silenceTimeout returns the time without any reaction after which the zone counts as silent.
func (z *zoneStats) silenceTimeout() time.Duration {
	return max(minSilenceTimeout, time.Duration(silenceTimeoutFactor*float64(z.smoothedAnswerTime)))
}

// isAwaitingReaction reports whether the gateway is waiting for a reaction of any server in the
// zone: an answer, a rejection, an error or a closed connection.
func (z *zoneStats) isAwaitingReaction() bool { return z.waitingSince != 0 }

// isSilent reports whether at least minInFlight attempts are in flight and no server in the zone
// has reacted for longer than the silence timeout.
func (z *zoneStats) isSilent(now time.Duration, minInFlight int) bool {
	return z.isAwaitingReaction() && z.inFlight >= minInFlight && now-z.waitingSince > z.silenceTimeout()
}

// resultCounts are numbers of servers by the age and kind of their latest result.
type resultCounts struct {
	total, responsive            int // results not older than maxResultAge
	freshResponsive, freshFailed int // results not older than freshResultAge
}

// countRecentResults deletes the results that are older than maxResultAge, and counts the others.
func (z *zoneStats) countRecentResults(now time.Duration) resultCounts {
	var counts resultCounts
	for server, result := range z.results {
		age := now - result.at
		if age > maxResultAge {
			delete(z.results, server)
			continue
		}
		counts.total++
		if result.isResponsive {
			counts.responsive++
		}
		switch {
		case age > freshResultAge:
		case result.isResponsive:
			counts.freshResponsive++
		default:
			counts.freshFailed++
		}
	}
	return counts
}

// health returns the zone's health in quarters. If there are no recent results, known is false. A
// silent zone, consecutive failures, or only failures among the fresh results indicate a loss
// before older responses expire. Otherwise the health is the fraction of servers whose latest
// result was a response.
func (z *zoneStats) health(now time.Duration, minInFlight int) (quarter int, known bool) {
	if z.isSilent(now, minInFlight) {
		return Lost, true
	}
	counts := z.countRecentResults(now)
	if counts.total == 0 {
		clear(z.failedSinceResponse)
		return Lost, false
	}
	freshFailures := 0
	if counts.freshResponsive == 0 {
		freshFailures = counts.freshFailed
	}
	switch {
	case len(z.failedSinceResponse) >= minConsecutiveFailures || freshFailures >= minFreshFailures:
		return Lost, true
	case freshFailures > 0:
		return Failing, true
	}
	return int(math.Round(Healthy * float64(counts.responsive) / float64(counts.total))), true
}

// writeCounts calls add with the name and total of each of the zone's counts that is not 0.
func (z *zoneStats) writeCounts(add func(name string, n uint64)) {
	addNonZero := func(name string, n uint64) {
		if n > 0 {
			add(name, n)
		}
	}
	for quarter, n := range z.healthTime {
		addNonZero(z.names.healthTime[quarter], n)
	}
	for i, n := range z.completed {
		addNonZero(z.names.completed[i], n)
	}
	addNonZero(z.names.attempted, uint64(z.attempted))
	addNonZero(z.names.answerTime, uint64(z.answerTime))
	for band, n := range z.readyTime {
		addNonZero(z.names.readyTime[band], n)
		addNonZero(z.names.readyPower[band], uint64(z.readyPower[band]))
	}
}
