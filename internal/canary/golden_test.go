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
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/counting"
)

// The files under testdata and the hashes were written by the program before its names were changed. What is stored,
// what goes between processes and what the simulations give must stay as these have it.

// golden compares bytes with those of a file under testdata.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%q\nwant\n%q", name, got, want)
	}
}

// recorder hashes numbers, by their bits, and words.
type recorder struct{ hash.Hash }

func newRecorder() recorder { return recorder{sha256.New()} }

func (r recorder) add(values ...any) {
	for _, v := range values {
		switch v := v.(type) {
		case string:
			fmt.Fprintf(r, "%d:%s;", len(v), v)
		case []byte:
			fmt.Fprintf(r, "%d:%s;", len(v), v)
		case float64:
			_ = binary.Write(r, binary.BigEndian, math.Float64bits(v))
		default:
			_ = binary.Write(r, binary.BigEndian, v)
		}
	}
}

func (r recorder) sum() string { return hex.EncodeToString(r.Sum(nil)) }

// observations gives plays' observations by name.
func observations(plays ...*Play) map[string]uint64 {
	all := map[string]uint64{}
	for _, p := range plays {
		p.Witness(func(name string, n uint64) { all[name] += n })
	}
	return all
}

func (r recorder) addCounts(counts map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		r.add(name, counts[name])
	}
}

func TestStoredTrialKeepsItsBytes(t *testing.T) {
	full := Test{Next: 17, Sums: map[string]uint64{"both": 12, "real\x1f1\x1fasked": 1 << 40}, Foretold: 0.9125,
		Seen: 0.875, Looks: 3, Left: 1, Asked: 200_000, In: 175_000}
	for i := range full.Bets {
		for n := range 5 {
			full.Bets[i].Take(float64(n*i)/40, 0.05)
		}
	}
	for name, x := range map[string]Test{"trial-empty.cbor": {}, "trial-full.cbor": full} {
		t.Run(name, func(t *testing.T) {
			golden(t, name, x.encode())
			stored, err := os.ReadFile(filepath.Join("testdata", name))
			if err != nil {
				t.Fatal(err)
			}
			read, err := decode(stored)
			if err != nil || !reflect.DeepEqual(read, x) {
				t.Errorf("read %+v, %v; want %+v", read, err, x)
			}
			if again := read.encode(); !bytes.Equal(again, stored) {
				t.Errorf("written again:\n%x\nstored:\n%x", again, stored)
			}
		})
	}
}

// drive plays tasks that a seed draws under two rules, with answers that come late or not at all, a budget that runs
// dry at times, and other weights of classes midway. It hashes each call and, from time to time, the observations.
func drive(t *testing.T, seed uint64, rule counting.Rule) (*Play, string) {
	t.Helper()
	rule.Weights = []counting.Weight{{Lane: "pay", Thousandths: 1500}}
	fitted, d := fit(t, rule)
	today, err := counting.Fit(counting.Rule{}, d)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewSample(counting.Rule{}, rule, seed, 300)
	if err != nil {
		t.Fatal(err)
	}
	p, counts, out := NewPlay(s, today, fitted, d, seed, 250), counter{}, newRecorder()
	chance, now := rand.New(rand.NewPCG(seed, 17)), 1_764_652_800*time.Second
	var waiting []Call
	call := func(calls []Call) {
		for _, c := range calls {
			out.add(c.Name, c.Units, int64(c.Keep), c.ID)
			waiting = append(waiting, c)
		}
	}
	for i := range 20_000 {
		now += time.Duration(chance.IntN(int(12 * time.Millisecond)))
		p.Earn(uint64(chance.IntN(12)))
		customer, class := uint64(chance.IntN(200)), chance.IntN(2)
		out.add(p.Played(customer))
		call(p.Take(now, Task{Customer: customer, Lane: class, Units: float64(1 + chance.IntN(3))}))
		if p.Played(customer) {
			p.Real(uint64(chance.IntN(2)), 1.25, chance.IntN(4) > 0)
		}
		for len(waiting) > 0 && chance.IntN(3) > 0 {
			c := waiting[0]
			waiting = waiting[1:]
			counts[c.Name] += c.Units
			call(p.Told(now, c.ID, counts[c.Name], chance.IntN(20) > 0))
		}
		call(p.Due(now))
		if i%1000 == 0 {
			out.addCounts(observations(p))
		}
		if i == 10_000 {
			d.Lanes[1].Gain = 3
			p.Refit(today, fitted, d)
		}
	}
	out.addCounts(observations(p))
	return p, out.sum()
}

func TestPlayStays(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "63633f08383be6b4a30eaa8d8b9f25c3c833b26fe21ff485c1abf955f0bd0a23",
		2: "cd013c8b534d91ad44909a9bf76d39e852d728f2f77229a97de2bacdb3bd0f59",
	} {
		if _, got := drive(t, seed, pairs(1)); got != want {
			t.Errorf("seed %d: %s, want %s", seed, got, want)
		}
	}
}

