package settlementsimulation

import (
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/control/settlement"
)

const (
	settledDivisor = 20 // of the peak: a debt is settled when so small a part of it is left
	settledDelay   = 5 * time.Second

	// maxLossSpan is for how long a crashed gateway's counts may have reached no leader: digests
	// lost in a row, a leader lost, and the longest that attempts are in flight.
	maxLossSpan = 4 * time.Second

	thousandthsPerUnit = 1000
)

// checkInvariants checks each second what must always hold, and takes the figures of the result.
func (s *simulation) checkInvariants() {
	ledger := settlement.ReadLedger(s.totals(settlement.ExactTable))
	netDebts := ledger.NetDebts(s.storedState().Forgiven)
	for pair, debt := range s.previousLedger {
		if ledger[pair] < debt {
			s.addViolation("%v: %d owed, and %d a second before", pair, ledger[pair], debt)
		}
	}
	s.previousLedger = ledger
	balance := int64(0)
	for _, b := range balancesOf(netDebts) {
		balance += b
	}
	if balance != 0 {
		s.addViolation("balances sum to %d", balance)
	}
	s.recordFigures(netDebts)
}

func (s *simulation) recordFigures(netDebts []settlement.Amount) {
	open := uint64(0)
	for _, debt := range netDebts {
		open += debt.Sum
	}
	s.result.PeakDebt = max(s.result.PeakDebt, open)
	s.result.FinalDebt = open
	sinceOutage := s.clock.Now() - s.outageEnd()
	if sinceOutage > settledDelay && s.result.SettledAfter < 0 && open*settledDivisor <= s.result.PeakDebt {
		s.result.SettledAfter = sinceOutage
	}
	s.result.Moved += s.moved
	s.result.MaxMovedPerSecond = max(s.result.MaxMovedPerSecond, s.moved)
	s.moved = 0
}

// checkFinalLedger compares the ledger with what truly ran, once all counts have been reported.
func (s *simulation) checkFinalLedger() {
	for _, g := range s.gateways {
		s.receiveDigest(s.newDigest(g))
	}
	s.leaderlessUntil = 0
	s.commitTotals()
	s.checkInvariants()
	ledger := settlement.ReadLedger(s.totals(settlement.ExactTable))
	for pair, debt := range s.trueDebts {
		if ledger[pair] > debt {
			s.addViolation("%v: %d owed, %d in the ledger", pair, debt, ledger[pair])
		} else {
			s.result.Lost += debt - ledger[pair]
		}
	}
	s.checkLoss()
	want := settlement.Ledger(s.trueDebts).NetDebts(nil)
	got := ledger.NetDebts(s.storedState().Forgiven)
	if s.Terms.ForgiveAfter == 0 && s.result.Lost == 0 && !slices.Equal(want, got) {
		s.addViolation("net debts %v, want %v", got, want)
	}
	for partner, attempts := range s.firstAttempts {
		s.result.OnTime = append(s.result.OnTime, float64(s.onTimeAttempts[partner])/float64(max(attempts, 1)))
	}
}

// checkLoss checks what is lost by crashes: nothing with a store, and without one what a gateway
// counted since its latest digest that a leader received, and its attempts in flight.
func (s *simulation) checkLoss() {
	maxPerCrash := s.RequestRate / float64(s.GatewaysPerZone) * meanUnits * thousandthsPerUnit * maxLossSpan.Seconds()
	maxLost := float64(s.crashes) * maxPerCrash
	if s.WithStores {
		maxLost = 0
	}
	if float64(s.result.Lost) > maxLost {
		s.addViolation("%d lost in %d crashes", s.result.Lost, s.crashes)
	}
}

func (s *simulation) addViolation(format string, a ...any) {
	s.result.Violations = append(s.result.Violations, fmt.Sprintf(format, a...))
}

// balancesOf returns, by partner, what it is owed less what it owes, in thousandths of units.
func balancesOf(netDebts []settlement.Amount) map[string]int64 {
	balances := map[string]int64{}
	for _, debt := range netDebts {
		balances[debt.Debtor] -= int64(debt.Sum)
		balances[debt.Creditor] += int64(debt.Sum)
	}
	return balances
}
