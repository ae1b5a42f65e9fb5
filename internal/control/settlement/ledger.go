package settlement

import (
	"cmp"
	"math"
	"slices"

	"harrierhoist/internal/coordination/observation"
)

// ExactTable is the name of the table of totals in which voters keep the exact counts of processes.
// The name is stored, so it must not change.
const ExactTable = "exact"

// debtPrefix is the first part of the name of each debt count. It is stored and sent, so it must
// not change.
const debtPrefix = "owe"

// Pair is a debtor and its creditor, by partner name. Partners that have left the operators' file
// may still occur.
type Pair struct {
	Debtor   string `cbor:"1,keyasint"`
	Creditor string `cbor:"2,keyasint"`
}

func (p Pair) compare(o Pair) int {
	return cmp.Or(cmp.Compare(p.Debtor, o.Debtor), cmp.Compare(p.Creditor, o.Creditor))
}

func (p Pair) reversed() Pair { return Pair{p.Creditor, p.Debtor} }

// Amount is a sum that the debtor of a pair owes the creditor.
type Amount struct {
	Pair
	Sum uint64 `cbor:"3,keyasint"` // thousandths of units
}

// LedgerEntry is the amount that one ledger of a process records for a pair.
type LedgerEntry struct {
	Amount
	LedgerID string `cbor:"4,keyasint"`
}

// DebtCountName returns the name of the exact count in which a process reports what a debtor owes a
// creditor. A stored ledger outlives its process: the next incarnation of the process continues it
// under the same ID.
func DebtCountName(ledgerID string, pair Pair) string {
	return observation.JoinName(debtPrefix, ledgerID, pair.Debtor, pair.Creditor)
}

// Indices of the parts of a total's name in the log. Voters prepend the process and its incarnation
// to the name of the count.
const (
	totalProcess = iota
	totalIncarnation
	totalPrefix
	totalLedgerID
	totalDebtor
	totalCreditor
	totalParts
)

// Ledger is the total that each debtor has ever owed its creditor, by pair, in thousandths of
// units. A payment is a debt in the opposite direction, so totals never decrease.
type Ledger map[Pair]uint64

// ReadLedger sums the log's totals by pair. A process that restores its ledger reports the same
// count again in its next incarnation. ReadLedger includes such a count once, with the highest
// value of any incarnation. It skips names that are not debt counts, and debts of a partner to
// itself.
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

// NetDebts returns what each debtor still owes: the difference between the two directions of a
// pair, less what was forgiven. The result is sorted by debtor and then by creditor. It omits pairs
// whose debts cancel out.
func (l Ledger) NetDebts(forgiven []Amount) []Amount {
	// balances is keyed by pairs whose names are in ascending order. A balance is positive if the
	// first partner owes the second, and negative if the second owes the first.
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
	thousandthsPerUnit = 1000 // sums are counted, stored and sent in thousandths
	maxUnits           = 1e12 // largest amount in units; its thousandths fit into a uint64
)

// Thousandths converts units to thousandths, rounded to the nearest integer. It returns 0 for
// values that are not positive or not finite, and limits units to 1e12.
func Thousandths(units float64) uint64 {
	if !(units > 0) || math.IsInf(units, 1) {
		return 0
	}
	return uint64(math.Round(min(units, maxUnits) * thousandthsPerUnit))
}
