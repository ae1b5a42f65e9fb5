package zonestats

import (
	"time"

	"harrierhoist/policy"
)

const (
	// maxDigestSpan is the longest time between two digests that a gateway answers for: what it stood still beyond that it
	// saw nothing of.
	maxDigestSpan = 500 * time.Millisecond
	// resultMemory is how long the last outcome of a server counts: a few rounds of a gateway with few tasks, and of the
	// pauses that the module leaves a failed server.
	resultMemory = 6 * time.Second
	// minFailedRun is how many servers must have failed, with no answer of any between, to be a loss at once, whatever was
	// well before; of a hall half of which is dead a gateway sees that now and then, but not most gateways at once.
	minFailedRun = 3
	// freshTime is how far back nothing was well, for a server or two that failed to say as much: a gateway with few tasks.
	// One is ill, two are a loss. What one gateway so takes for more than it is, others do not.
	freshTime        = time.Second
	minFreshFailures = 2
	// minSilence and silenceTimes say when no answer at all, with pushes out, is one ill outcome of the whole hall:
	// so much time, and so many usual answer times.
	minSilence    = 500 * time.Millisecond
	silenceFactor = 3.0
	// answerTimeSmoothing is over how many answers the usual time is taken.
	answerTimeSmoothing = 16.0
	// lossConfirmTime is how long a gateway's own hall must look lost before it goes by that alone.
	lossConfirmTime = time.Second
)

// The ways in which a push ends, for evidence.
const (
	outcomeAnswered = "well"
	outcomeFailed   = "ill"
	outcomeRejected = "full"
	callLate        = "late"
)

// lastResult is a server's latest outcome.
type lastResult struct {
	at       time.Duration
	answered bool
}

// zoneStats is what a gateway knows of a hall.
type zoneStats struct {
	results         map[uint32]lastResult
	failedRun       map[uint32]bool // servers that failed since any answered
	inFlight        int
	waitingSince    time.Duration // since when no answer came with a push out; 0: none is waited for
	usualAnswerTime time.Duration // of answers

	healthTime                      [Healthy + 1]uint64
	completed                       [3]uint64 // well, ill, full
	attempted, answerTime           float64   // thousandths of units; milliseconds
	warmPower                       float64   // listed and warm
	warmingUp                       []policy.Endpoint
	readyTime                       [PowerBands]uint64
	readyPower                      [PowerBands]float64
	healthTimeNames                 [Healthy + 1]string // the names of all these
	completedNames                  [3]string
	attemptedName, answerTimeName   string
	readyTimeNames, readyPowerNames [PowerBands]string
}

// Recorder keeps one gateway's counts. Not safe for use by several goroutines at once.
type Recorder struct {
	zones      []*zoneStats
	own        int
	warmUpFrom float64
	warmUpTime time.Duration

	countedUntil, awake time.Duration
	hasEndpoints        bool
	lossSeenSince       time.Duration // when our own hall began to look lost; 0: it does not
	ownZoneLost         bool

	offered, admitted                        float64
	counterCalls                             [2]uint64 // well, late
	awakeTimeName, offeredName, admittedName string
	callsDoneName, callsLateName             string
}

// New makes a witness of a gateway in the hall of that place in the list of halls.
func New(zones []string, own int, settings *policy.Settings) *Recorder {
	ownZone := zones[own]
	r := &Recorder{own: own, awakeTimeName: AwakeTime(ownZone), offeredName: Offered(ownZone), admittedName: Admitted(ownZone), callsDoneName: CounterCalls(ownZone, outcomeAnswered),
		callsLateName: CounterCalls(ownZone, callLate)}
	r.Reconfigure(settings)
	for _, to := range zones {
		z := &zoneStats{results: map[uint32]lastResult{}, failedRun: map[uint32]bool{}, attemptedName: Attempted(ownZone, to), answerTimeName: AnswerTime(ownZone, to)}
		for q := range z.healthTimeNames {
			z.healthTimeNames[q] = HealthTime(ownZone, to, q)
		}
		for i, outcome := range Outcomes() {
			z.completedNames[i] = Completed(ownZone, to, outcome)
		}
		for b := range PowerBands {
			z.readyTimeNames[b], z.readyPowerNames[b] = ReadyTime(to, b), ReadyPower(to, b)
		}
		r.zones = append(r.zones, z)
	}
	return r
}

