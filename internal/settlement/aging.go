package settlement

import "slices"

// lotsPerDebt is how many lots a pair's debt is kept in, about: an age is told to a sixteenth of that of forgiveness.
const lotsPerDebt = 16

// ageDebts brings the lots in line with the net debts and forgives those that are too old. What is paid off is the oldest;
// a lot begins with the first unit that came in it, so that none is forgiven later than the file says by more than
// the time that the clock of the table lost.
func (state *State) ageDebts(netDebts []Amount, terms Terms) {
	owed := map[Pair]uint64{}
	for _, n := range netDebts {
		owed[n.Pair] = n.Sum
	}
	inLots := map[Pair]uint64{}
	for _, l := range state.Lots {
		inLots[l.Pair] += l.Sum
	}
	// The oldest stand first. What is more in the lots than is owed has been paid, or turned round.
	lots := state.Lots[:0]
	for _, l := range state.Lots {
		if paid := inLots[l.Pair] - min(inLots[l.Pair], owed[l.Pair]); paid > 0 {
			paid = min(paid, l.Sum)
			l.Sum -= paid
			inLots[l.Pair] -= paid
		}
		if l.Sum > 0 {
			lots = append(lots, l)
		}
	}
	state.Lots = lots
	for _, n := range netDebts {
		_, _, forgiveAfter := terms.pairTerms(n.Debtor, n.Creditor)
		if added := n.Sum - inLots[n.Pair]; added > 0 {
			state.addToLots(Amount{n.Pair, added}, uint64(forgiveAfter*1000)/lotsPerDebt)
		}
		if forgiveAfter > 0 {
			state.forgiveOlder(n.Pair, uint64(forgiveAfter*1000))
		}
	}
}

// addToLots puts a sum into the pair's latest lot, or into a new one if that is older than a grain.
func (state *State) addToLots(a Amount, grain uint64) {
	for i := len(state.Lots) - 1; i >= 0; i-- {
		if l := &state.Lots[i]; l.Pair == a.Pair {
			if state.Clock-l.Since <= grain || grain == 0 {
				l.Sum += a.Sum
				return
			}
			break
		}
	}
	state.Lots = append(state.Lots, Lot{a, state.Clock})
}

// forgiveOlder strikes the pair's lots of an age, and says each.
func (state *State) forgiveOlder(pair Pair, maxAge uint64) {
	state.Lots = slices.DeleteFunc(state.Lots, func(l Lot) bool {
		age := state.Clock - l.Since
		if l.Pair != pair || age < maxAge {
			return false
		}
		number := uint64(1)
		if n := len(state.ForgivenessLog); n > 0 {
			number = state.ForgivenessLog[n-1].Number + 1
		}
		state.ForgivenessLog = append(state.ForgivenessLog, Forgiveness{l.Amount, number, age})
		state.ForgivenessLog = state.ForgivenessLog[max(0, len(state.ForgivenessLog)-maxForgivenessLog):]
		i := slices.IndexFunc(state.Forgiven, func(a Amount) bool { return a.Pair == pair })
		if i < 0 {
			i = len(state.Forgiven)
			state.Forgiven = append(state.Forgiven, Amount{Pair: pair})
		}
		state.Forgiven[i].Sum += l.Sum
		return true
	})
}
