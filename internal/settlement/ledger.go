package settlement

import (
	"cmp"
	"maps"
	"slices"

	"harrierhoist/internal/coordination/observation"
)

// ExactTable is the table of totals in which voters put the exact counts of processes.
const ExactTable = "exact"

const debtPrefix = "owe" // the first part of the name of each of our exact counts

// Pair is who owes and whom. Both are partners' names, also of partners that have left.
type Pair struct {
	Debtor   string `cbor:"1,keyasint"`
	Creditor string `cbor:"2,keyasint"`
}

func (pair Pair) compare(other Pair) int {
	return cmp.Or(cmp.Compare(pair.Debtor, other.Debtor), cmp.Compare(pair.Creditor, other.Creditor))
}

func (pair Pair) reversed() Pair { return Pair{pair.Creditor, pair.Debtor} }

// Amount is what stands for a pair, in thousandths of units.
type Amount struct {
	Pair
	Sum uint64 `cbor:"3,keyasint"`
}

// LedgerAmount is what a process in one life of its ledger counted.
type LedgerAmount struct {
	Amount
	LedgerID string `cbor:"4,keyasint"`
}

// DebtCountName names an exact count: what a process in one life of its ledger has counted that a debtor owes a creditor. A
// ledger kept on disk lives on with its process's next incarnation.
func DebtCountName(ledgerID string, pair Pair) string {
	return observation.JoinName(debtPrefix, ledgerID, pair.Debtor, pair.Creditor)
}

// Ledger is all that was ever owed, by pair, in thousandths of units: it only grows.
type Ledger map[Pair]uint64

// ReadLedger adds the totals of the log up to a ledger. A count that several incarnations of a process told, as one that
// took its ledger over from disk does, stands once, at the most that any of them told. Names that are not ours are
// passed over.
func ReadLedger(totals map[string]uint64) Ledger {
	type count struct {
		process, life string
		pair          Pair
	}
	counts := map[count]uint64{}
	for name, sum := range totals {
		// process, incarnation, then the count's own name
		if p := observation.SplitName(name); len(p) == 6 && p[2] == debtPrefix && p[4] != p[5] {
			c := count{p[0], p[3], Pair{p[4], p[5]}}
			counts[c] = max(counts[c], sum)
		}
	}
	ledger := Ledger{}
	for c, sum := range counts {
		ledger[c.pair] += sum
	}
	return ledger
}

// NetDebts nets the debts of each pair out: what a pair's debtor still owes, less what was forgiven, in the order of the
// names. Pairs that are even are left out.
func (ledger Ledger) NetDebts(forgiven []Amount) []Amount {
	balances := map[Pair]int64{} // by pair, the names in order: what the first owes the second; below 0 the other way round
	add := func(pair Pair, sum int64) {
		if pair.Debtor > pair.Creditor {
			pair, sum = pair.reversed(), -sum
		}
		balances[pair] += sum
	}
	for pair, sum := range ledger {
		add(pair, int64(sum))
	}
	for _, f := range forgiven {
		add(f.Pair, -int64(f.Sum))
	}
	var netDebts []Amount
	for pair, sum := range balances {
		switch {
		case sum > 0:
			netDebts = append(netDebts, Amount{pair, uint64(sum)})
		case sum < 0:
			netDebts = append(netDebts, Amount{pair.reversed(), uint64(-sum)})
		}
	}
	slices.SortFunc(netDebts, func(a, b Amount) int { return a.compare(b.Pair) })
	return netDebts
}

// Balances are what each partner is owed less what it owes, by name, in thousandths of units: they sum to zero.
func Balances(netDebts []Amount) map[string]int64 {
	all := map[string]int64{}
	for _, n := range netDebts {
		all[n.Debtor] -= int64(n.Sum)
		all[n.Creditor] += int64(n.Sum)
	}
	return all
}

// PartnerNames are all that stand in the ledger, in order.
func (ledger Ledger) PartnerNames() []string {
	all := map[string]bool{}
	for pair := range ledger {
		all[pair.Debtor], all[pair.Creditor] = true, true
	}
	return slices.Sorted(maps.Keys(all))
}
