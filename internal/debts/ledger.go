package debts

import (
	"cmp"
	"maps"
	"slices"

	"harrierhoist/internal/cluster/evidence"
)

// Exact is the table of totals in which voters put the exact counts of processes.
const Exact = "exact"

const owe = "owe" // the first part of the name of each of our exact counts

// Pair is who owes and whom. Both are partners' names, also of partners that have left.
type Pair struct {
	Debtor   string `cbor:"1,keyasint"`
	Creditor string `cbor:"2,keyasint"`
}

func (p Pair) compare(o Pair) int {
	return cmp.Or(cmp.Compare(p.Debtor, o.Debtor), cmp.Compare(p.Creditor, o.Creditor))
}

func (p Pair) turned() Pair { return Pair{p.Creditor, p.Debtor} }

// Amount is what stands for a pair, in thousandths of units.
type Amount struct {
	Pair
	Sum uint64 `cbor:"3,keyasint"`
}

// Carried is what a process in one life of its ledger counted.
type Carried struct {
	Amount
	Life string `cbor:"4,keyasint"`
}

// Name names an exact count: what a process in one life of its ledger has counted that a debtor owes a creditor. A
// ledger kept on disk lives on with its process's next incarnation.
func Name(life string, p Pair) string { return evidence.Name(owe, life, p.Debtor, p.Creditor) }

// Ledger is all that was ever owed, by pair, in thousandths of units: it only grows.
type Ledger map[Pair]uint64

// Read adds the totals of the log up to a ledger. A count that several incarnations of a process told, as one that
// took its ledger over from disk does, stands once, at the most that any of them told. Names that are not ours are
// passed over.
func Read(totals map[string]uint64) Ledger {
	type count struct {
		process, life string
		pair          Pair
	}
	counts := map[count]uint64{}
	for name, sum := range totals {
		// process, incarnation, then the count's own name
		if p := evidence.Parts(name); len(p) == 6 && p[2] == owe && p[4] != p[5] {
			c := count{p[0], p[3], Pair{p[4], p[5]}}
			counts[c] = max(counts[c], sum)
		}
	}
	l := Ledger{}
	for c, sum := range counts {
		l[c.pair] += sum
	}
	return l
}

// Nets nets the debts of each pair out: what a pair's debtor still owes, less what was forgiven, in the order of the
// names. Pairs that are even are left out.
func (l Ledger) Nets(forgiven []Amount) []Amount {
	open := map[Pair]int64{} // by pair, the names in order: what the first owes the second; below 0 the other way round
	add := func(p Pair, sum int64) {
		if p.Debtor > p.Creditor {
			p, sum = p.turned(), -sum
		}
		open[p] += sum
	}
	for p, sum := range l {
		add(p, int64(sum))
	}
	for _, f := range forgiven {
		add(f.Pair, -int64(f.Sum))
	}
	var nets []Amount
	for p, sum := range open {
		switch {
		case sum > 0:
			nets = append(nets, Amount{p, uint64(sum)})
		case sum < 0:
			nets = append(nets, Amount{p.turned(), uint64(-sum)})
		}
	}
	slices.SortFunc(nets, func(a, b Amount) int { return a.compare(b.Pair) })
	return nets
}

// Balances are what each partner is owed less what it owes, by name, in thousandths of units: they sum to zero.
func Balances(nets []Amount) map[string]int64 {
	all := map[string]int64{}
	for _, n := range nets {
		all[n.Debtor] -= int64(n.Sum)
		all[n.Creditor] += int64(n.Sum)
	}
	return all
}

// Names are all that stand in the ledger, in order.
func (l Ledger) Names() []string {
	all := map[string]bool{}
	for p := range l {
		all[p.Debtor], all[p.Creditor] = true, true
	}
	return slices.Sorted(maps.Keys(all))
}
