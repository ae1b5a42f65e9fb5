package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// fakeCounter holds counts by name and answers calls immediately.
type fakeCounter map[uint64]float64

// answerCalls makes calls and the calls that follow from their answers.
func (c fakeCounter) answerCalls(shadow *Shadow, now time.Duration, calls []Call) {
	for _, call := range calls {
		c[call.Name] += call.Units
		c.answerCalls(shadow, now, shadow.HandleCount(now, call.ID, c[call.Name], true))
	}
}

// newTestShadow returns a shadow evaluation of rule 0 and the given rule, with half of the
// components sampled.
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

// evaluateRequests evaluates 20,000 requests of 40 customers, with pauses between them drawn by
// pause. It returns the number of the gateway's own calls.
func evaluateRequests(shadow *Shadow, pause func(*rand.Rand) time.Duration) (ownCalls uint64) {
	const callsPerRequest = 8
	counts, random := fakeCounter{}, rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	for range 20_000 {
		now += pause(random)
		shadow.AddBudget(callsPerRequest)
		ownCalls += callsPerRequest
		counts.answerCalls(shadow, now, shadow.HandleRequest(now, Request{Customer: uint64(random.IntN(40)), Units: 1}))
		counts.answerCalls(shadow, now, shadow.Flush(now))
	}
	return ownCalls
}

// Two equivalent rules have about the same outcome, and merge or split no keys. Calls stay within
// their share.
func TestShadow_equivalentRulesAgree(t *testing.T) {
	shadow := newTestShadow(t, countingrule.Rule{Version: 1, Key: []string{"customer"}})
	ownCalls := evaluateRequests(shadow, func(random *rand.Rand) time.Duration {
		return time.Duration(random.IntN(int(10 * time.Millisecond)))
	})
	got := shadow.observations.counts
	difference := int(got[nameOldOnly]) - int(got[nameNewOnly])
	if max(difference, -difference) > int(got[nameBoth])/100 || got[nameBoth] < 100_000 || got[nameNeither] == 0 ||
		got[nameMergedKeys]+got[nameSplitKeys] != 0 {
		t.Errorf("equivalent rules differ: %v", got)
	}
	if shadow.CallCount() > ownCalls/4+uint64(maxCallBudget) {
		t.Errorf("%d calls for %d of the gateway exceed the share", shadow.CallCount(), ownCalls)
	}
}

// Pairs of customers that share the rate of one customer lose units, and their keys are counted as
// merged.
func TestShadow_mergedKeysReject(t *testing.T) {
	rule := countingrule.Rule{
		Version: 1, Key: []string{"group"},
		Limits: []countingrule.Limit{{Plan: "*", Rate: 2, Burst: 10}},
	}
	for i := range uint64(20) {
		rule.Groups = append(rule.Groups, countingrule.Group{Name: fmt.Sprint(i), Customers: []uint64{2 * i, 2*i + 1}})
	}
	shadow := newTestShadow(t, rule)
	evaluateRequests(shadow, func(*rand.Rand) time.Duration { return 15 * time.Millisecond })
	got := shadow.observations.counts
	// Each of the 40 customers requests 1.67 units per second with a rate of 2. A pair requests 3.3
	// units per second and has a rate of 2.
	lost := float64(got[nameOldOnly]) / float64(got[nameBoth]+got[nameOldOnly])
	if lost < 0.3 || lost > 0.5 || got[nameNewOnly] > got[nameBoth]/100 ||
		got[nameMergedKeys] == 0 || got[nameSplitKeys] != 0 {
		t.Errorf("fraction %.3f of the units lost, want 0.3 to 0.5: %v", lost, got)
	}
}
