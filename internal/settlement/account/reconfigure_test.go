package account

import (
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/settlement"
	"harrierhoist/policy"
)

// Terms come with SIGHUP, lanes and plans with counting rules, from goroutines of their own: each took the other's part as it
// had read it before, and could put an older one back.
func TestAccounts_concurrentReconfigurationKeepsBoth(t *testing.T) {
	for range 300 {
		a := New(settlement.DefaultTerms(), Settings{Zones: []string{"a"}}, "life", 1, func() time.Duration { return 0 })
		var both sync.WaitGroup
		both.Go(func() { a.SetTerms(settlement.Terms{On: true}) })
		both.Go(func() { a.SetPolicy(nil, []policy.Plan{{Name: "wide"}}) })
		both.Wait()
		if !a.terms.On || len(a.settings.Plans) != 1 {
			t.Fatalf("on is %v, plans %v", a.terms.On, a.settings.Plans)
		}
	}
}
