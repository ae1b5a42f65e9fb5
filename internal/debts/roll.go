package debts

import (
	"slices"
	"sort"
)

// Roll tells whose a customer and a hall are. Partners are numbered from 1 in the order of the file; 0 is none.
type Roll struct {
	Names []string // by number; the first is empty
	spans []span
	plans []int // by the plan's number
	halls []int // by the hall's number
}

// NewRoll makes the roll for halls and plans in the order in which a gateway numbers them.
func NewRoll(t Terms, halls, plans []string) *Roll {
	r := &Roll{Names: []string{""}, plans: make([]int, len(plans)), halls: make([]int, len(halls))}
	r.spans, _ = t.spans()
	for i, p := range t.Partners {
		r.Names = append(r.Names, p.Name)
		for k, name := range halls {
			if slices.Contains(p.Halls, name) {
				r.halls[k] = i + 1
			}
		}
		for k, name := range plans {
			if slices.Contains(p.Plans, name) {
				r.plans[k] = i + 1
			}
		}
	}
	return r
}

// Partner is whose task one of a customer under a plan is.
func (r *Roll) Partner(customer uint64, plan int) int {
	i := sort.Search(len(r.spans), func(i int) bool { return r.spans[i].to >= customer })
	if i < len(r.spans) && r.spans[i].from <= customer {
		return r.spans[i].partner
	}
	if plan < 0 || plan >= len(r.plans) {
		return 0
	}
	return r.plans[plan]
}

// Owner is whose a hall is.
func (r *Roll) Owner(hall int) int {
	if hall < 0 || hall >= len(r.halls) {
		return 0
	}
	return r.halls[hall]
}

// Halls is how many halls there are.
func (r *Roll) Halls() int { return len(r.halls) }

// Number is a partner's, by name; 0 where the file has none of that name.
func (r *Roll) Number(name string) int {
	if name == "" {
		return 0
	}
	return max(slices.Index(r.Names, name), 0)
}
