package failover

import (
	"cmp"
	"slices"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

const (
	// healthMemoryHoldDowns is after how many hold-downs without a report a loss is no longer believed: nothing is observed
	// of a link that a plan avoids. If it is still lost, that shows within seconds, on one recovery step of the requests.
	healthMemoryHoldDowns = 3
	// maxReportAge is how old what one zone observes of another may be to be weighed against what a third observes.
	maxReportAge = time.Second
	// unknown stands for a health, a power or a demand of which nothing is known.
	unknown = -1
)

// estimates are what the controller holds to be true of zones; they outlive the observations that they come from. All slices
// are by zone index.
type estimates struct {
	settings     *Settings
	health       []int           // quarters of the zone that answer
	healthAt     []time.Duration // when that was last observed
	linkHealth   [][]int         // by from and to: quarters of to that answer from, or unknown
	linkHealthAt [][]time.Duration
	readyPower   []float64 // of the listed servers that are ready and warm, in servers of power 1; or unknown
	isReporting  []bool    // any gateway of the zone reported of late
	gateways     []float64 // how many gateways report

	demand      []float64       // units a second admitted
	smoothing   []time.Duration // over how long demand was last measured
	hasHeadroom []bool          // the zone serves all of its own requests and is not full
	demandKnown bool            // demand was known before the first sample

	lastSampleAt  time.Duration
	firstSampleAt time.Duration
}

func newEstimates(settings *Settings, zones int) *estimates {
	e := &estimates{
		settings: settings, health: make([]int, zones), healthAt: make([]time.Duration, zones),
		readyPower: make([]float64, zones), isReporting: make([]bool, zones), gateways: make([]float64, zones),
		demand: make([]float64, zones), smoothing: make([]time.Duration, zones), hasHeadroom: make([]bool, zones),
	}
	for zone := range zones {
		e.health[zone], e.hasHeadroom[zone] = zonestats.Healthy, true
		e.readyPower[zone], e.demand[zone] = unknown, unknown
		e.linkHealth = append(e.linkHealth, slices.Repeat([]int{unknown}, zones))
		e.linkHealthAt = append(e.linkHealthAt, make([]time.Duration, zones))
	}
	return e
}

// update takes in the latest samples, and reports whether enough is known to plan by.
func (e *estimates) update(observed samples) bool {
	quick, ok := observed.halves(confirmSpan)
	if !ok {
		return false
	}
	slow, hasSlow := observed.halves(slowConfirmSpan)
	now := observed.last().at
	elapsed := now - e.lastSampleAt
	if e.lastSampleAt == 0 {
		elapsed, e.firstSampleAt = 0, now
	}
	e.lastSampleAt = now
	for from := range e.linkHealth {
		e.updateDemand(observed, from, elapsed)
		for to := range e.linkHealth {
			older, newer := e.agreedHealth(quick.older, from, to), e.agreedHealth(quick.newer, from, to)
			if max(older, newer) > zonestats.Failing && hasSlow {
				slowOlder, slowNewer := e.agreedHealth(slow.older, from, to), e.agreedHealth(slow.newer, from, to)
				if slowOlder != unknown && slowNewer != unknown {
					older, newer = slowOlder, slowNewer
				}
			}
			e.updateLink(now, from, to, older, newer, !hasSlow)
		}
		e.updateReadyPower(quick, from)
	}
	e.updateHealth(now)
	return !slices.ContainsFunc(e.readyPower, func(power float64) bool { return power < 0 })
}

// updateLink takes in what a zone's gateways agree on for another zone, in the older and in the newer interval. An estimate
// that isn't steady yet starts anew each time.
func (e *estimates) updateLink(now time.Duration, from, to, older, newer int, startAnew bool) {
	health, seenAt := &e.linkHealth[from][to], &e.linkHealthAt[from][to]
	if older == unknown || newer == unknown {
		if *seenAt+e.healthMemory() < now {
			*health = unknown
		}
		return
	}
	*seenAt = now
	if *health == unknown || startAnew {
		*health = max(older, newer)
	}
	*health = follow(*health, older, newer)
}

// updateReadyPower takes in a zone's power as listed at the gateways of all zones.
func (e *estimates) updateReadyPower(quick halves, zone int) {
	older, newer := e.agreedPower(quick.older, zone), e.agreedPower(quick.newer, zone)
	switch power := e.readyPower[zone]; {
	case older < 0 || newer < 0:
	case power < 0:
		e.readyPower[zone] = max(older, newer)
	default:
		e.readyPower[zone] = follow(power, older, newer)
	}
}

// follow moves an estimate as far as both of two observations say.
func follow[T cmp.Ordered](estimate, a, b T) T { return min(max(estimate, min(a, b)), max(a, b)) }

// healthMemory is for how long an observed loss is believed.
func (e *estimates) healthMemory() time.Duration {
	return healthMemoryHoldDowns * e.settings.holdDown()
}

// agreedHealth is the quarter that the gateways of a zone agree on for another zone in an interval: the lowest that the
// agreement share of them observe, or lower, counted in distinct gateways; unknown: too few report.
func (e *estimates) agreedHealth(i interval, from, to int) int {
	var observers byHealth[float64]
	all := 0.0
	for quarter := range observers {
		observers[quarter] = (i.end.health[from][to][quarter] - i.start.health[from][to][quarter]) / i.milliseconds()
		all += observers[quarter]
	}
	if all <= e.minObservers() {
		return unknown
	}
	sum := 0.0
	for quarter, n := range observers {
		if sum += n; e.agree(sum, all) {
			return quarter
		}
	}
	return unknown
}

// agreedPower is a zone's listed power in an interval as the gateways of all zones together agree on it; below 0: they don't.
func (e *estimates) agreedPower(i interval, zone int) float64 {
	all := 0.0
	for band := range i.end.readyTime[zone] {
		all += (i.end.readyTime[zone][band] - i.start.readyTime[zone][band]) / i.milliseconds()
	}
	sum := 0.0
	for band := range i.end.readyTime[zone] {
		inBand := i.end.readyTime[zone][band] - i.start.readyTime[zone][band]
		if sum += inBand / i.milliseconds(); inBand > 0 && e.agree(sum, all) {
			return (i.end.readyPower[zone][band] - i.start.readyPower[zone][band]) / inBand
		}
	}
	return unknown
}

// minObservers is how many gateways' worth of reported time is too little to go by.
func (e *estimates) minObservers() float64 { return minReportedShare * float64(e.settings.MinGateways) }

// agree tells whether so many gateways of all that report are enough to go by.
func (e *estimates) agree(gateways, all float64) bool {
	return gateways > e.minObservers() && gateways >= e.settings.AgreementShare*all
}

// updateHealth says of each zone how much of it answers: as those zones observe it that observe most, since what others miss
// may be their link. Where its own gateways, which had requests, report nothing, what others observe speaks of their links
// to it alone: the zone may be cut off from them and from the voters, and serve its own requests. Drawback: if it is gone,
// each zone has to find that out for itself.
func (e *estimates) updateHealth(now time.Duration) {
	for to := range e.health {
		best := unknown
		for from := range e.linkHealth {
			if e.linkHealth[from][to] != unknown && e.linkHealthAt[from][to]+maxReportAge >= now {
				best = max(best, e.linkHealth[from][to])
			}
		}
		switch {
		case best != unknown && best <= zonestats.Failing && !e.isReporting[to] && e.demand[to] > minDemand:
		case best != unknown:
			e.health[to], e.healthAt[to] = best, now
		case e.healthAt[to]+e.healthMemory() < now:
			e.health[to] = zonestats.Healthy
		}
	}
}

// capacity is how many units a second a zone can take, and the quarters of it that answer. What all zones suffer alike, as
// from a bad release, counts for nothing: then no zone is a better place than another. A zone of which nothing is known
// counts as healthy.
func (e *estimates) capacity(zone int, name string) (units, quarters float64) {
	if e.readyPower[zone] <= 0 {
		return 0, 0
	}
	best := 0
	for other, health := range e.health {
		if e.readyPower[other] > 0 {
			best = max(best, health)
		}
	}
	quarters = zonestats.Healthy
	if best > zonestats.Failing {
		quarters = zonestats.Healthy * float64(e.health[zone]) / float64(best)
	}
	return e.readyPower[zone] * e.settings.capacity(name) * quarters / zonestats.Healthy, quarters
}

// isLinkLost tells that the link between two zones, or within one, is lost: the one observes little of the other, of which
// others observe more.
func (e *estimates) isLinkLost(from, to int) bool {
	link := e.linkHealth[from][to]
	return link != unknown && link <= zonestats.Failing && e.health[to] > zonestats.Failing
}
