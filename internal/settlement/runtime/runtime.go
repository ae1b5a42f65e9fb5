// Package runtime puts the parts of the settlement together in a running gateway: its accounts, their journal on disk,
// the replicated table and the dispatcher.
package runtime

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/settlement"
	"harrierhoist/internal/settlement/account"
	"harrierhoist/internal/settlement/journal"
	"harrierhoist/policy"
)

// Start has a gateway count and settle debts until the context ends; the channel is closed once all is stored. Zones are
// names in the order of the settings. Without a folder nothing is stored. The accounts are returned for other terms
// later (SetTerms). Its errors are those of journal.Open.
func Start(
	ctx context.Context, terms settlement.Terms, settings policy.Settings, zones []string, seed int64, folder string,
	client coordination.Client, dispatcher *dispatch.Dispatcher, log *zap.Logger,
) (*account.Accounts, <-chan struct{}, error) {
	var store account.Store
	closeStore := func() error { return nil }
	if folder != "" {
		j, err := journal.Open(folder)
		if err != nil {
			return nil, nil, err
		}
		store, closeStore = j, j.Close
	}
	// Two incarnations would have one ledger ID only if a wall clock stepped back to the same nanosecond.
	ledgerID := strconv.FormatInt(time.Now().UnixNano(), 36)
	accounts := account.New(terms, account.Settings{Zones: zones}, ledgerID, uint64(seed), client.Now)
	accounts.SetPolicy(settings.Classes, settings.Plans)
	if store != nil {
		accounts.Restore(store)
	}
	dispatcher.SetAccounts(accounts)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		accounts.Run(ctx, client, dispatcher, store, log)
		if err := closeStore(); err != nil {
			log.Error("settlement: closing the debt journal failed, the last second may be lost", zap.Error(err))
		}
	}()
	return accounts, ended, nil
}
