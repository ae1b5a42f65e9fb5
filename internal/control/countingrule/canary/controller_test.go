package canary

import (
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// runUntilScheduled returns a simulation that has just scheduled the switch to a harmless rule.
func runUntilScheduled(t *testing.T) *simulation {
	t.Helper()
	s := newSimulation(ruleWithScaledLimits(1.05), 1)
	s.advance(s.now+130*time.Second, s.hasVerdict)
	if table := s.tableValue(); table.Phase != countingrule.PhaseScheduled {
		t.Fatalf("phase %d: %s", table.Phase, table.Reason)
	}
	return s
}

// A harmless rule is tried, scheduled, watched and kept, as the admitted fraction matches the
// forecast of its canary.
func TestController_harmlessRuleIsScheduledAndKept(t *testing.T) {
	s := runUntilScheduled(t)
	table := s.tableValue()
	lead := table.SwitchAt - (s.now + s.controller.ClockOrigin)
	if lead < s.controller.Lease+2*s.controller.MaxReadWait || table.SwitchAt%time.Second != 0 {
		t.Errorf("switch scheduled %v ahead, at %v", lead, table.SwitchAt)
	}
	s.advance(s.now+150*time.Second, func() bool { return s.tableValue().Phase == countingrule.PhaseIdle })
	table = s.tableValue()
	if table.Phase != countingrule.PhaseIdle || table.FromVersion != 1 || table.PreviousVersion != 0 ||
		!strings.HasPrefix(table.Reason, "kept") {
		t.Errorf("phase %d, from %d: %s", table.Phase, table.FromVersion, table.Reason)
	}
	t.Log(table.Reason)
}

// A harmful rule is refused and not tried again.
func TestController_harmfulRuleIsRefusedPermanently(t *testing.T) {
	s := newSimulation(ruleWithScaledLimits(0.5), 1)
	s.advance(s.now+130*time.Second, s.hasVerdict)
	table := s.tableValue()
	if table.Phase != countingrule.PhaseIdle || table.FromVersion != 0 || len(table.RefusedVersions) != 1 ||
		!strings.Contains(table.Reason, "canary.rejected") {
		t.Errorf("phase %d, from %d: %s", table.Phase, table.FromVersion, table.Reason)
	}
	epoch := s.table.Epoch
	s.advance(s.now+5*time.Second, neverStop)
	if s.table.Epoch != epoch {
		t.Error("the refused rule is tried again")
	}
}

// A rule that is undecided at the deadline because there were too few requests is refused.
func TestController_undecidedAtTheDeadlineIsRefused(t *testing.T) {
	s := newSimulation(ruleWithScaledLimits(1), 1)
	clear(s.demand)
	for i := range s.nextArrival {
		s.nextArrival[i] = 2 * s.now
	}
	s.advance(s.now+130*time.Second, s.hasVerdict)
	table := s.tableValue()
	if table.Phase != countingrule.PhaseIdle || table.FromVersion != 0 || !strings.HasPrefix(table.Reason,
		"undecided") {
		t.Errorf("phase %d, from %d: %s", table.Phase, table.FromVersion, table.Reason)
	}
}

// trialState returns the trial's state from the table.
func (s *simulation) trialState(t *testing.T) TrialState {
	t.Helper()
	state, err := decodeTrialState(s.tableValue().TrialState)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// A new leader has another monotonic clock and sums that start from zero. It must continue the
// trial from the state in the table, and test no bucket before observations have arrived.
func TestController_newLeaderContinuesTheTrial(t *testing.T) {
	s := newSimulation(ruleWithScaledLimits(0.75), 4)
	s.advance(s.now+20*time.Second, neverStop)
	before := s.trialState(t)
	s.missedSums, s.leadingSince = s.sums(), s.now
	s.controller = New(s.controller.Config, s.controller.Lease, s.controller.MaxReadWait, s.controller.ClockOrigin)
	s.advance(s.now+5*time.Second, neverStop)
	if after := s.trialState(t); after.NextBucket != before.NextBucket {
		t.Errorf("buckets %d to %d were tested before observations arrived", before.NextBucket, after.NextBucket)
	}
	s.advance(s.now+100*time.Second, s.hasVerdict)
	table, after := s.tableValue(), s.trialState(t)
	if !s.hasVerdict() || table.FromVersion != 0 || after.Tests[0].Count <= before.Tests[0].Count ||
		after.Sums[nameRequests] < before.Sums[nameRequests] {
		t.Errorf("phase %d; next bucket %d, then %d; %d requests, then %d: %s",
			table.Phase, before.NextBucket, after.NextBucket, before.Sums[nameRequests], after.Sums[nameRequests],
			table.Reason)
	}
}

// After the switch a third of the admitted requests fail, which the trial did not forecast. The
// previous rule must return by a scheduled switch, and the new rule must be refused.
func TestController_rollsBackOnDeviationFromTheForecast(t *testing.T) {
	s := runUntilScheduled(t)
	s.failureRate = 0.33
	s.advance(s.now+150*time.Second, func() bool { return s.tableValue().Phase == countingrule.PhaseRollback })
	table := s.tableValue()
	if table.Phase != countingrule.PhaseRollback || table.FromVersion != 1 || table.ToVersion != 0 ||
		table.SwitchAt < s.now+s.controller.ClockOrigin+s.controller.Lease {
		t.Fatalf("phase %d, %d to %d: %s", table.Phase, table.FromVersion, table.ToVersion, table.Reason)
	}
	t.Log(table.Reason)
	s.advance(s.now+30*time.Second, neverStop)
	if table = s.tableValue(); table.Phase != countingrule.PhaseIdle || table.FromVersion != 0 ||
		len(table.RefusedVersions) != 1 {
		t.Errorf("phase %d, from %d, refused %v", table.Phase, table.FromVersion, table.RefusedVersions)
	}
}

// decideOnce calls Decide for a table, one hour after the clock's origin. It returns the new table
// and whether one was written.
func decideOnce(config *countingrule.Config, current countingrule.Table) (countingrule.Table, bool) {
	c := &Controller{
		Config: func() *countingrule.Config { return config }, Lease: time.Second, MaxReadWait: time.Second,
	}
	value, write := c.Decide(time.Hour, coordination.ControllerInput{Table: func(string) statemachine.Table {
		return statemachine.Table{Epoch: 3, Value: current.Encode()}
	}})
	table, err := countingrule.Decode(value)
	return table, write && err == nil
}

// A rollback requested by an operator needs no trial because the previous rule was in force before.
// It is delayed until a scheduled switch has taken effect, because no switch is undone before that.
func TestController_operatorRollbackNeedsNoTrial(t *testing.T) {
	rules := []countingrule.Rule{ruleWithScaledLimits(1)}
	scheduledAt := func(at time.Duration) countingrule.Table {
		return countingrule.Table{
			Phase: countingrule.PhaseScheduled, FromVersion: 0, ToVersion: 1, SwitchAt: at, Rules: rules,
		}
	}
	for _, test := range []struct {
		name       string
		table      countingrule.Table
		wantChange bool
	}{
		{"idle", countingrule.Table{FromVersion: 1, ToVersion: 1, PreviousVersion: 0, Rules: rules}, true},
		{"before the switch", scheduledAt(time.Hour + time.Second), false},
		{"after the switch", scheduledAt(time.Hour - 2*time.Second), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, changed := decideOnce(&countingrule.Config{Canary: canaryConfig()}, test.table)
			if changed != test.wantChange {
				t.Fatalf("changed %v, want %v: %+v", changed, test.wantChange, got)
			}
			isRollback := got.Phase == countingrule.PhaseRollback && got.FromVersion == 1 && got.ToVersion == 0 &&
				got.SwitchAt > time.Hour
			if changed && !isRollback {
				t.Errorf("%+v", got)
			}
		})
	}
}

// A rule that cannot be sampled together with the current rule is refused with the reason.
func TestController_ruleThatCannotBeSampledIsRefused(t *testing.T) {
	one := ruleWithMask(1, 0xff00)
	one.Limits = []countingrule.Limit{{Plan: "*", Rate: 1, Burst: 1}}
	two := one
	two.Version, two.Mask = 2, 0x00ff
	config := &countingrule.Config{DesiredVersion: 2, Rules: []countingrule.Rule{one, two}, Canary: canaryConfig()}
	table, ok := decideOnce(config, countingrule.Table{FromVersion: 1, ToVersion: 1, Rules: []countingrule.Rule{one}})
	if !ok || table.Phase != countingrule.PhaseIdle || table.FromVersion != 1 || len(table.RefusedVersions) != 1 ||
		!strings.Contains(table.Reason, "in common") {
		t.Errorf("changed %v, table %+v", ok, table)
	}
}
