package settlement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"pgregory.net/rapid"
)

// ledgerTotalName returns the name of a debt's total in the log: the process, its incarnation and
// the name of the count.
func ledgerTotalName(process, incarnation, ledgerID, debtor, creditor string) string {
	return observation.JoinName(process, incarnation, DebtCountName(ledgerID, Pair{debtor, creditor}))
}

// Digests of several incarnations may arrive in any order and more than once. The ledger must equal
// the sums that were added, and the partners' balances must sum to zero even with forgiven debts.
func TestReadLedger_isExactForAnyDeliveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := statemachine.New()
		want, digests := drawDigests(t)
		digests = append(digests, rapid.SliceOf(rapid.SampledFrom(digests)).Draw(t, "duplicates")...)
		for i, digest := range rapid.Permutation(digests).Draw(t, "order") {
			state.Apply(uint64(i+1),
				statemachine.Command{Kind: statemachine.RaiseTotals, Table: ExactTable, Totals: digest})
			sum := int64(0)
			ledger := ReadLedger(state.Totals(ExactTable))
			for _, b := range balancesOf(ledger.NetDebts([]Amount{{Pair{"a", "left"}, 5}})) {
				sum += b
			}
			if sum != 0 {
				t.Fatalf("balances sum to %d, want 0", sum)
			}
		}
		got := ReadLedger(state.Totals(ExactTable))
		maps.DeleteFunc(want, func(_ Pair, n uint64) bool { return n == 0 })
		maps.DeleteFunc(got, func(_ Pair, n uint64) bool { return n == 0 })
		if !maps.Equal(got, want) {
			t.Fatalf("ledger %v, want %v", got, want)
		}
	})
}

// balancesOf returns the balance of each partner, which is what it is owed minus what it owes, in
// thousandths of units.
func balancesOf(netDebts []Amount) map[string]int64 {
	balances := map[string]int64{}
	for _, debt := range netDebts {
		balances[debt.Debtor] -= int64(debt.Sum)
		balances[debt.Creditor] += int64(debt.Sum)
	}
	return balances
}

// drawDigests draws the digests of a few processes over several incarnations. A process either
// stores its ledger and continues it in the next incarnation, or starts a new one. It returns the
// expected ledger, and the digests as totals of the log.
func drawDigests(t *rapid.T) (want Ledger, digests []map[string]uint64) {
	names := []string{"a", "b", "c", "left"}
	want = Ledger{}
	for process := range rapid.IntRange(1, 3).Draw(t, "processes") {
		isStored := rapid.Bool().Draw(t, "stored")
		counts := map[string]uint64{}
		for incarnation := range rapid.IntRange(1, 3).Draw(t, "incarnations") {
			ledgerID := fmt.Sprint(incarnation)
			if isStored {
				ledgerID = "stored"
			} else {
				clear(counts)
			}
			for range rapid.IntRange(1, 4).Draw(t, "digests") {
				i := rapid.IntRange(0, 3).Draw(t, "debtor")
				k := rapid.IntRange(1, 3).Draw(t, "creditor")
				pair := Pair{names[i], names[(i+k)%4]}
				n := rapid.Uint64Range(0, 1e9).Draw(t, "added")
				want[pair] += n
				counts[DebtCountName(ledgerID, pair)] += n
				digest := map[string]uint64{}
				for name, sum := range counts {
					digest[observation.JoinName(fmt.Sprint("g", process), fmt.Sprint(incarnation), name)] = sum
				}
				digests = append(digests, digest)
			}
		}
	}
	return want, digests
}

func TestLedger_NetDebtsOffsetsBothDirections(t *testing.T) {
	ledger := ReadLedger(map[string]uint64{
		ledgerTotalName("g1", "1", "x", "a", "b"):            700,
		ledgerTotalName("g2", "1", "y", "b", "a"):            200,
		ledgerTotalName("g1", "2", "x", "a", "b"):            900,
		ledgerTotalName("g1", "1", "x", "c", "gone"):         50,
		ledgerTotalName("g1", "1", "x", "c", "c"):            7,
		observation.JoinName("g1", "1", "another package's"): 9,
	})
	got := ledger.NetDebts([]Amount{{Pair{"c", "gone"}, 10}})
	if want := []Amount{{Pair{"a", "b"}, 700}, {Pair{"c", "gone"}, 40}}; !slices.Equal(got, want) {
		t.Errorf("net debts %v, want %v", got, want)
	}
	if got := partnerNames(ledger); !slices.Equal(got, []string{"a", "b", "c", "gone"}) {
		t.Errorf("partner names %v, want a, b, c and gone", got)
	}
}

// partnerNames returns the names of all partners in a ledger, sorted.
func partnerNames(ledger Ledger) []string {
	names := map[string]bool{}
	for pair := range ledger {
		names[pair.Debtor] = true
		names[pair.Creditor] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Payments reduce the oldest lots first. A debt that reaches the forgiveness age is forgiven and
// logged once, even if its partners are not in the file, as here. A rule can exempt a pair from
// forgiveness.
func TestState_oldDebtsAreForgivenOnce(t *testing.T) {
	terms := DefaultTerms()
	terms.ForgiveAfter = 1000
	never := 0.0
	terms.Rules = []PairRule{{PartnerNames: []string{"a", "c"}, ForgiveAfter: &never}}
	state := State{}
	ledger := Ledger{}
	for second := range uint64(2400) {
		state.Clock = second * 1000
		switch second {
		case 100:
			ledger[Pair{"a", "b"}] = 500
			ledger[Pair{"a", "c"}] = 500
		case 600:
			ledger[Pair{"a", "b"}] += 300
		case 900:
			ledger[Pair{"b", "a"}] += 200 // pays the oldest 200
		}
		state.ageDebts(ledger.NetDebts(state.Forgiven), terms)
	}
	var logged []string
	for _, e := range state.ForgivenessLog {
		logged = append(logged, fmt.Sprintf("%d: %s-%s %d after %d", e.Number, e.Debtor, e.Creditor, e.Sum, e.Age/1000))
	}
	if want := []string{"1: a-b 300 after 1000", "2: a-b 300 after 1000"}; !slices.Equal(logged, want) {
		t.Errorf("forgiveness log %q, want %q", logged, want)
	}
	if got := ledger.NetDebts(state.Forgiven); !slices.Equal(got, []Amount{{Pair{"a", "c"}, 500}}) {
		t.Errorf("net debts %v, want only 500 from a to c", got)
	}
}
