package drill

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/debts"
	"harrierhoist/internal/drill/relay"
	"harrierhoist/internal/standin"
)

// partners have a hall and its customers each. What a and b owe each other is settled where a story says so.
const partners = `[debts]
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

const unsettled = "[[debts.rule]]\nbetween = [\"a\", \"b\"]\nsettle = false\n"

// owed is what one partner owes another by the table, in units.
func (s *story) owed(debtor, creditor string) float64 {
	s.t.Helper()
	v, err := debts.Decode(s.Read(debts.Table).Value)
	must(s.t, err)
	for _, n := range v.Nets {
		if n.Debtor == debtor && n.Creditor == creditor {
			return float64(n.Sum) / 1000
		}
	}
	return 0
}

// ran is what servers of a hall did for the customers of another, in units.
func (s *story) ran(from, to string) (units float64) {
	for _, p := range s.Ledger.Pushes() {
		if p.From == from && p.Hall == to {
			units += p.Units
		}
	}
	return units
}

// 15. A hall is lost and its tasks run at another partner's, while every digest arrives twice, the leader is killed,
// and the next one too. What is owed at the end is what the servers did, to the unit.
func TestDebtsThroughLeaderChangesAndDoubledDigests(t *testing.T) {
	s := beginWith(t, partners+unsettled+terms)
	s.Between(nil, nil, relay.Fault{Double: true, Only: "/digests"})
	s.lose("hall-a", "hall-b")
	for range 2 {
		old := s.Leader()
		old.Kill()
		s.honoured(200)
		s.Club.Start(old)
		s.Leader()
	}
	s.over()
	is, was := 0.0, s.ran("hall-a", "hall-b")-s.ran("hall-b", "hall-a")
	defer func() { t.Logf("owed %.3f, done %.3f", is, was) }()
	standin.Eventually(t, fmt.Sprintf("a debt of %.3f", was), func() bool {
		is = s.owed("a", "b")
		return is == was
	})
	if c := s.owed("a", "c"); c != s.ran("hall-a", "hall-c") {
		t.Errorf("owed to c %.3f, done there %.3f", c, s.ran("hall-a", "hall-c"))
	}
}

// 16. A debt is being settled when its debtor's hall fails. The creditor's tasks come home and are served there.
func TestSettlementWhileItsDebtorsHallFails(t *testing.T) {
	s := beginWith(t, partners+terms)
	s.lose("hall-a", "hall-b")
	s.Become("hall-a", Well)
	s.share("hall-a", "hall-a", near, 1)
	s.share("hall-b", "hall-a", 0.05, 0.6) // the settlement
	s.Become("hall-a", Dead)
	s.share("hall-a", "hall-b", away, 1)
	s.share("hall-b", "hall-b", near, 1)
	s.served("hall-b", "hall-b", most)
	from := time.Now()
	s.never("hall-b", "hall-c", from)
	s.over()
}
