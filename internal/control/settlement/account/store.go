package account

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/settlement"
)

// minWriteInterval is the minimum time between writes to the store. A process that is killed may
// lose the debts of that time.
const minWriteInterval = 5 * time.Millisecond

// Store persists the balances of a process across restarts. Its methods may block on disk I/O.
type Store interface {
	// Write replaces the stored ledger. When it returns, the balances survive a crash of the
	// process. They survive a crash of the machine only after a later sync, which Write does from
	// time to time.
	Write(ledgerID string, balances []StoredBalance) error
	// InitialState returns the ledger that the store held when it was opened. ledgerID is empty if
	// the store was new.
	InitialState() (ledgerID string, balances []StoredBalance)
}

// StoredBalance is a pair's balance in a Store, in thousandths of units.
type StoredBalance struct {
	settlement.Pair
	Debt uint64 `cbor:"3,keyasint"`
	// InFlight is the estimate for attempts in flight. A server may have run them, so they are owed
	// if the process crashes.
	InFlight uint64 `cbor:"4,keyasint"`
}

// Restore continues the ledger that the store holds, and makes Run write the balances to the store.
// It must be called before Run and before the first request. The estimate for attempts that were in
// flight when the previous process ended is added to the debt, since a server may have run them.
func (a *Accounts) Restore(store Store) {
	ledgerID, balances := store.InitialState()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store = store
	a.changed = make(chan struct{}, 1)
	if ledgerID != "" {
		a.ledgerID = ledgerID
	}
	for _, b := range balances {
		restored := b.Debt + b.InFlight
		a.balanceOf(b.Pair).debt += restored
		// Every incarnation restores the same debt from this record, so it counts as stored.
		a.storedDebts = append(a.storedDebts, ledgerEntry(a.ledgerID, b.Pair, restored))
	}
	a.changed <- struct{}{}
}

// ledgerEntry returns the entry of a pair's debt in a ledger.
func ledgerEntry(ledgerID string, pair settlement.Pair, debt uint64) settlement.LedgerEntry {
	return settlement.LedgerEntry{Amount: settlement.Amount{Pair: pair, Sum: debt}, LedgerID: ledgerID}
}

// storeLoop writes the balances to the store after each change, at most once per minWriteInterval.
// When ctx is done, it writes them a last time and returns. After a write error it stops using the
// store: the debts in the store are still reported, and later debts are counted in a new ledger.
func (a *Accounts) storeLoop(ctx context.Context, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			if err := a.Persist(); err != nil {
				logStoreError(err, log)
			}
			return
		case <-a.changed:
		}
		if err := a.Persist(); err != nil {
			logStoreError(err, log)
			a.splitLedger()
			return
		}
		time.Sleep(minWriteInterval) // the next write includes all changes made during the sleep
	}
}

func logStoreError(err error, log *zap.Logger) {
	log.Error("settlement: storing debts failed, later ones are lost with the process", zap.Error(err))
}

// Persist writes the balances to the store; ReportDebts then reports them. Run calls it after
// changes. Restore must have been called. The error wraps the error of Store.Write.
func (a *Accounts) Persist() error {
	a.mu.Lock()
	ledgerID := a.ledgerID
	var balances []StoredBalance
	for pair, b := range a.balances {
		balances = append(balances, StoredBalance{pair, b.debt, b.inFlight})
	}
	a.mu.Unlock()
	if err := a.store.Write(ledgerID, balances); err != nil {
		return fmt.Errorf("write %d balances: %w", len(balances), err)
	}
	stored := make([]settlement.LedgerEntry, 0, len(balances))
	for _, b := range balances {
		stored = append(stored, ledgerEntry(ledgerID, b.Pair, b.Debt))
	}
	a.mu.Lock()
	a.storedDebts = stored
	a.mu.Unlock()
	return nil
}

// splitLedgerSuffix is appended to the process's ledger ID to name the ledger that is started after
// a store failure. It is part of the wire format and must not change.
const splitLedgerSuffix = "+"

// splitLedger starts a new ledger for the debts that are not in the store, and stops using the
// store.
func (a *Accounts) splitLedger() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entry := range a.storedDebts {
		if b := a.balances[entry.Pair]; b != nil {
			b.debt -= min(entry.Sum, b.debt)
		}
	}
	a.ledgerID = a.initialLedgerID + splitLedgerSuffix
	a.changed = nil
}