// The names of the observations go between processes and are matched by the leader, whatever its version.
func TestNamesOfObservationsStay(t *testing.T) {
	merging, _ := drive(t, 3, pairs(1))
	splitting, _ := drive(t, 4, counting.Rule{Version: 1, Key: []string{"customer", "lane"}})
	counts := observations(merging, splitting)
	var out bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&out, "%s %d\n", strings.ReplaceAll(name, "\x1f", "/"), counts[name])
	}
	for _, what := range []string{"3/old", "3/new", "3/both", "3/neither", "3/blind", "3/tasks", "3/merged", "4/split",
		"3/calls", "3/real/0/asked", "3/real/1/in", "3/lane/look/small/both", "3/lane/pay/small/gain-neither",
		"3/lane/pay/small/gain-old", "3/lane/look/small/gain-new", "3/cell/14/asked", "3/cell/14/old", "3/cell/14/new",
		"3/cell/14/beyond"} {
		if name := "canary\x1f" + strings.ReplaceAll(what, "/", "\x1f"); counts[name] == 0 {
			t.Errorf("no observation named %q", name)
		}
	}
	if got := cellName(Mark(1<<40), 12, beyonds); got != "canary\x1fe13wu1og\x1fcell\x1f12\x1fbeyond" {
		t.Errorf("%q", got)
	}
	golden(t, "observations.txt", out.Bytes())
}

// record hashes all that a world's decider writes, and what its processes saw.
func (w *world) record(until time.Duration) string {
	out, epoch := newRecorder(), uint64(0)
	w.pass(until, func() bool {
		if w.table.Epoch != epoch {
			epoch = w.table.Epoch
			out.add(int64(w.now), epoch, w.table.Value)
		}
		return false
	})
	out.addCounts(w.sums())
	return out.sum()
}

// Each value that a decider writes over a trial, from its start to what follows it, and each process's observations.
func TestTrialsStay(t *testing.T) {
	for _, c := range []struct {
		name string
		rule counting.Rule
		seed uint64
		want string
	}{
		{"5% more", limits(1.05), 1,
			"43a602e446e865c281aa34d4a59a1c316dc7735194a7b23e7b3828757fcb0539"},
		{"5% more", limits(1.05), 2,
			"489dc4d099266e0af10d50aa36dea2f2be7bec9541813a8ba01a8dcb55e7e73a"},
		{"half", limits(0.5), 1,
			"979cfd599aefffed8475cda7878640d9ffefc016221a04299384c6d32258f333"},
		{"half", limits(0.5), 2,
			"02883c2d7475ce002750d0ffaf82bc40d8817216a5c9a26f350f370ccd6de48f"},
		{"pairs", pairs(1), 1,
			"3a0c0fe01676d0adfb6a6c9c69411dd9d9a59bbac9e64ae61f0dfaf748f55504"},
		{"pairs", pairs(1), 2,
			"a1e66b0588a91991636bfc620647bc0cefbf3a08f74f1e5178d1ea531fc4e1a4"},
	} {
		w := begin(c.rule, c.seed)
		if got := w.record(w.now + 240*time.Second); got != c.want {
			t.Errorf("%s, seed %d: %s, want %s; %s", c.name, c.seed, got, c.want, w.value().Why)
		}
	}
	w := begin(limits(1.05), 1)
	w.outage = 0.33
	const want = "a2445a262503f2213471dc41953facbddf3c5ca6777c58a99226d1f13b2a2b42"
	if got := w.record(w.now + 240*time.Second); got != want {
		t.Errorf("undone: %s, want %s; %s", got, want, w.value().Why)
	}
}

// The reasons that stand in the stored table are read by people and by tools of theirs.
func TestReasonsOfARefusalStay(t *testing.T) {
	group := func(version, mask uint64, groups ...counting.Group) counting.Rule {
		return counting.Rule{Version: version, Key: []string{"group"}, Mask: mask, Groups: groups}
	}
	one := counting.Group{Name: "one", Customers: []uint64{1, 2}}
	for _, c := range []struct {
		old, next counting.Rule
		want      string
	}{
		{group(1, 0xff00), group(2, 0x00ff),
			"the masks of both rules have fewer than 5 bits in common: too much hangs together to sample"},
		{group(1, 0xff00), group(2, 0, one),
			"one rule's groups are listed and the other's made by a mask: what hangs together cannot be told"},
	} {
		file := &counting.Terms{Try: 2, Rules: []counting.Rule{c.old, c.next}, Canary: trial()}
		v, ok := decideOnce(file, counting.Table{From: 1, To: 1, Rules: []counting.Rule{c.old}})
		if !ok || v.Why != c.want {
			t.Errorf("%v, %q, want %q", ok, v.Why, c.want)
		}
	}
}
