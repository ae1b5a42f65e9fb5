package settlement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// For any debts and changes of leader, shares stay within the terms, no share opposes the net debt,
// and the same events produce the same state.
func TestController_sharesStayWithinTerms(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		terms := testTerms()
		terms.MaxMovedRate = rapid.Float64Range(0, 500).Draw(r, "moved")
		terms.MaxShare = rapid.Float64Range(0, 0.9).Draw(r, "share")
		terms.MaxLendFraction = rapid.Float64Range(0, 1).Draw(r, "lend")
		terms.Partners[1].Weight = rapid.Float64Range(0.1, 10).Draw(r, "weight")
		first, second := newControllerFixture(terms), newControllerFixture(terms)
		for range rapid.IntRange(1, 5).Draw(r, "steps") {
			i := rapid.IntRange(0, 2).Draw(r, "debtor")
			k := rapid.IntRange(1, 2).Draw(r, "creditor")
			sum := rapid.SampledFrom([]uint64{0, 3, 900, 1e6}).Draw(r, "owed")
			changeLeader := rapid.Bool().Draw(r, "lead")
			seconds := rapid.IntRange(1, 50).Draw(r, "seconds")
			for _, f := range []*controllerFixture{first, second} {
				f.addDebt(terms.Partners[i].Name, terms.Partners[(i+k)%3].Name, sum)
				if changeLeader {
					f.changeLeader(terms)
				}
				f.advance(seconds)
			}
			state := first.storedState()
			if fmt.Sprint(state) != fmt.Sprint(second.storedState()) {
				r.Fatalf("the same events produced states %v and %v", state, second.storedState())
			}
			checkShares(r, state, terms)
		}
	})
}

// checkShares fails the test if shares exceed the terms or oppose the net debts. It uses the
// request rates of controllerFixture.advance.
func checkShares(r *rapid.T, state State, terms Terms) {
	const rounding = 1.001
	moved := 0.0
	lent := map[string]float64{}
	shared := map[string]float64{}
	for _, share := range state.Shares {
		fraction := float64(share.PPM) / PartsPerMillion
		moved += fraction * 500
		lent[share.Debtor] += fraction * 600
		shared[share.Creditor] += fraction
		if !slices.ContainsFunc(state.NetDebts, func(a Amount) bool { return a.Pair == share.Pair && a.Sum > 0 }) {
			r.Fatalf("share %v has no net debt in %v", share, state.NetDebts)
		}
	}
	for name, units := range lent {
		if units > terms.MaxLendFraction*1000*rounding {
			r.Fatalf("%s lends %v units per second, more than the terms allow", name, units)
		}
	}
	for name, fraction := range shared {
		if fraction > terms.MaxShare*rounding {
			r.Fatalf("shares move a fraction of %v of %s's requests, more than the terms allow", fraction, name)
		}
	}
	if moved > terms.MaxMovedRate*rounding {
		r.Fatalf("%v attempts per second change zone, more than the terms allow", moved)
	}
}

// A debtor's zones lend 300 units per second. Two creditors demand 300 each, and one has twice the
// weight of the other.
func TestController_dividesLendingByCreditorWeight(t *testing.T) {
	terms := testTerms()
	terms.Partners[1].Weight = 2
	terms.MaxMovedRate = 1000
	f := newControllerFixture(terms)
	f.addDebt("a", "b", 900_000)
	f.addDebt("a", "c", 900_000)
	f.advance(60)
	state := f.storedState()
	heavy, light := state.sharePPM(Pair{"a", "b"}), state.sharePPM(Pair{"a", "c"})
	if heavy < 333_000 || heavy > 333_400 || light < 166_500 || light > 166_700 {
		t.Errorf("shares %d and %d ppm, want a third and a sixth", heavy, light)
	}
	terms.MaxMovedRate = 125 // half of the 250 attempts per second that would move
	f.changeLeader(terms)
	f.advance(10)
	if state = f.storedState(); state.sharePPM(Pair{"a", "b"}) > 166_700 {
		t.Errorf("shares %+v, want half of the previous ones", state.Shares)
	}
}

// Settlement of a debt starts at twice MinDebt, which is 5 units, and ends below MinDebt.
func TestController_startsAtTwiceTheDebtThatItEndsAt(t *testing.T) {
	f := newControllerFixture(testTerms())
	for _, step := range []struct {
		debtor, creditor string
		total            uint64 // units that debtor has ever owed creditor
		wantShare        bool
	}{
		{"a", "b", 9, false},
		{"a", "b", 10, true},
		{"b", "a", 5, true},
		{"b", "a", 6, false},
	} {
		f.addDebt(step.debtor, step.creditor, step.total)
		f.advance(40)
		if state := f.storedState(); state.sharePPM(Pair{"a", "b"}) > 0 != step.wantShare {
			t.Errorf("%+v: shares %+v for net debts %+v", step, state.Shares, state.NetDebts)
		}
	}
}
