package account

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/coordination"
)

// leaseCheckInterval is how often the table's lease is checked: renewing it changes no table.
const leaseCheckInterval = 200 * time.Millisecond

// ElectiveUpdater selects its servers anew by the shares that the accounts have: a dispatcher.
type ElectiveUpdater interface{ UpdateElective() }

// Run follows the replicated table, and keeps the balances in the store if there is one, until the context ends and the
// last balances are stored. It is called once, after Restore where there is a store.
func (a *Accounts) Run(
	ctx context.Context, client coordination.Client, updater ElectiveUpdater, store Store, log *zap.Logger,
) {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		if store != nil {
			a.storeLoop(ctx, store, log)
		}
	}()
	client.RegisterCounters(a.ReportMetrics)
	client.RegisterExactCounters(a.ReportDebts)
	a.followTable(ctx, client, updater, log)
	<-stored
}

// follower is what followTable has seen so far.
type follower struct {
	epoch       uint64        // of the table; 0: none seen
	epochSeenAt time.Duration // when the table was first seen at that epoch
	state       settlement.State
	owners      []int // of the zones that lend; nil: nothing is settled
}

// followTable applies each value of the table, and has the dispatcher select servers anew where other zones lend.
func (a *Accounts) followTable(ctx context.Context, client coordination.Client, updater ElectiveUpdater, log *zap.Logger) {
	f := &follower{}
	coordination.FollowTables(ctx, client, leaseCheckInterval, func() {
		cached := client.Cached(settlement.TableName)
		if cached.Epoch != f.epoch {
			a.readState(f, cached, log)
			f.epochSeenAt = client.Now()
		}
		a.ApplyState(f.state, min(cached.LeaseEnd, f.epochSeenAt+settlement.StaleAfter))
		a.updateOwners(f, updater, log)
	})
}

// readState decodes a new value of the table. Nothing is settled by one that cannot be read.
func (a *Accounts) readState(f *follower, cached coordination.CachedTable, log *zap.Logger) {
	state, err := settlement.DecodeState(cached.Value)
	if err != nil {
		log.Error("settlement: stored state unreadable, nothing is settled here", zap.Error(err))
		state = settlement.State{}
	} else {
		a.logForgiveness(f, state, log)
		a.logUnknownPartners(f.state, state, log)
	}
	f.state, f.epoch = state, cached.Epoch
}

// updateOwners has the dispatcher select its servers anew where zones lend that did not before, or no longer do.
func (a *Accounts) updateOwners(f *follower, updater ElectiveUpdater, log *zap.Logger) {
	owners, _ := a.LendingZones()
	wasSettling := f.owners != nil
	if !slices.Equal(owners, f.owners) {
		f.owners = owners
		updater.UpdateElective()
	}
	switch isSettling := owners != nil; {
	case isSettling && !wasSettling:
		log.Info("settlement: started")
	case !isSettling && wasSettling:
		log.Info("settlement: stopped")
	}
}

// logForgiveness logs what was forgiven since the state before; what the first state brings was logged by others.
func (a *Accounts) logForgiveness(f *follower, state settlement.State, log *zap.Logger) {
	if f.epoch == 0 {
		return
	}
	last := uint64(0)
	if n := len(f.state.ForgivenessLog); n > 0 {
		last = f.state.ForgivenessLog[n-1].Number
	}
	for _, e := range state.ForgivenessLog {
		if e.Number > last {
			log.Info("settlement: debt forgiven for its age", zap.String("debtor", e.Debtor),
				zap.String("creditor", e.Creditor), zap.Uint64("thousandths", e.Sum),
				zap.Duration("age", time.Duration(e.Age)*time.Millisecond))
		}
	}
}

// logUnknownPartners logs each debt with a partner that the file does not have, when it is first seen.
func (a *Accounts) logUnknownPartners(previous, state settlement.State, log *zap.Logger) {
	a.mu.Lock()
	partners := a.partners
	a.mu.Unlock()
	known := map[settlement.Pair]bool{}
	for _, debt := range previous.NetDebts {
		known[debt.Pair] = true
	}
	for _, debt := range state.NetDebts {
		isUnknown := partners.PartnerNumber(debt.Debtor) == 0 || partners.PartnerNumber(debt.Creditor) == 0
		if isUnknown && !known[debt.Pair] {
			log.Warn("settlement: debt with a partner that is not in the file", zap.String("debtor", debt.Debtor),
				zap.String("creditor", debt.Creditor), zap.Uint64("thousandths", debt.Sum))
		}
	}
}
