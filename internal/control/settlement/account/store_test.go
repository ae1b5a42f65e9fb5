package account

import (
	"testing"

	"go.uber.org/zap"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// A process dies with an attempt in flight, and the next one restores its ledger: what was counted
// is kept, and what was in flight may have run. Then the store fails: what it has is not reported
// twice, and what comes later is reported in another ledger.
func TestAccounts_countsSurviveRestartAndStoreFailure(t *testing.T) {
	store := &memoryStore{ledgerID: "first"}
	start := func() (accounts *Accounts, stop func()) {
		client := newFakeCoordination()
		accounts = New(testConfig("fresh", client.Now))
		accounts.Restore(store)
		return accounts, runAccounts(t, accounts, client, make(updateSignal, 10), zap.NewNop())
	}
	attempt := func(accounts *Accounts) *RequestTracker {
		tracker := accounts.TrackRequest(0, policy.Request{Customer: 1, Units: 2})
		tracker.OnAttemptStart(1)
		return tracker
	}

	accounts, stop := start()
	attempt(accounts).OnAttemptEnd(0, policy.Answered, 7)
	attempt(accounts) // in flight as the process dies
	fakes.Eventually(t, "the debt reported", func() bool { return debtOfA(accounts, "first") == 7000 })
	stop()

	accounts, stop = start()
	fakes.Eventually(t, "the estimate owed", func() bool { return debtOfA(accounts, "first") == 9000 })
	store.fail()
	attempt(accounts).OnAttemptEnd(0, policy.Answered, 3)
	fakes.Eventually(t, "another ledger", func() bool {
		return debtOfA(accounts, "fresh+") == 3000 && debtOfA(accounts, "first") == 9000
	})
	attempt(accounts).OnAttemptEnd(0, policy.Answered, 1)
	if got := debtOfA(accounts, "fresh+"); got != 4000 {
		t.Errorf("%d reported in the other ledger, want 4000", got)
	}
	stop()
}
