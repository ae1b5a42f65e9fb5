package failover

import (
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

const (
	// healthMemoryHoldDowns is for how many hold-downs a loss is believed without a further report: a
	// link that a plan avoids is not observed.
	healthMemoryHoldDowns = 3
	// maxReportAge is how old one zone's observation of another may be to be compared with a
	// third's.
	maxReportAge = time.Second
)

// healthEstimate is how much of a zone answers, and when that was last observed.
type healthEstimate struct {
	quarters   int // zonestats.Lost to zonestats.Healthy, or unknown
	observedAt time.Duration
}

// confirmation is what two consecutive intervals show. A change counts where both show it.
type confirmation[T int | float64] struct{ older, newer T }

// isKnown tells whether both intervals show anything.
func (c confirmation[T]) isKnown() bool { return c.older >= 0 && c.newer >= 0 }

// follow moves an estimate as far as both intervals show.
func (c confirmation[T]) follow(estimate T) T {
	return min(max(estimate, min(c.older, c.newer)), max(c.older, c.newer))
}

// healthMemory is for how long an observed loss is believed.
func (e *estimates) healthMemory() time.Duration {
	return healthMemoryHoldDowns * e.settings.holdDown()
}

// isForgotten tells whether an observation is too old to be believed.
func (e *estimates) isForgotten(health healthEstimate, now time.Duration) bool {
	return health.observedAt+e.healthMemory() < now
}

// confirmedHealth is what a zone's gateways agree on for another zone, in quarters.
func (e *estimates) confirmedHealth(spans halves, from, to int) confirmation[int] {
	return confirmation[int]{
		older: e.agreedHealth(spans.older, from, to),
		newer: e.agreedHealth(spans.newer, from, to),
	}
}

// preferSlow is what the slow spans show where they show anything, and otherwise what the quick
// ones did: a partial failure may be a few random ones, which the longer spans even out.
func (e *estimates) preferSlow(slow halves, quickly confirmation[int], from, to int) confirmation[int] {
	if slowly := e.confirmedHealth(slow, from, to); slowly.isKnown() {
		return slowly
	}
	return quickly
}

// updateLink takes in what a zone's gateways agree on for another zone, in quarters. Until samples
// reach over the slow spans (isSteady) the estimate starts anew each time; without a report for the
// health memory it becomes unknown.
func (e *estimates) updateLink(link *healthEstimate, now time.Duration, seen confirmation[int], isSteady bool) {
	if !seen.isKnown() {
		if e.isForgotten(*link, now) {
			link.quarters = unknown
		}
		return
	}
	link.observedAt = now
	if link.quarters == unknown || !isSteady {
		link.quarters = max(seen.older, seen.newer)
	}
	link.quarters = seen.follow(link.quarters)
}

// agreedHealth is the quarter that the gateways of a zone agree on for another zone in an interval:
// the lowest that the agreement share of them observe, or lower, counted in distinct gateways. It
// is unknown where too few report.
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
		sum += n
		if e.agree(sum, all) {
			return quarter
		}
	}
	return unknown
}

// updateHealth decides of each zone how much of it answers, in quarters: as the zones observe it
// that observe most, since what others miss may be their link. Without a report for the health
// memory a zone counts as healthy again.
func (e *estimates) updateHealth(now time.Duration) {
	for to := range e.health {
		best := e.bestObservedHealth(to, now)
		switch {
		case best == unknown:
			if e.isForgotten(e.health[to], now) {
				e.health[to].quarters = zonestats.Healthy
			}
		case e.isPossiblyCutOff(to, best):
		default:
			e.health[to] = healthEstimate{quarters: best, observedAt: now}
		}
	}
}

// bestObservedHealth is the most, in quarters, that the gateways of any zone observed of a zone
// within maxReportAge; unknown if none did.
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

// isPossiblyCutOff tells whether a zone that others observe to be lost may still serve its own
// requests: its gateways had requests and now report nothing, so that they may be cut off from the
// other zones and from the voters.
func (e *estimates) isPossiblyCutOff(zone, observed int) bool {
	return observed <= zonestats.Failing && !e.isReporting[zone] && e.demand[zone] > minDemand
}

// isLinkLost decides whether the link between two zones, or within one, is lost: the one observes
// little of the other, of which others observe more.
func (e *estimates) isLinkLost(from, to int) bool {
	link := e.linkHealth[from][to].quarters
	return link != unknown && link <= zonestats.Failing && e.health[to].quarters > zonestats.Failing
}
