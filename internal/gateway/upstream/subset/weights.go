package subset

import (
	"cmp"
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

// A subset is a whole number of servers, and a small weight is less than one. Which gateways have one server more in a zone
// changes by turns.
const (
	// turnInterval is the length of a turn: whoever tries a zone with a small weight changes, so that more than a few come
	// to know it. Each turn opens a connection or two at some gateways.
	turnInterval = 10 * time.Second
	// gatewaySpread and turnSpread spread over gateways, and over turns, which of them get one server more; unlike
	// goldenRatio, so that it does not depend on where a gateway's arc begins.
	gatewaySpread = 0.4142135623730951
	turnSpread    = 0.7548776662466927
)

// SetWeights has the subset selected by weights from the next time on: by the number of a zone in what proportion its
// servers are selected; 0, or a zone beyond the slice: none are. Nil: by the number of servers. Of all requests the fraction
// shed, 0 to 1, is to be rejected at once. It returns whether this changes anything.
func (s *Subset) SetWeights(weights []float64, shed float64) (changed bool) {
	shed = min(max(shed, 0), 1)
	isSame := (weights == nil) == (s.weights == nil) && slices.Equal(weights, s.weights) && shed == s.shedFraction
	s.weights, s.shedFraction = weights, shed
	return !isSame
}

// ShouldShed tells whether the next request is to be rejected at once: so many of them as fit in no zone, or whose zone has
// no server ready. Which ones is spread evenly, also over any every n-th of them.
func (s *Subset) ShouldShed() bool {
	if s.weights == nil {
		return false
	}
	fraction := s.shedFraction + (1-s.shedFraction)*s.unservedFraction
	if fraction <= 0 {
		return false
	}
	s.requests++
	_, draw := math.Modf(float64(s.requests) * goldenRatio)
	return draw < fraction
}

func turnAt(now time.Duration) int64 { return int64(now / turnInterval) }

// selectWeighted selects by weights. The average over all gateways is as exact as the weights; with too few servers in a
// zone the whole subset is shorter, as more from the others would bring those more than their weight.
func (s *Subset) selectWeighted(now time.Duration, list []Candidate, zones map[int][]int) []policy.Endpoint {
	s.turn, s.unservedFraction = turnAt(now), 0
	served, servedWeight, allWeight := s.servedZones(zones)
	if allWeight <= 0 || servedWeight <= 0 {
		s.unservedFraction = 1
		return nil
	}
	s.unservedFraction = 1 - servedWeight/allWeight
	servers := 0
	for _, zone := range served {
		servers += len(zones[zone])
	}
	length := float64(min(s.length, servers))
	for _, zone := range served {
		length = min(length, float64(len(zones[zone]))*servedWeight/s.weights[zone])
	}
	var indexes []int
	heaviest := slices.MaxFunc(served, func(a, b int) int { return cmp.Compare(s.weights[a], s.weights[b]) })
	for _, zone := range served {
		_, remainder := math.Modf(float64(s.index)*gatewaySpread + float64(s.turn%1e6)*turnSpread + float64(zone)/math.E)
		count := int(length*s.weights[zone]/servedWeight + remainder)
		if zone == heaviest {
			count = max(count, 1)
		}
		indexes = append(indexes, s.arc(zone, zones[zone], list, min(count, len(zones[zone])))...)
	}
	return endpointsAt(list, indexes)
}

// servedZones returns the zones with a weight and a server that is ready, the sum of their weights, and that of all.
func (s *Subset) servedZones(zones map[int][]int) (served []int, servedWeight, allWeight float64) {
	for zone, weight := range s.weights {
		if weight <= 0 {
			continue
		}
		allWeight += weight
		if len(zones[zone]) > 0 {
			served, servedWeight = append(served, zone), servedWeight+weight
		}
	}
	return served, servedWeight, allWeight
}
