package settlement

import (
	"cmp"
	"math"
	"slices"

	"harrierhoist/internal/coordination/observation"
)

// ExactTable is the table of totals in which voters keep the exact counts of processes. It is
// stored: it never changes.
const ExactTable = "exact"

// debtPrefix is the first part of the name of each debt count. It is stored and sent: it never
// changes.
const debtPrefix = "owe"

// Pair is a debtor and its creditor, by partners' names; either may have left since.
type Pair struct {
	Debtor   string `cbor:"1,keyasint"`
	Creditor string `cbor:"2,keyasint"`
}

func (p Pair) compare(o Pair) int {
	return cmp.Or(cmp.Compare(p.Debtor, o.Debtor), cmp.Compare(p.Creditor, o.Creditor))
}

func (p Pair) reversed() Pair { return Pair{p.Creditor, p.Debtor} }

// Amount is a sum that a pair's debtor owes its creditor.
type Amount struct {
	Pair
	Sum uint64 `cbor:"3,keyasint"` // thousandths of units
}

// LedgerAmount is an amount as one ledger of a process has it.
type LedgerAmount struct {
	Amount
	LedgerID string `cbor:"4,keyasint"`
}

// DebtCountName returns the name of the exact count that a process keeps of what a debtor owes a
// creditor. A ledger that is stored outlives its process: the process's next incarnation goes on
// under the same ID.
func DebtCountName(ledgerID string, pair Pair) string {
	return observation.JoinName(debtPrefix, ledgerID, pair.Debtor, pair.Creditor)
}

// Parts of the name of a total in the log: the voters put the process and its incarnation before
// the count's own name.
const (
	totalProcess = iota
	totalIncarnation
	totalPrefix
	totalLedgerID
	totalDebtor
	totalCreditor
	totalParts
)

// Ledger is all that was ever owed, by pair, in thousandths of units. It only grows.
type Ledger map[Pair]uint64

// ReadLedger sums the log's totals by pair. A count that several incarnations of a process
// reported, as one that restored its ledger does, is taken once, at the highest that any of them
// reported. Names that are no debt counts are skipped.
func ReadLedger(totals map[string]uint64) Ledger {
	type source struct {
		process, ledgerID string
		pair              Pair
	}
	counts := map[source]uint64{}
	for name, sum := range totals {
		parts := observation.SplitName(name)
		isDebtCount := len(parts) == totalParts && parts[totalPrefix] == debtPrefix
		if !isDebtCount || parts[totalDebtor] == parts[totalCreditor] {
			continue
		}
		s := source{parts[totalProcess], parts[totalLedgerID], Pair{parts[totalDebtor], parts[totalCreditor]}}
		counts[s] = max(counts[s], sum)
	}
	ledger := Ledger{}
	for s, sum := range counts {
		ledger[s.pair] += sum
	}
	return ledger
}

// NetDebts decides what each debtor still owes: both directions of a pair against each other, less
// what was forgiven. It is in the order of the names; pairs that are even are left out.
func (l Ledger) NetDebts(forgiven []Amount) []Amount {
	// By pair with its names in order: what the first owes the second, negative the other way
	// round.
	balances := map[Pair]int64{}
	add := func(pair Pair, sum int64) {
		if pair.Debtor > pair.Creditor {
			pair = pair.reversed()
			sum = -sum
		}
		balances[pair] += sum
	}
	for pair, sum := range l {
		add(pair, int64(sum))
	}
	for _, amount := range forgiven {
		add(amount.Pair, -int64(amount.Sum))
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

const (
	thousandthsPerUnit = 1000 // of the sums that are counted, stored and sent
	maxUnits           = 1e12 // of one amount, so that its thousandths fit into an integer
)

// Thousandths converts units to thousandths, rounded to the nearest. What is no positive finite
// number gives 0.
func Thousandths(units float64) uint64 {
	if !(units > 0) || math.IsInf(units, 1) {
		return 0
	}
	return uint64(math.Round(min(units, maxUnits) * thousandthsPerUnit))
}
