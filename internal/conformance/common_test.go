package conformance

import (
	"slices"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// Rows that hold beside a part say nothing where the part does not act: the canary and the second rule ask the counter
// for the row's own tasks.
func TestPartsActOnTheRowsTasks(t *testing.T) {
	all := tables(t)
	plan, err := all.plan("roomy")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"canary", "activation named", "unconfirmed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := Variants[slices.IndexFunc(Variants, func(v Variant) bool { return v.Name == name })]
			p := newProcess(t, Row{}, plan, v)
			for _, text := range []string{"task 1 units 1", "answer 1 billed 1", "task 2 units 1", "answer 2 billed 1"} {
				s, err := read(text)
				if err != nil {
					t.Fatal(err)
				}
				p.do(s)
			}
			fakes.Eventually(t, "calls of the part's own", func() bool { return p.asides.Load() > 0 })
		})
	}
}

// A task that prefers an owner goes to its elective server: else the rows played with such tasks would show nothing.
func TestPreferringTasksAreElected(t *testing.T) {
	i := slices.IndexFunc(inModule, func(v Variant) bool { return v.Name == "preferring" })
	m := newModule(t, Row{}, Plan{Name: "roomy", Rate: 100, Burst: 1000}, inModule[i])
	s, err := read("task 1 units 1")
	if err != nil {
		t.Fatal(err)
	}
	m.do(s)
	if !slices.ContainsFunc(m.seen.from(0), func(l []string) bool { return fits(l, "push 1 elective") }) {
		t.Errorf("seen %v", m.seen.from(0))
	}
}
