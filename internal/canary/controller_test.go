package canary

import (
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/countingrule"
)

func never() bool { return false }

// runUntilScheduled takes a world to the moment at which a harmless rule is named.
func runUntilScheduled(t *testing.T) *simulation {
	t.Helper()
	s := newSimulation(scaledLimits(1.05), 1)
	s.advance(s.now+130*time.Second, s.hasVerdict)
	if table := s.tableValue(); table.Phase != countingrule.PhaseScheduled {
		t.Fatalf("phase %d: %s", table.Phase, table.Reason)
	}
	return s
}

// A rule is tried, named, watched and kept; what its canary foretold is what is let in.
func TestController_harmlessRuleIsScheduledAndKept(t *testing.T) {
	s := runUntilScheduled(t)
	table := s.tableValue()
	if lead := table.SwitchAt - (s.now + s.controller.ClockOrigin); lead < s.controller.Lease+2*s.controller.ReadWait || table.SwitchAt%time.Second != 0 {
		t.Errorf("named %v ahead, edge %v", lead, table.SwitchAt)
	}
	s.advance(s.now+150*time.Second, func() bool { return s.tableValue().Phase == countingrule.PhaseIdle })
	table = s.tableValue()
	if table.Phase != countingrule.PhaseIdle || table.From != 1 || table.Previous != 0 || !strings.HasPrefix(table.Reason, "kept") {
		t.Errorf("phase %d, from %d: %s", table.Phase, table.From, table.Reason)
	}
	t.Log(table.Reason)
}

// Harm is refused, once: the rule is not tried again.
func TestController_harmfulRuleIsRefusedForGood(t *testing.T) {
	s := newSimulation(scaledLimits(0.5), 1)
	s.advance(s.now+130*time.Second, s.hasVerdict)
	table := s.tableValue()
	if table.Phase != countingrule.PhaseIdle || table.From != 0 || len(table.Refused) != 1 || !strings.Contains(table.Reason, "canary.rejected") {
		t.Errorf("phase %d, from %d: %s", table.Phase, table.From, table.Reason)
	}
	epoch := s.table.Epoch
	s.advance(s.now+5*time.Second, never)
	if s.table.Epoch != epoch {
		t.Error("it is tried again")
	}
}

// Too little asked to tell: at the deadline that means no.
func TestController_undecidedAtTheDeadlineIsRefused(t *testing.T) {
	s := newSimulation(scaledLimits(1), 1)
	clear(s.demand)
	for i := range s.nextArrival {
		s.nextArrival[i] = 2 * s.now
	}
	s.advance(s.now+130*time.Second, s.hasVerdict)
	if table := s.tableValue(); table.Phase != countingrule.PhaseIdle || table.From != 0 || !strings.HasPrefix(table.Reason, "undecided") {
		t.Errorf("phase %d, from %d: %s", table.Phase, table.From, table.Reason)
	}
}

// A new leader has another monotonic clock and sums that begin anew; it goes on where the table stands.
func TestController_newLeaderContinuesTheTrial(t *testing.T) {
	s := newSimulation(scaledLimits(0.75), 4)
	s.advance(s.now+20*time.Second, never)
	state, _ := decodeTrialState(s.tableValue().TrialState)
	s.missedSums, s.ledSince = s.sums(), s.now
	s.controller = &Controller{Config: s.controller.Config, Lease: s.controller.Lease, ReadWait: s.controller.ReadWait, ClockOrigin: s.controller.ClockOrigin}
	s.advance(s.now+5*time.Second, never)
	if later, _ := decodeTrialState(s.tableValue().TrialState); later.NextBucket != state.NextBucket {
		t.Errorf("cells %d to %d are looked at before digests came", state.NextBucket, later.NextBucket)
	}
	s.advance(s.now+100*time.Second, s.hasVerdict)
	later, _ := decodeTrialState(s.tableValue().TrialState)
	if table := s.tableValue(); !s.hasVerdict() || table.From != 0 || later.Tests[0].Count <= state.Tests[0].Count || later.Sums[nameRequests] < state.Sums[nameRequests] {
		t.Errorf("phase %d after cells %d to %d, %d to %d tasks: %s", table.Phase, state.NextBucket, later.NextBucket, state.Sums[nameRequests],
			later.Sums[nameRequests], table.Reason)
	}
}

