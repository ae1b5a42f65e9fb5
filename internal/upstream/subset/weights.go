package subset

import (
	"cmp"
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

const (
	// turnInterval is how often other gateways take the odd servers: whoever tries a hall with a small share changes, so
	// that more than a few come to know it. Each turn opens a connection or two at some gateways.
	turnInterval = 10 * time.Second
	// gatewaySpread and turning spread over gateways, and over turns, which of them get an odd server; unlike golden, so that
	// it does not hang on where a gateway's arc begins.
	gatewaySpread = 0.4142135623730951
	turnSpread    = 0.7548776662466927
)

// SetWeights has the part laid out by weights from the next time on: by the number of a hall in what proportion its servers
// are handed over; 0, or a hall beyond the list: none are. Nil: as the list has them. Shed is the part of tasks, 0 to 1,
// that is to be rejected at once. It tells whether this changes anything.
func (s *Subset) SetWeights(weights []float64, shed float64) bool {
	shed = min(max(shed, 0), 1)
	same := (weights == nil) == (s.weights == nil) && slices.Equal(weights, s.weights) && shed == s.shedFraction
	s.weights, s.shedFraction = weights, shed
	return !same
}

// ShouldShed tells whether the next task is to be rejected at once: such a part of them as fits nowhere, or whose hall has no
// server ready. Which ones is spread evenly, also over any every n-th of them.
func (s *Subset) ShouldShed() bool {
	if s.weights == nil {
		return false
	}
	part := s.shedFraction + (1-s.shedFraction)*s.unservedFraction
	if part <= 0 {
		return false
	}
	s.requests++
	_, lot := math.Modf(float64(s.requests) * goldenRatio)
	return lot < part
}

func turnAt(now time.Duration) int64 { return int64(now / turnInterval) }

// selectWeighted lays the part out by weights. The mean over all gateways is as exact as the weights; with too few servers in
// a hall the whole part is shorter, as more from the others would bring those more than their share.
func (s *Subset) selectWeighted(now time.Duration, list []Candidate, zones map[int][]int) []policy.Endpoint {
	s.turn, s.unservedFraction = turnAt(now), 0
	var named []int // halls with weight and servers
	sum, open := 0.0, 0
	all := 0.0
	for zone, weight := range s.weights {
		if weight <= 0 {
			continue
		}
		all += weight
		if n := len(zones[zone]); n > 0 {
			named, sum, open = append(named, zone), sum+weight, open+n
		}
	}
	if all <= 0 || sum <= 0 {
		s.unservedFraction = 1
		return nil
	}
	s.unservedFraction = 1 - sum/all
	long := float64(min(s.length, open))
	for _, zone := range named {
		long = min(long, float64(len(zones[zone]))*sum/s.weights[zone])
	}
	var places []int
	most := slices.MaxFunc(named, func(a, b int) int { return cmp.Compare(s.weights[a], s.weights[b]) })
	for _, zone := range named {
		_, odd := math.Modf(float64(s.me)*gatewaySpread + float64(s.turn%1e6)*turnSpread + float64(zone)/math.E)
		n := int(long*s.weights[zone]/sum + odd)
		if zone == most {
			n = max(n, 1)
		}
		places = append(places, s.arc(zone, zones[zone], list, min(n, len(zones[zone])))...)
	}
	slices.Sort(places)
	selected := make([]policy.Endpoint, 0, len(places))
	for _, at := range places {
		selected = append(selected, list[at].Endpoint)
	}
	return selected
}
