// Package subset selects the servers of the endpoint list to which a gateway sends requests. With a
// subset, a gateway that handles little of the traffic of a large fleet usually has an open
// connection to the server that it sends a request to, and sends each server enough requests to
// estimate its load. The dispatcher passes in the list, each attempt and the time; the package uses
// neither sockets nor a clock. As in package policy, products in sums are converted to float64.
//
// All gateways arrange the servers of a zone in a ring, in the same order. A gateway's subset is an
// arc of each zone's ring. The starting points of the arcs are spread evenly over the gateways. An
// arc has as many servers as the gateway's attempts can keep connections open to, so every gateway
// sends each server of its arcs about the same rate of attempts. Each server therefore receives
// about the same rate from all gateways together, even if the traffic is distributed unevenly over
// the gateways. docs/fleet-connections.md compares this with other algorithms.
package subset

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"harrierhoist/policy"
)

// Parameters for the length of a subset, in servers.
const (
	// MinSize is the smallest number of servers in a subset, unless fewer are ready.
	MinSize = 8
	// minSubsetsPerServer is the smallest average number of subsets that contain a server. With
	// fewer, the ends of the arcs make the load uneven.
	minSubsetsPerServer = 8.0
	// targetAttemptsPerIdleTimeout is the average number of attempts that a server of the subset
	// should receive within the idle timeout. More attempts keep more connections open, and make
	// the gateway's own counts a better basis for choosing between two servers.
	targetAttemptsPerIdleTimeout = 12.0
	// lengthTolerance is the relative difference between the target length and the target at the
	// last selection above which the subset is selected again, even if the list has not changed.
	lengthTolerance = 0.25
	// checkInterval is the shortest interval between two comparisons of these targets.
	checkInterval = time.Second
)

// Parameters for the estimate of the attempt rate.
const (
	// rateTimeConstant is the time constant of the exponential moving average. It is longer than
	// bursts, because each change of the subset opens new connections.
	rateTimeConstant = 10 * time.Second
	// minRateSpan is the shortest time over which the rate is averaged. Without it, the first
	// attempt alone would appear as a high rate.
	minRateSpan = 2 * time.Second
)

// goldenRatio is the fractional part of the golden ratio. The fractional parts of its multiples are
// spread evenly over the interval from 0 to 1, and so are those of every n-th multiple.
const goldenRatio = 0.6180339887498949

// Candidate is a server of the endpoint list.
type Candidate struct {
	NameHash uint64 // HashName of the server's name; the same at all gateways
	policy.Endpoint
}

// HashName returns the hash of a server's name that orders the servers within a rack.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Subset selects the subset of one gateway. It is not safe for concurrent use. All times passed to
// its methods must come from the same monotonic clock, which may start at any value above 0.
type Subset struct {
	idleTimeout time.Duration
	index       int // index of this gateway, from 0
	gateways    int // number of gateways in the fleet

	attempts          float64       // exponentially decaying count of attempts
	countingSince     time.Duration // time when counting began
	decayedAt         time.Duration // time up to which attempts has decayed; 0 before counting began, see isCounting
	checkedAt         time.Duration // time when the length was last compared with the target
	targetAtSelection int           // target length at the last selection; 0 before it, see hasSelection
	readyCount        int           // number of ready servers at the last selection

	weights          []float64 // weight by zone; if nil, zones are weighted by their number of servers
	shedFraction     float64   // fraction of requests to shed because no zone has capacity for them
	unservedFraction float64   // fraction of the weights that belongs to zones without a ready server
	selectedTurn     int64     // number of the turn of the last weighted selection
	requests         uint64    // number of calls of ShouldShed with a fraction to shed
}

// New returns the Subset of the gateway with the given index, from 0, in a fleet of the given
// number of gateways. idleTimeout is the time after which the gateway closes an idle connection. If
// it is 0, the number of servers in the subset is not limited.
func New(index, gateways int, idleTimeout time.Duration) *Subset {
	return &Subset{idleTimeout: idleTimeout, index: index, gateways: max(gateways, 1)}
}

// Resize sets the gateway's index and the number of gateways. It takes effect at the next
// selection.
func (s *Subset) Resize(index, gateways int) {
	s.index = index
	s.gateways = max(gateways, 1)
}

// isCounting reports whether counting of attempts has begun.
func (s *Subset) isCounting() bool { return s.decayedAt != 0 }

// hasSelection reports whether the last call of Select found a ready server. It is false before the
// first call.
func (s *Subset) hasSelection() bool { return s.targetAtSelection != 0 }

// CountAttempt records that the gateway made an attempt. AttemptRate is computed from these
// records.
func (s *Subset) CountAttempt(now time.Duration) {
	s.decay(now)
	s.attempts++
}

// decay applies the exponential decay of the count of attempts up to now.
func (s *Subset) decay(now time.Duration) {
	if !s.isCounting() {
		s.countingSince = now
		s.decayedAt = now
	}
	s.attempts = float64(s.attempts * math.Exp(-float64(now-s.decayedAt)/float64(rateTimeConstant)))
	s.decayedAt = now
}

