package failover

import (
	"time"

	"harrierhoist/internal/witness"
)

const (
	// half is the length of each of the two spans, one after the other, that must both speak of a change before it
	// counts: digests come in lumps, and a late one of one gateway, that holds much, lies in one of them alone.
	half = 400 * time.Millisecond
	// slow is the same for what is no loss: how much of a hall answers. A few failures by chance are forgotten in
	// that time, and to be late there costs less.
	slow = 1600 * time.Millisecond
	// ticksLeast is the least time between two looks that are kept.
	ticksLeast = 80 * time.Millisecond
	// kept is how far back looks are kept: the rates of demand are the middle one of five spans.
	kept = rates*rateSpan + half
	// rateSpan and rates: demand is taken over the last of so many spans, and gateways are counted as the middle one.
	rateSpan = 800 * time.Millisecond
	rates    = 5
	// enough is the part of a gateway's time that must be told to count it: digests are late and unevenly cut.
	enough = 0.7
)

// names are the names of the counts that are looked at, made once.
type names struct {
	time, let       []string
	ended           [][]string                    // by from, all
	judged          [][][witness.Sound + 1]string // from, to
	ready, strength [][witness.Bands]string
}

func named(halls []string) *names {
	n := &names{}
	for _, h := range halls {
		n.time, n.let = append(n.time, witness.Time(h)), append(n.let, witness.Let(h))
		var row [][witness.Sound + 1]string
		var ended []string
		for _, to := range halls {
			for _, how := range witness.Hows() {
				ended = append(ended, witness.Ended(h, to, how))
			}
			var js [witness.Sound + 1]string
			for q := range js {
				js[q] = witness.Judged(h, to, q)
			}
			row = append(row, js)
		}
		n.judged, n.ended = append(n.judged, row), append(n.ended, ended)
		var ready, strength [witness.Bands]string
		for b := range witness.Bands {
			ready[b], strength[b] = witness.Ready(h, b), witness.Strength(h, b)
		}
		n.ready, n.strength = append(n.ready, ready), append(n.strength, strength)
	}
	return n
}

// look is the sums at a time.
type look struct {
	at              time.Duration
	time, let       []float64
	ended           []float64 // pushes of the hall's gateways
	judged          [][][witness.Sound + 1]float64
	ready, strength [][witness.Bands]float64
}

func (n *names) look(now time.Duration, sums map[string]uint64) *look {
	l := &look{at: now}
	for i := range n.time {
		l.time, l.let = append(l.time, float64(sums[n.time[i]])), append(l.let, float64(sums[n.let[i]]))
		ended := 0.0
		for _, name := range n.ended[i] {
			ended += float64(sums[name])
		}
		l.ended = append(l.ended, ended)
		row := make([][witness.Sound + 1]float64, len(n.time))
		for t := range row {
			for q := range row[t] {
				row[t][q] = float64(sums[n.judged[i][t][q]])
			}
		}
		l.judged = append(l.judged, row)
		var ready, strength [witness.Bands]float64
		for b := range ready {
			ready[b], strength[b] = float64(sums[n.ready[i][b]]), float64(sums[n.strength[i][b]])
		}
		l.ready, l.strength = append(l.ready, ready), append(l.strength, strength)
	}
	return l
}

// looks are the latest, oldest first.
type looks []*look

// add keeps a look, and drops those that are too old. False: it came too soon after the last to tell anything.
func (l *looks) add(next *look) bool {
	if n := len(*l); n > 0 && next.at < (*l)[n-1].at+ticksLeast {
		return false
	}
	*l = append(*l, next)
	for len(*l) > 2 && (*l)[1].at <= next.at-kept {
		*l = (*l)[1:]
	}
	return true
}

// before is the latest look that is at least so old, seen from the last; nil: there is none.
func (l looks) before(age time.Duration) *look {
	now := l[len(l)-1].at
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].at <= now-age {
			return l[i]
		}
	}
	return nil
}

// halves are the two spans that must agree, the older first, each by its two looks; false: not looked for that long yet.
func (l looks) halves(half time.Duration) (spans [2][2]*look, ok bool) {
	last := l[len(l)-1]
	mid, first := l.before(half), l.before(2*half)
	if mid == nil || first == nil || first.at >= mid.at {
		return spans, false
	}
	return [2][2]*look{{first, mid}, {mid, last}}, true
}

// gateways is how many gateways of a hall told of their time in a span.
func gateways(from, to *look, hall int) float64 {
	return (to.time[hall] - from.time[hall]) / float64((to.at-from.at)/time.Millisecond)
}
