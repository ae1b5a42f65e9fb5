package failover

import (
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

const (
	// healthTTLHoldDowns is how long an observed loss is kept without a further report, in
	// hold-downs. Reports may be missing for that long, because gateways do not observe a link that
	// the plan avoids.
	healthTTLHoldDowns = 3
	// maxReportAge is the maximum age of a zone's observation of another zone for it to be compared
	// with those of other zones.
	maxReportAge = time.Second
)

// healthEstimate is the part of a zone that answers, and when it was last observed.
type healthEstimate struct {
	quarters   int // zonestats.Lost to zonestats.Healthy, or unknown
	observedAt time.Duration
}

// confirmation holds the values observed in two consecutive intervals. A change counts only if both
// intervals show it. A negative value is unknown.
type confirmation[T int | float64] struct{ older, newer T }

// isKnown reports whether both values are known.
func (c confirmation[T]) isKnown() bool { return c.older >= 0 && c.newer >= 0 }

// clamp returns the value between older and newer, inclusive, that is closest to the estimate.
func (c confirmation[T]) clamp(estimate T) T {
	return min(max(estimate, min(c.older, c.newer)), max(c.older, c.newer))
}

// healthTTL returns how long an observed loss is kept without a further report.
func (e *estimates) healthTTL() time.Duration {
	return healthTTLHoldDowns * e.settings.holdDown()
}

// isExpired reports whether an observation has expired.
func (e *estimates) isExpired(health healthEstimate, now time.Duration) bool {
	return health.observedAt+e.healthTTL() < now
}

// confirmedHealth returns the health of a zone on which the gateways of another zone agree in each
// of two intervals, in quarters.
func (e *estimates) confirmedHealth(pair intervalPair, from, to int) confirmation[int] {
	return confirmation[int]{
		older: e.agreedHealth(pair.older, from, to),
		newer: e.agreedHealth(pair.newer, from, to),
	}
}

// preferSlow returns the health observed in the slow intervals if it is known, and the quick result
// otherwise. A few random failures may look like a partial failure; longer intervals average them
// out.
func (e *estimates) preferSlow(slow intervalPair, quickResult confirmation[int], from, to int) confirmation[int] {
	if slowResult := e.confirmedHealth(slow, from, to); slowResult.isKnown() {
		return slowResult
	}
	return quickResult
}

// updateLink updates the health of a zone as the gateways of another zone observe it, in quarters.
// isSteady is true once the samples cover both slow intervals. Until then each update replaces the
// estimate. The estimate becomes unknown when its last report has expired.
func (e *estimates) updateLink(link *healthEstimate, now time.Duration, seen confirmation[int], isSteady bool) {
	if !seen.isKnown() {
		if e.isExpired(*link, now) {
			link.quarters = unknown
		}
		return
	}
	link.observedAt = now
	if link.quarters == unknown || !isSteady {
		link.quarters = max(seen.older, seen.newer)
	}
	link.quarters = seen.clamp(link.quarters)
}

// agreedHealth returns the health of a zone on which the gateways of another zone agree in an
// interval, in quarters: the lowest value for which enough gateways, see isAgreed, observe that
// value or a lower one. It returns unknown if too few gateways report.
func (e *estimates) agreedHealth(i interval, from, to int) int {
	var observers byHealth[float64]
	total := 0.0
	for quarter := range observers {
		observers[quarter] = (i.end.health[from][to][quarter] - i.start.health[from][to][quarter]) / i.milliseconds()
		total += observers[quarter]
	}
	if total <= e.minObservers() {
		return unknown
	}
	sum := 0.0
	for quarter, n := range observers {
		sum += n
		if e.isAgreed(sum, total) {
			return quarter
		}
	}
	return unknown
}

// updateHealth updates the health of each zone, in quarters. It is the best health that any zone
// observes, since a lower value that another zone observes may be due to the link between them. A
// zone whose last report has expired counts as healthy again.
func (e *estimates) updateHealth(now time.Duration) {
	for to := range e.health {
		best := e.bestObservedHealth(to, now)
		switch {
		case best == unknown:
			if e.isExpired(e.health[to], now) {
				e.health[to].quarters = zonestats.Healthy
			}
		case e.isPossiblyCutOff(to, best):
		default:
			e.health[to] = healthEstimate{quarters: best, observedAt: now}
		}
	}
}

// bestObservedHealth returns the best health of a zone, in quarters, that the gateways of any zone
// observed within maxReportAge, or unknown if there is no such observation.
func (e *estimates) bestObservedHealth(to int, now time.Duration) int {
	best := unknown
	for from := range e.linkHealth {
		link := e.linkHealth[from][to]
		if link.quarters != unknown && link.observedAt+maxReportAge >= now {
			best = max(best, link.quarters)
		}
	}
	return best
}

// isPossiblyCutOff reports whether a zone that others observe as lost may still serve its own
// requests. That is possible if its gateways had requests and now report nothing: they may be cut
// off from both the other zones and the voters.
func (e *estimates) isPossiblyCutOff(zone, observed int) bool {
	return observed <= zonestats.Failing && !e.isReporting[zone] && e.demand[zone] > minDemand
}

// isLinkLost reports whether the link between two zones, or within one zone, is lost: the gateways
// of from observe that to fails, while the overall health of to shows that it does not.
func (e *estimates) isLinkLost(from, to int) bool {
	link := e.linkHealth[from][to].quarters
	return link != unknown && link <= zonestats.Failing && e.health[to].quarters > zonestats.Failing
}
