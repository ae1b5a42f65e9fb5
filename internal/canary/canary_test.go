package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierhoist/internal/countingrule"
	"harrierhoist/policy"
)

func testSettings() policy.Settings {
	return policy.Settings{Gateways: 4, Classes: []policy.TrafficClass{{Name: "look", Weight: 1}, {Name: "pay", Weight: 2}},
		Plans: []policy.Plan{{Name: "small", Rate: 2, Burst: 10}}}
}

func resolve(t testing.TB, rule countingrule.Rule) (*countingrule.Resolved, policy.Settings) {
	t.Helper()
	settings := countingrule.WithRulePlans(testSettings(), []countingrule.Rule{rule})
	resolved, err := countingrule.Resolve(rule, settings)
	if err != nil {
		t.Fatal(err)
	}
	return resolved, settings
}

// drawRule draws a rule of groups over few customers, so that the two rules' groups cross.
func drawRule(t *rapid.T, version uint64) countingrule.Rule {
	rule := countingrule.Rule{Version: version, Key: []string{"group"}, Limits: []countingrule.Limit{{Plan: "*", Rate: 1, Burst: 1}}}
	if rapid.Bool().Draw(t, "by customer") {
		rule.Key = []string{"customer", "lane"}
		return rule
	}
	next := uint64(1)
	for i := range rapid.IntRange(1, 12).Draw(t, "groups") {
		group := countingrule.Group{Name: fmt.Sprint(i)}
		for range rapid.IntRange(1, 4).Draw(t, "customers") {
			next += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			group.Customers = append(group.Customers, next)
		}
		rule.Groups = append(rule.Groups, group)
	}
	return rule
}

// splitKey looks for a count, of either rule, of which some customers are played and some not, or in two cells.
func splitKey(t *rapid.T, bucketOf func(*Sample, uint64) (int, bool)) string {
	old, next := drawRule(t, 1), drawRule(t, 2)
	sample, err := NewSample(old, next, rapid.Uint64().Draw(t, "seed"), 300)
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range []countingrule.Rule{old, next} {
		settings := countingrule.WithRulePlans(testSettings(), []countingrule.Rule{rule})
		resolved, _ := countingrule.Resolve(rule, settings)
		type where struct {
			cell int
			in   bool
		}
		first := map[uint64]where{}
		for customer := range uint64(100) {
			bucket, sampled := bucketOf(sample, customer)
			key := resolved.Assign(customer, 0, 0).Key
			if known, ok := first[key]; ok && known != (where{bucket, sampled}) {
				return fmt.Sprintf("rule %d cuts the key of customer %d", rule.Version, customer)
			}
			first[key] = where{bucket, sampled}
		}
	}
	return ""
}

func TestSample_splitsNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := splitKey(t, (*Sample).Bucket); violation != "" {
			t.Fatal(violation)
		}
	})
}

// The same check finds a sample that goes by customers, and one that follows one rule's groups but no further.
func TestSample_checkFindsASplitKey(t *testing.T) {
	for name, broken := range map[string]func(*Sample, uint64) (int, bool){
		"by customer": func(sample *Sample, customer uint64) (int, bool) {
			return int(countingrule.Hash(sample.seed, customer) % Buckets), countingrule.Hash(sample.seed, customer) < sample.threshold
		},
		"one step only": func(sample *Sample, customer uint64) (int, bool) {
			neighbours := Sample{seed: sample.seed, threshold: sample.threshold, mask: sample.mask, parents: map[uint64]uint64{}}
			if root := sample.parents[customer]; root != 0 && customer-root < 4 { // neighbours alone
				neighbours.parents[customer] = root
			}
			return neighbours.Bucket(customer)
		},
	} {
		runs, found := 0, false
		gen := rapid.Custom(func(t *rapid.T) string { return splitKey(t, broken) })
		for ; runs < 200 && !found; runs++ {
			found = gen.Example(runs) != ""
		}
		if !found {
			t.Errorf("%s: not found in %d runs", name, runs)
		}
		t.Logf("%s: found after %d runs", name, runs)
	}
}

// Two masks hang together what either leaves open; with few bits in common there is nothing to draw from.
func TestSample_masksShareTheirCommonBits(t *testing.T) {
	rule := func(v, mask uint64) countingrule.Rule {
		return countingrule.Rule{Version: v, Key: []string{"group"}, Mask: mask}
	}
	sample, err := NewSample(rule(1, 0xfff0), rule(2, 0xff0f), 3, 500)
	if err != nil || sample.ComponentKey(0x1234) != sample.ComponentKey(0x12ff) || sample.ComponentKey(0x1234) == sample.ComponentKey(0x1334) {
		t.Errorf("%v, %+v", err, sample)
	}
	if _, err := NewSample(rule(1, 0xff00), rule(2, 0x00ff), 3, 500); err == nil {
		t.Error("all customers are one component, and a sample was drawn")
	}
	if _, err := NewSample(rule(1, 0xff00), countingrule.Rule{Version: 2, Key: []string{"group"},
		Groups: []countingrule.Group{{Name: "a", Customers: []uint64{1, 2}}}}, 3, 500); err == nil {
		t.Error("a list across masks was sampled")
	}
}

