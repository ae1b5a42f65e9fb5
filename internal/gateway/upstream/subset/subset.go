// Package subset decides which servers of the endpoint list a gateway sends requests to, so that a gateway with little
// traffic among hundreds finds most of its connections open, and meets a server often enough to know it. It uses neither
// sockets nor a clock: it is given the list, the attempts and the time.
//
// All gateways arrange the servers of a zone in the same order, in a ring. A gateway's subset is an arc of each zone's ring.
// The starts of the arcs are spread evenly over the gateways, and an arc is as long as the gateway's attempts can keep
// connections open; so each server lies in arcs that bring it the same attempts, whatever each gateway's own fraction of
// the traffic. docs/fleet-connections.md weighs this against other ways.
package subset

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"harrierhoist/policy"
)

// Lengths of a subset.
const (
	// MinSize is the number of servers in a subset, if there are so many: enough that a lost zone or a failing rack leaves a
	// choice of two.
	MinSize = 8
	// minCover is in how many subsets each server lies, on average, at the least: arcs end somewhere, and with fewer to a
	// server those ends make load uneven.
	minCover = 8.0
	// attemptsPerIdleTimeout is how many attempts, on average, a server of the subset gets in the time after which idle
	// connections are closed. Three would keep all but one connection in twenty open until its next attempt. More is better:
	// a gateway's own counts, which choose between two servers, tell more where it has fewer of them.
	attemptsPerIdleTimeout = 12.0
	// lengthTolerance is the part by which a length must be wrong before it is changed, besides by a new list.
	lengthTolerance = 0.25
	// checkInterval is how often the length is compared with the rate.
	checkInterval = time.Second
)

// The rate of attempts.
const (
	// rateTimeConstant is the time constant of the exponential moving average: bursts are shorter, and each change of the
	// subset opens connections.
	rateTimeConstant = 10 * time.Second
	// minRateSpan is the time that the first attempts are taken to have needed: one attempt is no rate.
	minRateSpan = 2 * time.Second
)

// goldenRatio spreads what is numbered evenly over a ring, for any run of numbers or every n-th of them alike.
const goldenRatio = 0.6180339887498949

// Candidate is a server of the endpoint list.
type Candidate struct {
	NameHash uint64 // HashName of its name, the same at all gateways
	policy.Endpoint
}

// HashName is the hash by which servers of a rack are ordered.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Subset is one gateway's subset. It is not safe for concurrent use. Times are on one clock, from any start above 0.
type Subset struct {
	idleTimeout time.Duration
	index       int // of this gateway
	gateways    int

	attempts  float64       // decayed count
	since     time.Duration // of the first attempt
	countedAt time.Duration // when attempts was decayed last
	checkedAt time.Duration // when the length was compared with the rate last
	length    int           // wanted when the subset was last selected; 0: not yet
	ready     int           // servers that were ready then

	weights          []float64 // by zone; nil: by the number of servers
	shedFraction     float64   // of requests that fit in no zone
	unservedFraction float64   // of the weights, whose zone has no server ready
	turn             int64     // in which the subset was last selected by weights
	requests         uint64    // that ShouldShed was asked about
}

// New makes the subset of the gateway with an index, from 0, among a number of gateways. Connections are closed when idle
// for idleTimeout; at 0 the subset is the whole list.
func New(index, gateways int, idleTimeout time.Duration) *Subset {
	return &Subset{idleTimeout: idleTimeout, index: index, gateways: max(gateways, 1)}
}

// Resize changes the gateway's index and the number of gateways, from the next selection on.
func (s *Subset) Resize(index, gateways int) { s.index, s.gateways = index, max(gateways, 1) }

// CountAttempt counts an attempt.
func (s *Subset) CountAttempt(now time.Duration) {
	s.decay(now)
	s.attempts++
}

// decay lets the count of attempts decay up to now.
func (s *Subset) decay(now time.Duration) {
	if s.countedAt == 0 {
		s.since, s.countedAt = now, now
	}
	s.attempts *= math.Exp(-float64(now-s.countedAt) / float64(rateTimeConstant))
	s.countedAt = now
}

