package canary

import (
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// hashRun advances a simulation and returns a hash of all values that its controller writes and of
// the observations at the end.
func (s *simulation) hashRun(until time.Duration) string {
	out, epoch := newRecorder(), uint64(0)
	s.advance(until, func() bool {
		if s.table.Epoch != epoch {
			epoch = s.table.Epoch
			out.add(int64(s.now), epoch, s.table.Value)
		}
		return false
	})
	out.addCounts(s.sums())
	return out.sum()
}

// The values that a controller writes during and after a trial, and the observations, must not
// change.
func TestGolden_trials(t *testing.T) {
	for _, test := range []struct {
		name string
		rule countingrule.Rule
		seed uint64
		want string
	}{
		{
			"5% more", ruleWithScaledLimits(1.05), 1,
			"43a602e446e865c281aa34d4a59a1c316dc7735194a7b23e7b3828757fcb0539",
		},
		{
			"5% more", ruleWithScaledLimits(1.05), 2,
			"489dc4d099266e0af10d50aa36dea2f2be7bec9541813a8ba01a8dcb55e7e73a",
		},
		{
			"half", ruleWithScaledLimits(0.5), 1,
			"979cfd599aefffed8475cda7878640d9ffefc016221a04299384c6d32258f333",
		},
		{
			"half", ruleWithScaledLimits(0.5), 2,
			"02883c2d7475ce002750d0ffaf82bc40d8817216a5c9a26f350f370ccd6de48f",
		},
		{
			"pairs", ruleWithPairedCustomers(1), 1,
			"3a0c0fe01676d0adfb6a6c9c69411dd9d9a59bbac9e64ae61f0dfaf748f55504",
		},
		{
			"pairs", ruleWithPairedCustomers(1), 2,
			"a1e66b0588a91991636bfc620647bc0cefbf3a08f74f1e5178d1ea531fc4e1a4",
		},
	} {
		s := newSimulation(test.rule, test.seed)
		if got := s.hashRun(s.now + 240*time.Second); got != test.want {
			t.Errorf("%s, seed %d: %s, want %s; %s", test.name, test.seed, got, test.want, s.tableValue().Reason)
		}
	}
	s := newSimulation(ruleWithScaledLimits(1.05), 1)
	s.failureRate = 0.33
	const want = "a2445a262503f2213471dc41953facbddf3c5ca6777c58a99226d1f13b2a2b42"
	if got := s.hashRun(s.now + 240*time.Second); got != want {
		t.Errorf("with failing requests: %s, want %s; %s", got, want, s.tableValue().Reason)
	}
}

// Reasons are stored in the table and read by operators and their tools, so they must not change.
func TestGolden_refusalReasons(t *testing.T) {
	group := func(version, mask uint64, groups ...countingrule.Group) countingrule.Rule {
		return countingrule.Rule{Version: version, Key: []string{"group"}, Mask: mask, Groups: groups}
	}
	one := countingrule.Group{Name: "one", Customers: []uint64{1, 2}}
	for _, test := range []struct {
		old, next countingrule.Rule
		want      string
	}{
		{
			group(1, 0xff00), group(2, 0x00ff),
			"the masks of both rules have fewer than 5 bits in common: too much hangs together to sample",
		},
		{
			group(1, 0xff00), group(2, 0, one),
			"one rule's groups are listed and the other's made by a mask: what hangs together cannot be told",
		},
	} {
		config := &countingrule.Config{
			DesiredVersion: 2, Rules: []countingrule.Rule{test.old, test.next}, Canary: canaryConfig(),
		}
		table, ok := decideOnce(config,
			countingrule.Table{FromVersion: 1, ToVersion: 1, Rules: []countingrule.Rule{test.old}})
		if !ok || table.Reason != test.want {
			t.Errorf("changed %v, reason %q, want %q", ok, table.Reason, test.want)
		}
	}
}
