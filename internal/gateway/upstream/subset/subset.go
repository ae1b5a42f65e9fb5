// Package subset decides which servers of the endpoint list a gateway sends requests to. The
// dispatcher calls it with the list, each attempt and the time: it uses neither sockets nor a
// clock. A gateway with little traffic among hundreds then finds most of its connections open, and
// meets a server often enough to know it.
//
// All gateways arrange the servers of a zone in the same order, in a ring. A gateway's subset is an
// arc of each zone's ring. The starts of the arcs are spread evenly over the gateways, and an arc
// is as long as the gateway's attempts can keep connections open. So each server lies in arcs that
// bring it the same attempts, whatever each gateway's own fraction of the traffic.
// docs/fleet-connections.md weighs this against other ways.
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
	// MinSize is the smallest number of servers in a subset, if as many are ready.
	MinSize = 8
	// minCover is the smallest number of subsets in which each server lies on average. The ends of
	// arcs make load uneven where it is less.
	minCover = 8.0
	// attemptsPerIdleTimeout is the average number of attempts that a server of the subset gets
	// within the idle timeout. More attempts keep more connections open, and a gateway's own
	// counts, which choose between two servers, tell more.
	attemptsPerIdleTimeout = 12.0
	// lengthTolerance is the part by which the length must be wrong before it is changed without a
	// new list.
	lengthTolerance = 0.25
	// checkInterval is the time between comparisons of the length with the rate.
	checkInterval = time.Second
)

// The rate of attempts.
const (
	// rateTimeConstant is the time constant of the exponential moving average. Bursts are shorter,
	// and each change of the subset opens connections.
	rateTimeConstant = 10 * time.Second
	// minRateSpan is the shortest time over which the first attempts are counted: one attempt is no
	// rate.
	minRateSpan = 2 * time.Second
)

// goldenRatio spreads consecutive numbers evenly over a ring, and also every n-th of them.
const goldenRatio = 0.6180339887498949

// rackBits is the size of a rack's number in the input of its hash.
const rackBits = 32

// Candidate is a server of the endpoint list.
type Candidate struct {
	NameHash uint64 // HashName of its name, the same at all gateways
	policy.Endpoint
}

// HashName returns the hash by which servers of a rack are ordered.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Subset is one gateway's subset. It is not safe for concurrent use. Times are on one clock, from
// any start above 0.
type Subset struct {
	idleTimeout time.Duration
	index       int // of this gateway
	gateways    int

	attempts  float64       // a count that decays
	since     time.Duration // when the count began
	countedAt time.Duration // when attempts was decayed last; see hasCounted
	checkedAt time.Duration // when the length was compared with the rate last
	length    int           // target when the subset was last selected; see isSelected
	ready     int           // servers that were ready then

	weights          []float64 // by zone; nil: by the number of servers
	shedFraction     float64   // of requests that fit in no zone
	unservedFraction float64   // of the weights, whose zone has no server ready
	turn             int64     // in which the subset was last selected by weights
	requests         uint64    // for which ShouldShed was called
}

// New makes the subset of the gateway with an index, from 0, among a number of gateways.
// Connections are closed when idle for idleTimeout; at 0 the subset is the whole list.
func New(index, gateways int, idleTimeout time.Duration) *Subset {
	return &Subset{idleTimeout: idleTimeout, index: index, gateways: max(gateways, 1)}
}

// Resize changes the gateway's index and the number of gateways, from the next selection on.
func (s *Subset) Resize(index, gateways int) {
	s.index = index
	s.gateways = max(gateways, 1)
}

// hasCounted reports whether a count of attempts has begun.
func (s *Subset) hasCounted() bool { return s.countedAt != 0 }

// isSelected reports whether the subset was selected before, with a server ready.
func (s *Subset) isSelected() bool { return s.length != 0 }

// CountAttempt counts an attempt.
func (s *Subset) CountAttempt(now time.Duration) {
	s.decay(now)
	s.attempts++
}

// decay lets the count of attempts decay up to now.
func (s *Subset) decay(now time.Duration) {
	if !s.hasCounted() {
		s.since = now
		s.countedAt = now
	}
	s.attempts *= math.Exp(-float64(now-s.countedAt) / float64(rateTimeConstant))
	s.countedAt = now
}

