package rulesimulation

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"testing"

	"harrierhoist/internal/control/countingrule"
)

// The hashes were written before the program's names were changed: what the simulations give must
// stay.

// record hashes all that a simulation's servers, clients and counter saw.
func (s *Simulation) record() string {
	out := sha256.New()
	add := func(values ...any) { _, _ = fmt.Fprintln(out, values...) } // writing to a hash never fails
	for _, request := range s.requests {
		assignment := &request.assignment
		add(request.id, request.customer, request.class, int64(request.acceptedAt), int64(request.forwardedAt),
			assignment.Version, assignment.Key, assignment.Plan, assignment.Weight, assignment.Shared,
			request.forwarded, request.passed, request.answers, request.lost, request.weight, request.billed,
			int64(request.deadline))
		for _, reservation := range request.reservations {
			add(reservation.Name, int64(reservation.Start), int64(reservation.TTL), reservation.Index,
				reservation.WeightedUnits,
				reservation.Weight)
		}
	}
	for _, totals := range []map[uint64]float64{s.counter, s.charged} {
		for _, name := range slices.Sorted(maps.Keys(totals)) {
			add(name, totals[name])
		}
	}
	add(int64(s.clock.Now()), s.clock.Scheduled(), s.WorstOverrun(), s.Forwarded(), s.CheckAnswers())
	return fmt.Sprintf("%x", out.Sum(nil))
}

func TestGolden_switches(t *testing.T) {
	for _, test := range []struct {
		seed uint64
		bug  Bug
		calm bool
		want string
	}{
		{1, NoBug, false, "d0595db7146371d8528e2a03004d624ab9eb47949825cc718db9c6e9368b32b3"},
		{2, NoBug, false, "3fbcd4cdac3c715172ad417b1caee59ce86949bce6103807dcf96122f66aff7a"},
		{1, NoBug, true, "add765d6ba18aface46087069e19402fdfe56cae9b3b107e68d60f2d1322f6b1"},
		{2, NoBug, true, "c4dae71e3d86ae300fa382be4f30f43ee8605db09d197b4b550a7fae6f700a58"},
		{1, BugNoLease, false, "466c8ed87a9478ae0141791aa09809122c6f13b818fd188ef54767a26db653e7"},
		{2, BugNoLease, false, "fd45e4c2cd06b382ecf961ced00b552c258ec719e08545adacce9643a9a0164b"},
		{1, BugWrongRule, true, "9cc28d395c3058bf165feee0f0008ae5e32993c18828c28178faf11950500402"},
		{2, BugWrongRule, true, "47301fa4b99a9b26771eb1c739065ba0b3bb8206fb6e6008b2c392aff5728739"},
	} {
		settings, rule := TightScenario()
		rule.Weights = []countingrule.Weight{{Class: "pay", Permille: 1500}, {Class: "look", Permille: 2000}}
		if got := RunSwitch(test.seed, settings, rule, test.bug, test.calm).record(); got != test.want {
			t.Errorf("seed %d, bug %q, calm %v: %s, want %s", test.seed, test.bug, test.calm, got, test.want)
		}
	}
}

func TestGolden_forecasts(t *testing.T) {
	half, weighs := scaledLimits(0.5), weightedClass()
	for _, test := range []struct {
		name string
		rule countingrule.Rule
		seed uint64
		want string
	}{
		{"half", half, 1, "d58d4d91f7e5e04c244852aa4e1c95dfd4c03566e57b0c8b6d2a1de094a62cbb"},
		{"half", half, 2, "1c0e1d8133f0397c0af0da137005ea9b741d25cd72c757ea12a777997739ad7a"},
		{"pay weighs 2", weighs, 1, "5eb5732b26661c328e34e1157deb237123659ae585094bbb3e02801c32f28b25"},
		{"pay weighs 2", weighs, 2, "52b5330061299c16405f6c38897494939dd715024b5fba381e8484a3ca0a9d32"},
	} {
		forecast, err := RunForecast(test.seed, 4, test.rule)
		if err != nil {
			t.Fatal(err)
		}
		figures := fmt.Appendln(nil, forecast.Before, forecast.Forecast, forecast.Observed,
			fmt.Sprintf("%.9g", forecast.Calls)) // a sum over gateways, in any order where the hash was drawn
		got := fmt.Sprintf("%x", sha256.Sum256(figures))
		if got != test.want {
			t.Errorf("%s, seed %d: %s, want %s", test.name, test.seed, got, test.want)
		}
	}
}
