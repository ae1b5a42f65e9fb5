package failover

import (
	"math"
	"slices"
	"time"

	"harrierhoist/internal/zonestats"
)

// estimates is what the decider holds to be true of halls; it outlives the evidence for it.
type estimates struct {
	settings      *Settings
	health        []int           // by hall the quarters that answer
	healthAt      []time.Duration // when that was last told
	linkHealth    [][]int         // by from and to the same; -1: not known
	linkHealthAt  [][]time.Duration
	readyPower    []float64       // listed, ready and warm, in servers of power 1; below 0: not told yet
	demand        []float64       // units a second let in
	gateways      []float64       // gateways
	smoothing     []time.Duration // over how long demand is measured
	hasHeadroom   []bool          // a hall that serves its own tasks and is not full
	isReporting   []bool          // any gateway of the hall told anything of late
	lastSampleAt  time.Duration
	firstSampleAt time.Duration // of the first look
	demandKnown   bool          // demand was known before that
}

const (
	// demandRiseTime and easeOver are over how long demand follows what is measured at a hall that serves its own tasks and is
	// not full: long enough that chance, where few tasks come in, is no flood (over 1 s it moved tasks in vain).
	demandRiseTime = 2 * time.Second
	demandFallTime = 5 * time.Second
	// minSmoothedAttempts is over how many pushes at the least, and quietMost the longest that this makes it.
	minSmoothedAttempts = 80.0
	maxQuietSmoothing   = 20 * time.Second
	// constrainedFallTime is the same for less demand, at any other hall: while it is lost or full, less is let in than will be. It
	// guards a receiver against filling up in between. Harm: after a flood, overflow lasts longer than it must.
	constrainedFallTime = 20 * time.Second
	// silentFallTime is the same for a hall whose gateways tell nothing at all: they may be cut off from the voters alone,
	// and push on. Harm: if they are gone, room in their hall is kept for nobody.
	silentFallTime = 5 * time.Minute
	// healthMemoryHoldDowns is after how many least stays without a word a loss is no longer believed: of a link that a plan avoids
	// nothing is heard. If it is still lost, that shows within seconds, on one step of the tasks.
	healthMemoryHoldDowns = 3
	// maxReportAge is how old the word of one hall on another may be to be weighed against that of a third.
	maxReportAge = time.Second
)

func newEstimates(settings *Settings, halls int) *estimates {
	e := &estimates{settings: settings, health: make([]int, halls), healthAt: make([]time.Duration, halls),
		readyPower: make([]float64, halls), demand: make([]float64, halls), gateways: make([]float64, halls),
		isReporting: make([]bool, halls), hasHeadroom: make([]bool, halls),
		smoothing: make([]time.Duration, halls)}
	for i := range halls {
		e.health[i], e.readyPower[i], e.demand[i], e.hasHeadroom[i] = zonestats.Healthy, -1, -1, true
		row := make([]int, halls)
		for to := range row {
			row[to] = -1
		}
		e.linkHealth = append(e.linkHealth, row)
		e.linkHealthAt = append(e.linkHealthAt, make([]time.Duration, halls))
	}
	return e
}

// agreedHealth is the quarter that the gateways of a hall agree on for another in a span: the least that the part asked for
// see or worse, counted in distinct gateways; -1: too few say anything.
func (e *estimates) agreedHealth(start, end *sample, from, to int) int {
	span := float64((end.at - start.at) / time.Millisecond)
	var said [zonestats.Healthy + 1]float64
	all := 0.0
	for q := range said {
		said[q] = (end.health[from][to][q] - start.health[from][to][q]) / span
		all += said[q]
	}
	least := minReportedShare * float64(e.settings.MinGateways)
	if all <= least {
		return -1
	}
	sum := 0.0
	for q, n := range said {
		if sum += n; sum > least && sum >= e.settings.AgreementShare*all {
			return q
		}
	}
	return -1
}

// agreedPower is a hall's listed strength in a span as the gateways agree on it, of all halls together.
func (e *estimates) agreedPower(start, end *sample, to int) float64 {
	span := float64((end.at - start.at) / time.Millisecond)
	all := 0.0
	for b := range end.readyTime[to] {
		all += (end.readyTime[to][b] - start.readyTime[to][b]) / span
	}
	least := minReportedShare * float64(e.settings.MinGateways)
	sum := 0.0
	for b := range end.readyTime[to] {
		n := end.readyTime[to][b] - start.readyTime[to][b]
		if sum += n / span; n > 0 && sum > least && sum >= e.settings.AgreementShare*all {
			return (end.readyPower[to][b] - start.readyPower[to][b]) / n
		}
	}
	return -1
}

