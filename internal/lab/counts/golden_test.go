package counts

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"testing"

	"harrierhoist/internal/counting"
)

// The hashes were written before the program's names were changed: what the simulations give must stay.

// record hashes all that a fleet's servers, clients and counter saw.
func (f *Fleet) record() string {
	out := sha256.New()
	for _, k := range f.tasks {
		fmt.Fprintln(out, k.id, k.customer, k.lane, int64(k.at), int64(k.sent), k.count.Version, k.count.Key, k.count.Plan,
			k.count.Weight, k.count.Shared, k.pushed, k.passed, k.finals, k.lost, k.weight, k.billed, int64(k.expires))
		for _, h := range k.holds {
			fmt.Fprintln(out, h.Name, int64(h.Start), int64(h.Keep), h.Nth, h.Units, h.Weight)
		}
	}
	for _, totals := range []map[uint64]float64{f.counter, f.charged} {
		for _, name := range slices.Sorted(maps.Keys(totals)) {
			fmt.Fprintln(out, name, totals[name])
		}
	}
	fmt.Fprintln(out, int64(f.now), f.nth, f.Beyond(), f.Pushed(), f.Unanswered())
	return fmt.Sprintf("%x", out.Sum(nil))
}

func TestSwitchesStay(t *testing.T) {
	for _, c := range []struct {
		seed  uint64
		plant Plant
		calm  bool
		want  string
	}{
		{1, None, false, "d0595db7146371d8528e2a03004d624ab9eb47949825cc718db9c6e9368b32b3"},
		{2, None, false, "3fbcd4cdac3c715172ad417b1caee59ce86949bce6103807dcf96122f66aff7a"},
		{1, None, true, "add765d6ba18aface46087069e19402fdfe56cae9b3b107e68d60f2d1322f6b1"},
		{2, None, true, "c4dae71e3d86ae300fa382be4f30f43ee8605db09d197b4b550a7fae6f700a58"},
		{1, NoFence, false, "466c8ed87a9478ae0141791aa09809122c6f13b818fd188ef54767a26db653e7"},
		{2, NoFence, false, "fd45e4c2cd06b382ecf961ced00b552c258ec719e08545adacce9643a9a0164b"},
		{1, WrongRule, true, "9cc28d395c3058bf165feee0f0008ae5e32993c18828c28178faf11950500402"},
		{2, WrongRule, true, "47301fa4b99a9b26771eb1c739065ba0b3bb8206fb6e6008b2c392aff5728739"},
	} {
		d, r := Tight()
		r.Weights = []counting.Weight{{Lane: "pay", Thousandths: 1500}, {Lane: "look", Thousandths: 2000}}
		if got := Switches(c.seed, d, r, c.plant, c.calm).record(); got != c.want {
			t.Errorf("seed %d, planted %q, calm %v: %s, want %s", c.seed, c.plant, c.calm, got, c.want)
		}
	}
}

func TestForecastsStay(t *testing.T) {
	half := counting.Rule{Version: 1, Key: []string{"customer"},
		Limits: []counting.Limit{{Plan: "small", Rate: 0.25, Burst: 2.5}}}
	weighs := counting.Rule{Version: 1, Key: []string{"customer"},
		Weights: []counting.Weight{{Lane: "pay", Thousandths: 2000}}}
	for _, c := range []struct {
		name string
		rule counting.Rule
		seed uint64
		want string
	}{
		{"half", half, 1, "d58d4d91f7e5e04c244852aa4e1c95dfd4c03566e57b0c8b6d2a1de094a62cbb"},
		{"half", half, 2, "1c0e1d8133f0397c0af0da137005ea9b741d25cd72c757ea12a777997739ad7a"},
		{"pay weighs 2", weighs, 1, "5eb5732b26661c328e34e1157deb237123659ae585094bbb3e02801c32f28b25"},
		{"pay weighs 2", weighs, 2, "52b5330061299c16405f6c38897494939dd715024b5fba381e8484a3ca0a9d32"},
	} {
		f, err := Foretold(c.seed, 4, c.rule)
		if err != nil {
			t.Fatal(err)
		}
		// Calls is a sum over gateways in any order: its last bits differ.
		got := fmt.Sprintf("%x", sha256.Sum256(fmt.Appendln(nil, f.Before, f.Told, f.Seen, fmt.Sprintf("%.9g", f.Calls))))
		if got != c.want {
			t.Errorf("%s, seed %d: %s, want %s", c.name, c.seed, got, c.want)
		}
	}
}
