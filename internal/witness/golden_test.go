package witness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"harrierhoist/policy"
)

// TestCountNames_areStable holds the names of counts: they go between processes of different releases.
func TestCountNames_areStable(t *testing.T) {
	for name, want := range map[string]string{
		Time("a"):                "time|a",
		Judged("a", "b", Lost):   "judged|a|b|0",
		Judged("a", "b", Ill):    "judged|a|b|1",
		Judged("a", "b", 2):      "judged|a|b|2",
		Judged("a", "b", 3):      "judged|a|b|3",
		Judged("a", "b", Sound):  "judged|a|b|4",
		Came("a"):                "came|a",
		Let("a"):                 "let|a",
		Pushed("a", "b"):         "pushed|a|b",
		Ended("a", "b", well):    "ended|a|b|well",
		Ended("a", "b", ill):     "ended|a|b|ill",
		Ended("a", "b", full):    "ended|a|b|full",
		Took("a", "b"):           "took|a|b",
		Count("a", well):         "count|a|well",
		Count("a", late):         "count|a|late",
		Ready("a", 0):            "ready|a|0",
		Ready("a", Bands-1):      "ready|a|63",
		Strength("a", 0):         "strength|a|0",
		Strength("a", Bands-1):   "strength|a|63",
		strings.Join(Hows(), ""): "wellillfull",
	} {
		if got := strings.ReplaceAll(name, "\x1f", "|"); got != want {
			t.Errorf("a count is named %q, not %q", got, want)
		}
	}
}

// TestBand_isStable holds the bands of strength: all gateways must tell the same.
func TestBand_isStable(t *testing.T) {
	var got []int
	for _, strength := range []float64{-1, 0, 1e-9, 0.1, 0.10001, 0.125, 0.126, 0.2, 0.5, 1, 2, 3.7, 10, 42,
		100, 1000, 1e4, 1e5, 1e9} {
		got = append(got, Band(strength))
	}
	if d := cmp.Diff([]int{0, 0, 1, 1, 2, 2, 3, 5, 9, 12, 15, 18, 22, 29, 32, 43, 53, 63, 63}, got); d != "" {
		t.Error(d)
	}
}

// goldenCounts are the hashes of all counts along drawn streams of events, by seed and settings.
var goldenCounts = map[string]string{
	"warm 2026": "9922facef8a2616058f0f5a725b0dbc2898000b3176ba362d26ee86e69ded8ed",
	"warm 12":   "ba051585e9b0f9fa4f3db1e1e1f78263da27089359d09c7db441985e9b4cf01b",
	"cold 2026": "3d413e4f403dbc52d6f8a5faea97e572ac9c876f68840dc60af29eb25dfb6ce9",
	"cold 12":   "d2b8c9efd4209025b3d72f5046dd2b820d9f75c39b346c35d685383c5358dc0b",
}

// TestWitness_drawnStreamCountsAsBefore holds all counts along drawn streams of events to what they were.
func TestWitness_drawnStreamCountsAsBefore(t *testing.T) {
	sites := map[string]*policy.Deployment{"warm": {}, "cold": {ColdFrom: 0.3, WarmAfter: 20 * time.Second}}
	for name, site := range sites {
		for _, seed := range []uint64{2026, 12} {
			key := fmt.Sprintf("%s %d", name, seed)
			t.Run(key, func(t *testing.T) {
				if got := countDrawn(seed, site); got != goldenCounts[key] {
					t.Errorf("the counts hash to %s, not %s", got, goldenCounts[key])
				}
			})
		}
	}
}

// countDrawn plays 500 digests' worth of drawn events in the second of three halls, and hashes all counts of each.
func countDrawn(seed uint64, site *policy.Deployment) string {
	chance := rand.New(rand.NewPCG(seed, 37))
	halls := []string{"a", "b", "c"}
	w, now := New(halls, 1, site), time.Hour
	hows := []policy.Outcome{policy.Answered, policy.Answered, policy.Answered, policy.Answered, policy.Errored, policy.TimedOut,
		policy.Reset, policy.Cancelled, policy.Full, policy.NoConnect, policy.Moot}
	down := [3]bool{}
	sum := sha256.New()
	for step := range 500 {
		if step%40 == 0 {
			down[chance.IntN(3)] = chance.IntN(2) == 0
		}
		if step%25 == 0 {
			w.Listed(now, drawnList(chance, now))
		}
		if step == 250 {
			w.Reshape(&policy.Deployment{ColdFrom: 0.5, WarmAfter: 5 * time.Second})
		}
		for range chance.IntN(8) {
			now += time.Duration(chance.IntN(20)) * time.Millisecond
			hall, server := chance.IntN(5)-1, uint32(chance.IntN(9))
			how := hows[chance.IntN(len(hows))]
			if down[min(max(hall, 0), 2)] {
				how = policy.NoConnect
			}
			w.Came(chance.Float64())
			switch chance.IntN(8) {
			case 0:
				w.Shed(chance.Float64())
			case 1:
				w.Counted(chance.IntN(2) == 0)
			case 2:
				w.Pushed(now, hall, chance.Float64(), chance.IntN(2) == 0) // and it hangs
			default:
				w.Pushed(now, hall, chance.Float64(), chance.IntN(4) > 0)
				w.Ended(now, hall, server, how, time.Duration(chance.IntN(900))*time.Millisecond)
			}
		}
		now += time.Duration(chance.IntN(400)) * time.Millisecond
		counts := map[string]uint64{}
		w.Counts(now, func(name string, n uint64) { counts[name] = n })
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(sum, "%q %d\n", name, counts[name])
		}
		fmt.Fprintln(sum, w.Lost())
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// drawnList draws the servers listed.
func drawnList(chance *rand.Rand, now time.Duration) []policy.Listed {
	var list []policy.Listed
	for i := range chance.IntN(9) {
		stage := policy.Ready
		if chance.IntN(5) == 0 {
			stage = policy.Draining
		}
		since := time.Duration(0)
		if chance.IntN(2) == 0 {
			since = now - time.Duration(chance.IntN(30))*time.Second
		}
		list = append(list, policy.Listed{Server: uint32(i), Stage: stage, Hall: chance.IntN(3), Cell: i,
			Power: float64(chance.IntN(4)), Since: since})
	}
	return list
}
