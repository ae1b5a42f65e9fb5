package drill

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/counting"
)

// harmful names a rule under which a customer has a hundredth of today's rate, and has it tried on 80 of 1000 customers.
var harmful = strings.NewReplacer("try = 0", "try = 1", `key = ["group"]`, `key = ["customer"]`,
	`group = [{name = "one", customers = [1, 2, 3, 4, 5, 6, 7, 8]}]`, "", "rate = 30.0, burst = 30.0", "rate = 0.1, burst = 0.5",
	"sample = 20", "sample = 80", "calls = 60", "calls = 250").Replace(byGroup)

const (
	customers   = 600              // some 48 in the sample, each with 0.4 units a second
	verdictMost = 80 * time.Second // of the canary's 120: figures refuse it, not the deadline
)

func many(int) func(*rand.Rand) Task {
	return func(r *rand.Rand) Task {
		return Task{Lane: "look", Plan: "thin", Customer: 1 + r.Uint64N(customers), Units: 1, Patience: 2 * time.Second}
	}
}

// 11. A rule that would reject most of what customers ask for is tried and refused by what gateways saw. No task is
// touched: all are let in, but those that come before a gateway has heard which rule holds.
func TestCanaryJudgedHarmful(t *testing.T) {
	s := ready(t, harmful, harmful, many)
	for _, g := range s.Gateways {
		s.says(g.Process, `"so":false`, 1)
	}
	s.honoured(200)
	before := s.Ledger.Ends()
	began := time.Now()
	table := func() counting.Table {
		v, err := counting.Decode(s.Read(counting.Name).Value)
		must(t, err)
		return v
	}
	if at := table(); at.Phase != counting.Canary || at.To != 1 {
		t.Fatalf("the table: %+v", at)
	}
	for len(table().Refused) == 0 && time.Since(began) < verdictMost {
		s.honoured(100)
	}
	at := table()
	if len(at.Refused) != 1 || at.Refused[0] != 1 || at.Phase != counting.Still || at.From != 0 {
		t.Errorf("after %v the table: %+v", time.Since(began), at)
	}
	t.Logf("refused after %v: %s", time.Since(began).Round(time.Second), at.Why)
	s.honoured(100)
	s.over()
	if ends := s.Ledger.Ends(); ends[Rejected]+ends[Terminated] > before[Rejected]+before[Terminated] {
		t.Errorf("ends before %v and after %v", before, ends)
	}
}
