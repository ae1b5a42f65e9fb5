package rulesimulation

import (
	"flag"
	"testing"

	"harrierhoist/internal/control/countingrule"
)

var (
	schedules = flag.Uint64("many", 25, "schedules of faults around a switch")
	gateways  = flag.Int("gateways", 4, "in the canary's simulation")
	seed      = flag.Uint64("seed", 3, "of the canary's simulation")
)

// maxOverrun is what a count may be exceeded by, in bursts: the one more that a window's edge
// gives, and one for what the count lags and the decision module's draws. Without faults the module
// exceeds a limit by up to 1.4 (docs/counting-rules.md).
const maxOverrun = 2.0

func TestSwitch_noCountExceedsItsLimit(t *testing.T) {
	settings, rule := TightScenario()
	worst, forwarded := 0.0, 0
	for seed := range *schedules {
		s := RunSwitch(seed, settings, rule, NoBug, false)
		overrun := s.WorstOverrun()
		if worst, forwarded = max(worst, overrun), forwarded+s.Forwarded(); overrun > maxOverrun {
			t.Errorf("seed %d: %.2f bursts beyond the limit", seed, overrun)
		}
		if err := s.CheckAnswers(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("at worst %.2f bursts beyond the limit, %d forwarded", worst, forwarded)
	if forwarded < minForwarded {
		t.Errorf("%d forwarded requests show nothing", forwarded)
	}
}

// expectFound tells after how many runs a check finds an injected bug.
func expectFound(t *testing.T, found func(seed uint64) bool) {
	t.Helper()
	for seed := range uint64(100) {
		if found(seed) {
			t.Logf("found after %d runs", seed+1)
			return
		}
	}
	t.Error("not found in 100 runs")
}

// The same check finds gateways that go by their table past its lease.
func TestSwitch_checkFindsMissingLease(t *testing.T) {
	settings, rule := TightScenario()
	expectFound(t, func(seed uint64) bool {
		return RunSwitch(seed, settings, rule, BugNoLease, false).WorstOverrun() > maxOverrun
	})
}

// A request admitted under one rule is charged by that, however late its answer; the check finds
// one that is not.
func TestCharges_followTheRuleOfAdmission(t *testing.T) {
	for seed := range uint64(10) {
		if err := CheckCharges(seed, NoBug); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	expectFound(t, func(seed uint64) bool { return CheckCharges(seed, BugWrongRule) != nil })
}

// scaledLimits has a part of the plan's rate and burst.
func scaledLimits(factor float64) countingrule.Rule {
	return countingrule.Rule{
		Version: 1, Key: []string{"customer"},
		Limits: []countingrule.Limit{{Plan: "small", Rate: 0.5 * factor, Burst: 5 * factor}},
	}
}

// weightedClass has a unit of one class count twice.
func weightedClass() countingrule.Rule {
	return countingrule.Rule{
		Version: 1, Key: []string{"customer"},
		Weights: []countingrule.Weight{{Class: "pay", Permille: 2000}},
	}
}

// pairedCustomers has two customers share one plan.
func pairedCustomers() countingrule.Rule {
	rule := countingrule.Rule{
		Version: 1, Key: []string{"group"},
		Limits: []countingrule.Limit{{Plan: "*", Rate: 0.5, Burst: 5}},
	}
	for i := range uint64(canaryCustomers / 2) {
		rule.Groups = append(rule.Groups,
			countingrule.Group{Name: string(rune('a' + i)), Customers: []uint64{2 * i, 2*i + 1}})
	}
	return rule
}

// What a canary forecasts is what the decision module admits after the switch, within a tenth.
func TestForecast_matchesTheOutcome(t *testing.T) {
	for _, test := range []struct {
		name string
		rule countingrule.Rule
	}{
		{"the same", scaledLimits(1)},
		{"half", scaledLimits(0.5)},
		{"twice", scaledLimits(2)},
		{"pairs share one plan", pairedCustomers()},
		{"pay weighs 2", weightedClass()},
	} {
		t.Run(test.name, func(t *testing.T) {
			forecast, err := RunForecast(*seed, *gateways, test.rule)
			if err != nil {
				t.Fatal(err)
			}
			off := forecast.Forecast/forecast.Observed - 1
			t.Logf("admitted %.3f before, %.3f forecast, %.3f observed (%.0f%% off); "+
				"%.2f calls of the canary a request",
				forecast.Before, forecast.Forecast, forecast.Observed, 100*off, forecast.Calls)
			if max(off, -off) > 0.1 {
				t.Errorf("%.3f forecast, %.3f observed", forecast.Forecast, forecast.Observed)
			}
		})
	}
}
