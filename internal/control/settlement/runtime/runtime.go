// Package runtime starts debt settlement in a gateway. It connects the gateway's accounts with
// their journal on disk, the replicated table and the dispatcher. Package gateway calls Start if
// settlement is on in the operators' file.
package runtime

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/internal/control/settlement/journal"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// Config is the configuration of Start.
type Config struct {
	Terms    settlement.Terms
	Settings policy.Settings
	Zones    []string // zone names, by zone index of Settings
	Seed     int64    // seed of the draws that select requests for settlement
	Folder   string   // folder of the journal; if empty, balances are not stored
}

// Dependencies are the parts of the gateway that settlement uses.
type Dependencies struct {
	Client     coordination.Client // client for the replicated table and the digests
	Dispatcher *dispatch.Dispatcher
	Log        *zap.Logger
}

// ledgerIDRadix is the radix in which the start time, in ns since the Unix epoch, is formatted as
// the ledger ID.
const ledgerIDRadix = 36

// Start starts to count and settle a gateway's debts, and returns; settlement runs until ctx is
// done. The caller may change the terms of the returned accounts with SetTerms. The returned
// channel is closed after the last balances are stored and the journal is closed. Start returns the
// errors of journal.Open.
func Start(
	ctx context.Context, config Config, dependencies Dependencies,
) (*account.Accounts, <-chan struct{}, error) {
	var store account.Store
	closeStore := func() error { return nil }
	if config.Folder != "" {
		j, err := journal.Open(config.Folder)
		if err != nil {
			return nil, nil, err
		}
		store = j
		closeStore = j.Close
	}
	// Two incarnations have the same ledger ID only if the wall clock steps back and both start at
	// the same nanosecond.
	ledgerID := strconv.FormatInt(time.Now().UnixNano(), ledgerIDRadix)
	accounts := account.New(account.Config{
		Terms:    config.Terms,
		Settings: account.Settings{Zones: config.Zones},
		LedgerID: ledgerID,
		Seed:     uint64(config.Seed),
		Now:      dependencies.Client.Now,
	})
	accounts.SetPolicy(config.Settings.Classes, config.Settings.Plans)
	if store != nil {
		accounts.Restore(store)
	}
	dependencies.Dispatcher.SetAccounts(accounts)
	done := make(chan struct{})
	go func() {
		defer close(done)
		accounts.Run(ctx, dependencies.Client, dependencies.Dispatcher, dependencies.Log)
		if err := closeStore(); err != nil {
			dependencies.Log.Error("settlement: closing the debt journal failed, the last second may be lost",
				zap.Error(err))
		}
	}()
	return accounts, done, nil
}
