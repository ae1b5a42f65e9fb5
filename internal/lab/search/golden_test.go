package search

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"harrierhoist/internal/lab/world"
)

// goldenSchedules is the hash of drawn schedules.
const goldenSchedules = "0b7e3b2178abdaaaf79e2d491cff51b76c57610d026a45b6cbd9a5b8867346ba"

// TestDraw_schedulesAreStable holds the order of random draws: a seed found by a search must find it again.
func TestDraw_schedulesAreStable(t *testing.T) {
	sum := sha256.New()
	for _, name := range []string{"calm", "three"} {
		w, err := world.Read("../../../lab/worlds/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(20) {
			schedule, err := json.Marshal(Draw(rand.New(rand.NewPCG(seed, 47)), w, 6))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(sum, "%s\n", schedule)
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != goldenSchedules {
		t.Errorf("the schedules hash to %s, not %s", got, goldenSchedules)
	}
}
