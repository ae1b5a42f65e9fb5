package settlement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is owed, whoever leads: shares stay within what the terms allow, none goes against the net debt, and the
// same events give the same bytes.
func TestController_sharesStayWithinTerms(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		terms := testTerms()
		terms.MaxMovedRate = rapid.Float64Range(0, 500).Draw(r, "moved")
		terms.MaxShare = rapid.Float64Range(0, 0.9).Draw(r, "share")
		terms.MaxLendFraction = rapid.Float64Range(0, 1).Draw(r, "lend")
		terms.Partners[1].Weight = rapid.Float64Range(0.1, 10).Draw(r, "weight")
		one, two := newControllerFixture(terms), newControllerFixture(terms)
		for range rapid.IntRange(1, 5).Draw(r, "steps") {
			i, k := rapid.IntRange(0, 2).Draw(r, "debtor"), rapid.IntRange(1, 2).Draw(r, "creditor")
			sum, lead := rapid.SampledFrom([]uint64{0, 3, 900, 1e6}).Draw(r, "owed"), rapid.Bool().Draw(r, "lead")
			seconds := rapid.IntRange(1, 50).Draw(r, "seconds")
			for _, f := range []*controllerFixture{one, two} {
				f.addDebt(terms.Partners[i].Name, terms.Partners[(i+k)%3].Name, sum)
				if lead {
					f.changeLeader(terms)
				}
				f.advance(seconds)
			}
			state := one.storedState()
			if fmt.Sprint(state) != fmt.Sprint(two.storedState()) {
				r.Fatalf("%v and %v", state, two.storedState())
			}
			moved, lent, borne := 0.0, map[string]float64{}, map[string]float64{}
			for _, x := range state.Shares {
				lateFraction := float64(x.PPM) / PartsPerMillion
				moved, lent[x.Debtor], borne[x.Creditor] = moved+lateFraction*500, lent[x.Debtor]+lateFraction*600, borne[x.Creditor]+lateFraction
				if !slices.ContainsFunc(state.Nets, func(n Amount) bool { return n.Pair == x.Pair && n.Sum > 0 }) {
					r.Fatalf("%v, though %v is owed", x, state.Nets)
				}
			}
			for name := range lent {
				if lent[name] > terms.MaxLendFraction*1000*1.001 {
					r.Fatalf("%s lends %v", name, lent[name])
				}
			}
			for name := range borne {
				if borne[name] > terms.MaxShare*1.001 {
					r.Fatalf("%v of %s's tasks are moved", borne[name], name)
				}
			}
			if moved > terms.MaxMovedRate*1.001 {
				r.Fatalf("%v pushes a second", moved)
			}
		}
	})
}

// A debtor's halls lend 300 units a second; two creditors want 300 each, and one weighs twice the other's.
func TestController_dividesLendingByCreditorWeight(t *testing.T) {
	terms := testTerms()
	terms.Partners[1].Weight, terms.MaxMovedRate = 2, 1000
	f := newControllerFixture(terms)
	f.addDebt("a", "b", 900_000)
	f.addDebt("a", "c", 900_000)
	f.advance(60)
	state := f.storedState()
	lastValue, c := state.sharePPM(Pair{"a", "b"}), state.sharePPM(Pair{"a", "c"})
	if lastValue < 333_000 || lastValue > 333_400 || c < 166_500 || c > 166_700 {
		t.Errorf("shares %d and %d, want a third and a sixth", lastValue, c)
	}
	terms.MaxMovedRate = 125 // of 250 pushes a second
	f.changeLeader(terms)
	f.advance(10)
	if state = f.storedState(); state.sharePPM(Pair{"a", "b"}) > 166_700 {
		t.Errorf("shares %+v with half of the pushes", state.Shares)
	}
}
