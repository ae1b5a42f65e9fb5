package counting

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/policy"
)

// The files under testdata were written by the program before its names were changed. What is stored, what goes between
// processes and what operators read and write must stay as these files have it, byte for byte.

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

// everyRule has each form of a rule that a table can hold.
func everyRule() []Rule {
	return []Rule{
		{Version: 1, Key: []string{"customer", "lane"}, Weights: []Weight{{Lane: "pay", Thousandths: 3000}},
			Limits: []Limit{{Plan: "small", Rate: 3, Burst: 12.5}}},
		{Version: 2, Key: []string{"group"}, Groups: []Group{{Name: "one", Customers: []uint64{1, 2, math.MaxInt64}},
			{Name: "two", Customers: []uint64{4}}}, Limits: []Limit{{Plan: "*", Rate: 5, Burst: 20}}},
		{Version: 1 << 40, Key: []string{"group", "plan", "customer"}, Mask: 0xff00ff},
	}
}

// tables are values of the table in each phase, with and without each optional part.
func tables() map[string]Table {
	return map[string]Table{
		"table-empty.cbor": {},
		"table-still.cbor": {Phase: Still, From: 2, To: 2, Was: 1, Rules: everyRule(), Refused: []uint64{3, 1 << 50},
			Since: 1_764_652_800 * time.Second, Why: "kept: 0.912 let in, 0.905 foretold"},
		"table-canary.cbor": {Phase: Canary, From: 1, To: 2, Rules: everyRule()[:2], Seed: 0x9e3779b97f4a7c15,
			Since: 1_764_652_800_123_456_789, Why: "as the file says", Test: []byte{0xa0, 1, 2, 3},
			Trial: Trial{Sample: 20, Calls: 60, DeadlineS: 600, WrongThousandths: 50, Rejected: 21, LetIn: 52, Beyond: 53,
				Leave: 100, WatchS: 300, LeadMS: 1500}},
		"table-named.cbor": {Phase: Named, From: 0, To: 1, Edge: 1_764_652_900 * time.Second, Rules: everyRule()[:1],
			Seed: 7, Since: 1_764_652_890 * time.Second, Why: "harmless by 210 cells"},
		"table-back.cbor": {Phase: Back, From: 1, To: 0, Was: 1, Edge: 1_764_653_000 * time.Second, Rules: everyRule()[2:],
			Refused: []uint64{1}, Since: 1_764_652_995 * time.Second,
			Why: "0.500 of the units are let in, 0.900 were foretold"},
	}
}

func TestStoredTableKeepsItsBytes(t *testing.T) {
	for name, table := range tables() {
		t.Run(name, func(t *testing.T) {
			golden(t, name, table.Encode())
			stored, err := os.ReadFile(filepath.Join("testdata", name))
			if err != nil {
				t.Fatal(err)
			}
			read, err := Decode(stored)
			if err != nil || !reflect.DeepEqual(read, table) {
				t.Errorf("read %+v, %v; want %+v", read, err, table)
			}
			if again := read.Encode(); !bytes.Equal(again, stored) {
				t.Errorf("written again:\n%x\nstored:\n%x", again, stored)
			}
		})
	}
	if Name != "counting" {
		t.Errorf("the table is stored as %q", Name)
	}
	if phases := []Phase{Still, Canary, Named, Back}; !reflect.DeepEqual(phases, []Phase{0, 1, 2, 3}) {
		t.Errorf("phases are stored as %v", phases)
	}
}

// A value that lacks the later keys, as an earlier program wrote it, is read with these empty.
func TestStoredTableOfAnEarlierProgramIsRead(t *testing.T) {
	earlier := []byte{0xa4, 1, 2, 2, 0, 3, 1, 4, 0x19, 0x03, 0xe8}
	read, err := Decode(earlier)
	if want := (Table{Phase: Named, To: 1, Edge: 1000}); err != nil || !reflect.DeepEqual(read, want) {
		t.Errorf("read %+v, %v; want %+v", read, err, want)
	}
}

