package subset

import (
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

// minElective is the smallest number of servers of a zone that are selected for elective attempts,
// if as many are ready: a choice of two.
const minElective = 2

// zoneOwners holds the owner of each zone that takes elective attempts, else 0.
type zoneOwners []int

// of returns the owner of a zone; 0 if it takes no elective attempts.
func (o zoneOwners) of(zone int) int {
	if zone < 0 || zone >= len(o) {
		return 0
	}
	return o[zone]
}

// AddElectiveServers adds to a selection the servers for elective attempts, which settle debts.
// Owners holds the owner of each zone that takes such attempts, else 0; fraction is the largest
// part of attempts that may go to any owner. Servers selected already keep their position, marked
// with their owner. The others come from the rings of Select, so that each is added by as many
// gateways.
func (s *Subset) AddElectiveServers(
	now time.Duration, selected []policy.Endpoint, list []Candidate, owners []int, fraction float64,
) []policy.Endpoint {
	ownerOf := zoneOwners(owners).of
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
	for zone := range owners { // in order, as the policy draws by position
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

// electiveLength returns how many servers to select of a zone's ring, where ready is the number of
// servers in all such zones.
func (s *Subset) electiveLength(now time.Duration, fraction, ringSize, ready float64) int {
	if s.idleTimeout <= 0 {
		return int(ringSize)
	}
	length := fraction * s.AttemptRate(now) * s.idleTimeout.Seconds() / attemptsPerIdleTimeout * ringSize / ready
	return int(min(max(math.Ceil(length), minElective), ringSize))
}
