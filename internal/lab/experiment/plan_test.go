package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"harrierhoist/internal/lab/scenario"
)

func TestRun_sameBytesOnAnyNumberOfWorkers(t *testing.T) {
	var texts [2]bytes.Buffer
	for i, workers := range []int{1, 5} {
		plan, err := ReadPlan("../../../scenarios/plans/smoke.toml")
		if err != nil {
			t.Fatal(err)
		}
		calls := 0
		if err := plan.Run(workers, &texts[i], func(int, int, *Result) { calls++ }); err != nil {
			t.Fatal(err)
		}
		if calls != 4 {
			t.Errorf("%d results were announced, want 4", calls)
		}
	}
	if !bytes.Equal(texts[0].Bytes(), texts[1].Bytes()) || texts[0].Len() == 0 {
		t.Error("one and five workers differ")
	}
	file := filepath.Join(t.TempDir(), "results.jsonl")
	if err := os.WriteFile(file, texts[0].Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	results, err := ReadResults(file)
	if err != nil || len(results) != 4 || results[0].Service <= 0 || len(results[0].Timeline) != 30 {
		t.Errorf("%d results read, %v", len(results), err)
	}
}

func TestScaled_growsInProportion(t *testing.T) {
	base, err := scenario.Read("../../../scenarios/worlds/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	world := Scaled(base, 300)
	if world.Servers.Count != 200 || world.Load.Rate != 7000 || world.Plans[0].Customers != 2000 ||
		world.Counter.Rate != 9000 || base.Plans[0].Customers != 200 {
		t.Errorf("%d servers, %g requests a second, %d customers", world.Servers.Count, world.Load.Rate,
			world.Plans[0].Customers)
	}
	if world := Scaled(base, 1); world.Gateways.Zones != 1 || world.Servers.Count < 1 {
		t.Errorf("one gateway: %d zones, %d servers", world.Gateways.Zones, world.Servers.Count)
	}
}

func TestReadPlan_rejectsInvalid(t *testing.T) {
	for name, text := range map[string]string{
		"no scenarios":    "worlds = []",
		"no seeds":        "worlds = [\"a.toml\"]\nseeds = 0",
		"unknown policy":  "worlds=[\"a.toml\"]\n[[variant]]\npolicy=\"magic\"",
		"unknown key":     "worlds=[\"a.toml\"]\nspeed = 3",
		"no gateways":     "worlds=[\"a.toml\"]\ngateways=[0]",
		"variant repeats": "worlds=[\"a.toml\"]\n[[variant]]\npolicy=\"module\"\n[[variant]]\npolicy=\"module\"",
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "plan.toml")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadPlan(file); err == nil {
				t.Errorf("accepted: %s", text)
			}
		})
	}
}

// Drawn faults make valid scenarios, and none of them loses a zone or cuts it off.
func TestDrawMildFaults_loseNoZone(t *testing.T) {
	base, err := scenario.Read("../../../scenarios/worlds/three.toml")
	if err != nil {
		t.Fatal(err)
	}
	profile := FaultProfile{Name: "day", DrawnFaults: 3, Load: 1.5}
	for seed := range uint64(100) {
		world := profile.apply(base, seed)
		if err := world.Check("day"); err != nil {
			t.Fatal(err)
		}
		for _, fault := range world.Faults {
			if scenario.FaultKinds[fault.Kind].NeedsZones {
				t.Errorf("seed %d has %s", seed, fault.Kind)
			}
		}
	}
	if base.Load.Rate != 470 || len(base.Faults) != 0 {
		t.Error("the scenario itself was changed")
	}
}
