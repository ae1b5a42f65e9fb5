package account

import (
	"context"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/settlement"
)

// ElectiveUpdater lays its servers out anew for the shares that a till holds: a gate.
type ElectiveUpdater interface{ UpdateElective() }

// Store keeps the counts of a process over its lives. Its calls may wait for the disk.
type Store interface {
	// Write has the counts outlive the process, and from time to time the machine.
	Write(ledgerID string, counts []StoredBalance) error
	// Restored is the life that the disk holds, empty where it is new, with its counts.
	Restored() (ledgerID string, counts []StoredBalance)
}

// StoredBalance is a pair's counts on disk, in thousandths of units.
type StoredBalance struct {
	settlement.Pair
	Debt     uint64 `cbor:"3,keyasint"`
	InFlight uint64 `cbor:"4,keyasint"` // told of pushes that were out: they may have run, and are owed if the process dies
}

const (
	leaseCheckInterval = 200 * time.Millisecond // how often the lease is looked at: renewing it changes no table
	minWriteInterval   = 5 * time.Millisecond   // least time between writes: what a process that dies may lose of its pushes
)

// Run goes by the tables that all hold in common, and keeps the counts on disk if there is one, until the context
// ends. It is called once, after Load where there is a disk.
func (a *Accounts) Run(ctx context.Context, coordination coordination.Client, updater ElectiveUpdater, store Store, log *zap.Logger) {
	written := make(chan struct{})
	if store != nil {
		go func() {
			defer close(written)
			a.storeLoop(ctx, store, log)
		}()
	} else {
		close(written)
	}
	coordination.RegisterCounters(a.ReportMetrics)
	coordination.RegisterExactCounters(a.ReportDebts)
	a.followTable(ctx, coordination, updater, log)
	<-written
}

// followTable takes each table, and has the gate lay its servers out anew where other halls lend.
func (a *Accounts) followTable(ctx context.Context, coordination coordination.Client, updater ElectiveUpdater, log *zap.Logger) {
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	var epoch uint64
	var epochSeenAt time.Duration // when the table was first seen at that epoch
	state, settling := settlement.State{}, false
	var zoneOwners []int
	for {
		changed := coordination.Changed()
		held := coordination.Cached(settlement.TableName)
		if held.Epoch != epoch {
			previous := state
			var err error
			if state, err = settlement.DecodeState(held.Value); err != nil {
				log.Error("the table of debts cannot be read: nothing is settled here", zap.Error(err))
				state = settlement.State{}
			} else {
				a.logChanges(previous, state, epoch == 0, log)
			}
			epoch, epochSeenAt = held.Epoch, coordination.Now()
		}
		until := min(held.LeaseEnd, epochSeenAt+settlement.StaleAfter)
		a.ApplyState(state, until)
		owners, _ := a.LendingZones()
		if !equalOwners(owners, zoneOwners) {
			zoneOwners = owners
			updater.UpdateElective()
		}
		if now := owners != nil; now != settling {
			settling = now
			log.Info(map[bool]string{true: "debts are being settled", false: "no debt is being settled"}[now])
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

func equalOwners(a, b []int) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// logChanges logs each entry of forgiveness that is new, and each partner that the file does not have and whose debt
// stands, when that is first seen.
func (a *Accounts) logChanges(previous, state settlement.State, isFirst bool, log *zap.Logger) {
	last := uint64(0)
	if n := len(previous.ForgivenessLog); n > 0 {
		last = previous.ForgivenessLog[n-1].Number
	}
	for _, e := range state.ForgivenessLog {
		if e.Number > last && !isFirst {
			log.Info("a debt is forgiven for its age", zap.String("debtor", e.Debtor), zap.String("creditor", e.Creditor),
				zap.Uint64("thousandths", e.Sum), zap.Duration("age", time.Duration(e.Age)*time.Millisecond))
		}
	}
	a.mu.Lock()
	partners := a.partners
	a.mu.Unlock()
	knownPairs := map[settlement.Pair]bool{}
	for _, n := range previous.NetDebts {
		knownPairs[n.Pair] = true
	}
	for _, n := range state.NetDebts {
		if (partners.PartnerNumber(n.Debtor) == 0 || partners.PartnerNumber(n.Creditor) == 0) && !knownPairs[n.Pair] {
			log.Warn("a debt stands with a partner that is not in the file", zap.String("debtor", n.Debtor),
				zap.String("creditor", n.Creditor), zap.Uint64("thousandths", n.Sum))
		}
	}
}

// Restore goes on from what the disk holds, before the first task. What was out when the process died may have run, and is
// owed as told.
func (a *Accounts) Restore(store Store) {
	ledgerID, balances := store.Restored()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changed = make(chan struct{}, 1)
	if ledgerID != "" {
		a.ledgerID = ledgerID
	}
	for _, k := range balances {
		pairBalance := a.balances[k.Pair]
		if pairBalance == nil {
			pairBalance = &balance{}
			a.balances[k.Pair] = pairBalance
		}
		pairBalance.debt += k.Debt + k.InFlight
	}
	a.changed <- struct{}{}
}

// storeLoop has the disk follow the counts, each time as one. A disk that fails is given up: what it holds goes on to be
// told, and what is counted since begins another life of the counts.
func (a *Accounts) storeLoop(ctx context.Context, store Store, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			_ = a.Persist(store)
			return
		case <-a.changed:
		}
		if err := a.Persist(store); err != nil {
			log.Error("the disk keeps no debts any more: what is counted from here on is lost with the process", zap.Error(err))
			a.splitLedger()
			return
		}
		time.Sleep(minWriteInterval)
	}
}

// Persist writes the counts, and has them told once they are written; Run does so after each change.
func (a *Accounts) Persist(store Store) error {
	a.mu.Lock()
	ledgerID := a.ledgerID
	var balances []StoredBalance
	for p, pairBalance := range a.balances {
		balances = append(balances, StoredBalance{p, pairBalance.debt, pairBalance.inFlight})
	}
	a.mu.Unlock()
	if err := store.Write(ledgerID, balances); err != nil {
		return err
	}
	stored := make([]settlement.LedgerAmount, 0, len(balances))
	for _, k := range balances {
		stored = append(stored, settlement.LedgerAmount{Amount: settlement.Amount{Pair: k.Pair, Sum: k.Debt}, LedgerID: ledgerID})
	}
	a.mu.Lock()
	a.stored = stored
	a.mu.Unlock()
	return nil
}

// splitLedger begins another life of the counts for what the disk does not hold.
func (a *Accounts) splitLedger() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.stored {
		if pairBalance := a.balances[c.Pair]; pairBalance != nil {
			pairBalance.debt -= min(c.Sum, pairBalance.debt)
		}
	}
	a.ledgerID, a.changed = a.initialLedgerID+"+", nil
}
