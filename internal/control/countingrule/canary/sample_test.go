package canary

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

func testSettings() policy.Settings {
	return policy.Settings{
		Gateways: 4,
		Classes:  []policy.TrafficClass{{Name: "look", Weight: 1}, {Name: "pay", Weight: 2}},
		Plans:    []policy.Plan{{Name: "small", Rate: 2, Burst: 10}},
	}
}

// resolve returns a rule resolved against the test settings with the rule's plans, and these
// settings.
func resolve(tb testing.TB, rule countingrule.Rule) (*countingrule.Resolved, policy.Settings) {
	tb.Helper()
	settings := countingrule.WithRulePlans(testSettings(), []countingrule.Rule{rule})
	resolved, err := countingrule.Resolve(rule, settings)
	if err != nil {
		tb.Fatal(err)
	}
	return resolved, settings
}

func ruleWithMask(version, mask uint64) countingrule.Rule {
	return countingrule.Rule{Version: version, Key: []string{"group"}, Mask: mask}
}

// drawRule draws a rule by customer or by listed groups. The groups have few customers, so that the
// groups of two rules overlap.
func drawRule(t *rapid.T, version uint64) countingrule.Rule {
	rule := countingrule.Rule{
		Version: version, Key: []string{"group"},
		Limits: []countingrule.Limit{{Plan: "*", Rate: 1, Burst: 1}},
	}
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

// findSplitKey draws two rules and looks for a counter key of either rule whose customers are not
// all in the same bucket, or not all sampled or all unsampled. It returns a description, or "" if
// there is no such key.
func findSplitKey(t *rapid.T, bucketOf func(*Sample, uint64) (int, bool)) string {
	type placement struct {
		bucket  int
		sampled bool
	}
	old, next := drawRule(t, 1), drawRule(t, 2)
	sample, err := NewSample(old, next, rapid.Uint64().Draw(t, "seed"), 300)
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range []countingrule.Rule{old, next} {
		settings := countingrule.WithRulePlans(testSettings(), []countingrule.Rule{rule})
		resolved, err := countingrule.Resolve(rule, settings)
		if err != nil {
			t.Fatal(err)
		}
		first := map[uint64]placement{}
		for customer := range uint64(100) {
			bucket, sampled := bucketOf(sample, customer)
			key := resolved.Assign(customer, 0, 0).Key
			if known, ok := first[key]; ok && known != (placement{bucket, sampled}) {
				return fmt.Sprintf("rule %d splits the key of customer %d", rule.Version, customer)
			}
			first[key] = placement{bucket, sampled}
		}
	}
	return ""
}

func TestSample_splitsNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := findSplitKey(t, (*Sample).Bucket); violation != "" {
			t.Fatal(violation)
		}
	})
}

// findSplitKey must detect a sample by customer, and a sample that connects customers only to
// nearby roots.
func TestSample_findSplitKeyDetectsBrokenSamples(t *testing.T) {
	for _, test := range []struct {
		name   string
		broken func(*Sample, uint64) (int, bool)
	}{
		{"by customer", func(sample *Sample, customer uint64) (int, bool) {
			hash := countingrule.Hash(sample.seed, customer)
			return int(hash % BucketCount), hash < sample.hashThreshold
		}},
		{"nearby roots only", func(sample *Sample, customer uint64) (int, bool) {
			neighbours := *sample
			neighbours.parents = map[uint64]uint64{}
			if root := sample.parents[customer]; root != 0 && customer-root < 4 {
				neighbours.parents[customer] = root
			}
			return neighbours.Bucket(customer)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			generator := rapid.Custom(func(t *rapid.T) string { return findSplitKey(t, test.broken) })
			for runs := range 200 {
				if generator.Example(runs) != "" {
					t.Logf("split key found after %d runs", runs+1)
					return
				}
			}
			t.Error("no split key found in 200 runs")
		})
	}
}

// Customers that differ only in bits that at least one of the masks excludes are in one component.
func TestSample_componentsMatchSharedMaskBits(t *testing.T) {
	sample, err := NewSample(ruleWithMask(1, 0xfff0), ruleWithMask(2, 0xff0f), 3, 500)
	if err != nil {
		t.Fatal(err)
	}
	key := sample.ComponentKey(0x1234)
	if key != sample.ComponentKey(0x12ff) || key == sample.ComponentKey(0x1334) {
		t.Errorf("components do not match the bits that both masks share: %+v", sample)
	}
}

func TestSample_refusals(t *testing.T) {
	listed := countingrule.Rule{
		Version: 2, Key: []string{"group"},
		Groups: []countingrule.Group{{Name: "a", Customers: []uint64{1, 2}}},
	}
	for _, test := range []struct {
		name string
		next countingrule.Rule
		want error
	}{
		{"all customers are one component", ruleWithMask(2, 0x00ff), ErrTooFewSharedBits},
		{"listed groups and a mask", listed, ErrGroupsAndMask},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := NewSample(ruleWithMask(1, 0xff00), test.next, 3, 500); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}
