package search

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/scenario"
)

func TestRun_findsAndShrinksTheWorst(t *testing.T) {
	base, err := scenario.Parse("w", []byte("length = \"8s\"\n[gateways]\ncount = 3\n[servers]\ncount = 10\n[load]\nrate = 120\n"))
	if err != nil {
		t.Fatal(err)
	}
	told := 0
	finding, err := Run(base, 4, 8, 4, "module", func(*Finding) { told++ })
	if err != nil {
		t.Fatal(err)
	}
	if finding.Loss < 0.05 || told == 0 || len(finding.Scenario.Faults) == 0 {
		t.Errorf("found a loss of %.3f with %d troubles", finding.Loss, len(finding.Scenario.Faults))
	}
	again, err := Run(base, 4, 8, 4, "module", func(*Finding) {})
	if err != nil || again.Loss != finding.Loss || len(again.Scenario.Faults) != len(finding.Scenario.Faults) {
		t.Errorf("the same seed finds another: %.3f and %.3f, %v", finding.Loss, again.Loss, err)
	}
}

func TestShrink_keepsWhatHurts(t *testing.T) {
	base, err := scenario.Parse("w", []byte("length = \"8s\"\n[gateways]\ncount = 3\n[servers]\ncount = 10\n[load]\nrate = 120\n"))
	if err != nil {
		t.Fatal(err)
	}
	second := scenario.Span(time.Second)
	harmless := scenario.Fault{Kind: "list_lag", Start: second, Duration: second, Magnitude: 1}
	kill := scenario.Fault{Kind: "kill", Start: 2 * second, Duration: 4 * second, Fraction: 1}
	finding, plays := shrinkFaults(t, base, []scenario.Fault{harmless, kill, harmless})
	if len(finding.Scenario.Faults) != 1 || finding.Scenario.Faults[0].Kind != "kill" || finding.RemovedFaults != 2 {
		t.Errorf("left after %d plays: %+v, %d taken out", plays, finding.Scenario.Faults, finding.RemovedFaults)
	}
}
