package debts

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
	"pgregory.net/rapid"
)

// total is a name in the log: process, incarnation and the count's own name.
func total(process, incarnation, life, debtor, creditor string) string {
	return evidence.Name(process, incarnation, Name(life, Pair{debtor, creditor}))
}

// Digests come in any order, more than once, of any incarnation, to any leader: the ledger is what was owed, and the
// balances sum to zero whatever was forgiven.
func TestLedgerIsWhatWasOwed(t *testing.T) {
	names := []string{"a", "b", "c", "left"}
	rapid.Check(t, func(t *rapid.T) {
		state := tables.New()
		truth := Ledger{}
		var told []map[string]uint64
		for process := range rapid.IntRange(1, 3).Draw(t, "processes") {
			disk := rapid.Bool().Draw(t, "disk")
			owed := map[string]uint64{}
			for incarnation := range rapid.IntRange(1, 3).Draw(t, "lives") {
				life := fmt.Sprint(incarnation)
				if disk {
					life = "kept"
				} else {
					clear(owed)
				}
				for range rapid.IntRange(1, 4).Draw(t, "digests") {
					i, k := rapid.IntRange(0, 3).Draw(t, "debtor"), rapid.IntRange(1, 3).Draw(t, "creditor")
					p := Pair{names[i], names[(i+k)%4]}
					n := rapid.Uint64Range(0, 1e9).Draw(t, "owed")
					truth[p] += n
					owed[Name(life, p)] += n
					d := map[string]uint64{}
					for name, sum := range owed {
						d[evidence.Name(fmt.Sprint("g", process), fmt.Sprint(incarnation), name)] = sum
					}
					told = append(told, d)
				}
			}
		}
		told = append(told, rapid.SliceOf(rapid.SampledFrom(told)).Draw(t, "doubled")...)
		for i, d := range rapid.Permutation(told).Draw(t, "order") {
			state.Apply(uint64(i+1), tables.Command{Kind: tables.Raise, Table: Exact, Totals: d})
			sum := int64(0)
			for _, b := range Balances(Read(state.Totals(Exact)).Nets([]Amount{{Pair{"a", "left"}, 5}})) {
				sum += b
			}
			if sum != 0 {
				t.Fatalf("balances sum to %d", sum)
			}
		}
		got := Read(state.Totals(Exact))
		maps.DeleteFunc(truth, func(_ Pair, n uint64) bool { return n == 0 })
		maps.DeleteFunc(got, func(_ Pair, n uint64) bool { return n == 0 })
		if !maps.Equal(got, truth) {
			t.Fatalf("ledger %v, truly %v", got, truth)
		}
	})
}

func TestNets(t *testing.T) {
	l := Read(map[string]uint64{total("g1", "1", "x", "a", "b"): 700, total("g2", "1", "y", "b", "a"): 200,
		total("g1", "2", "x", "a", "b"): 900, total("g1", "1", "x", "c", "gone"): 50, total("g1", "1", "x", "c", "c"): 7,
		evidence.Name("g1", "1", "another part's"): 9})
	nets := l.Nets([]Amount{{Pair{"c", "gone"}, 10}})
	if want := []Amount{{Pair{"a", "b"}, 700}, {Pair{"c", "gone"}, 40}}; !slices.Equal(nets, want) {
		t.Errorf("%v, want %v", nets, want)
	}
	if got := l.Names(); !slices.Equal(got, []string{"a", "b", "c", "gone"}) {
		t.Errorf("names %v", got)
	}
}

// What is paid off is the oldest; what is too old is forgiven and said, once, also where the partner has left.
func TestDebtsAreForgivenByAge(t *testing.T) {
	terms := Default()
	terms.ForgiveAfter = 1000
	none := 0.0
	terms.Rules = []Rule{{Between: []string{"a", "c"}, ForgiveAfter: &none}}
	v, l := Value{}, Ledger{}
	for s := range uint64(2400) {
		v.Clock = s * 1000
		switch s {
		case 100:
			l[Pair{"a", "b"}], l[Pair{"a", "c"}] = 500, 500
		case 600:
			l[Pair{"a", "b"}] += 300
		case 900:
			l[Pair{"b", "a"}] += 200 // the oldest 200 are paid
		}
		v.age(l.Nets(v.Forgiven), terms)
	}
	var said []string
	for _, e := range v.Said {
		said = append(said, fmt.Sprintf("%d: %s-%s %d after %d", e.Number, e.Debtor, e.Creditor, e.Sum, e.Age/1000))
	}
	if want := []string{"1: a-b 300 after 1000", "2: a-b 300 after 1000"}; !slices.Equal(said, want) {
		t.Errorf("said %q", said)
	}
	if nets := l.Nets(v.Forgiven); !slices.Equal(nets, []Amount{{Pair{"a", "c"}, 500}}) {
		t.Errorf("open %v", nets)
	}
}
