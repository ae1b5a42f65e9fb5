package account

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/settlement"
)

// minWriteInterval is the least time between writes to the store, and so what a process that dies
// may lose.
const minWriteInterval = 5 * time.Millisecond

// Store keeps the balances of a process over its incarnations. Its methods may wait for the disk.
type Store interface {
	// Write stores the balances so that they outlive the process, and from time to time so that
	// they outlive the machine.
	Write(ledgerID string, balances []StoredBalance) error
	// Restored returns the ledger that the store had when it was opened; its ID is empty where the
	// store is new.
	Restored() (ledgerID string, balances []StoredBalance)
}

// StoredBalance is a pair's balance in a store, in thousandths of units.
type StoredBalance struct {
	settlement.Pair
	Debt uint64 `cbor:"3,keyasint"`
	// InFlight are estimates of attempts that have not ended: they may have run, and are owed if
	// the process dies.
	InFlight uint64 `cbor:"4,keyasint"`
}

// Restore has the accounts go on from the store's ledger, and stored there from then on. It is
// called before the first request. Attempts that were in flight when the process died may have run,
// and are owed as estimated.
func (a *Accounts) Restore(store Store) {
	ledgerID, balances := store.Restored()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store = store
	a.changed = make(chan struct{}, 1)
	if ledgerID != "" {
		a.ledgerID = ledgerID
	}
	for _, b := range balances {
		a.balanceOf(b.Pair).debt += b.Debt + b.InFlight
	}
	a.changed <- struct{}{}
}

// storeLoop decides when the accounts are stored: after each change, at most once in
// minWriteInterval, and as the context ends. A store that fails is given up: what it has is still
// reported, and what is counted from then on goes into another ledger.
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
		time.Sleep(minWriteInterval) // what changes meanwhile goes into one write
	}
}

func logStoreError(err error, log *zap.Logger) {
	log.Error("settlement: storing debts failed, later ones are lost with the process", zap.Error(err))
}

// Persist writes the balances to the store, after which they may be reported. Run does so after
// each change. Its error is the store's.
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
		amount := settlement.Amount{Pair: b.Pair, Sum: b.Debt}
		stored = append(stored, settlement.LedgerEntry{Amount: amount, LedgerID: ledgerID})
	}
	a.mu.Lock()
	a.stored = stored
	a.mu.Unlock()
	return nil
}

// splitLedgerSuffix tells the ledger after a failed store from that of the process. It is sent: it
// never changes.
const splitLedgerSuffix = "+"

// splitLedger begins another ledger for what the store does not have.
func (a *Accounts) splitLedger() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, amount := range a.stored {
		if b := a.balances[amount.Pair]; b != nil {
			b.debt -= min(amount.Sum, b.debt)
		}
	}
	a.ledgerID = a.initialLedgerID + splitLedgerSuffix
	a.changed = nil
}
