package failover

import (
	"math"
	"slices"
	"time"
)

// Time constants and limits of the exponential smoothing that estimates demand.
const (
	// demandRiseTime is the time constant for rising demand.
	demandRiseTime = 2 * time.Second
	// demandFallTime is the time constant for falling demand in a zone that serves its own requests
	// and is not full.
	demandFallTime = 5 * time.Second
	// minSmoothedAttempts is the minimum average number of attempts within a time constant. It
	// prevents random variation from looking like a flood in a zone with few requests.
	minSmoothedAttempts = 80.0
	// maxLowTrafficSmoothing is the longest time constant that minSmoothedAttempts may lead to.
	maxLowTrafficSmoothing = 20 * time.Second
	// constrainedFallTime is the time constant for falling demand in any other zone. A zone that is
	// lost or full temporarily admits less than it will later. A shorter time constant would let a
	// receiver fill up in the meantime.
	constrainedFallTime = 20 * time.Second
	// silentFallTime is the time constant for demand in a zone whose gateways report nothing. They
	// may be cut off from the voters only, and still be sending requests.
	silentFallTime = 5 * time.Minute
	// demandSpans is the number of spans of length rateSpan, up to the latest sample, over which
	// the admitted rate is measured.
	demandSpans = 2
	// millisecondsPerSecond converts rates: gateways report their time in milliseconds.
	millisecondsPerSecond = 1000
)

// isDemandSettled reports whether a zone's demand is known well enough to move its requests: either
// it was restored from a plan, or the samples cover the zone's smoothing time.
func (e *estimates) isDemandSettled(zone int) bool {
	return e.demandRestored || e.lastSampleAt >= e.firstSampleAt+min(e.smoothing[zone], maxLowTrafficSmoothing)
}

// updateDemand updates a zone's number of gateways and its demand, in units a second. Both are
// computed from awakeTime, which gateways report, not from the time between samples. Thus a late
// digest, which covers a longer time, does not look like a flood.
func (e *estimates) updateDemand(s samples, zone int, elapsed time.Duration) {
	gateways, first := s.gatewaysBySpan(zone)
	if len(gateways) == 0 {
		return
	}
	e.isReporting[zone] = gateways[0] > 0
	slices.Sort(gateways)
	e.gateways[zone] = gateways[len(gateways)/2]
	last := s.last()
	awakeTime := last.awakeTime[zone] - first.awakeTime[zone]
	if awakeTime <= 0 {
		e.demand[zone] *= math.Exp(-float64(elapsed) / float64(silentFallTime))
		return
	}
	// Thousandths of units per millisecond equal units per second.
	rate := (last.admitted[zone] - first.admitted[zone]) / awakeTime * e.gateways[zone]
	attempts := (last.completed[zone] - first.completed[zone]) / awakeTime * e.gateways[zone] * millisecondsPerSecond
	smoothing := e.smoothingTime(zone, rate, attempts)
	e.smoothing[zone] = smoothing
	if isUnknown(e.demand[zone]) {
		e.demand[zone] = rate
	}
	if !e.demandRestored { // initially use the mean of all samples so far
		smoothing = min(smoothing, max(e.lastSampleAt-e.firstSampleAt, elapsed))
	}
	e.demand[zone] += (rate - e.demand[zone]) * -math.Expm1(-float64(elapsed)/float64(max(smoothing, 1)))
}

// smoothingTime returns the time constant for smoothing a zone's demand. The rate is in units a
// second, attempts is in attempts a second. The constant is shorter for a rise than for a fall, and
// longer where attempts are few.
func (e *estimates) smoothingTime(zone int, rate, attempts float64) time.Duration {
	smoothing := constrainedFallTime
	switch {
	case rate > e.demand[zone]:
		smoothing = demandRiseTime
	case e.hasHeadroom[zone]:
		smoothing = demandFallTime
	}
	lowTrafficSeconds := min(minSmoothedAttempts/max(attempts, 1), maxLowTrafficSmoothing.Seconds())
	return max(smoothing, time.Duration(lowTrafficSeconds*float64(time.Second)))
}

// gatewaysBySpan returns the number of gateways of a zone that reported in each of the last
// rateSpans spans, latest first. It also returns the sample at which the measurement of demand
// starts, which is demandSpans spans old or, if there are not that many spans yet, as old as
// possible.
func (s samples) gatewaysBySpan(zone int) (gateways []float64, first *sample) {
	end := s.last()
	first = end
	for i := range rateSpans {
		start := s.sampleBefore(time.Duration(i+1) * rateSpan)
		if start == nil || start.at >= end.at {
			break
		}
		gateways = append(gateways, interval{start, end}.gatewayCount(zone))
		end = start
		if i < demandSpans {
			first = start
		}
	}
	return gateways, first
}
