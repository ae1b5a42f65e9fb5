package settlement

import (
	"slices"

	"harrierhoist/internal/coordination"
)

// ZoneStatus is the status of a zone as seen by failover.
type ZoneStatus struct {
	// FailingOver is set while failover moves requests from or to the zone, or returns them in
	// steps, and while too few of the zone's servers answer.
	FailingOver bool
	Headroom    float64 // spare fraction of the zone's capacity; negative if unknown
}

// ZoneStatusFunc returns the status of zones by name. Zones that it omits are healthy.
type ZoneStatusFunc func(input coordination.ControllerInput) map[string]ZoneStatus

// unknownHeadroom is the Headroom of a zone for which none is reported.
const unknownHeadroom = -1

// excludesSettlement reports whether settlement must not use a zone: it is failing over, or its
// spare fraction of capacity is known to be below minHeadroom.
func (z ZoneStatus) excludesSettlement(minHeadroom float64) bool {
	lacksHeadroom := z.Headroom >= 0 && z.Headroom < minHeadroom
	return z.FailingOver || lacksHeadroom
}

// excludedPartners returns the names of partners that take no part in settlements because one of
// their zones is failing over or lacks headroom. Failover has priority over settlement.
func (c *Controller) excludedPartners(input coordination.ControllerInput) map[string]bool {
	excluded := map[string]bool{}
	if c.zoneStatus == nil {
		return excluded
	}
	statuses := c.zoneStatus(input)
	isExcluding := func(name string) bool {
		zone, known := statuses[name]
		return known && zone.excludesSettlement(c.terms.MinHeadroom)
	}
	for _, p := range c.terms.Partners {
		if slices.ContainsFunc(p.Zones, isExcluding) {
			excluded[p.Name] = true
		}
	}
	return excluded
}

// Thresholds for the shares in a failover plan, in thousandths.
const (
	allRequestsThousandths = 1000 // all requests of a zone
	minHealthyThousandths  = 900  // minimum of a zone's listed servers that must answer
)

// ZoneStatusFromPlan returns the status of the zones that a failover plan needs. These are the
// zones that it moves requests from or to, and those where too few servers answer. Shares in routes
// are keyed by the zone where requests arrive, then by the zone where they are attempted. healthy
// is the share of each zone's listed servers that answer. All shares are in thousandths. Headroom
// is unknown, since a plan does not contain it.
func ZoneStatusFromPlan(routes map[string]map[string]int, healthy map[string]int) map[string]ZoneStatus {
	neededByFailover := ZoneStatus{FailingOver: true, Headroom: unknownHeadroom}
	statuses := map[string]ZoneStatus{}
	for origin, shares := range routes {
		for target, share := range shares {
			originSendsAway := target == origin && share < allRequestsThousandths
			targetReceives := target != origin && share > 0
			if originSendsAway || targetReceives {
				statuses[origin] = neededByFailover
				statuses[target] = neededByFailover
			}
		}
	}
	for zone, share := range healthy {
		if share < minHealthyThousandths {
			statuses[zone] = neededByFailover
		}
	}
	return statuses
}