// The counter's names, the keys and the names of the rules' own plans are shared by processes of both versions.
func TestNamesAtTheCounterStay(t *testing.T) {
	var out bytes.Buffer
	rules := everyRule()
	site := Plans(site(), rules)
	for _, p := range site.Plans {
		fmt.Fprintf(&out, "plan %q rate %v burst %v\n", p.Name, p.Rate, p.Burst)
	}
	for _, p := range Face(site).Plans {
		fmt.Fprintf(&out, "for clients %q closed %v\n", p.Name, p.Closed)
	}
	for _, r := range append([]Rule{{}}, rules...) {
		fitted, err := Fit(r, site)
		if err != nil {
			t.Fatal(err)
		}
		for _, customer := range []uint64{0, 1, 2, 4, 0x123456789abcdef, math.MaxInt64} {
			for class := range 2 {
				for plan := range 3 {
					c := fitted.Count(customer, class, plan)
					fmt.Fprintf(&out, "rule %d customer %x class %d plan %d: %x %d %v %v", r.Version, customer, class, plan,
						c.Key, c.Plan, c.Weight, c.Shared)
					if p := &site.Plans[c.Plan]; p.Rate > 0 {
						w := At(c.Key, p, 1_764_652_800_123_456_789)
						fmt.Fprintf(&out, "; window %x from %d for %d, number %d", w.Name, w.Start, w.Keep, w.Nth)
					}
					out.WriteByte('\n')
				}
			}
		}
	}
	fmt.Fprintf(&out, "mix %x %x %x\n", Mix(), Mix(1, 2), Mix(1, 2, 3, 4, 5))
	golden(t, "names.txt", out.Bytes())
}

// The second desk's answers, bit by bit: what it holds, lets pass and gives back.
func TestSecondDeskStays(t *testing.T) {
	var out bytes.Buffer
	plan := policy.Plan{Rate: 1.5, Burst: 8}
	for _, gateways := range []int{0, 1, 4} {
		s, total := NewSecond(gateways), map[uint64]float64{}
		at := 1_764_652_800 * time.Second
		for i := range 60 {
			at += time.Duration(i*i%7) * 400 * time.Millisecond
			c := Count{Version: 1, Key: uint64(i % 3), Weight: 1 + float64(i%2)/2}
			h := s.Ask(c, plan, float64(1+i%3), at)
			answered := i%5 != 4
			if answered {
				total[h.Name] += h.Units
			}
			pass, before := s.Told(h, total[h.Name], answered)
			fmt.Fprintf(&out, "%d gateways, %d: %x %v units %v, pass %v", gateways, i, h.Name, h.Keep, h.Units, pass)
			if before != nil {
				lacks := h.Lacks(*before, total[before.Name])
				fmt.Fprintf(&out, ", before %x from %d lacked %v", before.Name, before.Start, lacks)
			}
			used, added := h.Units*float64(i%4)/2, Added(i%3)
			more := s.Settle(h, pass, used, added)
			total[h.Name] += more
			fmt.Fprintf(&out, ", used %v, settled %v\n", used, more)
		}
	}
	golden(t, "second.txt", out.Bytes())
}

// The operators' file keeps its keys.
func TestOperatorsFileIsRead(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "rules.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Counting Terms `toml:"counting"`
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&file); err != nil {
		t.Fatal(err)
	}
	want := Terms{Try: 2, Rules: everyRule(), Canary: Trial{Sample: 20, Calls: 60, DeadlineS: 600, WrongThousandths: 50,
		Rejected: 21, LetIn: 52, Beyond: 53, Leave: 100, WatchS: 300, LeadMS: 1500}}
	if !reflect.DeepEqual(file.Counting, want) {
		t.Errorf("read %+v, want %+v", file.Counting, want)
	}
	if faults := file.Counting.Check(); len(faults) > 0 {
		t.Error(faults)
	}
	var written bytes.Buffer
	if err := toml.NewEncoder(&written).Encode(file); err != nil {
		t.Fatal(err)
	}
	golden(t, "rules-written.toml", written.Bytes())
}

