package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// counter answers at once.
type counter map[uint64]float64

func (c counter) run(shadow *Shadow, now time.Duration, calls []Call) {
	for _, call := range calls {
		c[call.Name] += call.Units
		c.run(shadow, now, shadow.HandleCount(now, call.ID, c[call.Name], true))
	}
}

// newTestShadow evaluates a rule beside rule 0, with half of the customers sampled.
func newTestShadow(t *testing.T, rule countingrule.Rule) *Shadow {
	t.Helper()
	resolved, settings := resolve(t, rule)
	current, err := countingrule.Resolve(countingrule.Rule{}, settings)
	if err != nil {
		t.Fatal(err)
	}
	sample, err := NewSample(countingrule.Rule{}, rule, 5, 500)
	if err != nil {
		t.Fatal(err)
	}
	return NewShadow(sample, current, resolved, settings, 5, 250)
}

// evaluate has 20,000 requests of 40 customers evaluated, so far apart as pause draws, and gives
// the gateway's own calls.
func evaluate(shadow *Shadow, pause func(*rand.Rand) time.Duration) (ownCalls uint64) {
	const callsPerRequest = 8
	counts, random := counter{}, rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	for range 20_000 {
		now += pause(random)
		shadow.AddBudget(callsPerRequest)
		ownCalls += callsPerRequest
		counts.run(shadow, now, shadow.HandleRequest(now, Request{Customer: uint64(random.IntN(40)), Units: 1}))
		counts.run(shadow, now, shadow.Flush(now))
	}
	return ownCalls
}

// A rule that says the same as the old one differs nowhere; calls stay within their share.
func TestShadow_sameRuleDiffersNowhere(t *testing.T) {
	shadow := newTestShadow(t, countingrule.Rule{Version: 1, Key: []string{"customer"}})
	ownCalls := evaluate(shadow, func(random *rand.Rand) time.Duration {
		return time.Duration(random.IntN(int(10 * time.Millisecond)))
	})
	got := shadow.observations.counts
	difference := int(got[nameOldOnly]) - int(got[nameNewOnly])
	if max(difference, -difference) > int(got[nameBoth])/100 || got[nameBoth] < 100_000 || got[nameNeither] == 0 ||
		got[nameMergedKeys]+got[nameSplitKeys] != 0 {
		t.Errorf("%v", got)
	}
	if shadow.CallCount() > ownCalls/4+uint64(maxBudget) {
		t.Errorf("%d calls of %d", shadow.CallCount(), ownCalls)
	}
}

// Customers that share a count under half of their rates lose about half of their units, and their
// keys are counted as merged.
func TestShadow_mergedKeysReject(t *testing.T) {
	rule := countingrule.Rule{
		Version: 1, Key: []string{"group"},
		Limits: []countingrule.Limit{{Plan: "*", Rate: 2, Burst: 10}},
	}
	for i := range uint64(20) {
		rule.Groups = append(rule.Groups, countingrule.Group{Name: fmt.Sprint(i), Customers: []uint64{2 * i, 2*i + 1}})
	}
	shadow := newTestShadow(t, rule)
	evaluate(shadow, func(*rand.Rand) time.Duration { return 15 * time.Millisecond })
	got := shadow.observations.counts
	// 40 customers request 1.67 units a second each of their 2, so pairs request 3.3 of their 2.
	lost := float64(got[nameOldOnly]) / float64(got[nameBoth]+got[nameOldOnly])
	if lost < 0.3 || lost > 0.5 || got[nameNewOnly] > got[nameBoth]/100 ||
		got[nameMergedKeys] == 0 || got[nameSplitKeys] != 0 {
		t.Errorf("%.3f lost, %v", lost, got)
	}
}
