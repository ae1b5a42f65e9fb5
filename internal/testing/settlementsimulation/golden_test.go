package settlementsimulation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"
)

// goldenRuns are scenarios, and for two seeds the SHA-256 of what they came to at 8c168ca.
var goldenRuns = []struct {
	name   string
	change func(scenario *Scenario)
	hashes [2]string // by seed
}{
	{"calm", func(*Scenario) {}, [2]string{
		"8ed390c4ead9f3550ff99df64f91d8a29871f3a6866bcbcdae72399ab6b64535",
		"a940cb7fc5bd82b95c74cfb3bf890149db4edef5be5028e70204b537efeaed67",
	}},
	{"queues ignored and few servers", func(scenario *Scenario) {
		scenario.IgnoreQueues, scenario.FirstZoneServers, scenario.AfterOutage = true, 5, 120*time.Second
	}, [2]string{
		"648210104c69df45188f1234d90cd6640081c372f82b7e2681a4b0d5a2d34562",
		"9393a20f2d672312f77b9852be1ac5b515e5559576372555d901ad046e4bf059",
	}},
	{"faults with stores", func(scenario *Scenario) {
		scenario.MessageFaults, scenario.GatewayCrashes, scenario.WithStores = true, true, true
		scenario.AfterOutage = 120 * time.Second
	}, [2]string{
		"fbde7f8d18b7724dd592ea65e2a6b842eb98ec8e31aca9bb52cc48ddeb55f00f",
		"38ab41a39f8540b3ee8e568d4101f241da7b59bf78dd1202a4aa0a25b1e1b4a7",
	}},
	{"faults without stores and a slow zone", func(scenario *Scenario) {
		scenario.MessageFaults, scenario.GatewayCrashes = true, true
		scenario.AfterOutage, scenario.SlowFrom, scenario.Terms.ForgiveAfter = 120*time.Second, 100*time.Second, 60
	}, [2]string{
		"52ab8c0202ed4d139def984545927b6a091d338c1d3261a655837e0bd8eacba3",
		"e13d21b3f55c58d4df25a3336c0f08e2666c3dd1c2825795b85fb54ac2a9b908",
	}},
}

// Every figure of each Result, hashed.
func TestGolden_runs(t *testing.T) {
	for _, test := range goldenRuns {
		t.Run(test.name, func(t *testing.T) {
			for seed, want := range test.hashes {
				scenario := testScenario(uint64(seed + 11))
				test.change(&scenario)
				r := Run(scenario)
				figures := fmt.Sprintf("%d %d %.17g %d %d %d %d %q", r.PeakDebt, r.SettledAfter, r.OnTime, r.FinalDebt,
					r.Moved, r.MaxMovedPerSecond, r.Lost, r.Violations)
				sum := sha256.Sum256([]byte(figures))
				if got := hex.EncodeToString(sum[:]); got != want {
					t.Errorf("seed %d: %s hashes to %s, want %s", seed, figures, got, want)
				}
				if len(r.Violations) > 0 || r.Moved == 0 {
					t.Errorf("seed %d: violations, or nothing moved: %s", seed, figures)
				}
			}
		})
	}
}
