package settlement

import "slices"

// lotsPerDebt is about how many lots a pair's debt is kept in: ages are exact to that part of the
// forgiveness age.
const lotsPerDebt = 16

// ageDebts brings the lots in line with the net debts, and forgives those that are too old.
// Payments reduce the oldest lots first. A lot is as old as its first unit, so nothing is forgiven
// later than the terms say by more than what State.Clock lost with leaders.
func (s *State) ageDebts(netDebts []Amount, terms Terms) {
	inLots := s.payOldestLots(netDebts)
	for _, debt := range netDebts {
		pairTerms := terms.between(debt.Pair)
		maxAge := pairTerms.forgivenessAge()
		if added := debt.Sum - inLots[debt.Pair]; added > 0 {
			s.addToLots(Amount{debt.Pair, added}, maxAge/lotsPerDebt)
		}
		if pairTerms.forgives() {
			s.forgiveOlder(debt.Pair, maxAge)
		}
	}
}

// payOldestLots takes from the lots what is no longer owed: it was paid, or the pair's net debt
// changed sides. It returns the sum that each pair has in lots then.
func (s *State) payOldestLots(netDebts []Amount) (inLots map[Pair]uint64) {
	remaining := map[Pair]uint64{}
	for _, debt := range netDebts {
		remaining[debt.Pair] = debt.Sum
	}
	inLots = map[Pair]uint64{}
	for _, lot := range s.Lots {
		inLots[lot.Pair] += lot.Sum
	}
	lots := s.Lots[:0]
	for _, lot := range s.Lots {
		owed := min(inLots[lot.Pair], remaining[lot.Pair])
		paid := min(inLots[lot.Pair]-owed, lot.Sum)
		lot.Sum -= paid
		inLots[lot.Pair] -= paid
		if lot.Sum > 0 {
			lots = append(lots, lot)
		}
	}
	s.Lots = lots
	return inLots
}

// addToLots adds an amount to the pair's latest lot, or to a new one if that is older than
// maxLotAge in ms; 0 means that the latest is used whatever its age.
func (s *State) addToLots(amount Amount, maxLotAge uint64) {
	for i := len(s.Lots) - 1; i >= 0; i-- {
		if lot := &s.Lots[i]; lot.Pair == amount.Pair {
			if s.Clock-lot.Since <= maxLotAge || maxLotAge == 0 {
				lot.Sum += amount.Sum
				return
			}
			break
		}
	}
	s.Lots = append(s.Lots, Lot{amount, s.Clock})
}

// forgiveOlder forgives the pair's lots that are of an age in ms or older.
func (s *State) forgiveOlder(pair Pair, maxAge uint64) {
	s.Lots = slices.DeleteFunc(s.Lots, func(lot Lot) bool {
		age := s.Clock - lot.Since
		if lot.Pair != pair || age < maxAge {
			return false
		}
		s.forgive(lot.Amount, age)
		return true
	})
}

// forgive logs that an amount was forgiven at an age in ms, and adds it to what was forgiven in
// all.
func (s *State) forgive(amount Amount, age uint64) {
	s.logForgiveness(amount, age)
	i := slices.IndexFunc(s.Forgiven, func(a Amount) bool { return a.Pair == amount.Pair })
	if i < 0 {
		i = len(s.Forgiven)
		s.Forgiven = append(s.Forgiven, Amount{Pair: amount.Pair})
	}
	s.Forgiven[i].Sum += amount.Sum
}

func (s *State) logForgiveness(amount Amount, age uint64) {
	number := s.lastForgiveness() + 1
	s.ForgivenessLog = append(s.ForgivenessLog, Forgiveness{amount, number, age})
	s.ForgivenessLog = s.ForgivenessLog[max(0, len(s.ForgivenessLog)-maxForgivenessLog):]
}

// lastForgiveness returns the number of the latest entry of the forgiveness log; 0 where it is
// empty.
func (s *State) lastForgiveness() uint64 {
	if n := len(s.ForgivenessLog); n > 0 {
		return s.ForgivenessLog[n-1].Number
	}
	return 0
}
