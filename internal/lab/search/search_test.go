package search

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/scenario"
)

// smallWorld is a short scenario of three gateways.
func smallWorld(t *testing.T) *scenario.Scenario {
	t.Helper()
	world, err := scenario.Parse("w",
		[]byte("length = \"8s\"\n[gateways]\ncount = 3\n[servers]\ncount = 10\n[load]\nrate = 120\n"))
	if err != nil {
		t.Fatal(err)
	}
	return world
}

func TestRun_findsAndShrinksTheWorst(t *testing.T) {
	world := smallWorld(t)
	announced := 0
	finding, err := Run(world, 4, 8, 4, "module", func(*Finding) { announced++ })
	if err != nil {
		t.Fatal(err)
	}
	if finding.Loss < 0.05 || announced == 0 || len(finding.Scenario.Faults) == 0 {
		t.Errorf("found a loss of %.3f with %d faults, %d announced", finding.Loss, len(finding.Scenario.Faults),
			announced)
	}
	again, err := Run(world, 4, 8, 4, "module", func(*Finding) {})
	if err != nil {
		t.Fatal(err)
	}
	if again.Loss != finding.Loss || len(again.Scenario.Faults) != len(finding.Scenario.Faults) {
		t.Errorf("the same seed finds another: %.3f and %.3f", finding.Loss, again.Loss)
	}
}

func TestShrink_keepsWhatHurts(t *testing.T) {
	simulator, err := newSimulator(smallWorld(t), "module", 1)
	if err != nil {
		t.Fatal(err)
	}
	second := scenario.Span(time.Second)
	harmless := scenario.Fault{Kind: scenario.DiscoveryLag, Start: second, Duration: second, Magnitude: 1}
	kill := scenario.Fault{Kind: scenario.GatewayKill, Start: 2 * second, Duration: 4 * second, Fraction: 1}
	finding, err := simulator.run([]scenario.Fault{harmless, kill, harmless})
	if err != nil {
		t.Fatal(err)
	}
	if finding, err = simulator.shrink(finding); err != nil {
		t.Fatal(err)
	}
	faults := finding.Scenario.Faults
	if len(faults) != 1 || faults[0].Kind != scenario.GatewayKill || finding.RemovedFaults != 2 {
		t.Errorf("left after %d runs: %+v, %d removed", simulator.finished, faults, finding.RemovedFaults)
	}
}