// At the very bound neither side may win more often than stated, whenever it is looked at.
func TestBettingTest_errorRateAtTheBound(t *testing.T) {
	const runs, bound, a = 2000, 0.05, 0.05
	draws := map[string]func(*rand.Rand) float64{
		"rare and whole": func(random *rand.Rand) float64 { return map[bool]float64{true: 1}[random.Float64() < bound] },
		"even":           func(random *rand.Rand) float64 { return 2 * bound * random.Float64() },
	}
	for name, draw := range draws {
		falselyHarmless, falselyHarmful := 0, 0
		for seed := range uint64(runs) {
			random, test := rand.New(rand.NewPCG(seed, 9)), BettingTest{}
			calledHarmful, harmless := false, false
			for range Buckets {
				test.Add(draw(random), bound)
				calledHarmful, harmless = calledHarmful || test.IsAbove(a), harmless || test.IsBelow(a)
			}
			if calledHarmful {
				falselyHarmful++
			}
			if harmless {
				falselyHarmless++
			}
		}
		t.Logf("%s: of %d at the bound, %d called harmless, %d harmful", name, runs, falselyHarmless, falselyHarmful)
		if falselyHarmless > 120 || falselyHarmful > 120 { // 100 are stated; 120 is two deviations more
			t.Errorf("%s: wrong too often: %d and %d", name, falselyHarmless, falselyHarmful)
		}
	}
}

// The page's word on how many cells a bound needs where nothing goes wrong.
func TestBettingTest_bucketsNeededWithoutHarm(t *testing.T) {
	for bound, maxBuckets := range map[float64]int{0.02: 200, 0.05: 80, 0.1: 40} {
		test := BettingTest{}
		for !test.IsBelow(0.05) && test.Count < Buckets {
			test.Add(0, bound)
		}
		if !test.IsBelow(0.05) || test.Count > maxBuckets {
			t.Errorf("bound %v: %d cells, not %d", bound, test.Count, maxBuckets)
		}
	}
}

// counter is one that answers at once.
type counter map[uint64]float64

func (c counter) run(shadow *Shadow, now time.Duration, calls []Call) {
	for _, call := range calls {
		c[call.Name] += call.Units
		c.run(shadow, now, shadow.HandleCount(now, call.ID, c[call.Name], true))
	}
}

// Alike on both sides, a rule that says the same as the old one differs nowhere; calls stay within their share.
func TestShadow_sameRuleDiffersNowhere(t *testing.T) {
	same := countingrule.Rule{Version: 1, Key: []string{"customer"}}
	resolved, settings := resolve(t, same)
	current, _ := countingrule.Resolve(countingrule.Rule{}, settings)
	sample, _ := NewSample(countingrule.Rule{}, same, 5, 500)
	shadow, counts, earned := NewShadow(sample, current, resolved, settings, 5, 250), counter{}, uint64(0)
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	for range 20_000 {
		now += time.Duration(random.IntN(int(10 * time.Millisecond)))
		shadow.AddBudget(8)
		earned += 8
		counts.run(shadow, now, shadow.HandleRequest(now, Request{Customer: uint64(random.IntN(40)), Units: 1}))
		counts.run(shadow, now, shadow.Flush(now))
	}
	got := shadow.counts
	difference := int(got[nameOldOnly]) - int(got[nameNewOnly])
	if max(difference, -difference) > int(got[nameBoth])/100 || got[nameBoth] < 100_000 || got[nameNeither] == 0 || got[nameMergedKeys]+got[nameSplitKeys] != 0 {
		t.Errorf("%v", got)
	}
	if shadow.Calls > earned/4+uint64(maxBudget) {
		t.Errorf("%d calls of %d", shadow.Calls, earned)
	}
}

// Customers that come together under half of their rates lose about half: seen, with the keys that merged.
func TestShadow_mergedKeysReject(t *testing.T) {
	rule := countingrule.Rule{Version: 1, Key: []string{"group"}, Limits: []countingrule.Limit{{Plan: "*", Rate: 2, Burst: 10}}}
	for i := range uint64(20) {
		rule.Groups = append(rule.Groups, countingrule.Group{Name: fmt.Sprint(i), Customers: []uint64{2 * i, 2*i + 1}})
	}
	resolved, settings := resolve(t, rule)
	current, _ := countingrule.Resolve(countingrule.Rule{}, settings)
	sample, _ := NewSample(countingrule.Rule{}, rule, 5, 500)
	shadow, counts := NewShadow(sample, current, resolved, settings, 5, 250), counter{}
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	for range 20_000 {
		now += 15 * time.Millisecond
		shadow.AddBudget(8)
		counts.run(shadow, now, shadow.HandleRequest(now, Request{Customer: uint64(random.IntN(40)), Units: 1}))
		counts.run(shadow, now, shadow.Flush(now))
	}
	got := shadow.counts
	// 40 customers ask 1.67 units a second each of their 2, so pairs ask 3.3 of their 2.
	lost := float64(got[nameOldOnly]) / float64(got[nameBoth]+got[nameOldOnly])
	if lost < 0.3 || lost > 0.5 || got[nameNewOnly] > got[nameBoth]/100 || got[nameMergedKeys] == 0 || got[nameSplitKeys] != 0 {
		t.Errorf("%.3f lost, %v", lost, got)
	}
}
