package counts

import (
	"math"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/counting"
	"harrierhoist/policy"
)

// Forecast is what a canary foretold and what followed: parts of the sample's units let in.
type Forecast struct {
	Before, Told, Seen float64
	Calls              float64 // of the play, a task of the fleet
}

// Foretold plays a canary beside so many gateways with the module itself for two minutes, then switches to the rule.
// Its 300 customers come through any of them.
func Foretold(seed uint64, gateways int, r counting.Rule) (c Forecast, err error) {
	d := around()
	d.Plans = []policy.Plan{{Name: "small", Rate: 0.5, Burst: 5}}
	d.Gateways = gateways
	f := newFleet(seed, d, []counting.Rule{r})
	sample, err := canary.NewSample(counting.Rule{}, r, seed, 300)
	if err != nil {
		return c, err
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
	var tick func()
	tick = func() {
		for _, n := range f.nodes {
			run(n, plays[n].Due(f.now))
		}
		if f.table.Phase == counting.Canary {
			f.after(250*time.Millisecond, tick)
		}
	}
	f.after(11*time.Second, tick)
	f.after(10*time.Second, func() { f.table.Phase, f.table.To = counting.Canary, 1 })
	f.after(140*time.Second, func() { f.table.Phase, f.table.Edge = counting.Named, f.now+lead })
	f.run(time.Hour + 250*time.Second)
	for _, p := range plays {
		p.Witness(func(name string, n uint64) { units[name[len("canary\x1f")+len(canary.Mark(seed))+1:]] += n })
		c.Calls += float64(p.Calls) / own
	}
	byOld, byNew := float64(units["both"]+units["old"]), float64(units["both"]+units["new"])
	c.Before, c.Seen = in[0]/asked[0], in[1]/asked[1]
	c.Told = min(c.Before*byNew/byOld, 1)
	return c, nil
}
