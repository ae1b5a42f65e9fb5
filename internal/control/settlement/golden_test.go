package settlement

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/testing/golden"
)

// goldenDecisions is the SHA-256 of all values that the table took in TestGolden_decisions, drawn at 8c168ca.
const goldenDecisions = "fed885dda790ede434d8e45879e52563ffdd3bb74dd0646bc00b671aa216d954"

// goldenState has every part of the stored table.
var goldenState = State{
	Clock:          123_456_789,
	Shares:         []Share{{Pair{"north", "south"}, 250_000}, {Pair{"west", "south"}, 1}},
	NetDebts:       []Amount{{Pair{"north", "south"}, 1_234_567}, {Pair{"left.long-ago", "west"}, 1 << 40}},
	Lots:           []Lot{{Amount{Pair{"north", "south"}, 1_234_567}, 123_000_000}},
	Forgiven:       []Amount{{Pair{"north", "south"}, 42}},
	ForgivenessLog: []Forgiveness{{Amount{Pair{"north", "south"}, 42}, 7, 3_600_000}},
	Partners: []PartnerState{
		{Partner: "north", Pace: 62_500, HoldUntil: 123_486_789, Requests: 1000.5, Late: 2.25, Slow: 30.125, MaxPace: 125_000},
		{Partner: "south", Pace: PartsPerMillion},
	},
	StartedAt: 123_400_000,
	RestUntil: 123_300_000,
}

// The stored table as the version before wrote it is read, and written byte for byte.
func TestGolden_storedState(t *testing.T) {
	for name, want := range map[string]State{"table.cbor": goldenState, "table-empty.cbor": {}} {
		t.Run(name, func(t *testing.T) {
			golden.CheckStored(t, golden.Read(t, name), want, State.Encode, DecodeState)
		})
	}
}

// Names that go between processes and into the log.
func TestGolden_names(t *testing.T) {
	for want, got := range map[string]string{
		"debts":                             TableName,
		"exact":                             ExactTable,
		"debts\x1ftasks\x1fnorth":           MetricName(MetricRequests, "north"),
		"debts\x1flate\x1fnorth":            MetricName(MetricLate, "north"),
		"debts\x1fslow\x1fnorth":            MetricName(MetricSlow, "north"),
		"debts\x1fpure\x1fnorth":            MetricName(MetricIdempotentUnits, "north"),
		"debts\x1fpures\x1fnorth":           MetricName(MetricIdempotentRequests, "north"),
		"debts\x1fserved\x1fnorth":          MetricName(MetricServedUnits, "north"),
		"debts\x1fasked\x1fnorth":           MetricName(MetricElective, "north"),
		"debts\x1fwent\x1fnorth":            MetricName(MetricElectivePlaced, "north"),
		"owe\x1f1k2j3\x1fnorth\x1fsouth":    DebtCountName("1k2j3", Pair{"north", "south"}),
		"owe\x1f1k2j3+\x1fa.b-c_d\x1fsouth": DebtCountName("1k2j3+", Pair{"a.b-c_d", "south"}),
	} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	if MetricCount != 8 {
		t.Errorf("%d metrics", MetricCount)
	}
	totals := map[string]uint64{"g1\x1f3\x1fowe\x1flife\x1fnorth\x1fsouth": 700, "g1\x1f4\x1fowe\x1flife\x1fnorth\x1fsouth": 900}
	if got := ReadLedger(totals); len(got) != 1 || got[Pair{"north", "south"}] != 900 {
		t.Errorf("totals read as %v", got)
	}
}

