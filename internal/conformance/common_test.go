package conformance

import (
	"slices"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// Rows that hold beside a part say nothing where the part does not act: the canary and the second rule ask the counter
// for the row's own tasks.
func TestPartsActOnRowRequests(t *testing.T) {
	suite := loadSuite(t)
	plan, err := suite.findPlan("roomy")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"canary", "activation named", "unconfirmed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			variant := Variants[slices.IndexFunc(Variants, func(variant Variant) bool { return variant.Name == name })]
			p := newProcessTarget(t, Row{}, plan, variant)
			for _, text := range []string{"task 1 units 1", "answer 1 billed 1", "task 2 units 1", "answer 2 billed 1"} {
				s, err := parseStep(text)
				if err != nil {
					t.Fatal(err)
				}
				p.execute(s)
			}
			fakes.Eventually(t, "calls of the part's own", func() bool { return p.ignoredCalls.Load() > 0 })
		})
	}
}

// A task that prefers an owner goes to its elective server: else the rows played with such tasks would show nothing.
func TestPreferringRequestsUseElectiveServers(t *testing.T) {
	i := slices.IndexFunc(moduleVariants, func(variant Variant) bool { return variant.Name == "preferring" })
	m := newModuleTarget(t, Row{}, Plan{Name: "roomy", Rate: 100, Burst: 1000}, moduleVariants[i])
	s, err := parseStep("task 1 units 1")
	if err != nil {
		t.Fatal(err)
	}
	m.execute(s)
	if !slices.ContainsFunc(m.events.since(0), func(l []string) bool { return matches(l, "push 1 elective") }) {
		t.Errorf("seen %v", m.events.since(0))
	}
}
