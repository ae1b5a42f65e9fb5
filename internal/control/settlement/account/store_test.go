package account

import (
	"testing"

	"go.uber.org/zap"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// A process ends with an attempt in flight, and the next one restores its ledger: the debt is kept,
// and the estimate for the attempt in flight is added, as it may have run. Then the store fails:
// the stored debts are reported once, and later debts are reported in a new ledger.
func TestAccounts_countsSurviveRestartAndStoreFailure(t *testing.T) {
	store := &memoryStore{ledgerID: "first"}
	start := func() (accounts *Accounts, stop func()) {
		client := newFakeCoordination()
		accounts = New(testConfig("fresh", client.Now))
		accounts.Restore(store)
		return accounts, runAccounts(t, accounts, client, make(updateNotifications, 10), zap.NewNop())
	}
	attempt := func(accounts *Accounts) *RequestTracker {
		tracker := accounts.TrackRequest(0, policy.Request{Customer: 1, Units: 2})
		tracker.OnAttemptStart(1)
		return tracker
	}

	accounts, stop := start()
	attempt(accounts).OnAttemptEnd(0, policy.Answered, 7)
	attempt(accounts) // still in flight when the process ends
	fakes.Eventually(t, "the reported debt", func() bool { return reportedDebtOfA(accounts, "first") == 7000 })
	stop()

	accounts, stop = start()
	fakes.Eventually(t, "the reported estimate", func() bool { return reportedDebtOfA(accounts, "first") == 9000 })
	store.fail()
	attempt(accounts).OnAttemptEnd(0, policy.Answered, 3)
	fakes.Eventually(t, "debts in the new ledger", func() bool {
		return reportedDebtOfA(accounts, "fresh+") == 3000 && reportedDebtOfA(accounts, "first") == 9000
	})
	attempt(accounts).OnAttemptEnd(0, policy.Answered, 1)
	if got := reportedDebtOfA(accounts, "fresh+"); got != 4000 {
		t.Errorf("debt in the new ledger: got %d, want 4000", got)
	}
	stop()
}

// Guards against stored debts that are reported twice, under the ledger of the store and under a new
// one: the store fails before its first write after a restart. The restored debts stay in their ledger
// alone, with the estimate for what was in flight, and so does the next incarnation report them.
func TestAccounts_storeFailsBeforeItsFirstWrite(t *testing.T) {
	pair := settlement.Pair{Debtor: "a", Creditor: "b"}
	store := &memoryStore{ledgerID: "first", balances: []StoredBalance{{Pair: pair, Debt: 7000, InFlight: 2000}}}
	store.fail()
	for _, ledgerID := range []string{"second", "third"} {
		client := newFakeCoordination()
		accounts := New(testConfig(ledgerID, client.Now))
		accounts.Restore(store)
		stop := runAccounts(t, accounts, client, make(updateNotifications, 10), zap.NewNop())
		fakes.Eventually(t, "the store given up", func() bool {
			accounts.mu.Lock()
			defer accounts.mu.Unlock()
			return !accounts.hasWorkingStore()
		})
		tracker := accounts.TrackRequest(0, policy.Request{Customer: 1, Units: 2})
		tracker.OnAttemptStart(1)
		tracker.OnAttemptEnd(0, policy.Answered, 3)
		old, next := reportedDebtOfA(accounts, "first"), reportedDebtOfA(accounts, ledgerID+"+")
		if old != 9000 || next != 3000 {
			t.Errorf("%s: a owes b %d in the stored ledger and %d in the new one, want 9000 and 3000",
				ledgerID, old, next)
		}
		stop()
	}
}
