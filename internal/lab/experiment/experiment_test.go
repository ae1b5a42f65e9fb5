package experiment

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"testing"

	"harrierhoist/internal/lab/scenario"
)

func TestRun_sameBytesOnAnyNumberOfWorkers(t *testing.T) {
	var texts [2]bytes.Buffer
	for i, workers := range []int{1, 5} {
		p, err := ReadPlan("../../../scenarios/plans/smoke.toml")
		if err != nil {
			t.Fatal(err)
		}
		told := 0
		if err := p.Run(workers, &texts[i], func(int, int, *Result) { told++ }); err != nil {
			t.Fatal(err)
		}
		if told != 4 {
			t.Errorf("%d results told, want 4", told)
		}
	}
	if !bytes.Equal(texts[0].Bytes(), texts[1].Bytes()) || texts[0].Len() == 0 {
		t.Error("one and five workers differ")
	}
	file := filepath.Join(t.TempDir(), "r.jsonl")
	if err := os.WriteFile(file, texts[0].Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	lines, err := ReadResults(file)
	if err != nil || len(lines) != 4 || lines[0].Service <= 0 || len(lines[0].Timeline) != 30 {
		t.Errorf("%d lines read, %v", len(lines), err)
	}
}

func TestCompare_tellsNoise(t *testing.T) {
	var a, same, better []*Result
	for i, wobble := range []float64{0.01, -0.02, 0.015, -0.01, 0.02, -0.015, 0.005, -0.005} {
		seed := uint64(i)
		a = append(a, &Result{Scenario: "w", Gateways: 3, Seed: seed, Service: 0.7 + 5*wobble})
		same = append(same, &Result{Scenario: "w", Gateways: 3, Seed: seed, Service: 0.7 + 5*wobble + wobble})
		better = append(better, &Result{Scenario: "w", Gateways: 3, Seed: seed, Service: 0.75 + 5*wobble + wobble})
	}
	if p := Compare(a, same)[0]; !p.IsNoise() || p.Pairs != 8 {
		t.Errorf("noise taken for news: %+v", p)
	}
	// The seeds differ by more than the gain: only pairs show it.
	if p := Compare(a, better)[0]; p.IsNoise() || math.Abs(p.Diff-0.05) > 0.001 {
		t.Errorf("a gain of 0.05 not seen: %+v", p)
	}
	if pairs := Compare(a, []*Result{{Scenario: "other", Gateways: 3}}); len(pairs) != 0 {
		t.Errorf("paired with another world: %+v", pairs)
	}
}

func TestScaled_growsInProportion(t *testing.T) {
	base, err := scenario.Read("../../../scenarios/worlds/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := Scaled(base, 300)
	if s.Servers.Count != 200 || s.Load.Rate != 7000 || s.Plans[0].Customers != 2000 || s.Counter.Rate != 9000 ||
		base.Plans[0].Customers != 200 {
		t.Errorf("%d servers, %g tasks a second, %d customers", s.Servers.Count, s.Load.Rate, s.Plans[0].Customers)
	}
	if s := Scaled(base, 1); s.Gateways.Zones != 1 || s.Servers.Count < 1 {
		t.Errorf("one gateway: %d halls, %d servers", s.Gateways.Zones, s.Servers.Count)
	}
}

func TestReadPlan_rejectsInvalid(t *testing.T) {
	for _, text := range []string{"worlds = []", "worlds = [\"a.toml\"]\nseeds = 0",
		"worlds=[\"a.toml\"]\n[[variant]]\npolicy=\"magic\"",
		"worlds=[\"a.toml\"]\nspeed = 3", "worlds=[\"a.toml\"]\ngateways=[0]"} {
		file := filepath.Join(t.TempDir(), "p.toml")
		_ = os.WriteFile(file, []byte(text), 0o600)
		if _, err := ReadPlan(file); err == nil {
			t.Errorf("taken: %s", text)
		}
	}
}

// Drawn days stand for days without a lost hall: they must be sound worlds, and hold nothing that loses or cuts one.
func TestDrawMildFaults_loseNoZone(t *testing.T) {
	base, err := scenario.Read("../../../scenarios/worlds/three.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := FaultProfile{Name: "day", DrawnFaults: 3, Load: 1.5}
	for seed := range uint64(100) {
		day := s.apply(base, seed)
		if err := day.Check("day"); err != nil {
			t.Fatal(err)
		}
		for _, tr := range day.Faults {
			if scenario.FaultKinds[tr.Kind].NeedsZones {
				t.Errorf("seed %d has %s", seed, tr.Kind)
			}
		}
	}
	if base.Load.Rate != 470 || len(base.Faults) != 0 {
		t.Error("the world itself was changed")
	}
}
