package failover

import (
	"math"
	"slices"
	"time"
)

// How demand follows what is measured.
const (
	// demandRiseTime and demandFallTime smooth demand in a zone that serves its own requests and is
	// not full.
	demandRiseTime = 2 * time.Second
	demandFallTime = 5 * time.Second
	// minSmoothedAttempts is over how many attempts demand is smoothed, so that chance is no flood
	// where few requests come in; maxQuietSmoothing bounds the time that this takes.
	minSmoothedAttempts = 80.0
	maxQuietSmoothing   = 20 * time.Second
	// constrainedFallTime smooths falling demand in any other zone: while it is lost or full, less
	// is admitted than will be. Prevents a receiver from filling up in between.
	constrainedFallTime = 20 * time.Second
	// silentFallTime smooths falling demand in a zone whose gateways report nothing: they may be
	// cut off from the voters alone, and go on sending.
	silentFallTime = 5 * time.Minute
	// demandSpans is over how many of the latest spans of rateSpan the admitted rate is measured.
	demandSpans = 2
	// millisecondsPerSecond converts rates, as gateways report their time in milliseconds.
	millisecondsPerSecond = 1000
)

// isSettled decides whether demand is known well enough to move a zone's requests on account of it:
// a new leader without an earlier plan waits for as long as demand is smoothed.
func (e *estimates) isSettled(zone int) bool {
	return e.demandRestored || e.lastSampleAt >= e.firstSampleAt+min(e.smoothing[zone], maxQuietSmoothing)
}

// updateDemand takes in how many gateways a zone has and what they admit, in units a second. Both
// go by each gateway's own time, so that a digest that comes late and holds much is no flood.
func (e *estimates) updateDemand(s samples, zone int, elapsed time.Duration) {
	gateways, first := s.gatewaysBySpan(zone)
	if len(gateways) == 0 {
		return
	}
	e.isReporting[zone] = gateways[0] > 0
	slices.Sort(gateways)
	e.gateways[zone] = gateways[len(gateways)/2]
	last := s.last()
	awake := last.awake[zone] - first.awake[zone]
	if awake <= 0 {
		e.demand[zone] *= math.Exp(-float64(elapsed) / float64(silentFallTime))
		return
	}
	// Thousandths of units over milliseconds are units over seconds.
	rate := (last.admitted[zone] - first.admitted[zone]) / awake * e.gateways[zone]
	attempts := (last.completed[zone] - first.completed[zone]) / awake * e.gateways[zone] * millisecondsPerSecond
	smoothing := e.smoothingTime(zone, rate, attempts)
	e.smoothing[zone] = smoothing
	if isUnknown(e.demand[zone]) {
		e.demand[zone] = rate
	}
	if !e.demandRestored { // at first the mean of all so far
		smoothing = min(smoothing, max(e.lastSampleAt-e.firstSampleAt, elapsed))
	}
	e.demand[zone] += (rate - e.demand[zone]) * -math.Expm1(-float64(elapsed)/float64(max(smoothing, 1)))
}

// smoothingTime decides over how long a zone's demand follows a rate, in units a second, at so many
// attempts a second: a rise counts sooner than a fall, and few attempts need longer.
func (e *estimates) smoothingTime(zone int, rate, attempts float64) time.Duration {
	smoothing := constrainedFallTime
	switch {
	case rate > e.demand[zone]:
		smoothing = demandRiseTime
	case e.hasHeadroom[zone]:
		smoothing = demandFallTime
	}
	quiet := min(minSmoothedAttempts/max(attempts, 1), maxQuietSmoothing.Seconds())
	return max(smoothing, time.Duration(quiet*float64(time.Second)))
}

// gatewaysBySpan is how many gateways of a zone reported in each of the last spans, the latest
// first, and the sample from which on its demand is measured: demandSpans back, if samples go back
// that far.
func (s samples) gatewaysBySpan(zone int) (gateways []float64, first *sample) {
	end := s.last()
	first = end
	for i := range rateSpans {
		start := s.before(time.Duration(i+1) * rateSpan)
		if start == nil || start.at >= end.at {
			break
		}
		gateways = append(gateways, interval{start, end}.gateways(zone))
		end = start
		if i < demandSpans {
			first = start
		}
	}
	return gateways, first
}
