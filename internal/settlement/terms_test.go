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

// Each slip is told with its key, and all of them at once.
func TestTerms_CheckNamesEachFault(t *testing.T) {
	for _, c := range []struct{ old, bad, want string }{
		{"", "", ""},
		{"on = true", "on = false\nloss_most = 9.0", ""},
		{"on = true", "on = true\nloss_most = 0.5", "loss_most: from 0.0001 to 0.1, not 0.5"},
		{"on = true", "on = true\nforgive_after_s = 5.0", "forgive_after_s: from 60"},
		{`"south"`, `"no rth"`, "partner.1.name: 1 to 64 letters"},
		{`name = "south"`, `name = "north"`, "partner.1.name: a name stands once; partner.0.name has it too"},
		{`["s1"]`, `["n1"]`, "partner.1.halls: a hall stands once"},
		{`"0000000000000030"`, `"30"`, "partner.0.customers: 16 hex digits"},
		{`"0000000000000030"`, `"0000000000000018"`, "partner.0.customers: a customer stands once"},
		{`"0000000000000030"`, `"0000000200000000"`, "partner.0.customers: 16 hex digits below 0000000200000000"},
		{`weight = 2`, `weight = 1000`, "partner.1.weight: from 0.01 to 100"},
		{`share_most = 0.1`, `share_most = 0.95`, "rule.0.share_most"},
		{`["north", "south"]`, `["north", "east"]`, `rule.0.between: a partner of this file is wanted, not "east"`},
		{`share_most = 0.1`, "[[rule]]\nbetween = [\"south\", \"north\"]", "rule.1.between: a rule between stands once"},
		{"[[rule]]\nbetween = [\"north\", \"south\"]", "[[rule]]\nbetween = [\"north\"]", "rule.0.between: two partners"},
	} {
		terms := DefaultTerms()
		d := toml.NewDecoder(strings.NewReader(strings.Replace(termsFile, c.old, c.bad, 1))).DisallowUnknownFields()
		if err := d.Decode(&terms); err != nil {
			t.Fatalf("%q: %v", c.bad, err)
		}
		faults := terms.Check()
		if (c.want == "") != (len(faults) == 0) || len(faults) > 0 && !strings.HasPrefix(faults[0].Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.bad, faults, c.want)
		}
	}
	two := DefaultTerms()
	two.On, two.MaxLossFraction, two.MinDebt = true, 2, 0
	if n := len(two.Check()); n != 3 { // and no partners
		t.Errorf("%d errors: %v", n, two.Check())
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
			t.Errorf("customer %x is of %d, not %d", customer, got, want)
		}
	}
	if index.PartnerOf(0x10, 1) != 1 || index.PartnerOf(0x99, 1) != 2 || index.PartnerOf(0x99, 7) != 0 {
		t.Error("a customer that is named is not of its plan's partner, and others are")
	}
	if index.ZoneOwner(0) != 2 || index.ZoneOwner(1) != 0 || index.ZoneOwner(2) != 1 || index.ZoneOwner(9) != 0 ||
		index.PartnerNumber("south") != 2 || index.PartnerNumber("east") != 0 {
		t.Error("halls or names are told wrongly")
	}
	if Thousandths(1.2345) != 1235 && Thousandths(1.2345) != 1234 || Thousandths(-1) != 0 || Thousandths(0.0004) != 0 {
		t.Error("not whole thousandths")
	}
}
