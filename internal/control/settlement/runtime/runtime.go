// Package runtime puts the parts of the settlement together in a running gateway: its accounts, their journal on disk,
// the replicated table and the dispatcher.
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

// Start has a gateway count and settle debts until the context ends; the channel is closed once all is stored. The
// accounts are returned for other terms later (SetTerms). Its errors are those of journal.Open.
func Start(
	ctx context.Context, config Config, client coordination.Client, dispatcher *dispatch.Dispatcher, log *zap.Logger,
) (*account.Accounts, <-chan struct{}, error) {
	var store account.Store
	closeStore := func() error { return nil }
	if config.Folder != "" {
		j, err := journal.Open(config.Folder)
		if err != nil {
			return nil, nil, err
		}
		store, closeStore = j, j.Close
	}
	// Two incarnations would have one ledger ID only if a wall clock stepped back to the same nanosecond.
	ledgerID := strconv.FormatInt(time.Now().UnixNano(), 36)
	accounts := account.New(account.Config{
		Terms:    config.Terms,
		Settings: account.Settings{Zones: config.Zones},
		LedgerID: ledgerID,
		Seed:     uint64(config.Seed),
		Now:      client.Now,
	})
	accounts.SetPolicy(config.Settings.Classes, config.Settings.Plans)
	if store != nil {
		accounts.Restore(store)
	}
	dispatcher.SetAccounts(accounts)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		accounts.Run(ctx, client, dispatcher, log)
		if err := closeStore(); err != nil {
			log.Error("settlement: closing the debt journal failed, the last second may be lost", zap.Error(err))
		}
	}()
	return accounts, ended, nil
}
