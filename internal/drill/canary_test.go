package drill

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/counting"
	"harrierhoist/internal/standin"
)

// harmful names a rule under which a customer has a hundredth of today's rate, and has it tried on 80 of 1000
// customers.
var harmful = strings.NewReplacer("try = 0", "try = 1", `key = ["group"]`, `key = ["customer"]`,
	`group = [{name = "one", customers = [1, 2, 3, 4, 5, 6, 7, 8]}]`, "",
	"rate = 30.0, burst = 30.0", "rate = 0.1, burst = 0.5",
	"sample = 20", "sample = 80", "calls = 60", "calls = 250").Replace(byGroup)

const (
	customers   = 600              // some 48 in the sample, each with 0.4 units a second
	verdictMost = 80 * time.Second // of the canary's 120: figures refuse it, not the deadline
	undoneMost  = 60 * time.Second // after the edge: two looks of 10 s, 10 s after it
)

func many(int) func(*rand.Rand) Task {
	return func(r *rand.Rand) Task {
		return Task{Lane: "look", Plan: "thin", Customer: 1 + r.Uint64N(customers), Units: 1, Patience: 2 * time.Second}
	}
}

// 11. A rule that would reject most of what customers ask for is tried and refused by what gateways saw. No task is
// touched: all are let in, but those that come before a gateway has heard which rule holds.
func TestCanaryJudgedHarmful(t *testing.T) {
	t.Parallel()
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

// 13. A rule was taken by a canary that foretold far more than it lets in. Once that is seen under load it is undone
// at an edge of its own, nobody asked, and tasks are let in as before.
func TestUndoneByItselfUnderLoad(t *testing.T) {
	t.Parallel()
	s := ready(t, harmful, harmful, twice)
	let := func(least, most float64, what string) {
		t.Helper()
		standin.Eventually(t, what, func() bool {
			n := 0
			for _, units := range s.Ledger.Flow(time.Now().Add(-time.Second)) {
				n += units
			}
			part := float64(n) / float64(rate*len(s.Gateways))
			return part >= least && part <= most
		})
	}
	for _, g := range s.Gateways {
		s.says(g.Process, `"so":false`, 1)
	}
	let(0.8, 1.2, "tasks let in by today's rule")
	now := time.Now()
	edge := now.Add(lead).Truncate(time.Second)
	rule := counting.Rule{Version: 1, Key: []string{"customer"},
		Limits: []counting.Limit{{Plan: "*", Rate: 0.1, Burst: 0.5}}}
	s.Write(counting.Name, counting.Table{Phase: counting.Named, To: 1, Edge: time.Duration(edge.UnixNano()), Seed: 7,
		Rules: []counting.Rule{rule}, Since: time.Duration(now.UnixNano()),
		Test: counting.Marshal(canary.Test{Foretold: 0.9}),
		Trial: counting.Trial{Sample: 80, Calls: 250, DeadlineS: 120, WrongThousandths: 50, Rejected: 30,
			LetIn: 100, Beyond: 50, Leave: 100, WatchS: 600}}.Encode())
	let(0, 0.5, "tasks rejected by the rule in force")
	for time.Since(edge) < undoneMost && s.Gateways[0].Log.Count(`"phase":3`) == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	for _, g := range s.Gateways {
		s.says(g.Process, `"phase":3`, 1)
	}
	let(0.8, 1.2, "tasks let in by the earlier rule")
	s.over()
}

// twice is many with two units a task: enough in the sample for a look at what came of the rule.
func twice(int) func(*rand.Rand) Task {
	draw := many(0)
	return func(r *rand.Rand) Task {
		t := draw(r)
		t.Units = 2
		return t
	}
}
