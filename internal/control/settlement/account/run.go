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

// Run follows the replicated table, and keeps the balances in the store if Restore was given one,
// until the context ends and the last balances are stored. It is called once, after Restore.
func (a *Accounts) Run(
	ctx context.Context, client coordination.Client, updater ElectiveUpdater, log *zap.Logger,
) {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		if a.store != nil {
			a.storeLoop(ctx, log)
		}
	}()
	client.RegisterCounters(a.ReportMetrics)
	client.RegisterExactCounters(a.ReportDebts)
	f := &tableFollower{accounts: a, client: client, updater: updater, log: log}
	coordination.FollowTables(ctx, client, leaseCheckInterval, f.update)
	<-stored
}

// tableFollower has accounts act on the replicated table. Its methods are called by one goroutine.
type tableFollower struct {
	accounts *Accounts
	client   coordination.Client
	updater  ElectiveUpdater
	log      *zap.Logger

	epoch       uint64        // of the table; 0: none seen
	epochSeenAt time.Duration // when the table was first seen at that epoch
	state       settlement.State
	owners      []int // of the zones that lend; nil: nothing is settled
}

// update applies the table as it is now, and has the dispatcher select servers anew where other
// zones lend.
func (f *tableFollower) update() {
	cached := f.client.Cached(settlement.TableName)
	if cached.Epoch != f.epoch {
		f.readState(cached)
		f.epochSeenAt = f.client.Now()
	}
	f.accounts.ApplyState(f.state, f.actUntil(cached))
	f.updateOwners()
}

// hasSeenTable reports whether a value of the table was seen.
func (f *tableFollower) hasSeenTable() bool { return f.epoch != 0 }

// actUntil decides until when this gateway acts on the table, on the clock of leases: until its
// lease ends, or nobody has written it for settlement.StaleAfter.
func (f *tableFollower) actUntil(cached coordination.CachedTable) time.Duration {
	return min(cached.LeaseEnd, f.epochSeenAt+settlement.StaleAfter)
}

// readState decodes a new value of the table. Nothing is settled by one that cannot be read.
func (f *tableFollower) readState(cached coordination.CachedTable) {
	state, err := settlement.DecodeState(cached.Value)
	if err != nil {
		f.log.Error("settlement: stored state unreadable, nothing is settled here", zap.Error(err))
		state = settlement.State{}
	} else {
		f.logForgiveness(state)
		f.logUnknownPartners(state)
	}
	f.state = state
	f.epoch = cached.Epoch
}

// updateOwners has the dispatcher select its servers anew where zones lend that did not before, or
// no longer do.
func (f *tableFollower) updateOwners() {
	owners, _ := f.accounts.LendingZones()
	wasSettling := f.owners != nil
	isSettling := owners != nil
	if !slices.Equal(owners, f.owners) {
		f.owners = owners
		f.updater.UpdateElective()
	}
	switch {
	case isSettling && !wasSettling:
		f.log.Info("settlement: started")
	case !isSettling && wasSettling:
		f.log.Info("settlement: stopped")
	}
}

// logForgiveness logs what was forgiven since the state before. What the first state brings was
// logged by processes that saw it arise.
func (f *tableFollower) logForgiveness(state settlement.State) {
	if !f.hasSeenTable() {
		return
	}
	last := uint64(0)
	if n := len(f.state.ForgivenessLog); n > 0 {
		last = f.state.ForgivenessLog[n-1].Number
	}
	for _, e := range state.ForgivenessLog {
		if e.Number > last {
			f.log.Info("settlement: debt forgiven for its age", zap.String("debtor", e.Debtor),
				zap.String("creditor", e.Creditor), zap.Uint64("thousandths", e.Sum),
				zap.Duration("age", time.Duration(e.Age)*time.Millisecond))
		}
	}
}

// logUnknownPartners logs each debt with a partner that the file does not have, when it is first
// seen.
func (f *tableFollower) logUnknownPartners(state settlement.State) {
	f.accounts.mu.Lock()
	partners := f.accounts.partners
	f.accounts.mu.Unlock()
	known := map[settlement.Pair]bool{}
	for _, debt := range f.state.NetDebts {
		known[debt.Pair] = true
	}
	for _, debt := range state.NetDebts {
		isUnknown := partners.PartnerNumber(debt.Debtor) == 0 || partners.PartnerNumber(debt.Creditor) == 0
		if isUnknown && !known[debt.Pair] {
			f.log.Warn("settlement: debt with a partner that is not in the file", zap.String("debtor", debt.Debtor),
				zap.String("creditor", debt.Creditor), zap.Uint64("thousandths", debt.Sum))
		}
	}
}
