package account

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/coordination"
)

// leaseCheckInterval is how often the table's lease is checked. A renewed lease is not reported as
// a change of the table.
const leaseCheckInterval = 200 * time.Millisecond

// ElectiveServersUpdater is implemented by the dispatcher. UpdateElectiveServers selects the
// servers for attempts that settle debts again, according to the current shares of Accounts.
type ElectiveServersUpdater interface{ UpdateElectiveServers() }

// Run applies the replicated table, registers the counters that are reported in digests, and writes
// the balances to the store if there is one. It blocks until ctx is done and the last write to the
// store has ended. It must be called at most once, after Restore.
func (a *Accounts) Run(
	ctx context.Context, client coordination.Client, updater ElectiveServersUpdater, log *zap.Logger,
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

// tableFollower applies the replicated table to accounts. It is not safe for concurrent use.
type tableFollower struct {
	accounts *Accounts
	client   coordination.Client
	updater  ElectiveServersUpdater
	log      *zap.Logger

	epoch         uint64           // epoch of the latest table seen; 0 before the first
	epochSeenAt   time.Duration    // time on the client's clock at which epoch was first seen
	state         settlement.State // value of the table at epoch
	lendingOwners []int            // LendingZones at the last update; nil if no debt is being settled
}

// update applies the cached table, and updates the dispatcher if the lending zones have changed.
func (f *tableFollower) update() {
	cached := f.client.Cached(settlement.TableName)
	if cached.Epoch != f.epoch {
		f.readState(cached)
		f.epochSeenAt = f.client.Now()
	}
	f.accounts.ApplyState(f.state, f.stateValidUntil(cached))
	f.updateLendingOwners()
}

// hasSeenTable reports whether any value of the table has been seen.
func (f *tableFollower) hasSeenTable() bool { return f.epoch != 0 }

// stateValidUntil returns the time on the lease clock until which this gateway acts on the table.
// That is the end of the table's lease, or settlement.StaleAfter after the current epoch was first
// seen, whichever is earlier.
func (f *tableFollower) stateValidUntil(cached coordination.CachedTable) time.Duration {
	return min(cached.LeaseEnd, f.epochSeenAt+settlement.StaleAfter)
}

// readState decodes a new value of the table and logs what is new in it. A value that cannot be
// decoded is treated as an empty state, so that no debt is settled.
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

// updateLendingOwners notifies the dispatcher if the lending zones or their owners have changed,
// and logs when settlement starts and stops.
func (f *tableFollower) updateLendingOwners() {
	owners, _ := f.accounts.LendingZones()
	wasSettling := f.lendingOwners != nil
	isSettling := owners != nil
	if !slices.Equal(owners, f.lendingOwners) {
		f.lendingOwners = owners
		f.updater.UpdateElectiveServers()
	}
	switch {
	case isSettling && !wasSettling:
		f.log.Info("settlement: started")
	case !isSettling && wasSettling:
		f.log.Info("settlement: stopped")
	}
}

// logForgiveness logs the entries of the forgiveness log that the previous state does not have. It
// logs none for the first state seen: processes that were running when these entries were written
// have logged them.
func (f *tableFollower) logForgiveness(state settlement.State) {
	if !f.hasSeenTable() {
		return
	}
	lastNumber := uint64(0)
	if n := len(f.state.ForgivenessLog); n > 0 {
		lastNumber = f.state.ForgivenessLog[n-1].Number
	}
	for _, e := range state.ForgivenessLog {
		if e.Number > lastNumber {
			f.log.Info("settlement: debt forgiven for its age", zap.String("debtor", e.Debtor),
				zap.String("creditor", e.Creditor), zap.Uint64("thousandths", e.Sum),
				zap.Duration("age", time.Duration(e.Age)*time.Millisecond))
		}
	}
}

// logUnknownPartners logs each debt whose debtor or creditor is not in the operators' file, when
// the pair's debt first appears in the table.
func (f *tableFollower) logUnknownPartners(state settlement.State) {
	f.accounts.mu.Lock()
	partners := f.accounts.partners
	f.accounts.mu.Unlock()
	wasListed := map[settlement.Pair]bool{}
	for _, debt := range f.state.NetDebts {
		wasListed[debt.Pair] = true
	}
	for _, debt := range state.NetDebts {
		isUnknown := partners.PartnerNumber(debt.Debtor) == 0 || partners.PartnerNumber(debt.Creditor) == 0
		if isUnknown && !wasListed[debt.Pair] {
			f.log.Warn("settlement: debt with a partner that is not in the file", zap.String("debtor", debt.Debtor),
				zap.String("creditor", debt.Creditor), zap.Uint64("thousandths", debt.Sum))
		}
	}
}
