package pool

import (
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

// electiveLeast is how many servers of a hall are had for tasks that go there to settle debts, if it has so many: a
// choice of two.
const electiveLeast = 2

// Elect adds to a part the servers that tasks go to to settle debts. Owners tells for each hall whose it is, where it
// takes such tasks, else 0; share is the largest part of the pushes that may go to any of them. Servers of the part
// keep their place and are only marked; those added are marked as for such tasks alone. They are cut from the same
// rings, from the same place on, so that over the fleet each server stands in as many parts as the others.
func (p *Pool) Elect(now time.Duration, part []policy.Listed, list []Server, owners []int,
	share float64) []policy.Listed {
	owner := func(hall int) int {
		if hall < 0 || hall >= len(owners) {
			return 0
		}
		return owners[hall]
	}
	rings, have := map[int][]int{}, map[uint32]bool{}
	part = slices.Clone(part)
	for i := range part {
		part[i].Owner = owner(part[i].Hall)
		have[part[i].Server] = true
	}
	for i, s := range list {
		if s.Stage == policy.Ready && owner(s.Hall) > 0 {
			rings[s.Hall] = append(rings[s.Hall], i)
		}
	}
	want := 0.0
	for hall := range owners {
		want += float64(len(rings[hall]))
	}
	for hall := range owners { // in order: the module draws by place
		ring := rings[hall]
		if len(ring) == 0 {
			continue
		}
		n := share * p.Rate(now) * p.kept.Seconds() / useTimes * float64(len(ring)) / want
		n = min(max(math.Ceil(n), electiveLeast), float64(len(ring)))
		if p.kept <= 0 {
			n = float64(len(ring))
		}
		for _, at := range p.arc(hall, ring, list, int(n)) {
			if s := list[at].Listed; !have[s.Server] {
				s.Owner, s.Elective = owner(hall), true
				part = append(part, s)
			}
		}
	}
	return part
}
