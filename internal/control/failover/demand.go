package failover

import (
	"math"
	"slices"
	"time"
)

// How demand follows what is measured.
const (
	// demandRiseTime and demandFallTime are over how long demand follows its rate in a zone that serves its own requests and
	// is not full: long enough that chance, where few requests come in, is no flood (over 1 s it moved requests in vain).
	demandRiseTime = 2 * time.Second
	demandFallTime = 5 * time.Second
	// minSmoothedAttempts is over how many attempts at the least demand is measured, and maxQuietSmoothing the longest time
	// that this takes.
	minSmoothedAttempts = 80.0
	maxQuietSmoothing   = 20 * time.Second
	// constrainedFallTime is the time for demand to fall in any other zone: while it is lost or full, less is admitted than
	// will be. It guards a receiver against filling up in between. Drawback: after a flood, overflow lasts longer than it must.
	constrainedFallTime = 20 * time.Second
	// silentFallTime is the same for a zone whose gateways report nothing at all: they may be cut off from the voters alone,
	// and go on sending. Drawback: if they are gone, capacity in their zone is reserved for nobody.
	silentFallTime = 5 * time.Minute
)

// isSettled tells that demand is known well enough to move a zone's requests on account of it.
func (e *estimates) isSettled(zone int) bool {
	return e.demandKnown || e.lastSampleAt >= e.firstSampleAt+min(e.smoothing[zone], maxQuietSmoothing)
}

// updateDemand takes in how many gateways a zone has and what they admit. Both go by each gateway's own time, so that a
// digest that comes late and holds much is no flood.
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
	attempts := (last.completed[zone] - first.completed[zone]) / awake * e.gateways[zone] * 1000 // a second
	smoothing := e.smoothingTime(zone, rate, attempts)
	if e.demand[zone] < 0 {
		e.demand[zone] = rate
	}
	if e.smoothing[zone] = smoothing; !e.demandKnown {
		smoothing = min(smoothing, max(e.lastSampleAt-e.firstSampleAt, elapsed)) // at first the mean of all so far
	}
	e.demand[zone] += (rate - e.demand[zone]) * -math.Expm1(-float64(elapsed)/float64(max(smoothing, 1)))
}

// smoothingTime is over how long a zone's demand follows a rate, in units a second, at so many attempts a second.
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

// gatewaysBySpan is how many gateways of a zone reported in each of the last spans, the latest first, and the sample from
// which on its demand is measured: two spans back, if samples go back that far.
func (s samples) gatewaysBySpan(zone int) (gateways []float64, first *sample) {
	end := s.last()
	first = end
	for i := range rateSpans {
		start := s.before(time.Duration(i+1) * rateSpan)
		if start == nil || start.at >= end.at {
			break
		}
		gateways = append(gateways, interval{start, end}.gateways(zone))
		if end = start; i < 2 {
			first = start
		}
	}
	return gateways, first
}
