package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

const (
	// turnEvery is how often other gateways take the odd servers: whoever tries a hall with a small share changes, so
	// that more than a few come to know it. Each turn opens a connection or two at some gateways.
	turnEvery = 10 * time.Second
	// oddly and turning spread over gateways, and over turns, which of them get an odd server; unlike golden, so that
	// it does not hang on where a gateway's arc begins.
	oddly   = 0.4142135623730951
	turning = 0.7548776662466927
)

// Steer has the part laid out by weights from the next time on: by the number of a hall in what proportion its servers
// are handed over; 0, or a hall beyond the list: none are. Nil: as the list has them. Shed is the part of tasks, 0 to 1,
// that is to be rejected at once. It tells whether this changes anything.
func (p *Pool) Steer(weights []float64, shed float64) bool {
	shed = min(max(shed, 0), 1)
	same := (weights == nil) == (p.weights == nil) && slices.Equal(weights, p.weights) && shed == p.shed
	p.weights, p.shed = weights, shed
	return !same
}

// Shed tells whether the next task is to be rejected at once: such a part of them as fits nowhere, or whose hall has no
// server ready. Which ones is spread evenly, also over any every n-th of them.
func (p *Pool) Shed() bool {
	if p.weights == nil {
		return false
	}
	part := p.shed + (1-p.shed)*p.short
	if part <= 0 {
		return false
	}
	p.tasks++
	_, lot := math.Modf(float64(p.tasks) * golden)
	return lot < part
}

func turn(now time.Duration) int64 { return int64(now / turnEvery) }

// shared lays the part out by weights. The mean over all gateways is as exact as the weights; with too few servers in
// a hall the whole part is shorter, as more from the others would bring those more than their share.
func (p *Pool) shared(now time.Duration, list []Server, halls map[int][]int) []policy.Listed {
	p.turn, p.short = turn(now), 0
	var named []int // halls with weight and servers
	sum, open := 0.0, 0
	all := 0.0
	for hall, weight := range p.weights {
		if weight <= 0 {
			continue
		}
		all += weight
		if n := len(halls[hall]); n > 0 {
			named, sum, open = append(named, hall), sum+weight, open+n
		}
	}
	if all <= 0 || sum <= 0 {
		p.short = 1
		return nil
	}
	p.short = 1 - sum/all
	long := float64(min(p.length, open))
	for _, hall := range named {
		long = min(long, float64(len(halls[hall]))*sum/p.weights[hall])
	}
	var places []int
	most := slices.MaxFunc(named, func(a, b int) int { return cmp.Compare(p.weights[a], p.weights[b]) })
	for _, hall := range named {
		_, odd := math.Modf(float64(p.me)*oddly + float64(p.turn%1e6)*turning + float64(hall)/math.E)
		n := int(long*p.weights[hall]/sum + odd)
		if hall == most {
			n = max(n, 1)
		}
		places = append(places, p.arc(hall, halls[hall], list, min(n, len(halls[hall])))...)
	}
	slices.Sort(places)
	part := make([]policy.Listed, 0, len(places))
	for _, at := range places {
		part = append(part, list[at].Listed)
	}
	return part
}