// AttemptRate returns the recent number of attempts a second; 0 before any.
func (s *Subset) AttemptRate(now time.Duration) float64 {
	s.decay(now)
	// The count of a steady rate r after a time t is r * rateTimeConstant * (1 - exp(-t /
	// rateTimeConstant)).
	counted := float64(max(now-s.since, minRateSpan))
	span := rateTimeConstant.Seconds() * -math.Expm1(-counted/float64(rateTimeConstant))
	return s.attempts / span
}

// targetLength returns how many servers the subset should have, of those that are ready: as many as
// its attempts keep connections open to.
func (s *Subset) targetLength(now time.Duration, ready int) int {
	if s.idleTimeout <= 0 {
		return ready
	}
	length := s.AttemptRate(now) * s.idleTimeout.Seconds() / attemptsPerIdleTimeout
	length = max(length, MinSize, math.Ceil(minCover*float64(ready)/float64(s.gateways)))
	return int(min(length, float64(ready)))
}

// IsDue reports, once every checkInterval, whether the subset has to be selected anew: its length
// is wrong by more than lengthTolerance, or a turn of its weights has ended.
func (s *Subset) IsDue(now time.Duration) bool {
	if !s.isSelected() || now < s.checkedAt+checkInterval {
		return false
	}
	s.checkedAt = now
	if s.weights != nil && s.turn != turnAt(now) {
		return true
	}
	target := s.targetLength(now, s.ready)
	isWrong := math.Abs(float64(target-s.length)) > lengthTolerance*float64(s.length)
	growsToAll := target == s.ready && s.length < target
	return isWrong || growsToAll
}

// Select selects the subset from the list: its endpoints, in the list's order, and how many
// gateways share each of them on average. Only servers that are ready are selected.
func (s *Subset) Select(now time.Duration, list []Candidate) (selected []policy.Endpoint, sharers float64) {
	rings := map[int][]int{} // indexes of the servers that are ready, by zone
	s.ready = 0
	for i, candidate := range list {
		if candidate.State == policy.Ready {
			rings[candidate.Zone] = append(rings[candidate.Zone], i)
			s.ready++
		}
	}
	s.length = s.targetLength(now, s.ready)
	s.checkedAt = now
	s.unservedFraction = 0
	if s.ready == 0 {
		return nil, float64(s.gateways)
	}
	if s.weights != nil {
		selected = s.selectWeighted(now, list, rings)
	} else {
		selected = s.selectEvenly(list, rings)
	}
	// Other gateways are taken to have as much traffic, and subsets as long.
	return selected, max(float64(s.gateways)*float64(len(selected))/float64(s.ready), 1)
}

// selectEvenly selects the same fraction of each zone's ring, rounded up.
func (s *Subset) selectEvenly(list []Candidate, rings map[int][]int) []policy.Endpoint {
	fraction := float64(s.length) / float64(s.ready)
	var indexes []int
	for zone, ring := range rings {
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

// arc cuts this gateway's arc, of some length, out of a zone's ring of indexes, which it sorts.
// Racks stay together, as a keyed request can be retried only within one; their order, and that
// within them, is random but the same at all gateways.
func (s *Subset) arc(zone int, ring []int, list []Candidate, length int) []int {
	size := len(ring)
	if length >= size {
		return ring
	}
	slices.SortFunc(ring, func(a, b int) int {
		return compareInRing(list[a], list[b])
	})
	_, position := math.Modf(float64(s.index)*goldenRatio + float64(zone)/math.Pi)
	first := int(position * float64(size))
	arc := make([]int, 0, length)
	for i := range length {
		arc = append(arc, ring[(first+i)%size])
	}
	return arc
}

// compareInRing orders the servers of a zone by rack and then by name, each by its hash.
func compareInRing(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(rackHash(a), rackHash(b)),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.NameHash, b.NameHash),
	)
}

func rackHash(candidate Candidate) uint64 {
	rack := uint64(candidate.Zone)<<rackBits | uint64(uint32(candidate.Rack))
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, rack))
}
