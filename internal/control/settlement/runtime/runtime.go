// Package runtime puts the parts of the settlement together in a running gateway: its accounts,
// their journal on disk, the replicated table and the dispatcher. Package gateway calls it where
// the operators' file has the settlement on.
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

// Config is what a gateway's settlement goes by.
type Config struct {
	Terms    settlement.Terms
	Settings policy.Settings
	Zones    []string // names, in the order of the settings
	Seed     int64    // of the draws of elective requests
	Folder   string   // of the journal; empty: nothing is stored
}

// Dependencies are the parts of the gateway that its settlement works with.
type Dependencies struct {
	Client     coordination.Client // of the replicated table and the digests
	Dispatcher *dispatch.Dispatcher
	Log        *zap.Logger
}

// ledgerIDBase is the base in which the start's time is written as ledger ID.
const ledgerIDBase = 36

// Start has a gateway count and settle debts until the context ends; the channel is closed once all
// is stored. The accounts are returned for other terms later (SetTerms). Its errors are those of
// journal.Open.
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
	// Two incarnations would have one ledger ID only if a wall clock stepped back to the same
	// nanosecond.
	ledgerID := strconv.FormatInt(time.Now().UnixNano(), ledgerIDBase)
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		accounts.Run(ctx, dependencies.Client, dependencies.Dispatcher, dependencies.Log)
		if err := closeStore(); err != nil {
			dependencies.Log.Error("settlement: closing the debt journal failed, the last second may be lost",
				zap.Error(err))
		}
	}()
	return accounts, ended, nil
}
