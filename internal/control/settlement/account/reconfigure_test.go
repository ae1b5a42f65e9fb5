package account

import (
	"sync"
	"testing"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/policy"
)

// Terms change with SIGHUP, classes and plans with counting rules, from goroutines of their own. Each once set the other's
// part as it had read it before, and could put an older one back.
func TestAccounts_concurrentReconfigurationKeepsBoth(t *testing.T) {
	for range 300 {
		a := New(settlement.DefaultTerms(), Settings{Zones: []string{"a"}}, "life", 1, clockAtZero)
		var both sync.WaitGroup
		both.Go(func() { a.SetTerms(settlement.Terms{On: true}) })
		both.Go(func() { a.SetPolicy(nil, []policy.Plan{{Name: "wide"}}) })
		both.Wait()
		if !a.terms.On || len(a.settings.Plans) != 1 {
			t.Fatalf("on is %v, plans %v", a.terms.On, a.settings.Plans)
		}
	}
}
