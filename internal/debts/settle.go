package debts

import (
	"cmp"
	"maps"
	"strings"
	"time"

	"harrierhoist/internal/cluster"
)

const (
	beat       = time.Second      // between decisions: voters write exact totals once a second
	rateOver   = 10               // beats over which rates are taken
	rateBeats  = 3                // beats that a leader has seen before it steers
	tailOver   = 5 * time.Second  // after shares end, what they moved is still on its way
	renewEvery = 5 * time.Second  // shares that stand are written again, so that gateways know that a decider lives
	clockEvery = 60 * time.Second // the same for the clock by which debts age
	episode    = 300_000          // ms of settling after which it rests, to see anew how partners fare without
	rest       = 15_000           // ms: the tail, and some seconds to see
	waitMost   = 30 * time.Second // for partners of which too little was seen to begin with all that may
	change     = 0.1              // part by which a share or a net debt must change to be written
)

// StaleAfter is how long a gateway goes by shares that nobody writes again: the leader may have no decider.
const StaleAfter = 3 * renewEvery

// Hall is what failover says of a hall.
type Hall struct {
	Out  bool    // the plan in force moves its tasks away, or lets them back by steps
	Left float64 // part of its strength that is left; below 0: not known
}

// Halls gives what failover says, by name; halls not named are taken to be well. Nil where failover is off.
type Halls func(seen cluster.Seen) map[string]Hall

// Decider turns debts into shares. It keeps what this leader saw, and nothing of what it decided: that is read from
// the table, and what is owed from the totals of the log.
type Decider struct {
	terms Terms
	halls Halls

	since, at time.Duration // when this process began to lead; the latest look
	looks     []look        // the latest rateOver + 1
	calm      map[string]*tally
	tried     map[string]*tally // while shares stand
	recent    map[string]*tally // of these, since paces were last changed
	settled   time.Duration     // when shares last stood
	paced     time.Duration     // when paces were last changed
	epoch     uint64            // of the table
	written   time.Duration     // when it was first seen at that epoch
}

// look is what all gateways had counted at a time.
type look struct {
	at   time.Duration
	sums map[string]uint64 // ours alone
}

var _ cluster.Decider = (*Decider)(nil)

// New makes a decider; halls may be nil. The terms must have passed their Check.
func New(t Terms, halls Halls) *Decider { return &Decider{terms: t, halls: halls} }

// Table is the table that it writes.
func (d *Decider) Table() string { return Table }

// Decide gives the next value of the table, at most once a beat. A value that cannot be read is left as it stands:
// gateways go by none such.
func (d *Decider) Decide(now time.Duration, seen cluster.Seen) ([]byte, bool) {
	if d.calm == nil || seen.Since != d.since {
		*d = Decider{terms: d.terms, halls: d.halls, since: seen.Since, settled: now, calm: map[string]*tally{},
			tried: map[string]*tally{}, recent: map[string]*tally{}}
	} else if now < d.at+beat {
		return nil, false
	}
	entry := seen.Held(Table)
	was, err := Decode(entry.Value)
	if err != nil {
		return nil, false
	}
	if entry.Epoch != d.epoch || d.looks == nil {
		d.epoch, d.written = entry.Epoch, now
	}
	shut := d.shut(seen)
	d.look(now, seen.Sums, was, len(shut) > 0)
	next := was.clone()
	next.Clock += uint64((now - d.written).Milliseconds())
	ledger := Read(seen.Totals(Exact))
	next.Nets = ledger.Nets(next.Forgiven)
	next.age(next.Nets, d.terms)
	next.Nets = ledger.Nets(next.Forgiven)
	next.Shares = nil
	if d.terms.On {
		d.pace(now, was, &next)
		d.steer(now, shut, was, &next)
	}
	if !d.worth(now, was, next) {
		return nil, false
	}
	value, err := next.Encode()
	return value, err == nil
}

