// Package pool decides which of the listed servers a gateway pushes to, so that a gateway with few tasks among
// hundreds finds most of its connections open, and meets a server often enough to know it. It knows no sockets and
// no clock: it is handed the list, the pushes and the time.
//
// All gateways lay the servers of a hall out in the same order, in a ring. A gateway's part is an arc of each
// hall's ring. Where the arcs begin is spread evenly over the gateways, and an arc is as long as the gateway's
// pushes can keep open; so each server stands in arcs that bring it the same pushes, whatever each gateway's own
// share of the traffic. docs/fleet-connections.md weighs this against other ways.
package pool

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
	// Least is the number of servers in a part, if there are so many: enough that a lost hall or a bad cell leaves
	// a choice of two.
	Least = 8
	// coverLeast is in how many parts each server stands, in the mean, at the least: arcs end somewhere, and with
	// fewer to a server those ends make load uneven.
	coverLeast = 8.0
	// useTimes is how often, in the mean, a server of the part gets a push in the time that a connection is kept.
	// Three would keep all but one connection in twenty open until its next push. More is better: a gateway's own
	// counts, which choose between two servers, tell more where it has fewer of them.
	useTimes = 12.0
	// rateTime is how far back pushes are counted, in the manner of an average that fades: bursts are shorter, and
	// each change of the part opens connections.
	rateTime = 10 * time.Second
	// rateLeast is the time that the first pushes are held to have taken: one push at once is no rate.
	rateLeast = 2 * time.Second
	// lookEvery is how often the part is measured against the rate.
	lookEvery = time.Second
	// slack is the part by which a length must be wrong before it is changed, besides by a new list.
	slack = 0.25
	// golden spreads what is numbered evenly over a ring, for any run of numbers or every n-th of them alike.
	golden = 0.6180339887498949
)

// Server is a server as the list has it. Mark is common to all gateways: a hash of its name.
type Server struct {
	Mark uint64
	policy.Listed
}

// Mark is the mark of a name.
func Mark(name string) uint64 { return xxhash.Sum64String(name) }

// Pool is one gateway's part.
type Pool struct {
	kept     time.Duration
	me       int
	gateways int

	pushes float64 // faded count
	since  time.Duration
	at     time.Duration // of the latest count
	look   time.Duration // of the latest measure
	length int           // wanted when the part was last laid out; 0: not yet
	all    int           // ready servers then

	weights []float64 // by hall; nil: as the list has them
	shed    float64   // the part of tasks that fits nowhere
	short   float64   // the part of the weights whose hall has no server ready
	turn    int64     // when the part was last laid out by weights
	tasks   uint64    // asked about
}

// New makes the part of gateway number me, from 0, of so many. Kept is how long a connection is kept after its
// latest push; at 0 the part is the whole list.
func New(me, gateways int, kept time.Duration) *Pool {
	return &Pool{kept: kept, me: me, gateways: max(gateways, 1)}
}

// Resize makes it the part of another gateway, or of one of another number; it is laid out so with the next list.
func (p *Pool) Resize(me, gateways int) { p.me, p.gateways = me, max(gateways, 1) }

// Pushed counts a push.
func (p *Pool) Pushed(now time.Duration) {
	p.fade(now)
	p.pushes++
}

// fade lets what was counted fade to now.
func (p *Pool) fade(now time.Duration) {
	if p.at == 0 {
		p.since, p.at = now, now
	}
	p.pushes *= math.Exp(-float64(now-p.at) / float64(rateTime))
	p.at = now
}

// Rate is the pushes a second of late; 0 before any.
func (p *Pool) Rate(now time.Duration) float64 {
	p.fade(now)
	// The count of a steady rate r after a time t is r * rateTime * (1 - exp(-t / rateTime)).
	span := rateTime.Seconds() * -math.Expm1(-float64(max(now-p.since, rateLeast))/float64(rateTime))
	return p.pushes / span
}

// want is how many servers the part is to hold, of so many that are ready.
func (p *Pool) want(now time.Duration, ready int) int {
	if p.kept <= 0 {
		return ready
	}
	n := p.Rate(now) * p.kept.Seconds() / useTimes
	n = max(n, Least, math.Ceil(coverLeast*float64(ready)/float64(p.gateways)))
	return int(min(n, float64(ready)))
}

// Due tells, once in a while, whether the part is to be laid out anew as the rate has changed.
func (p *Pool) Due(now time.Duration) bool {
	if p.length == 0 || now < p.look+lookEvery {
		return false
	}
	p.look = now
	if p.weights != nil && p.turn != turn(now) {
		return true
	}
	n := p.want(now, p.all)
	return math.Abs(float64(n-p.length)) > slack*float64(p.length) || n == p.all && p.length < n
}

// Part lays the part out: the servers of the list that are in it, in the list's order, and how many gateways share
// each of them in the mean. Only those that are ready are.
func (p *Pool) Part(now time.Duration, list []Server) (part []policy.Listed, sharers float64) {
	halls := map[int][]int{}
	p.all = 0
	for i, s := range list {
		if s.Stage == policy.Ready {
			halls[s.Hall] = append(halls[s.Hall], i)
			p.all++
		}
	}
	p.length, p.look = p.want(now, p.all), now
	if p.short = 0; p.all == 0 {
		return nil, float64(p.gateways)
	}
	if p.weights != nil {
		part = p.shared(now, list, halls)
	} else {
		share := float64(p.length) / float64(p.all)
		var places []int
		for hall, ring := range halls {
			places = append(places, p.arc(hall, ring, list, int(math.Ceil(share*float64(len(ring)))))...)
		}
		slices.Sort(places)
		for _, at := range places {
			part = append(part, list[at].Listed)
		}
	}
	// Others' traffic is taken to be as ours: their parts are as long.
	return part, max(float64(p.gateways)*float64(len(part))/float64(p.all), 1)
}

// arc cuts this gateway's arc, so many servers, out of a hall's ring. Cells stay together, as a receipted task can go
// again only within one; their order, and that within them, is chance but the same at all gateways.
func (p *Pool) arc(hall int, ring []int, list []Server, length int) []int {
	n := len(ring)
	if length >= n {
		return ring
	}
	cell := func(s Server) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(s.Hall)<<32|uint64(uint32(s.Cell))))
	}
	slices.SortFunc(ring, func(a, b int) int {
		x, y := list[a], list[b]
		return cmp.Or(cmp.Compare(cell(x), cell(y)), cmp.Compare(x.Cell, y.Cell), cmp.Compare(x.Mark, y.Mark))
	})
	_, at := math.Modf(float64(p.me)*golden + float64(hall)/math.Pi)
	first := int(at * float64(n))
	arc := make([]int, 0, length)
	for i := range length {
		arc = append(arc, ring[(first+i)%n])
	}
	return arc
}
