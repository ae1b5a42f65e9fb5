package subset

import (
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"harrierhoist/internal/testing/golden"
	"harrierhoist/policy"
)

// randomFleet returns a random list for a seed, with zones and racks of different sizes and servers
// in all states.
func randomFleet(seed int64) (list []Candidate, zones int) {
	random := rand.New(rand.NewSource(seed))
	zones = 2 + random.Intn(3)
	for i := range 80 + random.Intn(80) {
		state := policy.Ready
		switch random.Intn(12) {
		case 0:
			state = policy.Draining
		case 1:
			state = policy.Removed
		}
		zone := random.Intn(zones)
		list = append(list, Candidate{HashName(fmt.Sprintf("s-%d-%d", seed, random.Int63())), policy.Endpoint{
			Server: uint32(i), State: state,
			Capacity: 0.5 + random.Float64(), Zone: zone, Rack: zone + zones*random.Intn(7),
		}})
	}
	return list, zones
}

// recorder hashes the selections of a gateway's subset. The hashed text contains no field names, so
// renaming a field does not change the hash.
type recorder struct {
	*Subset
	sum    *golden.Digest
	random *rand.Rand
	list   []Candidate
	zones  int
	now    time.Duration
}

func (r *recorder) record(label string, selected []policy.Endpoint, number float64) {
	r.sum.Println(label, r.now, len(selected), number, r.AttemptRate(r.now))
	for _, e := range selected {
		r.sum.Println(e.Server, e.State, e.Capacity, e.StartedAt, e.Rack, e.Zone, e.Hardware, e.Owner, e.Elective)
	}
}

func (r *recorder) selectAndRecord(label string) []policy.Endpoint {
	selected, sharers := r.Select(r.now, r.list)
	r.record(label, selected, sharers)
	return selected
}

func (r *recorder) addElective(selected []policy.Endpoint) {
	owners := make([]int, r.zones)
	for zone := range owners {
		owners[zone] = r.random.Intn(3)
	}
	fraction := r.random.Float64()
	r.record("elect", r.AddElectiveServers(r.now, selected, r.list, owners, fraction), fraction)
}

func (r *recorder) recordShedding() {
	for range 50 {
		r.sum.Printf("%v", r.ShouldShed())
	}
}

// makeAttempts records 400 attempts at a random rate, and selects again whenever it is due.
func (r *recorder) makeAttempts() {
	interval := time.Duration(5+r.random.Intn(200)) * time.Millisecond
	for range 400 {
		r.now += interval
		r.CountAttempt(r.now)
		if r.NeedsSelection(r.now) {
			r.selectAndRecord("due")
		}
	}
	r.addElective(r.selectAndRecord("pushed"))
}

// useWeights sets random weights, the same weights again, weights of 0, and nil, each for 25 s.
func (r *recorder) useWeights() {
	weights := make([]float64, r.zones+r.random.Intn(2))
	for zone := range weights {
		weights[zone] = max(float64(r.random.Float64()*1.3)-0.3, 0)
	}
	for _, next := range [][]float64{weights, weights, make([]float64, r.zones), nil} {
		r.sum.Println(r.SetWeights(next, float64(r.random.Float64()*1.5)-0.25))
		r.addElective(r.selectAndRecord("steered"))
		r.recordShedding()
		for range 25 { // long enough for the turn to change
			r.now += time.Second
			if r.NeedsSelection(r.now) {
				r.selectAndRecord("turn")
			}
		}
		r.recordShedding()
	}
}

// fleetHash returns the hash of all selections of the gateways of a random fleet, while they make
// attempts, use weights and are resized, and while servers are removed.
func fleetHash(seed int64) string {
	sum := golden.NewDigest()
	random := rand.New(rand.NewSource(seed + 1))
	list, zones := randomFleet(seed)
	for gateway := range 24 {
		idleTimeout := 15 * time.Second
		if gateway%11 == 10 {
			idleTimeout = 0
		}
		r := &recorder{
			Subset: New(gateway, 24, idleTimeout),
			sum:    sum, random: random, list: list, zones: zones, now: time.Hour,
		}
		r.addElective(r.selectAndRecord("first"))
		r.makeAttempts()
		r.useWeights()
		r.Resize((gateway+5)%30, 30)
		r.selectAndRecord("resized")
		list[random.Intn(len(list))].State = policy.Removed
		r.addElective(r.selectAndRecord("lost"))
	}
	return sum.String()
}

// unfusedExpm1 is what math.Expm1(-2.5) returns if the compiler did not combine its multiplications
// and additions into fused instructions.
const unfusedExpm1 = 0xbfed5f8f47ed617c

// platform returns the key of the expected hashes: the architecture and, on arm64, whether package math
// was compiled with fused instructions. The last bits of math.Exp and math.Expm1 depend on both, and
// the hashed attempt rates contain them.
func platform() string {
	if runtime.GOARCH == "arm64" && math.Float64bits(math.Expm1(-2.5)) != unfusedExpm1 {
		return "arm64, fused"
	}
	return runtime.GOARCH
}

func TestGolden_selectionsOfRandomFleetsAreUnchanged(t *testing.T) {
	wantByPlatform := map[string]map[int64]string{
		"amd64": {
			11: "cdb8607f275a8cc394dd5d461ac5f1694b00c933606cb1e9270e1107922c069b",
			12: "84b2002c52d43231d5b9fbb361ae5813abc81995323dd5ed543c9f2404f20317",
		},
		"arm64": {
			11: "f7d40d601a8787f8285bc4758b269ef34eeaca540599fd4742d614dbd9ec3e28",
			12: "098aae0e40a3b750beeacd03e2fab4a18ece011473ff82634794f927a784dd64",
		},
		"arm64, fused": {
			11: "5734f12355c2fa30cd57ecea01cb08c187ac6c080ee93ecea0bda4618479b3a5",
			12: "098aae0e40a3b750beeacd03e2fab4a18ece011473ff82634794f927a784dd64",
		},
	}
	wantHashes, found := wantByPlatform[platform()]
	if !found {
		t.Fatalf("no hashes are recorded for %s", platform())
	}
	for seed, want := range wantHashes {
		if got := fleetHash(seed); got != want {
			t.Errorf("%s, seed %d: %s, want %s", platform(), seed, got, want)
		}
	}
}
