package failover

import (
	"math"
	"slices"
	"time"

	"harrierhoist/internal/witness"
)

// view is what the decider holds to be true of halls; it outlives the evidence for it.
type view struct {
	terms    *Terms
	sound    []int           // by hall the quarters that answer
	aged     []time.Duration // when that was last told
	pair     [][]int         // by from and to the same; -1: not known
	pairAged [][]time.Duration
	strength []float64       // listed, ready and warm, in servers of power 1; below 0: not told yet
	demand   []float64       // units a second let in
	many     []float64       // gateways
	need     []time.Duration // over how long demand is measured
	easy     []bool          // a hall that serves its own tasks and is not full
	heard    []bool          // any gateway of the hall told anything of late
	at       time.Duration
	began    time.Duration // of the first look
	measured bool          // demand was known before that
}

const (
	// riseOver and easeOver are over how long demand follows what is measured at a hall that serves its own tasks and is
	// not full: long enough that chance, where few tasks come in, is no flood (over 1 s it moved tasks in vain).
	riseOver = 2 * time.Second
	easeOver = 5 * time.Second
	// tasksOver is over how many pushes at the least, and quietMost the longest that this makes it.
	tasksOver = 80.0
	quietMost = 20 * time.Second
	// fallOver is the same for less demand, at any other hall: while it is lost or full, less is let in than will be. It
	// guards a receiver against filling up in between. Harm: after a flood, overflow lasts longer than it must.
	fallOver = 20 * time.Second
	// unheardOver is the same for a hall whose gateways tell nothing at all: they may be cut off from the voters alone,
	// and push on. Harm: if they are gone, room in their hall is kept for nobody.
	unheardOver = 5 * time.Minute
	// agedOver is after how many least stays without a word a loss is no longer believed: of a link that a plan avoids
	// nothing is heard. If it is still lost, that shows within seconds, on one step of the tasks.
	agedOver = 3
	// lately is how old the word of one hall on another may be to be weighed against that of a third.
	lately = time.Second
)

func newView(terms *Terms, halls int) *view {
	v := &view{terms: terms, sound: make([]int, halls), aged: make([]time.Duration, halls),
		strength: make([]float64, halls), demand: make([]float64, halls), many: make([]float64, halls),
		heard: make([]bool, halls), easy: make([]bool, halls),
		need: make([]time.Duration, halls)}
	for i := range halls {
		v.sound[i], v.strength[i], v.demand[i], v.easy[i] = witness.Sound, -1, -1, true
		row := make([]int, halls)
		for t := range row {
			row[t] = -1
		}
		v.pair = append(v.pair, row)
		v.pairAged = append(v.pairAged, make([]time.Duration, halls))
	}
	return v
}

// agreed is the quarter that the gateways of a hall agree on for another in a span: the least that the part asked for
// see or worse, counted in distinct gateways; -1: too few say anything.
func (v *view) agreed(from, to *look, f, t int) int {
	span := float64((to.at - from.at) / time.Millisecond)
	var said [witness.Sound + 1]float64
	all := 0.0
	for q := range said {
		said[q] = (to.judged[f][t][q] - from.judged[f][t][q]) / span
		all += said[q]
	}
	least := enough * float64(v.terms.GatewaysLeast)
	if all <= least {
		return -1
	}
	sum := 0.0
	for q, n := range said {
		if sum += n; sum > least && sum >= v.terms.IllPart*all {
			return q
		}
	}
	return -1
}

// stronger is a hall's listed strength in a span as the gateways agree on it, of all halls together.
func (v *view) stronger(from, to *look, t int) float64 {
	span := float64((to.at - from.at) / time.Millisecond)
	all := 0.0
	for b := range to.ready[t] {
		all += (to.ready[t][b] - from.ready[t][b]) / span
	}
	least := enough * float64(v.terms.GatewaysLeast)
	sum := 0.0
	for b := range to.ready[t] {
		n := to.ready[t][b] - from.ready[t][b]
		if sum += n / span; n > 0 && sum > least && sum >= v.terms.IllPart*all {
			return (to.strength[t][b] - from.strength[t][b]) / n
		}
	}
	return -1
}

