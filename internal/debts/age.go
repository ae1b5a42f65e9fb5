package debts

import "slices"

// lotsMost is how many lots a pair's debt is kept in, about: an age is told to a sixteenth of that of forgiveness.
const lotsMost = 16

// age brings the lots in line with the net debts and forgives those that are too old. What is paid off is the oldest;
// a lot begins with the first unit that came in it, so that none is forgiven later than the file says by more than
// the time that the clock of the table lost.
func (v *Value) age(nets []Amount, t Terms) {
	open := map[Pair]uint64{}
	for _, n := range nets {
		open[n.Pair] = n.Sum
	}
	held := map[Pair]uint64{}
	for _, l := range v.Lots {
		held[l.Pair] += l.Sum
	}
	// The oldest stand first. What is more in the lots than is owed has been paid, or turned round.
	lots := v.Lots[:0]
	for _, l := range v.Lots {
		if paid := held[l.Pair] - min(held[l.Pair], open[l.Pair]); paid > 0 {
			paid = min(paid, l.Sum)
			l.Sum -= paid
			held[l.Pair] -= paid
		}
		if l.Sum > 0 {
			lots = append(lots, l)
		}
	}
	v.Lots = lots
	for _, n := range nets {
		_, _, after := t.rule(n.Debtor, n.Creditor)
		if more := n.Sum - held[n.Pair]; more > 0 {
			v.add(Amount{n.Pair, more}, uint64(after*1000)/lotsMost)
		}
		if after > 0 {
			v.forgive(n.Pair, uint64(after*1000))
		}
	}
}

// add puts a sum into the pair's latest lot, or into a new one if that is older than a grain.
func (v *Value) add(a Amount, grain uint64) {
	for i := len(v.Lots) - 1; i >= 0; i-- {
		if l := &v.Lots[i]; l.Pair == a.Pair {
			if v.Clock-l.Since <= grain || grain == 0 {
				l.Sum += a.Sum
				return
			}
			break
		}
	}
	v.Lots = append(v.Lots, Lot{a, v.Clock})
}

// forgive strikes the pair's lots of an age, and says each.
func (v *Value) forgive(p Pair, after uint64) {
	v.Lots = slices.DeleteFunc(v.Lots, func(l Lot) bool {
		age := v.Clock - l.Since
		if l.Pair != p || age < after {
			return false
		}
		number := uint64(1)
		if n := len(v.Said); n > 0 {
			number = v.Said[n-1].Number + 1
		}
		v.Said = append(v.Said, Entry{l.Amount, number, age})
		v.Said = v.Said[max(0, len(v.Said)-saidMost):]
		i := slices.IndexFunc(v.Forgiven, func(a Amount) bool { return a.Pair == p })
		if i < 0 {
			i = len(v.Forgiven)
			v.Forgiven = append(v.Forgiven, Amount{Pair: p})
		}
		v.Forgiven[i].Sum += l.Sum
		return true
	})
}