// The operators' file: every key, and what each means.
func TestGolden_terms(t *testing.T) {
	got := DefaultTerms()
	if err := toml.NewDecoder(bytes.NewReader(golden.Read(t, "terms.toml"))).DisallowUnknownFields().Decode(&got); err != nil {
		t.Fatal(err)
	}
	no, share, forgive := false, 0.25, 7200.0
	want := Terms{
		On: true,
		Partners: []Partner{
			{
				Name: "north", Zones: []string{"n1", "n2"}, Weight: 2.5,
				Customers: []string{"0000000000000010-000000000000001f", "0000000000000030"},
			},
			{Name: "south", Zones: []string{"s1"}, Plans: []string{"wide", "small"}},
			{Name: "west", Plans: []string{"slow"}},
		},
		Rules: []PairRule{
			{Between: []string{"north", "south"}, MaxShare: &share, ForgiveAfter: &forgive},
			{Between: []string{"west", "south"}, Settle: &no},
		},
		SettleTimeConstant: 30, MaxShare: 0.4, MaxMovedRate: 150, MaxLendFraction: 0.2, MaxLossFraction: 0.01,
		MinHeadroom: 0.15, MinOnTimeFraction: 0.95, MinDebt: 7, ForgiveAfter: 86400,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	if faults := got.Check(); len(faults) > 0 {
		t.Errorf("refused: %v", faults)
	}
	usual := Terms{
		SettleTimeConstant: 20, MaxShare: 0.5, MaxMovedRate: 200, MaxLendFraction: 0.3, MaxLossFraction: 0.005,
		MinHeadroom: 0.2, MinOnTimeFraction: 0.9, MinDebt: 5,
	}
	if got := DefaultTerms(); !reflect.DeepEqual(got, usual) {
		t.Errorf("without a file %+v, want %+v", got, usual)
	}
}

// goldenRefusals are changes of testdata/terms.toml and what Check says of each.
var goldenRefusals = []struct{ old, bad, want string }{
	{"settle_over_s = 30.0", "settle_over_s = 4.0", "settle_over_s: from 5 to 86400, not 4"},
	{"share_most = 0.4", "share_most = 0.95", "share_most: from 0 to 0.9, not 0.95"},
	{"moved_most = 150.0", "moved_most = -1.0", "moved_most: from 0 to 1e+06, not -1"},
	{"moved_most = 150.0", "moved_most = nan", "moved_most: from 0 to 1e+06, not NaN"},
	{"lend_most = 0.2", "lend_most = 1.5", "lend_most: from 0 to 1, not 1.5"},
	{"loss_most = 0.01", "loss_most = 0.5", "loss_most: from 0.0001 to 0.1, not 0.5"},
	{"room_least = 0.15", "room_least = 0.01", "room_least: from 0.05 to 0.9, not 0.01"},
	{"well_least = 0.95", "well_least = 0.1", "well_least: from 0.5 to 1, not 0.1"},
	{"\nleast = 7.0", "\nleast = 0.0", "least: from 0.001 to 1e+09, not 0"},
	{"forgive_after_s = 86400.0", "forgive_after_s = 5.0", "forgive_after_s: from 60 to 1e+09, not 5"},
	{
		`name = "south"`, `name = "no rth"`,
		"partner.1.name: 1 to 64 letters, digits, '_', '.' and '-', the first a letter or digit, not \"no " +
			"rth\"\nrule.0.between: a partner of this file is wanted, not \"south\"\nrule.1.between: a partner " +
			"of this file is wanted, not \"south\"",
	},
	{
		`name = "south"`, `name = "north"`,
		"partner.1.name: a name stands once; partner.0.name has it too, not north\nrule.0.between: a partner " +
			"of this file is wanted, not \"south\"\nrule.1.between: a partner of this file is wanted, not " +
			"\"south\"",
	},
	{`halls = ["s1"]`, `halls = ["n1"]`, "partner.1.halls: a hall stands once; partner.0.halls has it too, not n1"},
	{`"slow"`, `"wide"`, "partner.2.plans: a plan stands once; partner.1.plans has it too, not wide"},
	{"weight = 2.5", "weight = 1000.0", "partner.0.weight: from 0.01 to 100, not 1000"},
	{`plans = ["slow"]`, "", "partner.2.halls: halls, customers or plans are wanted, not none"},
	{
		`"0000000000000030"`, `"30"`,
		"partner.0.customers: 16 hex digits below 0000000200000000, or two such joined by '-', the smaller " +
			"first, not \"30\"",
	},
	{
		`"0000000000000030"`, `"0000000000000018"`,
		"partner.0.customers: a customer stands once, not 0000000000000018 of partner.0 too",
	},
	{
		`"0000000000000030"`, `"0000000200000000"`,
		"partner.0.customers: 16 hex digits below 0000000200000000, or two such joined by '-', the smaller " +
			"first, not \"0000000200000000\"",
	},
	{
		`"0000000000000030"`, `"0000000000000031-0000000000000030"`,
		"partner.0.customers: 16 hex digits below 0000000200000000, or two such joined by '-', the smaller " +
			"first, not \"0000000000000031-0000000000000030\"",
	},
	{`between = ["north", "south"]`, `between = ["north"]`, "rule.0.between: two partners are wanted, not [north]"},
	{
		`between = ["north", "south"]`, `between = ["north", "north"]`,
		"rule.0.between: two partners are wanted, not [north north]",
	},
	{
		`between = ["north", "south"]`, `between = ["north", "east"]`,
		"rule.0.between: a partner of this file is wanted, not \"east\"",
	},
	{
		`between = ["north", "south"]`, `between = ["south", "west"]`,
		"rule.1.between: a rule between stands once; rule.0.between has it too, not south and west",
	},
	{"share_most = 0.25", "share_most = 0.95", "rule.0.share_most: from 0 to 0.9, not 0.95"},
	{"forgive_after_s = 7200.0", "forgive_after_s = 59.0", "rule.0.forgive_after_s: from 60 to 1e+09, not 59"},
	{
		"settle_over_s = 30.0\nshare_most = 0.4", "settle_over_s = 1e6\nshare_most = -0.5",
		"settle_over_s: from 5 to 86400, not 1e+06\nshare_most: from 0 to 0.9, not -0.5",
	},
}

// Each one-line refusal of a bad file, whole, in its order.
func TestGolden_refusals(t *testing.T) {
	text := string(golden.Read(t, "terms.toml"))
	for _, test := range goldenRefusals {
		bad := strings.Replace(text, test.old, test.bad, 1)
		terms := DefaultTerms()
		if err := toml.Unmarshal([]byte(bad), &terms); err != nil || bad == text {
			t.Fatalf("%q: %v", test.bad, err)
		}
		if got := errors.Join(terms.Check()...); got == nil || got.Error() != test.want {
			t.Errorf("%q:\n%q, want\n%q", test.bad, got, test.want)
		}
	}
	none := DefaultTerms()
	none.On = true
	if got, want := errors.Join(none.Check()...), "partner: from 2 to 64 of them, not 0"; got == nil || got.Error() != want {
		t.Errorf("without partners:\n%q, want\n%q", got, want)
	}
	for i := range maxPartners + 1 {
		none.Partners = append(none.Partners, Partner{Name: strings.Repeat("x", i+1), Plans: []string{strings.Repeat("p", i+1)}})
	}
	want := "partner: from 2 to 64 of them, not 65\n" +
		"partner.64.name: 1 to 64 letters, digits, '_', '.' and '-', the first a letter or digit, not \"" +
		strings.Repeat("x", 65) + "\""
	if got := errors.Join(none.Check()...); got == nil || got.Error() != want {
		t.Errorf("with too many:\n%q, want\n%q", got, want)
	}
}

// What is written to the table over a long scenario of debts, leaders, late requests, rests and failover: every byte.
func TestGolden_decisions(t *testing.T) {
	terms := testTerms()
	terms.ForgiveAfter, terms.Partners[1].Weight = 600, 2
	f, all := newControllerFixture(terms), golden.NewDigest()
	advance := func(seconds int) {
		for range seconds {
			f.advance(1)
			stored := f.state.Table(TableName)
			_, _ = all.Write(append(bytes.Clone(stored.Value), byte(stored.Epoch)))
		}
	}
	f.addDebt("a", "b", 50_000)
	f.addDebt("c", "b", 700)
	f.addDebt("a", "c", 90_000)
	advance(60)
	f.zoneStatus["hall-b"] = ZoneStatus{FailingOver: true}
	advance(5)
	f.zoneStatus["hall-b"] = ZoneStatus{Headroom: 0.1}
	advance(5)
	clear(f.zoneStatus)
	advance(60)
	f.late["a"] = 30
	advance(25)
	f.late["a"], f.late["b"] = 0, 4
	advance(150)
	f.elective["a"] = 100
	advance(30)
	f.changeLeader(terms)
	advance(90)
	f.addDebt("b", "a", 49_990)
	advance(700)
	all.Check(t, goldenDecisions)
	if state := f.storedState(); len(state.ForgivenessLog) == 0 || state.StartedAt == 0 || state.RestUntil == 0 {
		t.Errorf("the scenario leaves parts out: %+v", state)
	}
}
