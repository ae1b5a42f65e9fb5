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

// ledgerTotalName is a name in the log: process, incarnation and the count's own name.
func ledgerTotalName(process, incarnation, ledgerID, debtor, creditor string) string {
	return observation.JoinName(process, incarnation, DebtCountName(ledgerID, Pair{debtor, creditor}))
}

// Digests come in any order, more than once, of any incarnation, to any leader: the ledger is what was owed, and the
// balances sum to zero whatever was forgiven.
func TestReadLedger_isExactForAnyDeliveryOrder(t *testing.T) {
	names := []string{"a", "b", "c", "left"}
	rapid.Check(t, func(t *rapid.T) {
		state := statemachine.New()
		want := Ledger{}
		var told []map[string]uint64
		for process := range rapid.IntRange(1, 3).Draw(t, "processes") {
			disk := rapid.Bool().Draw(t, "disk")
			owed := map[string]uint64{}
			for incarnation := range rapid.IntRange(1, 3).Draw(t, "lives") {
				ledgerID := fmt.Sprint(incarnation)
				if disk {
					ledgerID = "kept"
				} else {
					clear(owed)
				}
				for range rapid.IntRange(1, 4).Draw(t, "digests") {
					i, k := rapid.IntRange(0, 3).Draw(t, "debtor"), rapid.IntRange(1, 3).Draw(t, "creditor")
					pair := Pair{names[i], names[(i+k)%4]}
					n := rapid.Uint64Range(0, 1e9).Draw(t, "owed")
					want[pair] += n
					owed[DebtCountName(ledgerID, pair)] += n
					d := map[string]uint64{}
					for name, sum := range owed {
						d[observation.JoinName(fmt.Sprint("g", process), fmt.Sprint(incarnation), name)] = sum
					}
					told = append(told, d)
				}
			}
		}
		told = append(told, rapid.SliceOf(rapid.SampledFrom(told)).Draw(t, "doubled")...)
		for i, d := range rapid.Permutation(told).Draw(t, "order") {
			state.Apply(uint64(i+1), statemachine.Command{Kind: statemachine.RaiseTotals, Table: ExactTable, Totals: d})
			sum := int64(0)
			for _, b := range Balances(ReadLedger(state.Totals(ExactTable)).NetDebts([]Amount{{Pair{"a", "left"}, 5}})) {
				sum += b
			}
			if sum != 0 {
				t.Fatalf("balances sum to %d", sum)
			}
		}
		got := ReadLedger(state.Totals(ExactTable))
		maps.DeleteFunc(want, func(_ Pair, n uint64) bool { return n == 0 })
		maps.DeleteFunc(got, func(_ Pair, n uint64) bool { return n == 0 })
		if !maps.Equal(got, want) {
			t.Fatalf("ledger %v, truly %v", got, want)
		}
	})
}

func TestLedger_NetDebtsOffsetsBothDirections(t *testing.T) {
	ledger := ReadLedger(map[string]uint64{ledgerTotalName("g1", "1", "x", "a", "b"): 700, ledgerTotalName("g2", "1", "y", "b", "a"): 200,
		ledgerTotalName("g1", "2", "x", "a", "b"): 900, ledgerTotalName("g1", "1", "x", "c", "gone"): 50, ledgerTotalName("g1", "1", "x", "c", "c"): 7,
		observation.JoinName("g1", "1", "another part's"): 9})
	netDebts := ledger.NetDebts([]Amount{{Pair{"c", "gone"}, 10}})
	if want := []Amount{{Pair{"a", "b"}, 700}, {Pair{"c", "gone"}, 40}}; !slices.Equal(netDebts, want) {
		t.Errorf("%v, want %v", netDebts, want)
	}
	if got := ledger.PartnerNames(); !slices.Equal(got, []string{"a", "b", "c", "gone"}) {
		t.Errorf("names %v", got)
	}
}

// What is paid off is the oldest; what is too old is forgiven and said, once, also where the partner has left.
func TestState_oldDebtsAreForgivenOnce(t *testing.T) {
	terms := DefaultTerms()
	terms.ForgiveAfter = 1000
	none := 0.0
	terms.Rules = []PairRule{{Between: []string{"a", "c"}, ForgiveAfter: &none}}
	state, ledger := State{}, Ledger{}
	for s := range uint64(2400) {
		state.Clock = s * 1000
		switch s {
		case 100:
			ledger[Pair{"a", "b"}], ledger[Pair{"a", "c"}] = 500, 500
		case 600:
			ledger[Pair{"a", "b"}] += 300
		case 900:
			ledger[Pair{"b", "a"}] += 200 // the oldest 200 are paid
		}
		state.ageDebts(ledger.NetDebts(state.Forgiven), terms)
	}
	var said []string
	for _, e := range state.ForgivenessLog {
		said = append(said, fmt.Sprintf("%d: %s-%s %d after %d", e.Number, e.Debtor, e.Creditor, e.Sum, e.Age/1000))
	}
	if want := []string{"1: a-b 300 after 1000", "2: a-b 300 after 1000"}; !slices.Equal(said, want) {
		t.Errorf("said %q", said)
	}
	if netDebts := ledger.NetDebts(state.Forgiven); !slices.Equal(netDebts, []Amount{{Pair{"a", "c"}, 500}}) {
		t.Errorf("open %v", netDebts)
	}
}