// refusals are changes to the file of TestOperatorsFileIsRead, each with one fault or more.
var refusals = []struct{ name, from, to string }{
	{"try unknown", "try = 2", "try = 9"},
	{"version twice", "version = 2", "version = 1"},
	{"version nought", "version = 1\n", "version = 0\n"},
	{"key unknown", `["customer", "lane"]`, `["customer", "hall"]`},
	{"key twice", `["customer", "lane"]`, `["customer", "customer"]`},
	{"key of no customer", `["customer", "lane"]`, `["lane"]`},
	{"key empty", `["customer", "lane"]`, `[]`},
	{"groups without group in the key", `["group"]`, `["customer"]`},
	{"group in the key without groups", `["customer", "lane"]`, `["group"]`},
	{"mask beside groups", "version = 2\n", "version = 2\nmask = 255\n"},
	{"mask of few bits", "mask = 16711935", "mask = 15"},
	{"group without a name", `name = "one"`, `name = ""`},
	{"group's name twice", `name = "two"`, `name = "one"`},
	{"group without customers", "customers = [4]", "customers = []"},
	{"customer twice", "customers = [4]", "customers = [2]"},
	{"weight's lane empty", `lane = "pay"`, `lane = ""`},
	{"weight's lane twice", `{lane = "pay", thousandths = 3000}`,
		`{lane = "pay", thousandths = 3000}, {lane = "pay", thousandths = 4000}`},
	{"weight nought", "thousandths = 3000", "thousandths = 0"},
	{"weight too large", "thousandths = 3000", "thousandths = 100001"},
	{"limit's plan empty", `plan = "small"`, `plan = ""`},
	{"limit's plan twice", `{plan = "small", rate = 3.0, burst = 12.5}`,
		`{plan = "small", rate = 3.0, burst = 12.5}, {plan = "small", rate = 3.0, burst = 12.5}`},
	{"rate nought", "rate = 3.0", "rate = 0.0"},
	{"rate not a number", "rate = 3.0", "rate = nan"},
	{"rate infinite", "rate = 3.0", "rate = inf"},
	{"burst below nought", "burst = 12.5", "burst = -1.0"},
	{"limit by plan where plans share a count", `plan = "*"`, `plan = "small"`},
	{"sample low", "sample = 20", "sample = 0"},
	{"sample high", "sample = 20", "sample = 81"},
	{"calls low", "calls = 60", "calls = 59"},
	{"calls nought", "calls = 60", "calls = 0"},
	{"calls high", "calls = 60", "calls = 251"},
	{"deadline low", "deadline_s = 600", "deadline_s = 119"},
	{"deadline high", "deadline_s = 600", "deadline_s = 86401"},
	{"wrong low", "wrong = 50", "wrong = 0"},
	{"wrong high", "wrong = 50", "wrong = 201"},
	{"rejected low", "rejected = 21", "rejected = 0"},
	{"rejected high", "rejected = 21", "rejected = 501"},
	{"let_in high", "let_in = 52", "let_in = 501"},
	{"beyond high", "beyond = 53", "beyond = 501"},
	{"leave high", "leave = 100", "leave = 501"},
	{"watch_s low", "watch_s = 300", "watch_s = 0"},
	{"watch_s high", "watch_s = 300", "watch_s = 86401"},
	{"lead_ms high", "lead_ms = 1500", "lead_ms = 600001"},
	{"several faults", "[counting.canary]\nsample = 20\ncalls = 60", "[counting.canary]\nsample = 0\ncalls = 300"},
}

// Each refusal stays as operators know it: one line with the key and what is allowed.
func TestRefusalsStay(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "rules.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, c := range refusals {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Errorf("%s: %q is not in the file", c.name, c.from)
		}
		var file struct {
			Counting Terms `toml:"counting"`
		}
		if err := toml.Unmarshal([]byte(changed), &file); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		fmt.Fprintf(&out, "%s\n", c.name)
		for _, fault := range file.Counting.Check() {
			fmt.Fprintf(&out, "    %s\n", fault)
		}
	}
	terms := Terms{Canary: Trial{}}
	for i := range uint64(33) {
		terms.Rules = append(terms.Rules, Rule{Version: i + 1, Key: []string{"customer"}})
	}
	many := Group{Name: "many"}
	for c := range uint64(10_001) {
		many.Customers = append(many.Customers, c)
	}
	terms.Rules[0] = Rule{Version: 1, Key: []string{"group", "customer"}, Groups: []Group{many}}
	fmt.Fprintf(&out, "too many rules and customers, no canary\n")
	for _, fault := range terms.Check() {
		fmt.Fprintf(&out, "    %s\n", fault)
	}
	fmt.Fprintf(&out, "no rule and no canary\n")
	for _, fault := range (&Terms{}).Check() {
		fmt.Fprintf(&out, "    %s\n", fault)
	}
	ceiling := site()
	ceiling.Plans[0].CeilingRate = 1
	for _, d := range []policy.Deployment{site(), ceiling} {
		d.Plans[1].AtOnce = 2
		r := everyRule()[1]
		if _, err := Fit(r, Plans(d, []Rule{r})); err != nil {
			fmt.Fprintf(&out, "cannot hold\n    %s\n", err)
		}
	}
	golden(t, "refusals.txt", out.Bytes())
}
