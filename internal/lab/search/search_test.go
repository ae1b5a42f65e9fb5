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
	if finding.Loss < 0.05 || told == 0 || len(finding.Scenario.Troubles) == 0 {
		t.Errorf("found a loss of %.3f with %d troubles", finding.Loss, len(finding.Scenario.Troubles))
	}
	again, err := Run(base, 4, 8, 4, "module", func(*Finding) {})
	if err != nil || again.Loss != finding.Loss || len(again.Scenario.Troubles) != len(finding.Scenario.Troubles) {
		t.Errorf("the same seed finds another: %.3f and %.3f, %v", finding.Loss, again.Loss, err)
	}
}

func TestShrink_keepsWhatHurts(t *testing.T) {
	base, err := scenario.Parse("w", []byte("length = \"8s\"\n[gateways]\ncount = 3\n[servers]\ncount = 10\n[load]\nrate = 120\n"))
	if err != nil {
		t.Fatal(err)
	}
	second := scenario.Span(time.Second)
	harmless := scenario.Trouble{Kind: "list_lag", At: second, For: second, Size: 1}
	kill := scenario.Trouble{Kind: "kill", At: 2 * second, For: 4 * second, Part: 1}
	finding, plays := shrinkFaults(t, base, []scenario.Trouble{harmless, kill, harmless})
	if len(finding.Scenario.Troubles) != 1 || finding.Scenario.Troubles[0].Kind != "kill" || finding.RemovedFaults != 2 {
		t.Errorf("left after %d plays: %+v, %d taken out", plays, finding.Scenario.Troubles, finding.RemovedFaults)
	}
}
