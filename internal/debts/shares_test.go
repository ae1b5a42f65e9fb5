package debts

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is owed, whoever leads: shares stay within what the terms allow, none goes against the net debt, and the
// same events give the same bytes.
func TestSharesKeepTheTerms(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rules := terms()
		rules.MovedMost = rapid.Float64Range(0, 500).Draw(r, "moved")
		rules.ShareMost = rapid.Float64Range(0, 0.9).Draw(r, "share")
		rules.LendMost = rapid.Float64Range(0, 1).Draw(r, "lend")
		rules.Partners[1].Weight = rapid.Float64Range(0.1, 10).Draw(r, "weight")
		one, two := begin(rules), begin(rules)
		for range rapid.IntRange(1, 5).Draw(r, "steps") {
			i, k := rapid.IntRange(0, 2).Draw(r, "debtor"), rapid.IntRange(1, 2).Draw(r, "creditor")
			owed, lead := rapid.SampledFrom([]uint64{0, 3, 900, 1e6}).Draw(r, "owed"), rapid.Bool().Draw(r, "lead")
			seconds := rapid.IntRange(1, 50).Draw(r, "seconds")
			for _, s := range []*scene{one, two} {
				s.owes(rules.Partners[i].Name, rules.Partners[(i+k)%3].Name, owed)
				if lead {
					s.lead(rules)
				}
				s.pass(seconds)
			}
			v := one.value()
			if fmt.Sprint(v) != fmt.Sprint(two.value()) {
				r.Fatalf("%v and %v", v, two.value())
			}
			moved, lent, borne := 0.0, map[string]float64{}, map[string]float64{}
			for _, x := range v.Shares {
				part := float64(x.Part) / Whole
				moved, lent[x.Debtor], borne[x.Creditor] = moved+part*500, lent[x.Debtor]+part*600, borne[x.Creditor]+part
				if !slices.ContainsFunc(v.Nets, func(n Amount) bool { return n.Pair == x.Pair && n.Sum > 0 }) {
					r.Fatalf("%v, though %v is owed", x, v.Nets)
				}
			}
			for name := range lent {
				if lent[name] > rules.LendMost*1000*1.001 {
					r.Fatalf("%s lends %v", name, lent[name])
				}
			}
			for name := range borne {
				if borne[name] > rules.ShareMost*1.001 {
					r.Fatalf("%v of %s's tasks are moved", borne[name], name)
				}
			}
			if moved > rules.MovedMost*1.001 {
				r.Fatalf("%v pushes a second", moved)
			}
		}
	})
}

// A debtor's halls lend 300 units a second; two creditors want 300 each, and one weighs twice the other's.
func TestWhatADebtorLendsIsSharedByWeight(t *testing.T) {
	rules := terms()
	rules.Partners[1].Weight, rules.MovedMost = 2, 1000
	s := begin(rules)
	s.owes("a", "b", 900_000)
	s.owes("a", "c", 900_000)
	s.pass(60)
	v := s.value()
	b, c := v.share(Pair{"a", "b"}), v.share(Pair{"a", "c"})
	if b < 333_000 || b > 333_400 || c < 166_500 || c > 166_700 {
		t.Errorf("shares %d and %d, want a third and a sixth", b, c)
	}
	rules.MovedMost = 125 // of 250 pushes a second
	s.lead(rules)
	s.pass(10)
	if v = s.value(); v.share(Pair{"a", "b"}) > 166_700 {
		t.Errorf("shares %+v with half of the pushes", v.Shares)
	}
}
