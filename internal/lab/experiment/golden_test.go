package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"harrierhoist/internal/lab/virtual"
	"harrierhoist/internal/lab/world"
)

// goldenLine is a result as it is kept, with all its keys.
const goldenLine = `{"plan":"p",` +
	`"world":"w","gateways":1,"servers":2,"variant":"v","seed":3,"build":"b","service":0.25,"net":0.5,"beyond":0.` +
	`75,"refused":1,"failed":2,"failed_between":3,"failed_terminated":4,"failed_died":5,"failed_out":6,"crossed":7,"far":8,"p` +
	`lans":9,"wrong":10,"plan_ms":[11],"held":{"Digests":12,"Merged":13,"Reads":14},"led":{"Digests":15,"Merged":16,"Reads":1` +
	`7},"length_s":18,"hottest":19,"warmest":20,"tries":21,"calls":22,"handshakes":23,"uneven":24,"p50_ms":[25],"p99_ms":[26]` +
	`,"p999_ms":[27],"lanes":["l"],"broken":28,"first_breach":"f","seconds":[{"Offered":1,"InTime":2,"Refused":3,"Failed":4,"` +
	`Gain":5,"Due":6,"Pushes":7,"Crossed":8}],"troubles":[{"Kind":"kill","At":"1s","For":"2s","Part":0.5,"Size":2,"Lane":"l",` +
	`"Plan":"p","Hall":1,"To":0}]}`

// TestLine_bytesAreStable holds the kept form of results: files of earlier runs are read and compared.
func TestLine_bytesAreStable(t *testing.T) {
	second := world.Span(time.Second)
	line := Line{Plan: "p", World: "w", Gateways: 1, Servers: 2, Variant: "v", Seed: 3, Build: "b", Service: 0.25, Net: 0.5,
		Beyond: 0.75, Refused: 1, Failed: 2, Between: 3, Ended: 4, Died: 5, Out: 6, Crossed: 7, Far: 8, Plans: 9, Wrong: 10,
		PlanMs: []int{11}, Held: virtual.Messages{Digests: 12, Merged: 13, Reads: 14},
		Led: virtual.Messages{Digests: 15, Merged: 16, Reads: 17}, Length: 18, Hottest: 19, Warmest: 20, Tries: 21, Calls: 22,
		Shakes: 23, Uneven: 24, P50: []float64{25}, P99: []float64{26}, P999: []float64{27}, Lanes: []string{"l"}, Broken: 28,
		First: "f", Wall: 29,
		Seconds: []virtual.Second{{Offered: 1, InTime: 2, Refused: 3, Failed: 4, Gain: 5, Due: 6, Pushes: 7, Crossed: 8}},
		Troubles: []world.Trouble{{Kind: "kill", At: second, For: 2 * second, Part: 0.5, Size: 2, Hall: 1, Lane: "l",
			Plan: "p"}}}
	got, err := json.Marshal(line)
	if d := cmp.Diff(goldenLine, string(got)); d != "" || err != nil {
		t.Errorf("%v %s", err, d)
	}
	if got, err = json.Marshal(Line{}); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(goldenEmptyLine, string(got)); d != "" {
		t.Error(d)
	}
	var read Line
	if err := json.Unmarshal([]byte(goldenLine), &read); err != nil {
		t.Fatal(err)
	}
	read.Wall = line.Wall
	if d := cmp.Diff(line, read); d != "" {
		t.Error(d)
	}
}

// goldenEmptyLine is a result with nothing in it.
const goldenEmptyLine = `{"world":"",` +
	`"gateways":0,"servers":0,"variant":"","seed":0,"build":"","service":0,"net":0,"beyond":0,"refused":0,"failed` +
	`":0,"failed_between":0,"failed_terminated":0,"failed_died":0,"failed_out":0,"crossed":0,"far":0,"held":{"Digests":0,"Mer` +
	`ged":0,"Reads":0},"led":{"Digests":0,"Merged":0,"Reads":0},"length_s":0,"hottest":0,"warmest":0,"tries":0,"calls":0,"han` +
	`dshakes":0,"uneven":0,"p50_ms":null,"p99_ms":null,"p999_ms":null,"lanes":null,"broken":0,"seconds":null}`

// goldenDraws is the hash of drawn days, intervals and comparisons.
const goldenDraws = "015a02f0b27bd180587aec2beeb118a7bbd3c040e5e2fd36dc737a579d880c01"

// TestDraws_areStable holds the order of random draws and the figures that follow from them.
func TestDraws_areStable(t *testing.T) {
	sum := sha256.New()
	for _, name := range []string{"calm", "three"} {
		w, err := world.Read("../../../lab/worlds/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(20) {
			day, err := json.Marshal(Day(w, seed, 5))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(sum, "%s\n", day)
		}
	}
	chance := rand.New(rand.NewPCG(2026, 43))
	for range 10 {
		var values []float64
		var a, b []*Line
		for seed := range uint64(8) {
			values = append(values, chance.NormFloat64())
			a = append(a, &Line{World: "w", Seed: seed, Service: chance.Float64(), Net: chance.Float64()})
			b = append(b, &Line{World: "w", Seed: seed, Service: chance.Float64(), Net: chance.Float64(), Broken: 1})
		}
		low, high := Interval(values)
		fmt.Fprintln(sum, low, high)
		for _, p := range Compare(a, b) {
			fmt.Fprintln(sum, p.World, p.Gateways, p.Figure, p.N, p.A, p.B, p.Diff, p.Low, p.High, p.Noise())
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != goldenDraws {
		t.Errorf("the draws hash to %s, not %s", got, goldenDraws)
	}
}
