package account

import (
	"sync"
	"testing"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/policy"
)

// Guards against a lost update: SetTerms must not restore the previous classes and plans, and a
// concurrent SetPolicy must not restore the previous terms.
func TestAccounts_concurrentReconfigurationKeepsBoth(t *testing.T) {
	for range 300 {
		a := New(Config{
			Terms: settlement.DefaultTerms(), Settings: Settings{Zones: []string{"a"}},
			LedgerID: "x", Seed: 1, Now: clockAtZero,
		})
		var updates sync.WaitGroup
		updates.Go(func() { a.SetTerms(settlement.Terms{On: true}) })
		updates.Go(func() { a.SetPolicy(nil, []policy.Plan{{Name: "wide"}}) })
		updates.Wait()
		if !a.terms.On || len(a.settings.Plans) != 1 {
			t.Fatalf("terms.On is %v, want true; plans are %v, want one", a.terms.On, a.settings.Plans)
		}
	}
}
