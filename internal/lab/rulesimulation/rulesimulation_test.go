package rulesimulation

import (
	"flag"
	"testing"

	"harrierhoist/internal/countingrule"
)

var schedules = flag.Uint64("many", 25, "schedules of faults around a switch")
var gateways = flag.Int("gateways", 4, "in the canary's world")
var seed = flag.Uint64("seed", 3, "of the canary's world")

// maxOverrun is what a count may be passed by, in bursts: the one more that a window's edge gives, and one for what the
// count lags and the module's lots. Without fault the module passes a limit by up to 1.4 (docs/counting-rules.md).
const maxOverrun = 2.0

func TestSwitch_noCountExceedsItsLimit(t *testing.T) {
	settings, rule := TightScenario()
	worst, forwarded := 0.0, 0
	for seed := range *schedules {
		s := RunSwitch(seed, settings, rule, NoBug, false)
		overrun := s.WorstOverrun()
		if worst, forwarded = max(worst, overrun), forwarded+s.Forwarded(); overrun > maxOverrun {
			t.Errorf("seed %d: %.2f bursts beyond", seed, overrun)
		}
		if err := s.CheckAnswers(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("at worst %.2f bursts beyond, %d pushes", worst, forwarded)
	if forwarded < 500 {
		t.Errorf("%d pushes show nothing", forwarded)
	}
}

// expectFound is after how many runs a check finds what is planted.
func expectFound(t *testing.T, found func(seed uint64) bool) {
	t.Helper()
	for count := range uint64(100) {
		if found(count) {
			t.Logf("found after %d runs", count+1)
			return
		}
	}
	t.Error("not found in 100 runs")
}

// The same check finds a fleet without the fence.
func TestSwitch_checkFindsMissingLease(t *testing.T) {
	settings, rule := TightScenario()
	expectFound(t, func(seed uint64) bool {
		return RunSwitch(seed, settings, rule, BugNoLease, false).WorstOverrun() > maxOverrun
	})
}

// A task taken under one rule is charged by that, however late its answer; the check finds one that is not.
func TestCharges_followTheRuleOfAdmission(t *testing.T) {
	for seed := range uint64(10) {
		if err := CheckCharges(seed, NoBug); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	expectFound(t, func(seed uint64) bool { return CheckCharges(seed, BugWrongRule) != nil })
}

// What a canary foretells is what the module lets in after the switch, within a tenth.
func TestForecast_matchesTheOutcome(t *testing.T) {
	pairs := countingrule.Rule{Version: 1, Key: []string{"group"}, Limits: []countingrule.Limit{{Plan: "*", Rate: 0.5, Burst: 5}}}
	for i := range uint64(150) {
		pairs.Groups = append(pairs.Groups, countingrule.Group{Name: string(rune('a' + i)), Customers: []uint64{2 * i, 2*i + 1}})
	}
	limit := func(factor float64) countingrule.Rule {
		return countingrule.Rule{Version: 1, Key: []string{"customer"},
			Limits: []countingrule.Limit{{Plan: "small", Rate: 0.5 * factor, Burst: 5 * factor}}}
	}
	for name, rule := range map[string]countingrule.Rule{"the same": limit(1), "half": limit(0.5), "twice": limit(2),
		"pairs share one plan": pairs,
		"pay weighs 2": {Version: 1, Key: []string{"customer"}, Weights: []countingrule.Weight{{Class: "pay",
			Permille: 2000}}}} {
		forecast, err := RunForecast(*seed, *gateways, rule)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%-20s let in %.3f before, %.3f foretold, %.3f seen (%.0f%% off); %.2f calls of the play a task", name,
			forecast.Before, forecast.Forecast, forecast.Observed,
			100*(forecast.Forecast/forecast.Observed-1), forecast.Calls)
		if off := forecast.Forecast/forecast.Observed - 1; max(off, -off) > 0.1 {
			t.Errorf("%s: %.3f foretold, %.3f seen", name, forecast.Forecast, forecast.Observed)
		}
	}
}