// look takes what was seen. False: not enough yet.
func (v *view) look(l looks) bool {
	spans, ok := l.halves(half)
	if !ok {
		return false
	}
	long, far := l.halves(slow)
	now := l[len(l)-1].at
	step := now - v.at
	if v.at == 0 {
		step, v.began = 0, now
	}
	v.at = now
	for f := range v.pair {
		v.measure(l, f, step)
		for t := range v.pair {
			a, b := v.agreed(spans[0][0], spans[0][1], f, t), v.agreed(spans[1][0], spans[1][1], f, t)
			if max(a, b) > witness.Ill && far {
				if x, y := v.agreed(long[0][0], long[0][1], f, t), v.agreed(long[1][0], long[1][1], f, t); min(x, y) >= 0 {
					a, b = x, y
				}
			}
			if a < 0 || b < 0 {
				if v.pairAged[f][t]+agedOver*v.terms.stay() < now {
					v.pair[f][t] = -1
				}
				continue
			}
			v.pairAged[f][t] = now
			if v.pair[f][t] < 0 || !far {
				v.pair[f][t] = max(a, b)
			}
			v.pair[f][t] = min(max(v.pair[f][t], min(a, b)), max(a, b)) // moves as far as both halves say
		}
		a, b := v.stronger(spans[0][0], spans[0][1], f), v.stronger(spans[1][0], spans[1][1], f)
		switch was := v.strength[f]; {
		case a < 0 || b < 0:
		case was < 0:
			v.strength[f] = max(a, b)
		default:
			v.strength[f] = min(max(was, min(a, b)), max(a, b))
		}
	}
	v.judge(now)
	return !slices.ContainsFunc(v.strength, func(s float64) bool { return s < 0 })
}

// judge says of each hall how much of it answers: as those see it that see most, since what others miss may be their link.
// Where its own gateways, that had tasks, tell nothing, others' word speaks of their links to it alone: it may be cut off
// from them and from the voters, and serve its own. Harm: if it is gone, each hall has to find that out for itself.
func (v *view) judge(now time.Duration) {
	for t := range v.sound {
		best := -1
		for f := range v.pair {
			if v.pair[f][t] >= 0 && v.pairAged[f][t]+lately >= now {
				best = max(best, v.pair[f][t])
			}
		}
		switch {
		case best >= 0 && best <= witness.Ill && !v.heard[t] && v.demand[t] > tinyDemand:
		case best >= 0:
			v.sound[t], v.aged[t] = best, now
		case v.aged[t]+agedOver*v.terms.stay() < now:
			v.sound[t] = witness.Sound
		}
	}
}

// settled tells that demand is known well enough to move a hall's tasks for its sake.
func (v *view) settled(f int) bool { return v.measured || v.at >= v.began+min(v.need[f], quietMost) }

// measure takes how many gateways a hall has and what they let in. Both go by each gateway's own time, so that a digest
// that comes late and holds much is no flood.
func (v *view) measure(l looks, f int, step time.Duration) {
	last := l[len(l)-1]
	var many []float64
	to, first := last, last
	for i := range rates {
		from := l.before(time.Duration(i+1) * rateSpan)
		if from == nil || from.at >= to.at {
			break
		}
		many = append(many, gateways(from, to, f))
		if to = from; i < 2 {
			first = from
		}
	}
	if len(many) == 0 {
		return
	}
	v.heard[f] = many[0] > 0
	slices.Sort(many)
	v.many[f] = many[len(many)/2]
	each := last.time[f] - first.time[f]
	if each <= 0 {
		v.demand[f] *= math.Exp(-float64(step) / float64(unheardOver))
		return
	}
	// Thousandths of units over milliseconds are units over seconds.
	rate := (last.let[f] - first.let[f]) / each * v.many[f]
	over := fallOver
	switch {
	case rate > v.demand[f]:
		over = riseOver
	case v.easy[f]:
		over = easeOver
	}
	if v.demand[f] < 0 {
		v.demand[f] = rate
	}
	pushes := (last.ended[f] - first.ended[f]) / each * v.many[f] * 1000 // a second
	over = max(over, time.Duration(min(tasksOver/max(pushes, 1), quietMost.Seconds())*float64(time.Second)))
	if v.need[f] = over; !v.measured {
		over = min(over, max(v.at-v.began, step)) // at first the mean of all so far
	}
	v.demand[f] += (rate - v.demand[f]) * -math.Expm1(-float64(step)/float64(max(over, 1)))
}

// bears is what a hall bears, in units a second, and the quarters of it that answer. What all halls suffer alike, as from
// a bad release, counts for none: then no hall is a better place than another. A hall of which nothing is known counts
// as sound.
func (v *view) bears(t int, hall string) (units float64, quarters float64) {
	if v.strength[t] <= 0 {
		return 0, 0
	}
	best := 0
	for i, q := range v.sound {
		if v.strength[i] > 0 {
			best = max(best, q)
		}
	}
	quarters = witness.Sound
	if best > witness.Ill {
		quarters = witness.Sound * float64(v.sound[t]) / float64(best)
	}
	return v.strength[t] * v.terms.bears(hall) * quarters / witness.Sound, quarters
}

// shut tells that a link between two halls is lost, or that within one: most of the one don't reach the other, which
// others do.
func (v *view) shut(f, t int) bool {
	return v.pair[f][t] >= 0 && v.pair[f][t] <= witness.Ill && v.sound[t] > witness.Ill
}