// AttemptRate returns the recent rate of attempts per second. It is 0 before the first attempt.
func (s *Subset) AttemptRate(now time.Duration) float64 {
	s.decay(now)
	// After a time t at a steady rate r, the decaying count is
	// r * rateTimeConstant * (1 - exp(-t / rateTimeConstant)).
	countedFor := float64(max(now-s.countingSince, minRateSpan))
	span := rateTimeConstant.Seconds() * -math.Expm1(-countedFor/float64(rateTimeConstant))
	return s.attempts / span
}

// targetLength returns the number of ready servers that the subset should have: as many as the
// gateway's attempts can keep connections open to, within the limits set by MinSize and
// minSubsetsPerServer.
func (s *Subset) targetLength(now time.Duration, ready int) int {
	if s.idleTimeout <= 0 {
		return ready
	}
	length := s.AttemptRate(now) * s.idleTimeout.Seconds() / targetAttemptsPerIdleTimeout
	length = max(length, MinSize, math.Ceil(minSubsetsPerServer*float64(ready)/float64(s.gateways)))
	return int(min(length, float64(ready)))
}

// NeedsSelection reports whether the subset must be selected again, because its length differs from
// the target by more than lengthTolerance, because it must grow to all ready servers, or because
// the turn of a weighted selection has ended. It checks at most once per checkInterval and returns
// false in between.
func (s *Subset) NeedsSelection(now time.Duration) bool {
	if !s.hasSelection() || now < s.checkedAt+checkInterval {
		return false
	}
	s.checkedAt = now
	if s.weights != nil && s.selectedTurn != turnNumber(now) {
		return true
	}
	target := s.targetLength(now, s.readyCount)
	lengthIsWrong := math.Abs(float64(target-s.targetAtSelection)) > lengthTolerance*float64(s.targetAtSelection)
	growsToAll := target == s.readyCount && s.targetAtSelection < target
	return lengthIsWrong || growsToAll
}

// Select selects the subset from the list. It returns the selected endpoints in the order of the
// list, and the average number of gateways that share each of them, at least 1. It selects only
// servers that are ready.
func (s *Subset) Select(now time.Duration, list []Candidate) (selected []policy.Endpoint, sharers float64) {
	rings := map[int][]int{} // list indexes of the ready servers, by zone
	s.readyCount = 0
	for i, candidate := range list {
		if candidate.State == policy.Ready {
			rings[candidate.Zone] = append(rings[candidate.Zone], i)
			s.readyCount++
		}
	}
	s.targetAtSelection = s.targetLength(now, s.readyCount)
	s.checkedAt = now
	s.unservedFraction = 0
	if s.readyCount == 0 {
		return nil, float64(s.gateways)
	}
	if s.weights != nil {
		selected = s.selectWeighted(now, list, rings)
	} else {
		selected = s.selectEvenly(list, rings)
	}
	// This assumes that the other gateways have the same traffic and therefore subsets of the same
	// length.
	return selected, max(float64(s.gateways)*float64(len(selected))/float64(s.readyCount), 1)
}

// selectEvenly selects the same fraction of every zone's ring, rounded up to whole servers.
func (s *Subset) selectEvenly(list []Candidate, rings map[int][]int) []policy.Endpoint {
	fraction := float64(s.targetAtSelection) / float64(s.readyCount)
	var indexes []int
	for zone, ring := range rings {
		indexes = append(indexes, s.arc(zone, ring, list, int(math.Ceil(fraction*float64(len(ring)))))...)
	}
	return endpointsAt(list, indexes)
}

// endpointsAt returns the endpoints at the given list indexes, in the order of the list. It sorts
// indexes.
func endpointsAt(list []Candidate, indexes []int) []policy.Endpoint {
	slices.Sort(indexes)
	endpoints := make([]policy.Endpoint, 0, len(indexes))
	for _, i := range indexes {
		endpoints = append(endpoints, list[i].Endpoint)
	}
	return endpoints
}

// arc returns the list indexes of this gateway's arc of a zone's ring, with the given length. If
// the ring is longer than that, arc sorts it into ring order. The servers of a rack are adjacent in
// the ring, so that an arc contains most of its racks completely: a keyed request can be retried
// only within its rack. The order of racks, and of servers within a rack, is pseudorandom but the
// same at all gateways.
func (s *Subset) arc(zone int, ring []int, list []Candidate, length int) []int {
	size := len(ring)
	if length >= size {
		return ring
	}
	slices.SortFunc(ring, func(a, b int) int {
		return compareInRing(list[a], list[b])
	})
	_, position := math.Modf(float64(float64(s.index)*goldenRatio) + float64(zone)/math.Pi)
	first := int(position * float64(size))
	arc := make([]int, 0, length)
	for i := range length {
		arc = append(arc, ring[(first+i)%size])
	}
	return arc
}
