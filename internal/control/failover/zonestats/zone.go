package zonestats

import (
	"math"
	"time"

	"harrierhoist/policy"
)

const (
	// resultMemory is how long the latest result of a server counts.
	resultMemory = 6 * time.Second
	// minFailedRun is how many servers must have failed, with no answer of any in between, for a
	// loss at once, whatever had answered before.
	minFailedRun = 3
	// freshTime is the time in which, without any answer, fewer failed servers tell of a loss: one
	// makes the zone failing, minFreshFailures make it lost.
	freshTime        = time.Second
	minFreshFailures = 2
	// minSilence is after what time without an answer, with attempts in flight, the whole zone
	// counts as lost. silenceFactor is the same in usual answer times; the longer of the two
	// counts.
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
	alive bool // the server answered, or rejected
}

// zoneStats is what a gateway knows of a zone, and its counts.
type zoneStats struct {
	results         map[uint32]lastResult // by server
	failedRun       map[uint32]bool       // servers that failed since any answered
	inFlight        int                   // attempts
	waitingSince    time.Duration         // without an answer; read by isWaiting
	usualAnswerTime time.Duration

	warmPower float64           // of listed servers that are ready and warm, in servers of power 1
	warmingUp []policy.Endpoint // listed servers that are ready and warming up

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
	z.names.attempted = Attempted(from, to)
	z.names.answerTime = AnswerTime(from, to)
	for quarter := range z.names.healthTime {
		z.names.healthTime[quarter] = HealthTime(from, to, quarter)
	}
	for i, outcome := range Outcomes() {
		z.names.completed[i] = Completed(from, to, outcome)
	}
	for band := range PowerBands {
		z.names.readyTime[band] = ReadyTime(to, band)
		z.names.readyPower[band] = ReadyPower(to, band)
	}
	return z
}

// addAttempt counts an attempt that starts.
func (z *zoneStats) addAttempt(now time.Duration, units float64) {
	z.attempted += units * thousandths
	z.inFlight++
	if !z.isWaiting() {
		z.waitingSince = now
	}
}

// addResult counts the end of an attempt. One that was cancelled after the silence timeout has
// failed; one cancelled earlier tells nothing. A server that rejects is alive.
func (z *zoneStats) addResult(now time.Duration, server uint32, outcome policy.Outcome, took time.Duration) {
	z.inFlight = max(z.inFlight-1, 0)
	index := indexFailed
	switch outcome {
	case policy.Errored, policy.TimedOut, policy.ConnectFailed, policy.Reset:
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
		return // no answer came, so the wait goes on
	}
	z.waitingSince = 0
	if z.inFlight > 0 {
		z.waitingSince = now
	}
}

// silenceTimeout is after what time without any answer the zone counts as silent.
func (z *zoneStats) silenceTimeout() time.Duration {
	return max(minSilence, time.Duration(silenceFactor*float64(z.usualAnswerTime)))
}

// isWaiting tells whether an answer is waited for.
func (z *zoneStats) isWaiting() bool { return z.waitingSince != 0 }

// isSilent decides whether the whole zone says nothing: no answer came for the silence timeout,
// with at least so many attempts in flight.
func (z *zoneStats) isSilent(now time.Duration, minInFlight int) bool {
	return z.isWaiting() && z.inFlight >= minInFlight && now-z.waitingSince > z.silenceTimeout()
}

// recentResults are how many servers have a recent latest result, by what it was.
type recentResults struct {
	all, alive              int // within resultMemory
	freshAlive, freshFailed int // within freshTime
}

// recent forgets results that are too old, and counts the others.
func (z *zoneStats) recent(now time.Duration) recentResults {
	var found recentResults
	for server, result := range z.results {
		age := now - result.at
		if age > resultMemory {
			delete(z.results, server)
			continue
		}
		found.all++
		if result.alive {
			found.alive++
		}
		switch {
		case age > freshTime:
		case result.alive:
			found.freshAlive++
		default:
			found.freshFailed++
		}
	}
	return found
}

// health decides which quarter of a zone answers; known is false without recent results. A loss
// shows at once by a silence, by servers that failed in a row, or where nothing answered of late;
// otherwise the part of servers whose latest result was an answer counts.
func (z *zoneStats) health(now time.Duration, minInFlight int) (quarter int, known bool) {
	if z.isSilent(now, minInFlight) {
		return Lost, true
	}
	found := z.recent(now)
	if found.all == 0 {
		clear(z.failedRun)
		return Lost, false
	}
	failedFresh := 0
	if found.freshAlive == 0 {
		failedFresh = found.freshFailed
	}
	switch {
	case len(z.failedRun) >= minFailedRun || failedFresh >= minFreshFailures:
		return Lost, true
	case failedFresh > 0:
		return Failing, true
	}
	return int(math.Round(Healthy * float64(found.alive) / float64(found.all))), true
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
