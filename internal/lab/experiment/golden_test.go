package experiment

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/lab/simulation"
	"harrierhoist/internal/testing/golden"
)

// goldenResult is a result as it is kept, with all its keys.
const goldenResult = `{"plan":"p","world":"w","gateways":1,"servers":2,"variant":"v","seed":3,"build":"b",` +
	`"service":0.25,"net":0.5,"beyond":0.75,"refused":1,"failed":2,"failed_between":3,"failed_terminated":4,` +
	`"failed_died":5,"failed_out":6,"crossed":7,"far":8,"plans":9,"wrong":10,"plan_ms":[11],` +
	`"held":{"Digests":12,"Merged":13,"Reads":14},"led":{"Digests":15,"Merged":16,"Reads":17},` +
	`"length_s":18,"hottest":19,"warmest":20,"tries":21,"calls":22,"handshakes":23,"uneven":24,` +
	`"p50_ms":[25],"p99_ms":[26],"p999_ms":[27],"lanes":["l"],"broken":28,"first_breach":"f",` +
	`"seconds":[{"Offered":1,"InTime":2,"Refused":3,"Failed":4,"Gain":5,"Due":6,"Pushes":7,"Crossed":8}],` +
	`"troubles":[{"Kind":"kill","At":"1s","For":"2s","Part":0.5,"Size":2,"Lane":"l","Plan":"p","Hall":1,` +
	`"To":0}]}`

// TestResult_encodingIsStable holds the kept form of results: files of earlier runs are read and
// compared.
func TestResult_encodingIsStable(t *testing.T) {
	second := scenario.Span(time.Second)
	result := Result{
		Plan: "p", Scenario: "w", Gateways: 1, Servers: 2, Variant: "v", Seed: 3, Revision: "b",
		Service: 0.25, Net: 0.5, OverQuota: 0.75, Rejected: 1, Failed: 2, FailedBetween: 3, FailedTerminated: 4,
		FailedWithGateway: 5, FailedInFlight: 6,
		CrossZone: 7, CrossRegion: 8, Plans: 9, WrongPlans: 10, FailoverMs: []int{11},
		VoterMessages:  simulation.Messages{Digests: 12, MergedDigests: 13, Reads: 14},
		LeaderMessages: simulation.Messages{Digests: 15, MergedDigests: 16, Reads: 17},
		LengthSeconds:  18, PeakUtilisation: 19,
		PeakUtilisationOver5s: 20, Tries: 21, CounterCalls: 22, Handshakes: 23, LoadDeviation: 24,
		P50: []float64{25}, P99: []float64{26}, P999: []float64{27}, Classes: []string{"l"}, Violations: 28,
		FirstViolation: "f", WallSeconds: 29,
		Timeline: []simulation.Second{{
			Offered: 1, InTime: 2, Rejected: 3, Failed: 4, ServedValue: 5, DueValue: 6,
			Attempts: 7, CrossZone: 8,
		}},
		Faults: []scenario.Fault{{
			Kind: scenario.GatewayKill, Start: second, Duration: 2 * second, Fraction: 0.5, Magnitude: 2, Zone: 1,
			Class: "l", Plan: "p",
		}},
	}
	got, err := json.Marshal(result)
	if d := cmp.Diff(goldenResult, string(got)); d != "" || err != nil {
		t.Errorf("%v %s", err, d)
	}
	if got, err = json.Marshal(Result{}); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(goldenEmptyResult, string(got)); d != "" {
		t.Error(d)
	}
	var read Result
	if err := json.Unmarshal([]byte(goldenResult), &read); err != nil {
		t.Fatal(err)
	}
	read.WallSeconds = result.WallSeconds
	if d := cmp.Diff(result, read); d != "" {
		t.Error(d)
	}
}

// goldenEmptyResult is a result with nothing in it.
const goldenEmptyResult = `{"world":"","gateways":0,"servers":0,"variant":"","seed":0,"build":"","service":0,"net":0,` +
	`"beyond":0,"refused":0,"failed":0,"failed_between":0,"failed_terminated":0,"failed_died":0,` +
	`"failed_out":0,"crossed":0,"far":0,"held":{"Digests":0,"Merged":0,"Reads":0},"led":{"Digests":0,` +
	`"Merged":0,"Reads":0},"length_s":0,"hottest":0,"warmest":0,"tries":0,"calls":0,"handshakes":0,` +
	`"uneven":0,"p50_ms":null,"p99_ms":null,"p999_ms":null,"lanes":null,"broken":0,"seconds":null}`

// goldenDraws is the hash of drawn faults, intervals and comparisons.
const goldenDraws = "015a02f0b27bd180587aec2beeb118a7bbd3c040e5e2fd36dc737a579d880c01"

// TestDraws_areStable holds the order of random draws and the figures that follow from them.
func TestDraws_areStable(t *testing.T) {
	sum := golden.NewDigest()
	for _, name := range []string{"calm", "three"} {
		base, err := scenario.Read("../../../scenarios/worlds/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(20) {
			sum.AddJSON(t, DrawMildFaults(base, seed, 5))
		}
	}
	random := rand.New(rand.NewPCG(2026, 43))
	for range 10 {
		var values []float64
		var a, b []*Result
		for seed := range uint64(8) {
			values = append(values, random.NormFloat64())
			a = append(a, &Result{Scenario: "w", Seed: seed, Service: random.Float64(), Net: random.Float64()})
			b = append(b, &Result{
				Scenario: "w", Seed: seed, Service: random.Float64(), Net: random.Float64(),
				Violations: 1,
			})
		}
		low, high := ConfidenceInterval(values)
		sum.Println(low, high)
		for _, c := range Compare(a, b) {
			sum.Println(c.Scenario, c.Gateways, c.Metric, c.Pairs, c.MeanA, c.MeanB, c.Diff, c.Low, c.High, c.IsNoise())
		}
	}
	sum.Check(t, goldenDraws)
}
