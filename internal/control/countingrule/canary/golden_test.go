package canary

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/testing/golden"
)

// The files under testdata and the hashes in the golden tests come from an earlier version of the
// program. Stored state, names sent between processes and results of simulations must not change.

// recorder hashes numbers, by their bits, and strings. Writing to a hash never fails.
type recorder struct{ hash.Hash }

func newRecorder() recorder { return recorder{sha256.New()} }

func (r recorder) add(values ...any) {
	for _, v := range values {
		switch v := v.(type) {
		case string:
			_, _ = fmt.Fprintf(r, "%d:%s;", len(v), v)
		case []byte:
			_, _ = fmt.Fprintf(r, "%d:%s;", len(v), v)
		case float64:
			_ = binary.Write(r, binary.BigEndian, math.Float64bits(v))
		default:
			_ = binary.Write(r, binary.BigEndian, v)
		}
	}
}

func (r recorder) sum() string { return hex.EncodeToString(r.Sum(nil)) }

// reportedCounts returns the sums of the observations of several shadow evaluations, by name.
func reportedCounts(shadows ...*Shadow) map[string]uint64 {
	accumulated := map[string]uint64{}
	for _, shadow := range shadows {
		shadow.Report(func(name string, n uint64) { accumulated[name] += n })
	}
	return accumulated
}

func (r recorder) addCounts(counts map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		r.add(name, counts[name])
	}
}

func TestGolden_storedTrialState(t *testing.T) {
	full := TrialState{
		NextBucket: 17, Sums: map[string]uint64{"both": 12, "real\x1f1\x1fasked": 1 << 40}, ForecastFraction: 0.9125,
		ObservedFraction: 0.875, ElapsedIntervals: 3, ConsecutiveDeviations: 1,
		RequestedUnits: 200_000, AdmittedUnits: 175_000,
	}
	for i := range full.Tests {
		for n := range 5 {
			full.Tests[i].Add(float64(n*i)/40, 0.05)
		}
	}
	encode := func(state TrialState) ([]byte, error) { return state.encode(), nil }
	for name, state := range map[string]TrialState{"trial-empty.cbor": {}, "trial-full.cbor": full} {
		t.Run(name, func(t *testing.T) {
			golden.CheckStored(t, golden.Read(t, name), state, encode, decodeTrialState)
		})
	}
}

// driveShadow evaluates random requests under rule 0 and the given rule. Some answers are late or
// missing, the budget is empty at times, and a class weight changes midway. It returns the shadow
// evaluation and a hash of all calls and of the observations after every 1000 requests.
func driveShadow(t *testing.T, seed uint64, rule countingrule.Rule) (*Shadow, string) {
	t.Helper()
	rule.Weights = []countingrule.Weight{{Class: "pay", Permille: 1500}}
	resolved, settings := resolve(t, rule)
	current, err := countingrule.Resolve(countingrule.Rule{}, settings)
	if err != nil {
		t.Fatal(err)
	}
	sample, err := NewSample(countingrule.Rule{}, rule, seed, 300)
	if err != nil {
		t.Fatal(err)
	}
	shadow, counts, out := NewShadow(sample, current, resolved, settings, seed, 250), fakeCounter{}, newRecorder()
	random, now := rand.New(rand.NewPCG(seed, 17)), 1_764_652_800*time.Second
	var waiting []Call
	send := func(calls []Call) {
		for _, call := range calls {
			out.add(call.Name, call.Units, int64(call.TTL), call.ID)
			waiting = append(waiting, call)
		}
	}
	for i := range 20_000 {
		now += time.Duration(random.IntN(int(12 * time.Millisecond)))
		shadow.AddBudget(uint64(random.IntN(12)))
		customer, class := uint64(random.IntN(200)), random.IntN(2)
		out.add(shadow.IsSampled(customer))
		send(shadow.HandleRequest(now, Request{Customer: customer, Class: class, Units: float64(1 + random.IntN(3))}))
		if shadow.IsSampled(customer) {
			shadow.RecordActual(uint64(random.IntN(2)), 1.25, random.IntN(4) > 0)
		}
		for len(waiting) > 0 && random.IntN(3) > 0 {
			call := waiting[0]
			waiting = waiting[1:]
			counts[call.Name] += call.Units
			send(shadow.HandleCount(now, call.ID, counts[call.Name], random.IntN(20) > 0))
		}
		send(shadow.Flush(now))
		if i%1000 == 0 {
			out.addCounts(reportedCounts(shadow))
		}
		if i == 10_000 {
			settings.Classes[1].Weight = 3
			shadow.Reconfigure(current, resolved, settings)
		}
	}
	out.addCounts(reportedCounts(shadow))
	return shadow, out.sum()
}

func TestGolden_shadow(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "63633f08383be6b4a30eaa8d8b9f25c3c833b26fe21ff485c1abf955f0bd0a23",
		2: "cd013c8b534d91ad44909a9bf76d39e852d728f2f77229a97de2bacdb3bd0f59",
	} {
		if _, got := driveShadow(t, seed, ruleWithPairedCustomers(1)); got != want {
			t.Errorf("seed %d: %s, want %s", seed, got, want)
		}
	}
}

// The names of observations are sent between processes, whose versions may differ, and matched by
// the leader.
func TestGolden_observationNames(t *testing.T) {
	merging, _ := driveShadow(t, 3, ruleWithPairedCustomers(1))
	splitting, _ := driveShadow(t, 4, countingrule.Rule{Version: 1, Key: []string{"customer", "lane"}})
	counts := reportedCounts(merging, splitting)
	var out bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&out, "%s %d\n", strings.ReplaceAll(name, "\x1f", "/"), counts[name])
	}
	for _, kind := range []string{
		"3/old", "3/new", "3/both", "3/neither", "3/blind", "3/tasks", "3/merged", "4/split",
		"3/calls", "3/real/0/asked", "3/real/1/in", "3/lane/look/small/both", "3/lane/pay/small/gain-neither",
		"3/lane/pay/small/gain-old", "3/lane/look/small/gain-new", "3/cell/14/asked", "3/cell/14/old", "3/cell/14/new",
		"3/cell/14/beyond",
	} {
		if name := "canary\x1f" + strings.ReplaceAll(kind, "/", "\x1f"); counts[name] == 0 {
			t.Errorf("no observation named %q", name)
		}
	}
	if got := bucketName(Fingerprint(1<<40), 12, nameOverLimit); got != "canary\x1fe13wu1og\x1fcell\x1f12\x1fbeyond" {
		t.Errorf("unexpected bucket name %q", got)
	}
	golden.Check(t, "observations.txt", out.Bytes())
}