// After the edge a third of what is let in by the rule fails: that was not foretold, so the earlier rule comes back at
// an edge of its own, and the later one is not tried again.
func TestController_rollsBackOnDeviationFromTheForecast(t *testing.T) {
	s := runUntilScheduled(t)
	s.failureRate = 0.33
	s.advance(s.now+150*time.Second, func() bool { return s.tableValue().Phase == countingrule.PhaseRollback })
	table := s.tableValue()
	if table.Phase != countingrule.PhaseRollback || table.From != 1 || table.To != 0 || table.SwitchAt < s.now+s.controller.ClockOrigin+s.controller.Lease {
		t.Fatalf("phase %d, %d to %d: %s", table.Phase, table.From, table.To, table.Reason)
	}
	t.Log(table.Reason)
	s.advance(s.now+30*time.Second, never)
	if table = s.tableValue(); table.Phase != countingrule.PhaseIdle || table.From != 0 || len(table.Refused) != 1 {
		t.Errorf("phase %d, from %d, refused %v", table.Phase, table.From, table.Refused)
	}
}

// decideOnce has a decider decide on a table.
func decideOnce(config *countingrule.Config, current countingrule.Table) (countingrule.Table, bool) {
	c := &Controller{Config: func() *countingrule.Config { return config }, Lease: time.Second, ReadWait: time.Second}
	value, write := c.Decide(time.Hour, coordination.ControllerInput{Table: func(string) statemachine.Table {
		return statemachine.Table{Epoch: 3, Value: current.Encode()}
	}})
	table, _ := countingrule.Decode(value)
	return table, write
}

// The way back that an operator asks for needs no trial: the rule before was in force already. It waits for an edge
// that is still to come, as no switch is taken back before it.
func TestController_operatorsRollBackWithoutATrial(t *testing.T) {
	config := &countingrule.Config{Canary: canaryConfig()}
	still := countingrule.Table{From: 1, To: 1, Previous: 0, Rules: []countingrule.Rule{scaledLimits(1)}}
	if table, ok := decideOnce(config, still); !ok || table.Phase != countingrule.PhaseRollback || table.To != 0 || table.SwitchAt <= time.Hour {
		t.Errorf("%v, %+v", ok, table)
	}
	scheduled := countingrule.Table{Phase: countingrule.PhaseScheduled, From: 0, To: 1, SwitchAt: time.Hour + time.Second,
		Rules: []countingrule.Rule{scaledLimits(1)}}
	if table, ok := decideOnce(config, scheduled); ok {
		t.Errorf("taken back before its edge: %+v", table)
	}
	scheduled.SwitchAt = time.Hour - 2*time.Second
	if table, ok := decideOnce(config, scheduled); !ok || table.Phase != countingrule.PhaseRollback || table.From != 1 || table.To != 0 {
		t.Errorf("%v, %+v", ok, table)
	}
}

// A rule that cannot be sampled beside the one in force is refused, and the refusal says why.
func TestController_ruleThatCannotBeSampledIsRefused(t *testing.T) {
	one := countingrule.Rule{Version: 1, Key: []string{"group"}, Mask: 0xff00, Limits: []countingrule.Limit{{Plan: "*",
		Rate: 1, Burst: 1}}}
	two := one
	two.Version, two.Mask = 2, 0x00ff
	config := &countingrule.Config{DesiredVersion: 2, Rules: []countingrule.Rule{one, two}, Canary: canaryConfig()}
	table, ok := decideOnce(config, countingrule.Table{From: 1, To: 1, Rules: []countingrule.Rule{one}})
	if !ok || table.Phase != countingrule.PhaseIdle || table.From != 1 || len(table.Refused) != 1 || !strings.Contains(table.Reason, "in common") {
		t.Errorf("%v, %+v", ok, table)
	}
}
