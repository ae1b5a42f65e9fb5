package failover

import (
	"slices"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

// unknown stands for a health, a power or a demand of which nothing is known.
const unknown = -1

// isUnknown tells whether nothing is known of a power or of a demand.
func isUnknown(value float64) bool { return value < 0 }

// estimates are what the controller holds to be true of zones. They outlive the observations that
// they come from. All slices are by zone index.
type estimates struct {
	settings    *Settings
	health      []healthEstimate
	linkHealth  [][]healthEstimate // by from and to: how much of to answers from
	readyPower  []float64          // of ready, warm servers, in servers of power 1; or unknown
	isReporting []bool             // some gateway of the zone reported in the last rateSpan
	gateways    []float64          // how many gateways report

	demand         []float64       // units a second admitted; or unknown
	smoothing      []time.Duration // over how long demand was last smoothed
	hasHeadroom    []bool          // the zone serves all of its own requests and is not full
	demandRestored bool            // demand is that of an earlier leader's plan, known before any sample

	lastSampleAt  time.Duration
	firstSampleAt time.Duration
}

func newEstimates(settings *Settings, zones int) *estimates {
	e := &estimates{
		settings:    settings,
		health:      slices.Repeat([]healthEstimate{{quarters: zonestats.Healthy}}, zones),
		readyPower:  slices.Repeat([]float64{unknown}, zones),
		isReporting: make([]bool, zones),
		gateways:    make([]float64, zones),
		demand:      slices.Repeat([]float64{unknown}, zones),
		smoothing:   make([]time.Duration, zones),
		hasHeadroom: slices.Repeat([]bool{true}, zones),
	}
	for range zones {
		e.linkHealth = append(e.linkHealth, slices.Repeat([]healthEstimate{{quarters: unknown}}, zones))
	}
	return e
}

// update takes in the latest samples. It reports whether enough is known to plan by: samples go
// back far enough, and every zone's ready power is known.
func (e *estimates) update(observed samples) bool {
	quick, ok := observed.halves(confirmSpan)
	if !ok {
		return false
	}
	slow, hasSlow := observed.halves(slowConfirmSpan)
	now := observed.last().at
	elapsed := e.advance(now)
	for from := range e.linkHealth {
		e.updateDemand(observed, from, elapsed)
		for to := range e.linkHealth {
			seen := e.confirmedHealth(quick, from, to)
			answersInPart := max(seen.older, seen.newer) > zonestats.Failing
			if hasSlow && answersInPart {
				seen = e.preferSlow(slow, seen, from, to)
			}
			e.updateLink(&e.linkHealth[from][to], now, seen, hasSlow)
		}
		e.updateReadyPower(quick, from)
	}
	e.updateHealth(now)
	return !slices.ContainsFunc(e.readyPower, isUnknown)
}

// advance moves to the time of the latest sample and gives the time since the one before; 0 at the
// first.
func (e *estimates) advance(now time.Duration) time.Duration {
	elapsed := now - e.lastSampleAt
	if e.lastSampleAt == 0 {
		elapsed = 0
		e.firstSampleAt = now
	}
	e.lastSampleAt = now
	return elapsed
}

// minObservers is how many gateways' worth of reported time is too little to go by.
func (e *estimates) minObservers() float64 { return minReportedShare * float64(e.settings.MinGateways) }

// agree tells whether enough gateways observe the same, of all that report: more than the settings'
// minimum, less what digests may lack, and at least the agreement share.
func (e *estimates) agree(gateways, all float64) bool {
	return gateways > e.minObservers() && gateways >= e.settings.AgreementShare*all
}

// updateReadyPower takes in a zone's power as listed at the gateways of all zones.
func (e *estimates) updateReadyPower(quick halves, zone int) {
	seen := confirmation[float64]{
		older: e.agreedPower(quick.older, zone),
		newer: e.agreedPower(quick.newer, zone),
	}
	switch {
	case !seen.isKnown():
	case isUnknown(e.readyPower[zone]):
		e.readyPower[zone] = max(seen.older, seen.newer)
	default:
		e.readyPower[zone] = seen.follow(e.readyPower[zone])
	}
}

// agreedPower is a zone's listed power in an interval, in servers of power 1, as the gateways of
// all zones together agree on it; unknown if they do not. One gateway's wrong list must not move
// it, so it is the mean within the band in which the agreement is reached.
func (e *estimates) agreedPower(i interval, zone int) float64 {
	all := 0.0
	for band := range i.end.readyTime[zone] {
		all += (i.end.readyTime[zone][band] - i.start.readyTime[zone][band]) / i.milliseconds()
	}
	sum := 0.0
	for band := range i.end.readyTime[zone] {
		inBand := i.end.readyTime[zone][band] - i.start.readyTime[zone][band]
		sum += inBand / i.milliseconds()
		if inBand > 0 && e.agree(sum, all) {
			return (i.end.readyPower[zone][band] - i.start.readyPower[zone][band]) / inBand
		}
	}
	return unknown
}

// capacity is how many units a second a zone can take, and the quarters of it that answer. Health
// counts beside that of the best zone: what all zones suffer alike, as from a bad release, makes no
// zone a better place than another. A zone of which nothing is known counts as healthy.
func (e *estimates) capacity(zone int, name string) (units, quarters float64) {
	if e.readyPower[zone] <= 0 {
		return 0, 0
	}
	best := 0
	for other, health := range e.health {
		if e.readyPower[other] > 0 {
			best = max(best, health.quarters)
		}
	}
	quarters = zonestats.Healthy
	if best > zonestats.Failing {
		quarters = zonestats.Healthy * float64(e.health[zone].quarters) / float64(best)
	}
	return e.readyPower[zone] * e.settings.capacity(name) * quarters / zonestats.Healthy, quarters
}
