package search

import (
	"math/rand/v2"
	"testing"

	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/testing/golden"
)

// goldenFaults is the hash of drawn schedules.
const goldenFaults = "0b7e3b2178abdaaaf79e2d491cff51b76c57610d026a45b6cbd9a5b8867346ba"

// TestDrawFaults_areStable holds the order of random draws: a seed found by a search must find it
// again.
func TestDrawFaults_areStable(t *testing.T) {
	sum := golden.NewDigest()
	for _, name := range []string{"calm", "three"} {
		base, err := scenario.Read("../../../scenarios/worlds/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(20) {
			sum.AddJSON(t, DrawFaults(rand.New(rand.NewPCG(seed, 47)), base, 6))
		}
	}
	sum.Check(t, goldenFaults)
}
