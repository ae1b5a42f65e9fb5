package debts

import (
	"time"

	"slices"

	"harrierhoist/internal/cluster"
)

// steer works out the shares. A debtor's servers take tasks of its creditor: each is then owed by the creditor, and the
// net debt falls by it. That it fell is seen in the totals alone.
func (d *Decider) steer(now time.Duration, shut map[string]bool, was Value, next *Value) {
	begins := len(was.Shares) == 0
	if len(d.looks) <= rateBeats {
		next.Shares = was.Shares // a new leader has no rates yet
		if begins {
			next.Shares = nil
		}
		return
	}
	if next.Clock < next.Rest {
		return
	}
	if !begins && next.Clock >= next.Began+episode {
		next.Rest = next.Clock + rest
		return
	}
	if begins {
		d.base(next)
	}
	weights := d.terms.weights()
	var pairs []Pair
	var flows []Flow
	few := false                  // too little was seen of a partner that may have a part
	rates := map[string]float64{} // units a second that a creditor has to move
	for _, n := range next.Nets {
		settle, shareMost, _ := d.terms.rule(n.Debtor, n.Creditor)
		least := d.terms.Least * 1000
		if was.share(n.Pair) == 0 {
			least *= 2 // so that it does not begin and end in turn
		}
		a, b := next.standing(n.Debtor), next.standing(n.Creditor)
		if !settle || weights[n.Debtor] == 0 || weights[n.Creditor] == 0 || float64(n.Sum) < least ||
			shut[n.Debtor] || shut[n.Creditor] || next.Clock < max(a.Hold, b.Hold) {
			continue
		}
		few = few || min(a.Tasks, b.Tasks) < baseLeast
		if !d.fit(a) || !d.fit(b) {
			continue
		}
		has := d.rate(Pure, n.Creditor)
		rates[n.Creditor] = has
		pace := float64(min(a.Pace, b.Pace)) / Whole
		want := min(float64(n.Sum)/d.terms.SettleOver, shareMost*has) * pace
		pairs, flows = append(pairs, n.Pair), append(flows, Flow{want, weights[n.Creditor]})
	}
	if len(flows) == 0 || begins && few && now < d.settled+tailOver+waitMost {
		return
	}
	for i, x := range Fair(flows, d.limits(pairs, rates)) {
		if has := rates[pairs[i].Creditor]; has > 0 {
			if part := uint64(x / has * Whole); part > 0 {
				next.Shares = append(next.Shares, Share{pairs[i], part})
			}
		}
	}
	if begins && len(next.Shares) > 0 {
		next.Began = next.Clock
	}
}

// fit tells whether a partner may have a part: it was seen to be served well without a settlement.
func (d *Decider) fit(s Standing) bool {
	return s.Tasks >= baseLeast && s.Late <= (1-d.terms.WellLeast)*s.Tasks
}

// base takes down how partners fare without a settlement. A leader that has seen too little begins none.
func (d *Decider) base(next *Value) {
	for _, p := range d.terms.Partners {
		s := next.standing(p.Name)
		s.Tasks, s.Late, s.Slow = 0, 0, 0
		if seen := d.calm[p.Name]; seen != nil {
			s.Tasks, s.Late, s.Slow = seen.tasks, seen.late, seen.slow
		}
		next.stands(s)
	}
}

// shut gives the partners that failover needs whole: one of their halls is out, or has too little left.
func (d *Decider) shut(seen cluster.Seen) map[string]bool {
	all := map[string]bool{}
	if d.halls == nil {
		return all
	}
	halls := d.halls(seen)
	for _, p := range d.terms.Partners {
		if slices.ContainsFunc(p.Halls, func(name string) bool {
			h, known := halls[name]
			return known && (h.Out || h.Left >= 0 && h.Left < d.terms.RoomLeast)
		}) {
			all[p.Name] = true
		}
	}
	return all
}

// limits are what the flows of the pairs share, in thousandths of units a second: what a debtor's halls lend, what a
// creditor's tasks bear, and the pushes between halls.
func (d *Decider) limits(pairs []Pair, rates map[string]float64) []Limit {
	far := Limit{Most: d.terms.MovedMost, Each: make([]float64, len(pairs))}
	lends, bears := map[string]*Limit{}, map[string]*Limit{}
	var all []Limit
	for _, p := range d.terms.Partners {
		lends[p.Name] = &Limit{d.terms.LendMost * d.rate(Served, p.Name), make([]float64, len(pairs))}
		bears[p.Name] = &Limit{d.terms.ShareMost * rates[p.Name], make([]float64, len(pairs))}
	}
	for i, p := range pairs {
		if has := rates[p.Creditor]; has > 0 {
			far.Each[i] = d.rate(Pures, p.Creditor) / has
		}
		lends[p.Debtor].Each[i], bears[p.Creditor].Each[i] = 1, 1
	}
	for _, p := range d.terms.Partners {
		all = append(all, *lends[p.Name], *bears[p.Name])
	}
	return append(all, far)
}

// HallsOf tells from a plan of failover which halls are to be left alone: those that it moves tasks from or to, and
// those of which not all that is listed answers. Rows are shares by the hall that tasks come in at and the hall they
// are pushed to; sound is by hall the part that answers; both are in thousandths. What is left is not known by it.
func HallsOf(rows map[string]map[string]int, sound map[string]int) map[string]Hall {
	const whole, answers = 1000, 900
	all := map[string]Hall{}
	for from, row := range rows {
		for to, share := range row {
			if to == from && share < whole || to != from && share > 0 {
				all[from], all[to] = Hall{true, -1}, Hall{true, -1}
			}
		}
	}
	for hall, part := range sound {
		if part < answers {
			all[hall] = Hall{true, -1}
		}
	}
	return all
}
