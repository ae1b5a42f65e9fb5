package counting_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/counting"
	"harrierhoist/policy"
)

// foretold plays a canary beside four gateways with the module itself, then switches. It gives the parts let in of the
// sample before, as foretold and as seen after, and the calls that the play spent beside the gateways' own.
func foretold(t *testing.T, seed uint64, r counting.Rule) (before, told, seen, calls float64) {
	t.Helper()
	d := around()
	d.Plans = []policy.Plan{{Name: "small", Rate: 0.5, Burst: 5}}
	f := newFleet(seed, d, []counting.Rule{r})
	sample, err := canary.NewSample(counting.Rule{}, r, seed, 300)
	if err != nil {
		t.Fatal(err)
	}
	const customers = 300
	pace := rand.New(rand.NewPCG(seed, 5))
	var asked, in [2]float64
	units := map[string]uint64{}
	plays, own := map[*node]*canary.Play{}, 0.0
	var run func(*node, []canary.Call)
	run = func(n *node, all []canary.Call) {
		for _, c := range all {
			n.add(c.Name, c.Units, func(total float64) { run(n, plays[n].Told(n.now, c.ID, total, true)) })
		}
	}
	for _, n := range f.nodes {
		plays[n] = canary.NewPlay(sample, f.fitted[0], f.fitted[1], f.site, seed, 250)
	}
	f.taken = func(n *node, k *task) {
		own++
		if f.table.Phase == counting.Canary {
			plays[n].Earn(12) // as much as a sample of one key in 25 would have
			run(n, plays[n].Take(n.now, canary.Task{Customer: k.customer, Lane: k.lane, Units: 1}))
			run(n, plays[n].Due(n.now))
		}
	}
	f.over = func(_ *node, k *task) {
		if cell, ok := sample.Cell(k.customer); ok && cell >= 0 && k.at > time.Hour+40*time.Second {
			asked[k.count.Version]++
			if k.pushed {
				in[k.count.Version]++
			}
		}
	}
	for c := range uint64(customers) {
		each := 2.5e9 / math.Exp(0.7*pace.NormFloat64())
		var come func()
		come = func() {
			if f.now < time.Hour+240*time.Second {
				f.nodes[f.chance.IntN(len(f.nodes))].take(c, f.chance.IntN(2))
				f.after(time.Duration(f.chance.ExpFloat64()*each), come)
			}
		}
		f.after(time.Duration(f.chance.ExpFloat64()*each), come)
	}
	f.after(10*time.Second, func() { f.table.Phase, f.table.To = counting.Canary, 1 })
	f.after(140*time.Second, func() { f.table.Phase, f.table.Edge = counting.Named, f.now+lead })
	f.run(time.Hour + 250*time.Second)
	for _, p := range plays {
		p.Witness(func(name string, n uint64) { units[name[len("canary\x1f")+len(canary.Mark(seed))+1:]] += n })
		calls += float64(p.Calls)
	}
	byOld, byNew := float64(units["both"]+units["old"]), float64(units["both"]+units["new"])
	before = in[0] / asked[0]
	return before, min(before*byNew/byOld, 1), in[1] / asked[1], calls / own
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
	for name, r := range map[string]counting.Rule{"the same": limit(1), "half": limit(0.5), "twice": limit(2), "pairs share one plan": pairs,
		"pay weighs 2": {Version: 1, Key: []string{"customer"}, Weights: []counting.Weight{{Lane: "pay", Thousandths: 2000}}}} {
		before, told, seen, calls := foretold(t, 3, r)
		t.Logf("%-20s let in %.3f before, %.3f foretold, %.3f seen (%.0f%% off); %.2f calls of the play a task", name, before, told, seen,
			100*(told/seen-1), calls)
		if off := told/seen - 1; max(off, -off) > 0.1 {
			t.Errorf("%s: %.3f foretold, %.3f seen", name, told, seen)
		}
	}
}
