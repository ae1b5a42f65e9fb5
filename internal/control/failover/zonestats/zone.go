package zonestats

import (
	"math"
	"time"

	"harrierhoist/policy"
)

const (
	// resultMemory is how long the latest result of a server counts: a few rounds of a gateway with few requests, and of the
	// pauses for which the policy module ejects a failed server.
	resultMemory = 6 * time.Second
	// minFailedRun is how many servers must have failed, with no answer of any between, to be a loss at once, whatever was
	// healthy before; of a zone half of which is down a gateway observes that now and then, but not most gateways at once.
	minFailedRun = 3
	// freshTime is how far back nothing answered, for a server or two that failed to say as much: in a gateway with few
	// requests. One makes the zone failing, minFreshFailures make it lost. What one gateway so overstates, others do not.
	freshTime        = time.Second
	minFreshFailures = 2
	// minSilence and silenceFactor say when no answer at all, with attempts in flight, speaks for the loss of the whole zone:
	// after so much time, and so many usual answer times.
	minSilence    = 500 * time.Millisecond
	silenceFactor = 3.0
	// answerTimeSmoothing is over how many answers the usual answer time is taken.
	answerTimeSmoothing = 16.0
)

// The indexes of completed counts, in the order of Outcomes.
const (
	indexAnswered = iota
	indexFailed
	indexRejected
)

// lastResult is a server's latest result.
type lastResult struct {
	at    time.Duration
	alive bool // it answered, or rejected
}

// zoneStats is what a gateway knows of a zone, and its counts.
type zoneStats struct {
	results         map[uint32]lastResult // by server
	failedRun       map[uint32]bool       // servers that failed since any answered
	inFlight        int                   // attempts
	waitingSince    time.Duration         // since when no answer came with an attempt in flight; 0: none is waited for
	usualAnswerTime time.Duration

	warmPower float64           // of the listed servers that are ready and warm, in servers of power 1
	warmingUp []policy.Endpoint // the listed servers that are ready and warming up

	healthTime [Healthy + 1]uint64 // milliseconds
	completed  [indexRejected + 1]uint64
	attempted  float64 // thousandths of units
	answerTime float64 // milliseconds
	readyTime  [PowerBands]uint64
	readyPower [PowerBands]float64
	names      zoneNames
}

// zoneNames are the names of a zone's counts, made once.
type zoneNames struct {
	healthTime            [Healthy + 1]string
	completed             [indexRejected + 1]string
	attempted, answerTime string
	readyTime, readyPower [PowerBands]string
}

// newZoneStats starts with nothing known of a zone, as observed from another zone or from itself.
func newZoneStats(from, to string) *zoneStats {
	z := &zoneStats{results: map[uint32]lastResult{}, failedRun: map[uint32]bool{}}
	z.names.attempted, z.names.answerTime = Attempted(from, to), AnswerTime(from, to)
	for quarter := range z.names.healthTime {
		z.names.healthTime[quarter] = HealthTime(from, to, quarter)
	}
	for i, outcome := range Outcomes() {
		z.names.completed[i] = Completed(from, to, outcome)
	}
	for band := range PowerBands {
		z.names.readyTime[band], z.names.readyPower[band] = ReadyTime(to, band), ReadyPower(to, band)
	}
	return z
}

// addAttempt counts an attempt that starts.
func (z *zoneStats) addAttempt(now time.Duration, units float64) {
	z.attempted += units * thousandths
	if z.inFlight++; z.waitingSince == 0 {
		z.waitingSince = now
	}
}

// addResult counts the end of an attempt. One that was cancelled after a silence has failed; one cancelled earlier tells
// nothing. A server that rejects is alive.
func (z *zoneStats) addResult(now time.Duration, server uint32, outcome policy.Outcome, took time.Duration) {
	z.inFlight = max(z.inFlight-1, 0)
	index := indexFailed
	switch outcome {
	case policy.Answered:
		index = indexAnswered
		z.answerTime += float64(took) / float64(time.Millisecond)
		z.usualAnswerTime += time.Duration(float64(took-z.usualAnswerTime) / answerTimeSmoothing)
	case policy.Rejected:
		index = indexRejected
	case policy.NotSent:
		return
	case policy.Cancelled:
		if took < z.silenceTimeout() {
			return
		}
	}
	z.completed[index]++
	z.results[server] = lastResult{at: now, alive: index != indexFailed}
	if index == indexFailed {
		z.failedRun[server] = true
	} else {
		clear(z.failedRun)
	}
	if outcome == policy.Cancelled || outcome == policy.TimedOut {
		return // nothing was heard: the silence goes on
	}
	if z.waitingSince = 0; z.inFlight > 0 {
		z.waitingSince = now
	}
}

// silenceTimeout is after what time without any answer the zone counts as silent.
func (z *zoneStats) silenceTimeout() time.Duration {
	return max(minSilence, time.Duration(silenceFactor*float64(z.usualAnswerTime)))
}

// health gives the quarter of a zone that answers; known is false where nothing is known of late. So many attempts in flight
// without an answer are a silence.
func (z *zoneStats) health(now time.Duration, minInFlight int) (quarter int, known bool) {
	if z.waitingSince != 0 && z.inFlight >= minInFlight && now-z.waitingSince > z.silenceTimeout() {
		return Lost, true
	}
	alive, freshAlive, freshFailed := 0, 0, 0
	for server, result := range z.results {
		age := now - result.at
		if age > resultMemory {
			delete(z.results, server)
			continue
		}
		if result.alive {
			alive++
		}
		switch {
		case age > freshTime:
		case result.alive:
			freshAlive++
		default:
			freshFailed++
		}
	}
	switch {
	case len(z.results) == 0:
		clear(z.failedRun)
		return 0, false
	case len(z.failedRun) >= minFailedRun || freshFailed >= minFreshFailures && freshAlive == 0:
		return Lost, true
	case freshFailed > 0 && freshAlive == 0:
		return Failing, true
	}
	return int(math.Round(Healthy * float64(alive) / float64(len(z.results)))), true
}

// writeCounts gives the zone's counts that are not 0.
func (z *zoneStats) writeCounts(add func(name string, n uint64)) {
	addSome := func(name string, n uint64) {
		if n > 0 {
			add(name, n)
		}
	}
	for quarter, n := range z.healthTime {
		addSome(z.names.healthTime[quarter], n)
	}
	for i, n := range z.completed {
		addSome(z.names.completed[i], n)
	}
	addSome(z.names.attempted, uint64(z.attempted))
	addSome(z.names.answerTime, uint64(z.answerTime))
	for band, n := range z.readyTime {
		addSome(z.names.readyTime[band], n)
		addSome(z.names.readyPower[band], uint64(z.readyPower[band]))
	}
}
