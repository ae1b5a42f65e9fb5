package till

import (
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/debts"
	"harrierhoist/policy"
)

// Terms come with SIGHUP, lanes and plans with counting rules, from goroutines of their own: each took the other's part as it
// had read it before, and could put an older one back.
func TestTermsAndPlansTakenAtOnceBothStand(t *testing.T) {
	for range 300 {
		l := New(debts.Default(), Site{Halls: []string{"a"}}, "life", 1, func() time.Duration { return 0 })
		var both sync.WaitGroup
		both.Go(func() { l.Retell(debts.Terms{On: true}) })
		both.Go(func() { l.Resite(nil, []policy.Plan{{Name: "wide"}}) })
		both.Wait()
		if !l.terms.On || len(l.site.Plans) != 1 {
			t.Fatalf("on is %v, plans %v", l.terms.On, l.site.Plans)
		}
	}
}
