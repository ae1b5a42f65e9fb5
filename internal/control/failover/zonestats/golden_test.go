package zonestats

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"harrierhoist/internal/testing/golden"
	"harrierhoist/policy"
)

// TestCountNames_areStable guards the names of counts, which processes of different releases
// exchange.
func TestCountNames_areStable(t *testing.T) {
	for name, want := range map[string]string{
		AwakeTimeName("a"):                       "time|a",
		HealthTimeName("a", "b", Lost):           "judged|a|b|0",
		HealthTimeName("a", "b", Failing):        "judged|a|b|1",
		HealthTimeName("a", "b", 2):              "judged|a|b|2",
		HealthTimeName("a", "b", 3):              "judged|a|b|3",
		HealthTimeName("a", "b", Healthy):        "judged|a|b|4",
		OfferedName("a"):                         "came|a",
		AdmittedName("a"):                        "let|a",
		AttemptedName("a", "b"):                  "pushed|a|b",
		CompletedName("a", "b", OutcomeAnswered): "ended|a|b|well",
		CompletedName("a", "b", OutcomeFailed):   "ended|a|b|ill",
		CompletedName("a", "b", OutcomeRejected): "ended|a|b|full",
		AnswerTimeName("a", "b"):                 "took|a|b",
		CounterCallsName("a", callOnTime):        "count|a|well",
		CounterCallsName("a", callLate):          "count|a|late",
		ReadyTimeName("a", 0):                    "ready|a|0",
		ReadyTimeName("a", PowerBands-1):         "ready|a|63",
		ReadyPowerName("a", 0):                   "strength|a|0",
		ReadyPowerName("a", PowerBands-1):        "strength|a|63",
		strings.Join(Outcomes(), ""):             "wellillfull",
	} {
		if got := strings.ReplaceAll(name, "\x1f", "|"); got != want {
			t.Errorf("name of a count: got %q, want %q", got, want)
		}
	}
}

// TestPowerBand_isStable guards the bands of ready power, which must be the same in all gateways.
func TestPowerBand_isStable(t *testing.T) {
	var got []int
	for _, power := range []float64{
		-1, 0, 1e-9, 0.1, 0.10001, 0.125, 0.126, 0.2, 0.5, 1, 2, 3.7, 10, 42,
		100, 1000, 1e4, 1e5, 1e9,
	} {
		got = append(got, PowerBand(power))
	}
	if d := cmp.Diff([]int{0, 0, 1, 1, 2, 2, 3, 5, 9, 12, 15, 18, 22, 29, 32, 43, 53, 63, 63}, got); d != "" {
		t.Error(d)
	}
}

// goldenCounts are the hashes of all counts for random sequences of events, by settings and seed.
// "unknown" are sequences with attempts in zones that are not configured.
var goldenCounts = map[string]string{
	"warm 2026 configured": "9922facef8a2616058f0f5a725b0dbc2898000b3176ba362d26ee86e69ded8ed",
	"warm 12 configured":   "ba051585e9b0f9fa4f3db1e1e1f78263da27089359d09c7db441985e9b4cf01b",
	"cold 2026 configured": "3d413e4f403dbc52d6f8a5faea97e572ac9c876f68840dc60af29eb25dfb6ce9",
	"cold 12 configured":   "d2b8c9efd4209025b3d72f5046dd2b820d9f75c39b346c35d685383c5358dc0b",

	"warm 2026 unknown": "7285566507a7745bb5cbf313eb2bf03f5bba44f45cbdd20f912b365407607f78",
	"warm 12 unknown":   "9185f5b31d47d0b57d07befe765989b89b44208b844b1872654ef7526ca90311",
	"cold 2026 unknown": "2d448423534d3f83661df114507b21ee0bc79aa6f3d3fc3e47a04ef7ff0f5681",
	"cold 12 unknown":   "0425d86b3ba7e24ba72a6ef172d39969712b345585bf1561cf66cfd35241a1f9",
}

