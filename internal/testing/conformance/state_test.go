package conformance

import (
	"slices"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// findVariant returns the variant of that name.
func findVariant(t *testing.T, name string) Variant {
	t.Helper()
	i := slices.IndexFunc(Variants, func(variant Variant) bool { return variant.Name == name })
	if i < 0 {
		t.Fatalf("no variant %q", name)
	}
	return Variants[i]
}

// Cases that pass with a part switched on show nothing if the part does not act: the canary and the
// second rule call the counter for the case's own requests.
func TestPartsActOnCaseRequests(t *testing.T) {
	suite := loadSuite(t)
	plan, err := suite.findPlan("roomy")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"canary", "activation scheduled", "unconfirmed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newProcessTarget(t, Case{}, plan, findVariant(t, name))
			executeAll(t, p, "request 1 units 1", "answer 1 billed 1", "request 2 units 1", "answer 2 billed 1")
			fakes.Eventually(t, "calls of the part's own", func() bool { return p.ignoredCalls.Load() > 0 })
		})
	}
}

// A request that prefers an owner goes to its elective server: else cases with such requests would
// show nothing.
func TestPreferringRequestsUseElectiveServers(t *testing.T) {
	m := newModuleTarget(t, Case{}, Plan{Name: "roomy", Rate: 100, Burst: 1000}, findVariant(t, "elective preferred"))
	executeAll(t, m, "request 1 units 1")
	events := m.events.since(0)
	if !slices.ContainsFunc(events, func(event []string) bool { return matches(event, "attempt 1 elective") }) {
		t.Errorf("seen %s", formatEvents(events))
	}
}
