package subset

import (
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

// minElective is how many servers of a zone are selected for elective attempts, if it has so many: a choice of two.
const minElective = 2

// AddElective adds to a selection the servers for elective attempts, which settle debts. Owners says for each zone whose it
// is, where it takes such attempts, else 0; fraction is the largest part of attempts that may be sent to any of them.
// Selected servers keep their position and are only marked with their owner; those added are for elective attempts alone.
// They are cut from the same rings, from the same position on, so that over all gateways each server is in as many
// selections as the others.
func (s *Subset) AddElective(now time.Duration, selected []policy.Endpoint, list []Candidate, owners []int,
	fraction float64,
) []policy.Endpoint {
	ownerOf := func(zone int) int {
		if zone < 0 || zone >= len(owners) {
			return 0
		}
		return owners[zone]
	}
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
	for zone := range owners { // in order: the module draws by position
		ring := rings[zone]
		if len(ring) == 0 {
			continue
		}
		for _, i := range s.arc(zone, ring, list, s.electiveLength(now, fraction, float64(len(ring)), ready)) {
			if endpoint := list[i].Endpoint; !isSelected[endpoint.Server] {
				endpoint.Owner, endpoint.Elective = ownerOf(zone), true
				selected = append(selected, endpoint)
			}
		}
	}
	return selected
}

// electiveLength is how many servers to select of a zone's ring, of a number that are ready in all such zones.
func (s *Subset) electiveLength(now time.Duration, fraction, ringSize, ready float64) int {
	if s.idleTimeout <= 0 {
		return int(ringSize)
	}
	length := fraction * s.AttemptRate(now) * s.idleTimeout.Seconds() / attemptsPerIdleTimeout * ringSize / ready
	return int(min(max(math.Ceil(length), minElective), ringSize))
}