// Reconfigure takes how servers warm up from new settings.
func (r *Recorder) Reconfigure(settings *policy.Settings) {
	r.warmUpFrom, r.warmUpTime = settings.WarmUpStart, settings.WarmUpTime
}

func (r *Recorder) zone(n int) *zoneStats { return r.zones[min(max(n, 0), len(r.zones)-1)] }

// AddOffered takes that a task came in.
func (r *Recorder) AddOffered(units float64) { r.offered += units * 1000 }

// AddShed takes that a first try was rejected before any push for want of room, by a plan that sheds or by the module after
// the quota let it in: it is demand like those pushed. It guards a crowded hall, whose gateways turn away what would have to
// move, against looking merely full. Repeats count neither here nor when pushed, so that a task counts once; counted when
// pushed, they had a plan shed 2% more than it must. Harm: a client that doesn't mark its repeats counts with each.
func (r *Recorder) AddShed(units float64) { r.admitted += units * 1000 }

// AddAttempt takes a push to a server in a hall; first: it is the first of a task that its client doesn't ask for again.
func (r *Recorder) AddAttempt(now time.Duration, zone int, units float64, first bool) {
	z := r.zone(zone)
	z.attempted += units * 1000
	if first {
		r.admitted += units * 1000
	}
	if z.inFlight++; z.waitingSince == 0 {
		z.waitingSince = now
	}
}

// AddResult takes the end of a push. One called off after a silence is ill; else what was called off tells nothing, and
// what was turned away unseen tells of a server that lives.
func (r *Recorder) AddResult(now time.Duration, zone int, server uint32, outcome policy.Outcome, took time.Duration) {
	z := r.zone(zone)
	z.inFlight = max(z.inFlight-1, 0)
	said := 1
	switch outcome {
	case policy.Answered:
		said = 0
		z.answerTime += float64(took) / float64(time.Millisecond)
		z.usualAnswerTime += time.Duration(float64(took-z.usualAnswerTime) / answerTimeSmoothing)
	case policy.Rejected:
		said = 2
	case policy.Cancelled, policy.NotSent:
		if outcome == policy.NotSent || took < z.silenceTimeout() {
			return
		}
	}
	z.completed[said]++
	z.results[server] = lastResult{now, said != 1}
	if said == 1 {
		z.failedRun[server] = true
	} else {
		clear(z.failedRun)
	}
	if outcome != policy.Cancelled && outcome != policy.TimedOut {
		if z.waitingSince = 0; z.inFlight > 0 {
			z.waitingSince = now
		}
	}
}

func (z *zoneStats) silenceTimeout() time.Duration {
	return max(minSilence, time.Duration(silenceFactor*float64(z.usualAnswerTime)))
}

// AddCounterCall takes the end of a call to the counter.
func (r *Recorder) AddCounterCall(late bool) {
	if late {
		r.counterCalls[1]++
	} else {
		r.counterCalls[0]++
	}
}

// SetEndpoints takes the servers listed, all of them, as they stand at a time.
func (r *Recorder) SetEndpoints(now time.Duration, list []policy.Endpoint) {
	for _, z := range r.zones {
		z.warmPower, z.warmingUp = 0, z.warmingUp[:0]
	}
	for _, l := range list {
		switch z := r.zone(l.Zone); {
		case l.State != policy.Ready:
		case r.warmUpFraction(now, l) < 1:
			z.warmingUp = append(z.warmingUp, l)
		default:
			z.warmPower += power(l)
		}
	}
	r.hasEndpoints = true
}

func power(l policy.Endpoint) float64 {
	if l.Capacity > 0 {
		return l.Capacity
	}
	return 1
}

// warmUpFraction is the part of its strength that a server surely has, as the module takes it.
func (r *Recorder) warmUpFraction(now time.Duration, l policy.Endpoint) float64 {
	if l.StartedAt <= 0 || r.warmUpTime <= 0 {
		return 1
	}
	grown := float64(now-l.StartedAt) / float64(r.warmUpTime)
	return min(1, r.warmUpFrom+(1-r.warmUpFrom)*max(grown, 0))
}

// readyPower is a hall's listed strength now.
func (r *Recorder) readyPower(now time.Duration, z *zoneStats) float64 {
	sum := z.warmPower
	for _, l := range z.warmingUp {
		sum += power(l) * r.warmUpFraction(now, l)
	}
	return sum
}
