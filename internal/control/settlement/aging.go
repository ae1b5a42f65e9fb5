package settlement

import "slices"

// targetLotsPerDebt is the approximate number of lots that hold a pair's debt. Lots measure the age
// of a debt with a resolution of the forgiveness age divided by this number.
const targetLotsPerDebt = 16

// ageDebts updates the lots to match the net debts, and forgives lots that have reached the
// forgiveness age. Payments reduce the oldest lots first. The age of a lot is that of its oldest
// unit, so no debt is forgiven at a higher age than the terms state. Time that State.Clock loses
// when leaders change does not count towards the age.
func (s *State) ageDebts(netDebts []Amount, terms Terms) {
	lotSums := s.payOldestLots(netDebts)
	for _, debt := range netDebts {
		pairTerms := terms.termsFor(debt.Pair)
		maxAge := pairTerms.forgivenessAge()
		if added := debt.Sum - lotSums[debt.Pair]; added > 0 {
			s.addToLots(Amount{debt.Pair, added}, maxAge/targetLotsPerDebt)
		}
		if pairTerms.forgives() {
			s.forgiveOldLots(debt.Pair, maxAge)
		}
	}
}

// payOldestLots reduces each pair's lots to its net debt, oldest first. The difference has been
// paid, or the net debt has changed direction. It returns the sum that remains in the lots of each
// pair.
func (s *State) payOldestLots(netDebts []Amount) (lotSums map[Pair]uint64) {
	remaining := map[Pair]uint64{}
	for _, debt := range netDebts {
		remaining[debt.Pair] = debt.Sum
	}
	lotSums = map[Pair]uint64{}
	for _, lot := range s.Lots {
		lotSums[lot.Pair] += lot.Sum
	}
	lots := s.Lots[:0]
	for _, lot := range s.Lots {
		owed := min(lotSums[lot.Pair], remaining[lot.Pair])
		paid := min(lotSums[lot.Pair]-owed, lot.Sum)
		lot.Sum -= paid
		lotSums[lot.Pair] -= paid
		if lot.Sum > 0 {
			lots = append(lots, lot)
		}
	}
	s.Lots = lots
	return lotSums
}

// addToLots adds an amount to the pair's latest lot, or to a new lot if the latest is older than
// maxLotAge or there is none. maxLotAge is in ms; 0 means no limit.
func (s *State) addToLots(amount Amount, maxLotAge uint64) {
	for i := len(s.Lots) - 1; i >= 0; i-- {
		if lot := &s.Lots[i]; lot.Pair == amount.Pair {
			if s.Clock-lot.IncurredAt <= maxLotAge || maxLotAge == 0 {
				lot.Sum += amount.Sum
				return
			}
			break
		}
	}
	s.Lots = append(s.Lots, Lot{amount, s.Clock})
}

// forgiveOldLots forgives the pair's lots whose age is at least maxAge, in ms.
func (s *State) forgiveOldLots(pair Pair, maxAge uint64) {
	s.Lots = slices.DeleteFunc(s.Lots, func(lot Lot) bool {
		age := s.Clock - lot.IncurredAt
		if lot.Pair != pair || age < maxAge {
			return false
		}
		s.forgive(lot.Amount, age)
		return true
	})
}

// forgive logs that an amount was forgiven at an age in ms, and adds it to the pair's total in
// s.Forgiven.
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
	number := s.lastForgivenessNumber() + 1
	s.ForgivenessLog = append(s.ForgivenessLog, Forgiveness{amount, number, age})
	s.ForgivenessLog = s.ForgivenessLog[max(0, len(s.ForgivenessLog)-maxForgivenessLogEntries):]
}

// lastForgivenessNumber returns the number of the latest entry of the forgiveness log, or 0 if the
// log is empty.
func (s *State) lastForgivenessNumber() uint64 {
	if n := len(s.ForgivenessLog); n > 0 {
		return s.ForgivenessLog[n-1].Number
	}
	return 0
}
