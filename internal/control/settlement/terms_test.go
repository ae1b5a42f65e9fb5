package settlement

import (
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const termsFile = `
on = true
[[partner]]
name = "north"
halls = ["n1", "n2"]
customers = ["0000000000000010-000000000000001f", "0000000000000030"]
[[partner]]
name = "south"
halls = ["s1"]
plans = ["wide"]
weight = 2
[[rule]]
between = ["north", "south"]
share_most = 0.1
`

func TestTerms_CheckNamesKeyOfFault(t *testing.T) {
	for _, test := range []struct{ name, old, bad, want string }{
		{"complete file", "", "", ""},
		{"terms that are off are not checked", "on = true", "on = false\nloss_most = 9.0", ""},
		{"number out of range", "on = true", "on = true\nloss_most = 0.5", "loss_most: from 0.0001 to 0.1, not 0.5"},
		{"forgiveness age too low", "on = true", "on = true\nforgive_after_s = 5.0", "forgive_after_s: from 60"},
		{"name with a space", `"south"`, `"no rth"`, "partner.1.name: 1 to 64 letters"},
		{
			"duplicate name", `name = "south"`, `name = "north"`,
			"partner.1.name: a name stands once; partner.0.name has it too",
		},
		{"zone of two partners", `["s1"]`, `["n1"]`, "partner.1.halls: a hall stands once"},
		{"customer too short", `"0000000000000030"`, `"30"`, "partner.0.customers: 16 hex digits"},
		{
			"customer also in a range", `"0000000000000030"`, `"0000000000000018"`,
			"partner.0.customers: a customer stands once",
		},
		{
			"customer too large", `"0000000000000030"`, `"0000000200000000"`,
			"partner.0.customers: 16 hex digits below 0000000200000000",
		},
		{"weight out of range", `weight = 2`, `weight = 1000`, "partner.1.weight: from 0.01 to 100"},
		{"share of a rule out of range", `share_most = 0.1`, `share_most = 0.95`, "rule.0.share_most"},
		{
			"rule with an unknown partner", `["north", "south"]`, `["north", "east"]`,
			`rule.0.between: a partner of this file is wanted, not "east"`,
		},
		{
			"two rules for a pair", `share_most = 0.1`, "[[rule]]\nbetween = [\"south\", \"north\"]",
			"rule.1.between: a rule between stands once",
		},
		{
			"rule with one partner", "[[rule]]\nbetween = [\"north\", \"south\"]", "[[rule]]\nbetween = [\"north\"]",
			"rule.0.between: two partners",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			terms := DefaultTerms()
			text := strings.Replace(termsFile, test.old, test.bad, 1)
			if err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&terms); err != nil {
				t.Fatalf("%q: %v", test.bad, err)
			}
			errs := terms.Check()
			if test.want == "" {
				if len(errs) > 0 {
					t.Errorf("%q: errors %v, want none", test.bad, errs)
				}
				return
			}
			if len(errs) == 0 || !strings.HasPrefix(errs[0].Error(), test.want) {
				t.Errorf("%q: errors %v, want the first to start with %q", test.bad, errs, test.want)
			}
		})
	}
}

func TestTerms_CheckReturnsAllFaults(t *testing.T) {
	terms := DefaultTerms() // without partners
	terms.On = true
	terms.MaxLossFraction = 2
	terms.MinDebt = 0
	if errs := terms.Check(); len(errs) != 3 {
		t.Errorf("%d errors, want 3: %v", len(errs), errs)
	}
}

func TestPartnerIndex_mapsCustomersPlansAndZones(t *testing.T) {
	terms := DefaultTerms()
	if err := toml.Unmarshal([]byte(termsFile), &terms); err != nil {
		t.Fatal(err)
	}
	index := NewPartnerIndex(terms, []string{"s1", "x", "n2"}, []string{"small", "wide"})
	for customer, want := range map[uint64]int{0xf: 0, 0x10: 1, 0x1f: 1, 0x20: 0, 0x30: 1, 0x31: 0} {
		if got := index.PartnerOf(customer, 0); got != want {
			t.Errorf("customer %x: partner %d, want %d", customer, got, want)
		}
	}
	if index.PartnerOf(0x10, 1) != 1 || index.PartnerOf(0x99, 1) != 2 || index.PartnerOf(0x99, 7) != 0 {
		t.Error("a customer's partner must be the one that lists the customer, or else the one of the plan")
	}
	if index.ZoneOwner(0) != 2 || index.ZoneOwner(1) != 0 || index.ZoneOwner(2) != 1 || index.ZoneOwner(9) != 0 {
		t.Error("wrong owner of a zone")
	}
	if index.PartnerNumber("south") != 2 || index.PartnerNumber("east") != 0 {
		t.Error("wrong number for the name of a partner")
	}
}

func TestThousandths_roundsAndRefusesNegative(t *testing.T) {
	if got := Thousandths(1.2345); got != 1235 && got != 1234 {
		t.Errorf("1.2345 units are %d thousandths, want 1234 or 1235", got)
	}
	if Thousandths(-1) != 0 || Thousandths(0.0004) != 0 {
		t.Error("a negative amount, or one below half a thousandth, must convert to 0")
	}
}
