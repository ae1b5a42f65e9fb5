package enforce

import (
	"slices"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/testing/fakes"
)

func withSlashes(name string) string { return strings.ReplaceAll(name, "\x1f", "/") }

// Under rule 0 the counter is called by the same names as without an enforcer.
func TestEnforcer_ruleZeroCountsUnderTheSameNames(t *testing.T) {
	plain, enforced := newFixture(t), newStartedFixture(t)
	enforced.node.setTable(countingrule.Table{}, true)
	for customer := range uint64(20) {
		if !plain.serveRequest(customer) || !enforced.serveRequest(customer) {
			t.Fatal("a request within its plan is rejected")
		}
	}
	expected := plain.counter.calledNames()
	for customer := range uint64(20) { // a window may have ended between the two
		expected = append(expected, enforced.customerCountName(customer))
	}
	calls := enforced.counter.calledNames()
	for _, name := range calls {
		if !slices.Contains(expected, name) {
			t.Errorf("counted under another name: %x", name)
		}
	}
	if len(calls) < 20 {
		t.Errorf("%d calls for 20 customers", len(calls))
	}
}

// After the switch a group shares one count, a unit weighs two, and the group's limit holds for all
// of its customers.
func TestEnforcer_newRuleCountsAfterTheSwitch(t *testing.T) {
	f := newStartedFixture(t)
	table := groupTable(countingrule.PhaseScheduled)
	table.SwitchAt = f.dispatcher.Now() + time.Second
	f.node.setTable(table, true)
	customerCount := f.countName(0, 5)
	if !f.serveRequest(5) || f.dispatcher.Now() > table.SwitchAt {
		t.Fatal("before the switch: rejected, or too slow")
	}
	if _, found := f.counter.total(customerCount); !found {
		t.Error("before the switch rule 0 is not the one that counts")
	}
	fakes.Eventually(t, "the switch", func() bool { return f.dispatcher.Now() > table.SwitchAt })
	forwarded := 0
	for i := range uint64(6) {
		if f.serveRequest(5 + i%2) {
			forwarded++
		}
	}
	if _, found := f.counter.total(f.countName(1, 6)); !found || forwarded != 1 {
		t.Errorf("%d forwarded of a group whose burst holds one and a half, counted under its key: %v",
			forwarded, found)
	}
}

// A process past the end of its lease admits only what both rules admit, charges both, and gives
// back what the other rule rejected.
func TestEnforcer_bothRulesMustAdmitPastTheLease(t *testing.T) {
	f := newStartedFixture(t)
	f.node.setTable(groupTable(countingrule.PhaseCanary), false)
	name := f.countName(1, 5)
	if !f.serveRequest(5) || f.serveRequest(5) || f.serveRequest(5) {
		t.Error("not one alone is forwarded, where the group's count holds one")
	}
	fakes.Eventually(t, "units given back", func() bool { units, _ := f.counter.total(name); return units < 2.5 })
	if units, _ := f.counter.total(name); units < 2 {
		t.Errorf("the count of the new rule holds %v, not the two of the one that was forwarded", units)
	}
	f.node.setTable(groupTable(countingrule.PhaseCanary), true)
	if !f.serveRequest(5) {
		t.Error("with a lease again, both rules must still admit")
	}
}

// Where the counter stops answering while both rules must admit, no request waits for it longer
// than a part of its latency objective, and each has its final answer.
func TestEnforcer_silentCounterDelaysNoRequest(t *testing.T) {
	f := newStartedFixture(t)
	f.node.setTable(groupTable(countingrule.PhaseCanary), false)
	f.counter.silence()
	start := time.Now()
	if first, second := f.serveRequest(5), f.serveRequest(5); !first || second {
		t.Errorf("forwarded %v and %v where the group's limit holds one", first, second)
	}
	if time.Since(start) > 2*time.Second {
		t.Errorf("two requests took %v", time.Since(start))
	}
}

// A canary counts under names of its own, and rejects no request that the new rule would reject.
func TestEnforcer_canaryChangesNoRequest(t *testing.T) {
	f := newStartedFixture(t)
	table := groupTable(countingrule.PhaseCanary)
	table.Seed, table.Canary = 9, countingrule.CanaryConfig{SamplePermille: 1000, CallsPermille: 250}
	f.node.setTable(table, true)
	fakes.Eventually(t, "the canary", func() bool {
		f.enforcer.mu.Lock()
		defer f.enforcer.mu.Unlock()
		return f.enforcer.canary.shadow != nil
	})
	for range 40 {
		if !f.serveRequest(5) {
			t.Fatal("a request is rejected in a canary")
		}
	}
	if _, found := f.counter.total(f.countName(1, 5)); found {
		t.Error("the canary counts under a rule's own name")
	}
	fakes.Eventually(t, "observations", func() bool {
		got := f.observations()
		return got["canary/9/old"] > 0 && got["canary/9/real/0/in"] == 40_000 && got["canary/9/calls"] > 0 &&
			got["canary/9/calls"] <= uint64(len(f.counter.calledNames()))
	})
}

// The log says when it becomes uncertain which version is in force, and when it is certain again.
func TestEnforcer_logsUncertainty(t *testing.T) {
	const uncertain = "counting: version in force uncertain, all candidates must admit"
	const certain = "counting: version in force certain"
	f := newStartedFixture(t)
	isLogged := func(message string, versions ...uint64) func() bool {
		return func() bool {
			for _, entry := range f.logs.FilterMessage(message).All() {
				if got, ok := entry.ContextMap()["versions"].([]any); ok && slices.EqualFunc(got, versions,
					func(a any, b uint64) bool { return a == b }) {
					return true
				}
			}
			return false
		}
	}
	fakes.Eventually(t, "uncertain before a table is received", isLogged(uncertain, 0, 1))
	f.node.setTable(groupTable(countingrule.PhaseCanary), true)
	fakes.Eventually(t, "certain under a lease", isLogged(certain, 0))
	if n := f.logs.FilterMessage("counting: table changed").Len(); n != 1 {
		t.Errorf("%d lines of one change of the table", n)
	}
}
