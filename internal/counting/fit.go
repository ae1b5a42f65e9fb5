package counting

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"harrierhoist/policy"
)

// Count is the count that a task falls under.
type Count struct {
	Version uint64  // of the rule
	Key     uint64  // stands for the customer in the module, and so in the counter's names
	Plan    int     // its number in the deployment that Plans gave
	Weight  float64 // a unit counts this much
	Shared  bool    // customers share it: tasks of it come through any gateway
}

// Fitted is a rule beside a deployment's lanes and plans.
type Fitted struct {
	Rule
	lanes, plans []uint64 // marks of the names, by number
	weights      []float64
	place        []int // of the rule's plan, by the number of the task's; -1: it has no rate, and stays under rule 0
	groups       map[uint64]uint64
	has          [4]bool // by parts
}

const between = "\x1f" // no name in settings holds it, so no client can ask for a rule's own plans

func planName(version uint64, plan string) string {
	return "rule" + between + strconv.FormatUint(version, 10) + between + plan
}

// Plans gives a deployment with the rules' own plans behind its plans. With rule 0 alone it is as it was.
func Plans(site policy.Deployment, rules []Rule) policy.Deployment {
	base := len(site.Plans)
	site.Plans = slices.Clone(site.Plans)
	for _, r := range rules {
		for _, p := range site.Plans[:base] {
			if p.Rate <= 0 || r.Version == 0 {
				continue
			}
			p.Name = planName(r.Version, p.Name)
			for _, l := range r.Limits {
				if planName(r.Version, l.Plan) == p.Name || l.Plan == "*" && !slices.ContainsFunc(r.Limits, func(o Limit) bool {
					return planName(r.Version, o.Plan) == p.Name
				}) {
					p.Rate, p.Burst = l.Rate, l.Burst
				}
			}
			site.Plans = append(site.Plans, p)
		}
	}
	return site
}

// Face gives a deployment as clients may know it: no client asks for a rule's own plan.
func Face(site policy.Deployment) policy.Deployment {
	site.Plans = slices.Clone(site.Plans)
	for i := range site.Plans {
		p := &site.Plans[i]
		p.Closed = p.Closed || strings.HasPrefix(p.Name, "rule"+between)
	}
	return site
}

// Fit lays a rule beside a deployment that Plans gave. An error tells why the rule cannot hold there.
func Fit(r Rule, site policy.Deployment) (*Fitted, error) {
	f := &Fitted{Rule: r, groups: map[uint64]uint64{}}
	for i, p := range parts {
		f.has[i] = slices.Contains(r.Key, p) || r.Version == 0 && i == 0
	}
	for _, g := range r.Groups {
		for _, c := range g.Customers {
			f.groups[c] = xxhash.Sum64String(g.Name)
		}
	}
	for _, l := range site.Lanes {
		weight := uint64(weightOne)
		for _, w := range r.Weights {
			if w.Lane == l.Name {
				weight = w.Thousandths
			}
		}
		f.lanes, f.weights = append(f.lanes, xxhash.Sum64String(l.Name)), append(f.weights, float64(weight)/weightOne)
	}
	for i, p := range site.Plans {
		place := i
		if r.Version > 0 {
			place = slices.IndexFunc(site.Plans, func(q policy.Plan) bool { return q.Name == planName(r.Version, p.Name) })
		}
		f.plans, f.place = append(f.plans, xxhash.Sum64String(p.Name)), append(f.place, place)
		if place >= 0 && !f.has[0] && (p.AtOnce > 0 || p.CeilingRate > 0) && !p.Closed {
			return nil, fmt.Errorf("rule %d must have customer in its key: plan %q limits each customer's"+
				" pushes out, or has a ceiling",
				r.Version, p.Name)
		}
	}
	return f, nil
}

// Count gives the count of a task by its lane's and plan's number.
func (f *Fitted) Count(customer uint64, lane, plan int) Count {
	if f.Version == 0 || plan >= len(f.place) || f.place[plan] < 0 || lane >= len(f.lanes) {
		return Count{Key: customer, Plan: plan, Weight: 1}
	}
	words := []uint64{f.Version, 0, 0, 0, 0}
	for i, word := range []uint64{customer, f.group(customer), f.plans[plan], f.lanes[lane]} {
		if f.has[i] {
			words[i+1] = word
		}
	}
	return Count{f.Version, Mix(words...), f.place[plan], f.weights[lane], !f.has[0]}
}

// group is the mark of a customer's group.
func (f *Fitted) group(customer uint64) uint64 {
	if f.Mask != 0 {
		return customer & f.Mask
	}
	if g, ok := f.groups[customer]; ok {
		return g
	}
	return Mix(customer, 1) // of its own; a hash, so that it is no named group's
}

// Mix hashes words to one, the same at every process.
func Mix(words ...uint64) uint64 {
	var text [8 * 6]byte
	bytes := text[:0]
	for _, w := range words {
		for i := range 8 {
			bytes = append(bytes, byte(w>>(8*i)))
		}
	}
	return xxhash.Sum64(bytes)
}
