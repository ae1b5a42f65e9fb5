package account

import (
	"sync"
	"testing"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/policy"
)

// Guards against a change of terms that puts back older classes and plans, or the other way round.
func TestAccounts_concurrentReconfigurationKeepsBoth(t *testing.T) {
	for range 300 {
		a := New(Config{
			Terms: settlement.DefaultTerms(), Settings: Settings{Zones: []string{"a"}},
			LedgerID: "life", Seed: 1, Now: clockAtZero,
		})
		var both sync.WaitGroup
		both.Go(func() { a.SetTerms(settlement.Terms{On: true}) })
		both.Go(func() { a.SetPolicy(nil, []policy.Plan{{Name: "wide"}}) })
		both.Wait()
		if !a.terms.On || len(a.settings.Plans) != 1 {
			t.Fatalf("on is %v, plans %v", a.terms.On, a.settings.Plans)
		}
	}
}
