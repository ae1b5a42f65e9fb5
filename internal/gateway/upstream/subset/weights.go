package subset

import (
	"cmp"
	"math"
	"slices"
	"time"

	"harrierhoist/policy"
)

// A zone's weight seldom corresponds to a whole number of servers, and a small weight corresponds
// to less than one. So each zone's number of servers is rounded up at some gateways and down at the
// others, and which gateways round up changes every turn.
const (
	// turnInterval is the length of a turn. In each turn, different gateways select servers in a
	// zone with a small weight, so that many gateways learn the state of its servers.
	turnInterval = 10 * time.Second
	// gatewaySpread is an irrational factor that spreads the rounding evenly over gateways. It
	// differs from goldenRatio, so that the rounding is independent of where a gateway's arc
	// begins.
	gatewaySpread = 0.4142135623730951
	// turnSpread is an irrational factor that spreads the rounding evenly over turns.
	turnSpread = 0.7548776662466927
	// turnModulus limits the turn number, to keep the fractional part of its product with
	// turnSpread precise.
	turnModulus = 1e6
)

// SetWeights sets the weight of each zone, indexed by zone. It takes effect at the next selection.
// A zone's weight, in any unit, is its relative share of the selected servers. A zone with weight
// 0, or beyond the end of the slice, gets no servers. If weights is nil, zones are weighted by
// their number of ready servers. shed, from 0 to 1, is the fraction of all requests to reject,
// see ShouldShed; it applies only with weights. SetWeights reports whether the weights or the
// fraction have changed. It retains weights, which the caller must not modify afterwards.
func (s *Subset) SetWeights(weights []float64, shed float64) (changed bool) {
	shed = min(max(shed, 0), 1)
	isSame := (weights == nil) == (s.weights == nil) && slices.Equal(weights, s.weights) && shed == s.shedFraction
	s.weights = weights
	s.shedFraction = shed
	return !isSame
}

// ShouldShed reports whether to reject the next request immediately. It sheds the fraction set by
// SetWeights and, of the remaining requests, the share of the zones without a ready server. Shed
// requests are spread evenly over all requests. Of every n-th request, the same fraction is shed.
func (s *Subset) ShouldShed() bool {
	if s.weights == nil {
		return false
	}
	fraction := s.shedFraction + float64((1-s.shedFraction)*s.unservedFraction)
	if fraction <= 0 {
		return false
	}
	s.requests++
	_, position := math.Modf(float64(s.requests) * goldenRatio)
	return position < fraction
}

// turnNumber returns the number of the turn at a time.
func turnNumber(now time.Duration) int64 { return int64(now / turnInterval) }

// selectWeighted selects servers of each zone in proportion to the weights. A single gateway's
// selection is rounded to whole servers; the average over all gateways matches the weights.
func (s *Subset) selectWeighted(now time.Duration, list []Candidate, rings map[int][]int) []policy.Endpoint {
	s.selectedTurn = turnNumber(now)
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
		count := int(length*s.weights[zone]/servedWeight + s.roundingOffset(zone))
		if zone == heaviest {
			count = max(count, 1) // so that the subset is never empty
		}
		indexes = append(indexes, s.arc(zone, rings[zone], list, min(count, len(rings[zone])))...)
	}
	return endpointsAt(list, indexes)
}

// weightedLength returns the total number of servers to select from the served zones, before
// rounding. If a zone has too few servers for its weight, the number is reduced in all zones, as
// otherwise the other zones would get more than their weight.
func (s *Subset) weightedLength(served []int, servedWeight float64, rings map[int][]int) float64 {
	servers := 0
	for _, zone := range served {
		servers += len(rings[zone])
	}
	length := float64(min(s.targetAtSelection, servers))
	for _, zone := range served {
		length = min(length, float64(len(rings[zone]))*servedWeight/s.weights[zone])
	}
	return length
}

// roundingOffset returns the offset, from 0 to 1, that is added to a zone's share of the length
// before the sum is truncated to a whole number of servers. It is spread evenly over gateways and
// turns, so that the average number of servers is exact.
func (s *Subset) roundingOffset(zone int) float64 {
	turn := float64(s.selectedTurn % turnModulus)
	_, rounding := math.Modf(float64(float64(s.index)*gatewaySpread) + float64(turn*turnSpread) + float64(zone)/math.E)
	return rounding
}

// servedZones returns the zones that have a positive weight and a ready server, the sum of their
// weights, and the sum of all weights.
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
