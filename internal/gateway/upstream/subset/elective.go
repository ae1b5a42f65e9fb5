package subset

import (
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

// minElectiveServers is the smallest number of servers that are selected in a zone for elective
// attempts, unless fewer are ready. Two servers allow load balancing by the power of two choices.
const minElectiveServers = 2

// zoneOwners holds the owner of each zone, indexed by zone; 0 if the zone takes no elective
// attempts.
type zoneOwners []int

// ownerOf returns the owner of a zone, or 0 if the zone takes no elective attempts.
func (o zoneOwners) ownerOf(zone int) int {
	if zone < 0 || zone >= len(o) {
		return 0
	}
	return o[zone]
}

// AddElectiveServers returns a copy of selected with servers for elective attempts appended.
// Elective attempts settle debts between partners. owners holds the owner of each zone, indexed by
// zone; 0 if the zone takes no elective attempts. fraction is the largest fraction of the gateway's
// attempts that may go to a single owner. Servers that are already selected keep their position and
// get their zone's owner. The appended servers are arcs of the same rings that Select uses, so that
// each server is added by about the same number of gateways.
func (s *Subset) AddElectiveServers(
	now time.Duration, selected []policy.Endpoint, list []Candidate, owners []int, fraction float64,
) []policy.Endpoint {
	ownerOf := zoneOwners(owners).ownerOf
	selected = slices.Clone(selected)
	isSelected := map[uint32]bool{}
	for i := range selected {
		selected[i].Owner = ownerOf(selected[i].Zone)
		isSelected[selected[i].Server] = true
	}
	rings := map[int][]int{}
	for i, candidate := range list {
		if candidate.State == policy.Ready && ownerOf(candidate.Zone) > 0 {
			rings[candidate.Zone] = append(rings[candidate.Zone], i)
		}
	}
	ready := 0.0
	for zone := range owners {
		ready += float64(len(rings[zone]))
	}
	for zone := range owners { // in a fixed order, because the policy picks endpoints by position
		ring := rings[zone]
		if len(ring) == 0 {
			continue
		}
		for _, i := range s.arc(zone, ring, list, s.electiveLength(now, fraction, float64(len(ring)), ready)) {
			if endpoint := list[i].Endpoint; !isSelected[endpoint.Server] {
				endpoint.Owner = ownerOf(zone)
				endpoint.Elective = true
				selected = append(selected, endpoint)
			}
		}
	}
	return selected
}

// electiveLength returns the number of servers to select in a zone for elective attempts. ringSize
// is the number of ready servers in the zone, and ready their number in all zones that take
// elective attempts.
func (s *Subset) electiveLength(now time.Duration, fraction, ringSize, ready float64) int {
	if s.idleTimeout <= 0 {
		return int(ringSize)
	}
	length := fraction * s.AttemptRate(now) * s.idleTimeout.Seconds() / targetAttemptsPerIdleTimeout * ringSize / ready
	return int(min(max(math.Ceil(length), minElectiveServers), ringSize))
}
