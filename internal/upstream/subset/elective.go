package subset

import (
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

// minElective is how many servers of a hall are had for tasks that go there to settle debts, if it has so many: a
// choice of two.
const minElective = 2

// AddElective adds to a part the servers that tasks go to to settle debts. Owners tells for each hall whose it is, where it
// takes such tasks, else 0; share is the largest part of the pushes that may go to any of them. Servers of the part
// keep their place and are only marked; those added are marked as for such tasks alone. They are cut from the same
// rings, from the same place on, so that over the fleet each server stands in as many parts as the others.
func (s *Subset) AddElective(now time.Duration, selected []policy.Endpoint, list []Candidate, owners []int,
	fraction float64) []policy.Endpoint {
	owner := func(zone int) int {
		if zone < 0 || zone >= len(owners) {
			return 0
		}
		return owners[zone]
	}
	rings, have := map[int][]int{}, map[uint32]bool{}
	selected = slices.Clone(selected)
	for i := range selected {
		selected[i].Owner = owner(selected[i].Zone)
		have[selected[i].Server] = true
	}
	for i, candidate := range list {
		if candidate.State == policy.Ready && owner(candidate.Zone) > 0 {
			rings[candidate.Zone] = append(rings[candidate.Zone], i)
		}
	}
	want := 0.0
	for zone := range owners {
		want += float64(len(rings[zone]))
	}
	for zone := range owners { // in order: the module draws by place
		ring := rings[zone]
		if len(ring) == 0 {
			continue
		}
		n := fraction * s.AttemptRate(now) * s.keepAlive.Seconds() / attemptsPerKeepAlive * float64(len(ring)) / want
		n = min(max(math.Ceil(n), minElective), float64(len(ring)))
		if s.keepAlive <= 0 {
			n = float64(len(ring))
		}
		for _, at := range s.arc(zone, ring, list, int(n)) {
			if s := list[at].Endpoint; !have[s.Server] {
				s.Owner, s.Elective = owner(zone), true
				selected = append(selected, s)
			}
		}
	}
	return selected
}