// update takes what was seen. False: not enough yet.
func (e *estimates) update(s samples) bool {
	spans, ok := s.halves(confirmSpan)
	if !ok {
		return false
	}
	long, far := s.halves(slowConfirmSpan)
	now := s[len(s)-1].at
	step := now - e.lastSampleAt
	if e.lastSampleAt == 0 {
		step, e.firstSampleAt = 0, now
	}
	e.lastSampleAt = now
	for from := range e.linkHealth {
		e.updateDemand(s, from, step)
		for to := range e.linkHealth {
			a, b := e.agreedHealth(spans[0][0], spans[0][1], from, to), e.agreedHealth(spans[1][0], spans[1][1], from, to)
			if max(a, b) > zonestats.Failing && far {
				if x, y := e.agreedHealth(long[0][0], long[0][1], from, to), e.agreedHealth(long[1][0], long[1][1], from, to); min(x, y) >= 0 {
					a, b = x, y
				}
			}
			if a < 0 || b < 0 {
				if e.linkHealthAt[from][to]+healthMemoryHoldDowns*e.settings.holdDown() < now {
					e.linkHealth[from][to] = -1
				}
				continue
			}
			e.linkHealthAt[from][to] = now
			if e.linkHealth[from][to] < 0 || !far {
				e.linkHealth[from][to] = max(a, b)
			}
			e.linkHealth[from][to] = min(max(e.linkHealth[from][to], min(a, b)), max(a, b)) // moves as far as both halves say
		}
		a, b := e.agreedPower(spans[0][0], spans[0][1], from), e.agreedPower(spans[1][0], spans[1][1], from)
		switch was := e.readyPower[from]; {
		case a < 0 || b < 0:
		case was < 0:
			e.readyPower[from] = max(a, b)
		default:
			e.readyPower[from] = min(max(was, min(a, b)), max(a, b))
		}
	}
	e.updateHealth(now)
	return !slices.ContainsFunc(e.readyPower, func(s float64) bool { return s < 0 })
}

// updateHealth says of each hall how much of it answers: as those see it that see most, since what others miss may be their link.
// Where its own gateways, that had tasks, tell nothing, others' word speaks of their links to it alone: it may be cut off
// from them and from the voters, and serve its own. Harm: if it is gone, each hall has to find that out for itself.
func (e *estimates) updateHealth(now time.Duration) {
	for to := range e.health {
		best := -1
		for from := range e.linkHealth {
			if e.linkHealth[from][to] >= 0 && e.linkHealthAt[from][to]+maxReportAge >= now {
				best = max(best, e.linkHealth[from][to])
			}
		}
		switch {
		case best >= 0 && best <= zonestats.Failing && !e.isReporting[to] && e.demand[to] > minDemand:
		case best >= 0:
			e.health[to], e.healthAt[to] = best, now
		case e.healthAt[to]+healthMemoryHoldDowns*e.settings.holdDown() < now:
			e.health[to] = zonestats.Healthy
		}
	}
}

// isSettled tells that demand is known well enough to move a hall's tasks for its sake.
func (e *estimates) isSettled(from int) bool {
	return e.demandKnown || e.lastSampleAt >= e.firstSampleAt+min(e.smoothing[from], maxQuietSmoothing)
}

// updateDemand takes how many gateways a hall has and what they let in. Both go by each gateway's own time, so that a digest
// that comes late and holds much is no flood.
func (e *estimates) updateDemand(s samples, from int, step time.Duration) {
	last := s[len(s)-1]
	var gateways []float64
	end, first := last, last
	for i := range rateSpans {
		start := s.before(time.Duration(i+1) * rateSpan)
		if start == nil || start.at >= end.at {
			break
		}
		gateways = append(gateways, reportingGateways(start, end, from))
		if end = start; i < 2 {
			first = start
		}
	}
	if len(gateways) == 0 {
		return
	}
	e.isReporting[from] = gateways[0] > 0
	slices.Sort(gateways)
	e.gateways[from] = gateways[len(gateways)/2]
	each := last.awake[from] - first.awake[from]
	if each <= 0 {
		e.demand[from] *= math.Exp(-float64(step) / float64(silentFallTime))
		return
	}
	// Thousandths of units over milliseconds are units over seconds.
	rate := (last.admitted[from] - first.admitted[from]) / each * e.gateways[from]
	smoothing := constrainedFallTime
	switch {
	case rate > e.demand[from]:
		smoothing = demandRiseTime
	case e.hasHeadroom[from]:
		smoothing = demandFallTime
	}
	if e.demand[from] < 0 {
		e.demand[from] = rate
	}
	attempts := (last.completed[from] - first.completed[from]) / each * e.gateways[from] * 1000 // a second
	smoothing = max(smoothing, time.Duration(min(minSmoothedAttempts/max(attempts, 1), maxQuietSmoothing.Seconds())*float64(time.Second)))
	if e.smoothing[from] = smoothing; !e.demandKnown {
		smoothing = min(smoothing, max(e.lastSampleAt-e.firstSampleAt, step)) // at first the mean of all so far
	}
	e.demand[from] += (rate - e.demand[from]) * -math.Expm1(-float64(step)/float64(max(smoothing, 1)))
}

// capacity is what a hall bears, in units a second, and the quarters of it that answer. What all halls suffer alike, as from
// a bad release, counts for none: then no hall is a better place than another. A hall of which nothing is known counts
// as sound.
func (e *estimates) capacity(to int, zone string) (units float64, health float64) {
	if e.readyPower[to] <= 0 {
		return 0, 0
	}
	best := 0
	for i, q := range e.health {
		if e.readyPower[i] > 0 {
			best = max(best, q)
		}
	}
	health = zonestats.Healthy
	if best > zonestats.Failing {
		health = zonestats.Healthy * float64(e.health[to]) / float64(best)
	}
	return e.readyPower[to] * e.settings.capacity(zone) * health / zonestats.Healthy, health
}

// isLinkLost tells that a link between two halls is lost, or that within one: most of the one don't reach the other, which
// others do.
func (e *estimates) isLinkLost(from, to int) bool {
	return e.linkHealth[from][to] >= 0 && e.linkHealth[from][to] <= zonestats.Failing && e.health[to] > zonestats.Failing
}
