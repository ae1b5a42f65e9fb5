package subset

import (
	"cmp"
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

// A subset is a whole number of servers, and a small weight is less than one. Which gateways have
// one server more in a zone changes by turns.
const (
	// turnInterval is the length of a turn. Other gateways try a zone with a small weight in the
	// next one, so that more than a few know it.
	turnInterval = 10 * time.Second
	// gatewaySpread spreads over gateways which of them get one server more. It differs from
	// goldenRatio, so that this does not depend on where a gateway's arc begins.
	gatewaySpread = 0.4142135623730951
	// turnSpread spreads the same over turns.
	turnSpread = 0.7548776662466927
	// turnModulus keeps the number of a turn small enough for an exact product.
	turnModulus = 1e6
)

// SetWeights has the subset selected by weights from the next selection on. A weight is a zone's
// part of the servers, in any unit; a zone of weight 0, or beyond the slice, gets none; nil selects
// by the number of servers. The fraction shed of all requests, 0 to 1, is to be rejected at once.
// It returns whether this changes anything.
func (s *Subset) SetWeights(weights []float64, shed float64) (changed bool) {
	shed = min(max(shed, 0), 1)
	isSame := (weights == nil) == (s.weights == nil) && slices.Equal(weights, s.weights) && shed == s.shedFraction
	s.weights = weights
	s.shedFraction = shed
	return !isSame
}

// ShouldShed reports whether the next request is to be rejected at once: a part of them fits in no
// zone, or belongs to a zone without a server that is ready. It rejects evenly, also among every
// n-th request.
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

// selectWeighted selects by weights. The average over all gateways is as exact as the weights.
func (s *Subset) selectWeighted(now time.Duration, list []Candidate, rings map[int][]int) []policy.Endpoint {
	s.turn = turnAt(now)
	served, servedWeight, allWeight := s.servedZones(rings)
	if allWeight <= 0 || servedWeight <= 0 {
		s.unservedFraction = 1
		return nil
	}
	s.unservedFraction = 1 - servedWeight/allWeight
	length := s.weightedLength(served, servedWeight, rings)
	var indexes []int
	heaviest := slices.MaxFunc(served, func(a, b int) int { return cmp.Compare(s.weights[a], s.weights[b]) })
	for _, zone := range served {
		count := int(length*s.weights[zone]/servedWeight + s.roundingAt(zone))
		if zone == heaviest {
			count = max(count, 1)
		}
		indexes = append(indexes, s.arc(zone, rings[zone], list, min(count, len(rings[zone])))...)
	}
	return endpointsAt(list, indexes)
}

// weightedLength returns the length of the whole subset over the served zones. Where one has too
// few servers all get fewer, as more from the others would bring those more than their weight.
func (s *Subset) weightedLength(served []int, servedWeight float64, rings map[int][]int) float64 {
	servers := 0
	for _, zone := range served {
		servers += len(rings[zone])
	}
	length := float64(min(s.length, servers))
	for _, zone := range served {
		length = min(length, float64(len(rings[zone]))*servedWeight/s.weights[zone])
	}
	return length
}

// roundingAt returns what is added to a zone's part of the length before it is cut to a whole
// number of servers: 0 to 1, spread evenly over gateways and turns.
func (s *Subset) roundingAt(zone int) float64 {
	turn := float64(s.turn % turnModulus)
	_, rounding := math.Modf(float64(s.index)*gatewaySpread + turn*turnSpread + float64(zone)/math.E)
	return rounding
}

// servedZones returns the zones with a weight and a server that is ready, the sum of their weights,
// and that of all.
func (s *Subset) servedZones(rings map[int][]int) (served []int, servedWeight, allWeight float64) {
	for zone, weight := range s.weights {
		if weight <= 0 {
			continue
		}
		allWeight += weight
		if len(rings[zone]) > 0 {
			served = append(served, zone)
			servedWeight += weight
		}
	}
	return served, servedWeight, allWeight
}
