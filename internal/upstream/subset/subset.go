// Package pool decides which of the listed servers a gateway pushes to, so that a gateway with few tasks among
// hundreds finds most of its connections open, and meets a server often enough to know it. It knows no sockets and
// no clock: it is handed the list, the pushes and the time.
//
// All gateways lay the servers of a hall out in the same order, in a ring. A gateway's part is an arc of each
// hall's ring. Where the arcs begin is spread evenly over the gateways, and an arc is as long as the gateway's
// pushes can keep open; so each server stands in arcs that bring it the same pushes, whatever each gateway's own
// share of the traffic. docs/fleet-connections.md weighs this against other ways.
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

const (
	// MinSize is the number of servers in a part, if there are so many: enough that a lost hall or a bad cell leaves
	// a choice of two.
	MinSize = 8
	// minCover is in how many parts each server stands, in the mean, at the least: arcs end somewhere, and with
	// fewer to a server those ends make load uneven.
	minCover = 8.0
	// attemptsPerKeepAlive is how often, in the mean, a server of the part gets a push in the time that a connection is kept.
	// Three would keep all but one connection in twenty open until its next push. More is better: a gateway's own
	// counts, which choose between two servers, tell more where it has fewer of them.
	attemptsPerKeepAlive = 12.0
	// rateTimeConstant is how far back pushes are counted, in the manner of an average that fades: bursts are shorter, and
	// each change of the part opens connections.
	rateTimeConstant = 10 * time.Second
	// minRateSpan is the time that the first pushes are held to have taken: one push at once is no rate.
	minRateSpan = 2 * time.Second
	// checkInterval is how often the part is measured against the rate.
	checkInterval = time.Second
	// lengthTolerance is the part by which a length must be wrong before it is changed, besides by a new list.
	lengthTolerance = 0.25
	// goldenRatio spreads what is numbered evenly over a ring, for any run of numbers or every n-th of them alike.
	goldenRatio = 0.6180339887498949
)

// Candidate is a server as the list has it. Mark is common to all gateways: a hash of its name.
type Candidate struct {
	NameHash uint64
	policy.Endpoint
}

// HashName is the mark of a name.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Subset is one gateway's part.
type Subset struct {
	keepAlive time.Duration
	me        int
	gateways  int

	attempts  float64 // faded count
	since     time.Duration
	countedAt time.Duration // of the latest count
	checkedAt time.Duration // of the latest measure
	length    int           // wanted when the part was last laid out; 0: not yet
	ready     int           // ready servers then

	weights          []float64 // by hall; nil: as the list has them
	shedFraction     float64   // the part of tasks that fits nowhere
	unservedFraction float64   // the part of the weights whose hall has no server ready
	turn             int64     // when the part was last laid out by weights
	requests         uint64    // asked about
}

// New makes the part of gateway number me, from 0, of so many. Kept is how long a connection is kept after its
// latest push; at 0 the part is the whole list.
func New(me, gateways int, keepAlive time.Duration) *Subset {
	return &Subset{keepAlive: keepAlive, me: me, gateways: max(gateways, 1)}
}

// Resize makes it the part of another gateway, or of one of another number; it is laid out so with the next list.
func (s *Subset) Resize(me, gateways int) { s.me, s.gateways = me, max(gateways, 1) }

// CountAttempt counts a push.
func (s *Subset) CountAttempt(now time.Duration) {
	s.decay(now)
	s.attempts++
}

// decay lets what was counted fade to now.
func (s *Subset) decay(now time.Duration) {
	if s.countedAt == 0 {
		s.since, s.countedAt = now, now
	}
	s.attempts *= math.Exp(-float64(now-s.countedAt) / float64(rateTimeConstant))
	s.countedAt = now
}

// AttemptRate is the pushes a second of late; 0 before any.
func (s *Subset) AttemptRate(now time.Duration) float64 {
	s.decay(now)
	// The count of a steady rate r after a time t is r * rateTime * (1 - exp(-t / rateTime)).
	span := rateTimeConstant.Seconds() * -math.Expm1(-float64(max(now-s.since, minRateSpan))/float64(rateTimeConstant))
	return s.attempts / span
}

// targetLength is how many servers the part is to hold, of so many that are ready.
func (s *Subset) targetLength(now time.Duration, ready int) int {
	if s.keepAlive <= 0 {
		return ready
	}
	n := s.AttemptRate(now) * s.keepAlive.Seconds() / attemptsPerKeepAlive
	n = max(n, MinSize, math.Ceil(minCover*float64(ready)/float64(s.gateways)))
	return int(min(n, float64(ready)))
}

// IsDue tells, once in a while, whether the part is to be laid out anew as the rate has changed.
func (s *Subset) IsDue(now time.Duration) bool {
	if s.length == 0 || now < s.checkedAt+checkInterval {
		return false
	}
	s.checkedAt = now
	if s.weights != nil && s.turn != turnAt(now) {
		return true
	}
	n := s.targetLength(now, s.ready)
	return math.Abs(float64(n-s.length)) > lengthTolerance*float64(s.length) || n == s.ready && s.length < n
}

// Select lays the part out: the servers of the list that are in it, in the list's order, and how many gateways share
// each of them in the mean. Only those that are ready are.
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
		fraction := float64(s.length) / float64(s.ready)
		var places []int
		for zone, ring := range zones {
			places = append(places, s.arc(zone, ring, list, int(math.Ceil(fraction*float64(len(ring)))))...)
		}
		slices.Sort(places)
		for _, at := range places {
			selected = append(selected, list[at].Endpoint)
		}
	}
	// Others' traffic is taken to be as ours: their parts are as long.
	return selected, max(float64(s.gateways)*float64(len(selected))/float64(s.ready), 1)
}

// arc cuts this gateway's arc, so many servers, out of a hall's ring. Cells stay together, as a receipted task can go
// again only within one; their order, and that within them, is chance but the same at all gateways.
func (s *Subset) arc(zone int, ring []int, list []Candidate, length int) []int {
	n := len(ring)
	if length >= n {
		return ring
	}
	cell := func(candidate Candidate) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(candidate.Zone)<<32|uint64(uint32(candidate.Rack))))
	}
	slices.SortFunc(ring, func(a, b int) int {
		x, y := list[a], list[b]
		return cmp.Or(cmp.Compare(cell(x), cell(y)), cmp.Compare(x.Rack, y.Rack), cmp.Compare(x.NameHash, y.NameHash))
	})
	_, at := math.Modf(float64(s.me)*goldenRatio + float64(zone)/math.Pi)
	first := int(at * float64(n))
	arc := make([]int, 0, length)
	for i := range length {
		arc = append(arc, ring[(first+i)%n])
	}
	return arc
}
