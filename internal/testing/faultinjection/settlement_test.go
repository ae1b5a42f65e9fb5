package faultinjection

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/faultinjection/faultproxy"
)

// partnerTerms has three partners with a zone and customers each. noSettlementRule has what a and b
// owe each other left as it is.
const partnerTerms = `[debts]
on = true
settle_over_s = 5.0
[[debts.partner]]
name = "a"
halls = ["hall-a"]
customers = ["0000000000000000-0000000000ffffff"]
[[debts.partner]]
name = "b"
halls = ["hall-b"]
customers = ["0000000001000000-0000000001ffffff"]
[[debts.partner]]
name = "c"
halls = ["hall-c"]
customers = ["0000000002000000-0000000002ffffff"]
`

const noSettlementRule = "[[debts.rule]]\nbetween = [\"a\", \"b\"]\nsettle = false\n"

// storedDebt returns what one partner owes another by the table, in units.
func (s *scenario) storedDebt(debtor, creditor string) float64 {
	s.t.Helper()
	state, err := settlement.DecodeState(s.Read(settlement.TableName).Value)
	must(s.t, err)
	for _, debt := range state.NetDebts {
		if debt.Debtor == debtor && debt.Creditor == creditor {
			return float64(debt.Sum) / 1000
		}
	}
	return 0
}

// completedUnits returns the units that a zone's servers worked for the customers of a zone.
func (s *scenario) completedUnits(from, to string) (units float64) {
	for _, attempt := range s.Recorder.Attempts() {
		if attempt.Origin == from && attempt.Zone == to {
			units += attempt.Units
		}
	}
	return units
}

// 15. A zone is lost and its requests run at another partner's, while every digest arrives twice,
// the leader is killed, and the next one too. What is owed at the end is what the servers worked,
// to the unit.
func TestSettlement_debtsExactThroughLeaderChangesAndDuplicates(t *testing.T) {
	s := startScenarioWith(t, partnerTerms+noSettlementRule+failoverTerms)
	s.SetFault(nil, nil, faultproxy.Fault{Duplicate: true, OnlyPath: "/digests"})
	s.failZone("hall-a", "hall-b")
	for range 2 {
		old := s.Leader()
		old.Kill()
		s.waitForServed(200)
		s.VoterCluster.Start(old)
		s.Leader()
	}
	s.finish()
	got, want := 0.0, s.completedUnits("hall-a", "hall-b")-s.completedUnits("hall-b", "hall-a")
	defer func() { t.Logf("owed %.3f, completed %.3f", got, want) }()
	fakes.Eventually(t, fmt.Sprintf("a debt of %.3f", want), func() bool {
		got = s.storedDebt("a", "b")
		return got == want
	})
	if got, want := s.storedDebt("a", "c"), s.completedUnits("hall-a", "hall-c"); got != want {
		t.Errorf("owed to c %.3f, completed there %.3f", got, want)
	}
}

// 16. A debt is being settled when its debtor's zone fails. The creditor's requests come back and
// are served in its zone.
func TestSettlement_debtorZoneFailsMeanwhile(t *testing.T) {
	s := startScenarioWith(t, partnerTerms+failoverTerms)
	s.failZone("hall-a", "hall-b")
	s.SetZoneBehavior("hall-a", Healthy)
	s.waitForFraction("hall-a", "hall-a", minLocalFraction, 1)
	s.waitForFraction("hall-b", "hall-a", 0.05, 0.6) // the settlement
	s.SetZoneBehavior("hall-a", Down)
	s.waitForFraction("hall-a", "hall-b", minMovedFraction, 1)
	s.waitForFraction("hall-b", "hall-b", minLocalFraction, 1)
	s.waitForLoad("hall-b", "hall-b", minServedFraction)
	from := time.Now()
	s.expectNoAttempts(Route{"hall-b", "hall-c"}, from)
	s.finish()
}