// AttemptRate is the recent number of attempts a second; 0 before any.
func (s *Subset) AttemptRate(now time.Duration) float64 {
	s.decay(now)
	// The count of a steady rate r after a time t is r * rateTimeConstant * (1 - exp(-t / rateTimeConstant)).
	span := rateTimeConstant.Seconds() * -math.Expm1(-float64(max(now-s.since, minRateSpan))/float64(rateTimeConstant))
	return s.attempts / span
}

// targetLength is how many servers the subset should have, of a number that are ready.
func (s *Subset) targetLength(now time.Duration, ready int) int {
	if s.idleTimeout <= 0 {
		return ready
	}
	length := s.AttemptRate(now) * s.idleTimeout.Seconds() / attemptsPerIdleTimeout
	length = max(length, MinSize, math.Ceil(minCover*float64(ready)/float64(s.gateways)))
	return int(min(length, float64(ready)))
}

// IsDue tells, once in a while, whether the subset has to be selected anew as the rate has changed.
func (s *Subset) IsDue(now time.Duration) bool {
	if s.length == 0 || now < s.checkedAt+checkInterval {
		return false
	}
	s.checkedAt = now
	if s.weights != nil && s.turn != turnAt(now) {
		return true
	}
	target := s.targetLength(now, s.ready)
	return math.Abs(float64(target-s.length)) > lengthTolerance*float64(s.length) || target == s.ready && s.length < target
}

// Select selects the subset from the list: its endpoints, in the list's order, and how many gateways share each of them on
// average. Only servers that are ready are selected.
func (s *Subset) Select(now time.Duration, list []Candidate) (selected []policy.Endpoint, sharers float64) {
	zones := map[int][]int{}
	s.ready = 0
	for i, candidate := range list {
		if candidate.State == policy.Ready {
			zones[candidate.Zone] = append(zones[candidate.Zone], i)
			s.ready++
		}
	}
	s.length, s.checkedAt = s.targetLength(now, s.ready), now
	if s.unservedFraction = 0; s.ready == 0 {
		return nil, float64(s.gateways)
	}
	if s.weights != nil {
		selected = s.selectWeighted(now, list, zones)
	} else {
		selected = s.selectEvenly(list, zones)
	}
	// The traffic of others is taken to be as ours: their subsets are as long.
	return selected, max(float64(s.gateways)*float64(len(selected))/float64(s.ready), 1)
}

// selectEvenly selects the same fraction of each zone.
func (s *Subset) selectEvenly(list []Candidate, zones map[int][]int) []policy.Endpoint {
	fraction := float64(s.length) / float64(s.ready)
	var indexes []int
	for zone, ring := range zones {
		indexes = append(indexes, s.arc(zone, ring, list, int(math.Ceil(fraction*float64(len(ring)))))...)
	}
	return endpointsAt(list, indexes)
}

// endpointsAt returns the endpoints at some indexes, in the list's order.
func endpointsAt(list []Candidate, indexes []int) []policy.Endpoint {
	slices.Sort(indexes)
	endpoints := make([]policy.Endpoint, 0, len(indexes))
	for _, i := range indexes {
		endpoints = append(endpoints, list[i].Endpoint)
	}
	return endpoints
}

// arc cuts this gateway's arc, of some length, out of a zone's ring of indexes, which it sorts. Racks stay together, as a
// keyed request can be retried only within one; their order, and that within them, is random but the same at all gateways.
func (s *Subset) arc(zone int, ring []int, list []Candidate, length int) []int {
	size := len(ring)
	if length >= size {
		return ring
	}
	slices.SortFunc(ring, func(a, b int) int {
		x, y := list[a], list[b]
		return cmp.Or(cmp.Compare(rackHash(x), rackHash(y)), cmp.Compare(x.Rack, y.Rack), cmp.Compare(x.NameHash, y.NameHash))
	})
	_, position := math.Modf(float64(s.index)*goldenRatio + float64(zone)/math.Pi)
	first := int(position * float64(size))
	arc := make([]int, 0, length)
	for i := range length {
		arc = append(arc, ring[(first+i)%size])
	}
	return arc
}

func rackHash(candidate Candidate) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(candidate.Zone)<<32|uint64(uint32(candidate.Rack))))
}
