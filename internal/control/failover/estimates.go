package failover

import (
	"slices"
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

// unknown is the value of a health, a power or a demand that has not been observed.
const unknown = -1

// isUnknown reports whether a power or a demand has not been observed.
func isUnknown(value float64) bool { return value < 0 }

// estimates is the controller's view of the zones. It is derived from samples and outlives them.
// All slices are indexed by zone.
type estimates struct {
	settings    *Settings
	health      []healthEstimate
	linkHealth  [][]healthEstimate // health of a zone as another observes it, by observer and zone
	readyPower  []float64          // power of ready, warm servers, in servers of power 1; or unknown
	isReporting []bool             // some gateway of the zone reported in the last rateSpan
	gateways    []float64          // number of gateways that report

	demand         []float64       // admitted units a second; or unknown
	smoothing      []time.Duration // time constant of demand's last update
	hasHeadroom    []bool          // the zone serves all of its own requests and is not full
	demandRestored bool            // demand was initialized from an earlier leader's plan

	lastSampleAt  time.Duration // 0 before the first sample
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

// update updates the estimates from the latest samples. It reports whether they suffice for a plan:
// the samples go back far enough, and every zone's ready power is known.
func (e *estimates) update(observed samples) bool {
	quick, ok := observed.latestPair(confirmSpan)
	if !ok {
		return false
	}
	slow, hasSlow := observed.latestPair(slowConfirmSpan)
	now := observed.last().at
	elapsed := e.advance(now)
	for from := range e.linkHealth {
		e.updateDemand(observed, from, elapsed)
		for to := range e.linkHealth {
			seen := e.confirmedHealth(quick, from, to)
			isAnswering := max(seen.older, seen.newer) > zonestats.Failing
			if hasSlow && isAnswering {
				seen = e.preferSlow(slow, seen, from, to)
			}
			e.updateLink(&e.linkHealth[from][to], now, seen, hasSlow)
		}
		e.updateReadyPower(quick, from)
	}
	e.updateHealth(now)
	return !slices.ContainsFunc(e.readyPower, isUnknown)
}

// advance records the time of the latest sample. It returns the time since the sample before, or 0
// for the first sample.
func (e *estimates) advance(now time.Duration) time.Duration {
	elapsed := now - e.lastSampleAt
	if e.lastSampleAt == 0 {
		elapsed = 0
		e.firstSampleAt = now
	}
	e.lastSampleAt = now
	return elapsed
}

// minObservers returns the number of gateways that must be exceeded for observations to count. It
// is the settings' minimum, reduced for digests that are late or uneven.
func (e *estimates) minObservers() float64 { return minReportedShare * float64(e.settings.MinGateways) }

// isAgreed reports whether enough of all reporting gateways observe the same: more than
// minObservers and at least the agreement share.
func (e *estimates) isAgreed(gateways, total float64) bool {
	return gateways > e.minObservers() && gateways >= e.settings.AgreementShare*total
}

// updateReadyPower updates a zone's ready power from the endpoint lists of all zones' gateways.
func (e *estimates) updateReadyPower(quick intervalPair, zone int) {
	seen := confirmation[float64]{
		older: e.agreedPower(quick.older, zone),
		newer: e.agreedPower(quick.newer, zone),
	}
	switch {
	case !seen.isKnown():
	case isUnknown(e.readyPower[zone]):
		e.readyPower[zone] = max(seen.older, seen.newer)
	default:
		e.readyPower[zone] = seen.clamp(e.readyPower[zone])
	}
}

// agreedPower returns the ready power of a zone in an interval, in servers of power 1, on which the
// gateways of all zones agree, or unknown if they do not. It counts gateways from the lowest power
// band upwards and returns the mean of the band in which agreement is reached. Thus one gateway
// with a wrong endpoint list does not affect it.
func (e *estimates) agreedPower(i interval, zone int) float64 {
	total := 0.0
	for band := range i.end.readyTime[zone] {
		total += (i.end.readyTime[zone][band] - i.start.readyTime[zone][band]) / i.milliseconds()
	}
	sum := 0.0
	for band := range i.end.readyTime[zone] {
		timeInBand := i.end.readyTime[zone][band] - i.start.readyTime[zone][band]
		sum += timeInBand / i.milliseconds()
		if timeInBand > 0 && e.isAgreed(sum, total) {
			return (i.end.readyPower[zone][band] - i.start.readyPower[zone][band]) / timeInBand
		}
	}
	return unknown
}

// capacity returns a zone's capacity, in units a second, and its health, in quarters. Health is
// relative to that of the healthiest zone with ready servers: if all zones fail alike, for example
// after a bad release, moving requests between them does not help. If all of them are failing, all
// count as healthy. A zone without observations also counts as healthy.
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
