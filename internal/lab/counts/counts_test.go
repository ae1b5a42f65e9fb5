package counts

import (
	"flag"
	"testing"

	"harrierhoist/internal/counting"
)

var many = flag.Uint64("many", 25, "schedules of faults around a switch")
var gateways = flag.Int("gateways", 4, "in the canary's world")
var seed = flag.Uint64("seed", 3, "of the canary's world")

// slack is what a count may be passed by, in bursts: the one more that a window's edge gives, and one for what the
// count lags and the module's lots. Without fault the module passes a limit by up to 1.4 (docs/counting-rules.md).
const slack = 2.0

func TestNoCountPassesItsLimitAroundASwitch(t *testing.T) {
	d, r := Tight()
	worst, pushed := 0.0, 0
	for seed := range *many {
		f := Switches(seed, d, r, None, false)
		b := f.Beyond()
		if worst, pushed = max(worst, b), pushed+f.Pushed(); b > slack {
			t.Errorf("seed %d: %.2f bursts beyond", seed, b)
		}
		if err := f.Unanswered(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("at worst %.2f bursts beyond, %d pushes", worst, pushed)
	if pushed < 500 {
		t.Errorf("%d pushes show nothing", pushed)
	}
}

// runs is after how many runs a check finds what is planted.
func runs(t *testing.T, found func(seed uint64) bool) {
	t.Helper()
	for n := range uint64(100) {
		if found(n) {
			t.Logf("found after %d runs", n+1)
			return
		}
	}
	t.Error("not found in 100 runs")
}

// The same check finds a fleet without the fence.
func TestSwitchWithoutFenceIsFound(t *testing.T) {
	d, r := Tight()
	runs(t, func(seed uint64) bool { return Switches(seed, d, r, NoFence, false).Beyond() > slack })
}

// A task taken under one rule is charged by that, however late its answer; the check finds one that is not.
func TestChargedByTheRuleItWasTakenUnder(t *testing.T) {
	for seed := range uint64(10) {
		if err := Charges(seed, None); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	runs(t, func(seed uint64) bool { return Charges(seed, WrongRule) != nil })
}

// What a canary foretells is what the module lets in after the switch, within a tenth.
func TestForetoldIsWhatIsSeen(t *testing.T) {
	pairs := counting.Rule{Version: 1, Key: []string{"group"}, Limits: []counting.Limit{{Plan: "*", Rate: 0.5, Burst: 5}}}
	for i := range uint64(150) {
		pairs.Groups = append(pairs.Groups, counting.Group{Name: string(rune('a' + i)), Customers: []uint64{2 * i, 2*i + 1}})
	}
	limit := func(part float64) counting.Rule {
		return counting.Rule{Version: 1, Key: []string{"customer"},
			Limits: []counting.Limit{{Plan: "small", Rate: 0.5 * part, Burst: 5 * part}}}
	}
	for name, r := range map[string]counting.Rule{"the same": limit(1), "half": limit(0.5), "twice": limit(2),
		"pairs share one plan": pairs,
		"pay weighs 2": {Version: 1, Key: []string{"customer"}, Weights: []counting.Weight{{Lane: "pay",
			Thousandths: 2000}}}} {
		f, err := Foretold(*seed, *gateways, r)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%-20s let in %.3f before, %.3f foretold, %.3f seen (%.0f%% off); %.2f calls of the play a task", name,
			f.Before, f.Told, f.Seen,
			100*(f.Told/f.Seen-1), f.Calls)
		if off := f.Told/f.Seen - 1; max(off, -off) > 0.1 {
			t.Errorf("%s: %.3f foretold, %.3f seen", name, f.Told, f.Seen)
		}
	}
}