// look takes in what was counted since the last one. While failover is at work nothing tells how partners fare without
// a settlement, nor do the queues that it leaves.
func (d *Decider) look(now time.Duration, sums map[string]uint64, was Value, moves bool) {
	l := look{now, map[string]uint64{}}
	for name, n := range sums {
		if strings.HasPrefix(name, ours) {
			l.sums[name] = n
		}
	}
	if moves {
		clear(d.calm)
	}
	if len(was.Shares) > 0 || moves {
		d.settled = now
	}
	if len(was.Shares) == 0 {
		clear(d.tried)
		clear(d.recent)
	}
	if n := len(d.looks); n > 0 {
		before := d.looks[n-1]
		for _, p := range d.terms.Partners {
			grown := func(what What) float64 {
				return float64(l.sums[Count(what, p.Name)] - min(before.sums[Count(what, p.Name)], l.sums[Count(what, p.Name)]))
			}
			to := d.tried
			if len(was.Shares) == 0 {
				if now < d.settled+tailOver {
					continue
				}
				to = d.calm
			}
			if to[p.Name] == nil {
				to[p.Name] = &tally{}
			}
			more := tally{grown(Tasks), grown(Late), grown(Slow)}
			to[p.Name].add(more, now-before.at)
			if d.recent[p.Name] == nil {
				d.recent[p.Name] = &tally{}
			}
			d.recent[p.Name].add(more, 0)
		}
	}
	d.at, d.looks = now, append(d.looks, l)
	d.looks = d.looks[max(0, len(d.looks)-rateOver-1):]
}

// rate is a count's growth a second.
func (d *Decider) rate(what What, partner string) float64 {
	first, last := d.looks[0], d.looks[len(d.looks)-1]
	a, b := first.sums[Count(what, partner)], last.sums[Count(what, partner)]
	if b <= a || last.at <= first.at {
		return 0
	}
	return float64(b-a) / (last.at - first.at).Seconds()
}

// pace judges those that have a part in the settlement that stands.
func (d *Decider) pace(now time.Duration, was Value, next *Value) {
	if len(was.Shares) == 0 || now < d.paced+paceEvery {
		return
	}
	d.paced = now
	parts := map[string]bool{}
	for _, s := range was.Shares {
		parts[s.Debtor], parts[s.Creditor] = true, true
	}
	for _, p := range d.terms.Partners {
		if !parts[p.Name] || d.tried[p.Name] == nil {
			continue
		}
		s := next.standing(p.Name)
		how := judge(s, *d.tried[p.Name], d.terms.LossMost)
		if a := d.rate(Asked, p.Name); how == harmless && a*rateOver > askedMin && d.rate(Went, p.Name) < wentLeast*a {
			how = harmLikely // no room there, as the gateways find
		}
		if how == harmless && crowded(s, *d.recent[p.Name]) {
			how = harmLikely
		}
		switch how {
		case harmSure:
			s.Hold = next.Clock + hold(s, *d.tried[p.Name], d.rate(Tasks, p.Name), d.terms.LossMost)
			s.Pace = max(s.Pace/4, paceFirst/16)
			s.Most = s.Pace
			delete(d.tried, p.Name)
		case harmLikely:
			s.Pace = max(s.Pace/2, paceFirst/16)
			s.Most = s.Pace
		default:
			s.Most = min(uint64(float64(cmp.Or(s.Most, Whole))*againMore), Whole)
			s.Pace = min(uint64(float64(s.Pace)*paceMore), s.Most)
		}
		next.stands(s)
	}
	clear(d.recent)
}

// worth tells whether the next value says enough that the one that stands does not.
func (d *Decider) worth(now time.Duration, was, next Value) bool {
	if len(was.Shares) != len(next.Shares) || len(was.Said) != len(next.Said) ||
		len(next.Said) > 0 && was.Said[len(was.Said)-1].Number != next.Said[len(next.Said)-1].Number {
		return true
	}
	off := func(a, b uint64, least float64) bool {
		far := float64(max(a, b) - min(a, b))
		return far > least && far > change*float64(max(a, b))
	}
	for _, s := range next.Shares {
		if off(was.share(s.Pair), s.Part, 100) {
			return true
		}
	}
	for _, s := range next.Standing {
		if old := was.standing(s.Partner); old.Pace != s.Pace || old.Most != s.Most || old.Hold != s.Hold {
			return true
		}
	}
	nets := map[Pair]uint64{}
	for _, n := range was.Nets {
		nets[n.Pair] = n.Sum
	}
	for _, n := range next.Nets {
		if off(nets[n.Pair], n.Sum, d.terms.Least*1000) && now >= d.written+renewEvery {
			return true
		}
		delete(nets, n.Pair)
	}
	gone := uint64(0)
	for sum := range maps.Values(nets) {
		gone = max(gone, sum)
	}
	return now >= d.written+renewEvery && (len(next.Shares) > 0 || float64(gone) > d.terms.Least*1000) ||
		now >= d.written+clockEvery && len(next.Lots) > 0
}
