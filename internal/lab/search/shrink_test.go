package search

import (
	"testing"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/scenario"
)

// shrinkFaults plays a schedule and shrinks it.
func shrinkFaults(t *testing.T, base *scenario.Scenario, troubles []scenario.Fault) (*Finding, int) {
	t.Helper()
	baseline, err := experiment.RunScenario(base, "module", 1)
	if err != nil {
		t.Fatal(err)
	}
	plays := 0
	play := func(troubles []scenario.Fault) (*Finding, error) {
		plays++
		c := *base
		c.Faults = troubles
		l, err := experiment.RunScenario(&c, "module", 1)
		return &Finding{Scenario: &c, Result: l, Loss: baseline.Net - l.Net}, err
	}
	finding, err := play(troubles)
	if err != nil {
		t.Fatal(err)
	}
	if finding, err = shrink(finding, play); err != nil {
		t.Fatal(err)
	}
	return finding, plays
}