// TestGolden_countsOfRandomEvents guards all counts for random sequences of events against
// changes.
func TestGolden_countsOfRandomEvents(t *testing.T) {
	settingsByName := map[string]*policy.Settings{"warm": {}, "cold": {WarmUpStart: 0.3, WarmUpTime: 20 * time.Second}}
	for name, settings := range settingsByName {
		for _, seed := range []uint64{2026, 12} {
			for zones, zoneOf := range map[string]func(int) int{"configured": configuredZone, "unknown": anyZone} {
				key := fmt.Sprintf("%s %d %s", name, seed, zones)
				t.Run(key, func(t *testing.T) {
					if got := hashRandomEventCounts(seed, settings, zoneOf); got != goldenCounts[key] {
						t.Errorf("hash of the counts: got %s, want %s", got, goldenCounts[key])
					}
				})
			}
		}
	}
}

// configuredZone returns the number of one of three configured zones for a draw from 0 to 4.
func configuredZone(draw int) int { return min(max(draw-1, 0), 2) }

// anyZone returns the number of one of three configured zones, or one below or above them, for a draw
// from 0 to 4.
func anyZone(draw int) int { return draw - 1 }

// hashRandomEventCounts records random events over 500 digests in a gateway of the second of three
// zones. zoneOf returns the zone of an attempt for a draw from 0 to 4. It returns a hash of all counts
// in all digests.
func hashRandomEventCounts(seed uint64, settings *policy.Settings, zoneOf func(draw int) int) string {
	random := rand.New(rand.NewPCG(seed, 37))
	zones := []string{"a", "b", "c"}
	recorder := New(zones, 1, settings)
	now := time.Hour
	outcomes := []policy.Outcome{
		policy.Answered, policy.Answered, policy.Answered, policy.Answered, policy.Errored, policy.TimedOut,
		policy.Reset, policy.Cancelled, policy.Rejected, policy.ConnectFailed, policy.NotSent,
	}
	zoneDown := [3]bool{}
	hash := golden.NewDigest()
	for step := range 500 {
		if step%40 == 0 {
			zoneDown[random.IntN(3)] = random.IntN(2) == 0
		}
		if step%25 == 0 {
			recorder.SetEndpoints(now, randomEndpoints(random, now))
		}
		if step == 250 {
			recorder.Reconfigure(&policy.Settings{WarmUpStart: 0.5, WarmUpTime: 5 * time.Second})
		}
		for range random.IntN(8) {
			now += time.Duration(random.IntN(20)) * time.Millisecond
			draw := random.IntN(5)
			zone := zoneOf(draw)
			server := uint32(random.IntN(9))
			outcome := outcomes[random.IntN(len(outcomes))]
			if zoneDown[configuredZone(draw)] {
				outcome = policy.ConnectFailed
			}
			recorder.AddOffered(random.Float64())
			switch random.IntN(8) {
			case 0:
				recorder.AddShed(random.Float64())
			case 1:
				recorder.AddCounterCall(random.IntN(2) == 0)
			case 2:
				recorder.AddAttempt(now, zone, random.Float64(), random.IntN(2) == 0) // never ends
			default:
				recorder.AddAttempt(now, zone, random.Float64(), random.IntN(4) > 0)
				recorder.AddResult(now, zone, server, outcome, time.Duration(random.IntN(900))*time.Millisecond)
			}
		}
		now += time.Duration(random.IntN(400)) * time.Millisecond
		counts := map[string]uint64{}
		recorder.WriteCounts(now, func(name string, n uint64) { counts[name] = n })
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			hash.Printf("%q %d\n", name, counts[name])
		}
		hash.Println(recorder.IsZoneLost())
	}
	return hash.String()
}

// randomEndpoints returns a random endpoint list.
func randomEndpoints(random *rand.Rand, now time.Duration) []policy.Endpoint {
	var list []policy.Endpoint
	for i := range random.IntN(9) {
		state := policy.Ready
		if random.IntN(5) == 0 {
			state = policy.Draining
		}
		startedAt := time.Duration(0)
		if random.IntN(2) == 0 {
			startedAt = now - time.Duration(random.IntN(30))*time.Second
		}
		list = append(list, policy.Endpoint{
			Server: uint32(i), State: state, Zone: random.IntN(3), Rack: i,
			Capacity: float64(random.IntN(4)), StartedAt: startedAt,
		})
	}
	return list
}
