package enforce

import (
	"slices"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/testing/fakes"
)

// withSlashes replaces the separators in the name of a reported counter by slashes.
func withSlashes(name string) string { return strings.ReplaceAll(name, "\x1f", "/") }

// Under rule 0 the names at the counter are the same as without an enforcer.
func TestEnforcer_ruleZeroCountsUnderTheSameNames(t *testing.T) {
	plain, enforced := newFixture(t), newStartedFixture(t)
	enforced.node.setTable(countingrule.Table{}, true)
	for customer := range uint64(20) {
		if !plain.serveRequest(customer) || !enforced.serveRequest(customer) {
			t.Fatal("a request within its plan was rejected")
		}
	}
	expected := plain.counter.calledNames()
	for customer := range uint64(20) { // a new window may have begun between the two requests
		expected = append(expected, enforced.customerCountName(customer))
	}
	calls := enforced.counter.calledNames()
	for _, name := range calls {
		if !slices.Contains(expected, name) {
			t.Errorf("counted under an unexpected name: %x", name)
		}
	}
	if len(calls) < 20 {
		t.Errorf("%d calls for 20 customers, want at least 20", len(calls))
	}
}

// After the switch, the customers of a group share one count and its limit, and the weight of the
// class counts each unit as two.
func TestEnforcer_newRuleCountsAfterTheSwitch(t *testing.T) {
	f := newStartedFixture(t)
	table := groupTable(countingrule.PhaseScheduled)
	table.SwitchAt = f.dispatcher.Now() + time.Second
	f.node.setTable(table, true)
	customerCountName := f.countName(0, 5)
	if !f.serveRequest(5) || f.dispatcher.Now() > table.SwitchAt {
		t.Fatal("before the switch: the request was rejected or took until after the switch")
	}
	if _, found := f.counter.total(customerCountName); !found {
		t.Error("before the switch: the request was not counted under rule 0")
	}
	fakes.Eventually(t, "the switch", func() bool { return f.dispatcher.Now() > table.SwitchAt })
	forwarded := 0
	for i := range uint64(6) {
		if f.serveRequest(5 + i%2) {
			forwarded++
		}
	}
	if _, found := f.counter.total(f.countName(1, 6)); !found || forwarded != 1 {
		t.Errorf("%d requests forwarded, want 1: the group's burst covers one and a half requests;"+
			" counted under its key: %v", forwarded, found)
	}
}

// Without a valid lease, a request is admitted only if both rules admit it. It is charged to both
// counts, and its units are returned if the other rule rejects it.
func TestEnforcer_bothRulesMustAdmitAfterLeaseExpiry(t *testing.T) {
	f := newStartedFixture(t)
	f.node.setTable(groupTable(countingrule.PhaseCanary), false)
	name := f.countName(1, 5)
	if !f.serveRequest(5) || f.serveRequest(5) || f.serveRequest(5) {
		t.Error("want only the first of three requests forwarded: the group's count has room for one")
	}
	fakes.Eventually(t, "returned units", func() bool { units, _ := f.counter.total(name); return units < 2.5 })
	if units, _ := f.counter.total(name); units < 2 {
		t.Errorf("the new rule's count is %v, want at least 2 for the forwarded request", units)
	}
	f.node.setTable(groupTable(countingrule.PhaseCanary), true)
	if !f.serveRequest(5) {
		t.Error("request rejected under a valid lease, where rule 0 alone decides")
	}
}

// If the counter stops answering while both rules must admit, a request waits only for a fraction
// of its latency objective and still gets its final answer.
func TestEnforcer_silentCounterDoesNotBlockRequests(t *testing.T) {
	f := newStartedFixture(t)
	f.node.setTable(groupTable(countingrule.PhaseCanary), false)
	f.counter.silence()
	start := time.Now()
	if first, second := f.serveRequest(5), f.serveRequest(5); !first || second {
		t.Errorf("forwarded %v and %v, want only the first: the group's limit covers one request", first, second)
	}
	if time.Since(start) > 2*time.Second {
		t.Errorf("two requests took %v, want at most 2s", time.Since(start))
	}
}

// A canary counts under names of its own and does not reject requests that only the new rule would
// reject.
func TestEnforcer_canaryChangesNoRequest(t *testing.T) {
	f := newStartedFixture(t)
	table := groupTable(countingrule.PhaseCanary)
	table.SampleSeed, table.Canary = 9, countingrule.CanaryConfig{SamplePermille: 1000, CallsPermille: 250}
	f.node.setTable(table, true)
	fakes.Eventually(t, "the canary", func() bool {
		f.enforcer.mu.Lock()
		defer f.enforcer.mu.Unlock()
		return f.enforcer.canary.shadow != nil
	})
	for range 40 {
		if !f.serveRequest(5) {
			t.Fatal("a request was rejected during a canary")
		}
	}
	if _, found := f.counter.total(f.countName(1, 5)); found {
		t.Error("the canary counted under the new rule's name")
	}
	fakes.Eventually(t, "observations", func() bool {
		got := f.observations()
		return got["canary/9/old"] > 0 && got["canary/9/real/0/in"] == 40_000 && got["canary/9/calls"] > 0 &&
			got["canary/9/calls"] <= uint64(len(f.counter.calledNames()))
	})
}

// The log must show when the version in force becomes uncertain, and when it is certain again.
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
		t.Errorf("%d log lines for one change of the table, want 1", n)
	}
}
