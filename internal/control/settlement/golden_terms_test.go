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

// Every key of the operators' file sets its field, and the file passes Check. Omitted keys keep
// their defaults.
func TestGolden_terms(t *testing.T) {
	got := DefaultTerms()
	file := toml.NewDecoder(bytes.NewReader(golden.Read(t, "terms.toml"))).DisallowUnknownFields()
	if err := file.Decode(&got); err != nil {
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
			{PartnerNames: []string{"north", "south"}, MaxShare: &share, ForgiveAfter: &forgive},
			{PartnerNames: []string{"west", "south"}, Settle: &no},
		},
		SettleTimeConstant: 30, MaxShare: 0.4, MaxMovedRate: 150, MaxLendFraction: 0.2, MaxLossFraction: 0.01,
		MinHeadroom: 0.15, MinOnTimeFraction: 0.95, MinDebt: 7, ForgiveAfter: 86400,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("terms %+v, want %+v", got, want)
	}
	if errs := got.Check(); len(errs) > 0 {
		t.Errorf("Check returned %v", errs)
	}
	defaults := Terms{
		SettleTimeConstant: 20, MaxShare: 0.5, MaxMovedRate: 200, MaxLendFraction: 0.3, MaxLossFraction: 0.005,
		MinHeadroom: 0.2, MinOnTimeFraction: 0.9, MinDebt: 5,
	}
	if got := DefaultTerms(); !reflect.DeepEqual(got, defaults) {
		t.Errorf("default terms %+v, want %+v", got, defaults)
	}
}

// goldenRefusals are invalid changes of testdata/terms.toml, with the errors that Check returns.
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

// Check must return the full text of each error of an invalid file, in a fixed order.
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
	enabledTerms := DefaultTerms()
	enabledTerms.On = true
	want := "partner: from 2 to 64 of them, not 0"
	if got := errors.Join(enabledTerms.Check()...); got == nil || got.Error() != want {
		t.Errorf("no partners:\n%q, want\n%q", got, want)
	}
	for i := range maxPartners + 1 {
		partner := Partner{Name: strings.Repeat("x", i+1), Plans: []string{strings.Repeat("p", i+1)}}
		enabledTerms.Partners = append(enabledTerms.Partners, partner)
	}
	want = "partner: from 2 to 64 of them, not 65\n" +
		"partner.64.name: 1 to 64 letters, digits, '_', '.' and '-', the first a letter or digit, not \"" +
		strings.Repeat("x", 65) + "\""
	if got := errors.Join(enabledTerms.Check()...); got == nil || got.Error() != want {
		t.Errorf("too many partners:\n%q, want\n%q", got, want)
	}
}
