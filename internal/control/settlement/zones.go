package settlement

import (
	"slices"

	"harrierhoist/internal/coordination"
)

// ZoneStatus is what failover reports of a zone.
type ZoneStatus struct {
	FailingOver bool    // the plan in force moves its requests away, or brings them back by steps
	Headroom    float64 // fraction of its capacity that is left; negative: not known
}

// ZoneStatusFunc returns what failover reports, by zone name. Zones that it does not name are
// healthy.
type ZoneStatusFunc func(input coordination.ControllerInput) map[string]ZoneStatus

// unknownHeadroom is the headroom of a zone of which none is reported.
const unknownHeadroom = -1

// isNeededByFailover decides whether a zone is left out of settlements: failover moves its
// requests, or less than minHeadroom, a fraction of its capacity, is left there.
func (z ZoneStatus) isNeededByFailover(minHeadroom float64) bool {
	hasLittleLeft := z.Headroom >= 0 && z.Headroom < minHeadroom
	return z.FailingOver || hasLittleLeft
}

// excludedPartners decides which partners have no part in settlements because failover needs one
// of their zones: failover comes first.
func (c *Controller) excludedPartners(input coordination.ControllerInput) map[string]bool {
	excluded := map[string]bool{}
	if c.zoneStatus == nil {
		return excluded
	}
	statuses := c.zoneStatus(input)
	isNeeded := func(name string) bool {
		zone, known := statuses[name]
		return known && zone.isNeededByFailover(c.terms.MinHeadroom)
	}
	for _, p := range c.terms.Partners {
		if slices.ContainsFunc(p.Zones, isNeeded) {
			excluded[p.Name] = true
		}
	}
	return excluded
}

// Thousandths in a plan of failover.
const (
	allRequests     = 1000 // of a zone's requests
	minHealthyShare = 900  // of a zone's listed servers, that answer
)

// ZoneStatusOfPlan returns the zones that a plan of failover needs: those that it moves requests
// from or to, and those of which too few servers answer. Routes are shares by the zone that
// requests come in at and the zone that they are attempted in; healthy is the share of a zone's
// listed servers that answers; both in thousandths. A plan tells no headroom.
func ZoneStatusOfPlan(routes map[string]map[string]int, healthy map[string]int) map[string]ZoneStatus {
	needed := ZoneStatus{FailingOver: true, Headroom: unknownHeadroom}
	statuses := map[string]ZoneStatus{}
	for origin, shares := range routes {
		for target, share := range shares {
			keepsFewer := target == origin && share < allRequests
			movesSome := target != origin && share > 0
			if keepsFewer || movesSome {
				statuses[origin] = needed
				statuses[target] = needed
			}
		}
	}
	for zone, share := range healthy {
		if share < minHealthyShare {
			statuses[zone] = needed
		}
	}
	return statuses
}
