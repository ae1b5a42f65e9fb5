// Package keep puts the parts of debts together in a running gateway.
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

// Start has a gateway count debts and settle them by what all hold in common, until the context ends; the channel is
// closed once all is on disk. Halls are the names in the order of the settings. Without a folder nothing is kept on
// disk. The till is for other terms later (Reshape). Errors: a folder that cannot be used, or is another process's.
func Start(ctx context.Context, terms settlement.Terms, settings policy.Settings, zones []string, seed int64, folder string,
	coordination coordination.Client, dispatcher *dispatch.Dispatcher, log *zap.Logger) (*account.Accounts, <-chan struct{}, error) {
	var store account.Store
	closeStore := func() error { return nil }
	if folder != "" {
		j, err := journal.Open(folder)
		if err != nil {
			return nil, nil, err
		}
		store, closeStore = j, j.Close
	}
	// A wall clock that steps back to the same nanosecond would give two lives one name; nothing else is told by it.
	ledgerID := strconv.FormatInt(time.Now().UnixNano(), 36)
	accounts := account.New(terms, account.Settings{Zones: zones}, ledgerID, uint64(seed), coordination.Now)
	accounts.SetPolicy(settings.Classes, settings.Plans)
	if store != nil {
		accounts.Restore(store)
	}
	dispatcher.SetAccounts(accounts)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		accounts.Run(ctx, coordination, dispatcher, store, log)
		if err := closeStore(); err != nil {
			log.Error("the disk keeps no debts of the last second", zap.Error(err))
		}
	}()
	return accounts, ended, nil
}
