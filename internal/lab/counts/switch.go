package counts

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/counting"
	"harrierhoist/policy"
)

// fault has something befall a node for a while, anywhere around a switch.
func (f *Fleet) fault(n *node) {
	at, long := f.some(time.Millisecond, 12*time.Second), f.some(time.Second, 9*time.Second)
	switch f.chance.IntN(4) {
	case 0:
		f.after(at, func() { n.cut = true })
		f.after(at+long, func() { n.cut = false })
	case 1:
		f.after(at, func() { n.asleep = true })
		f.after(at+long, func() { n.wake() })
	case 2: // dies and comes back without a word of what held
		f.after(at, func() { n.start(); n.cut = true })
		f.after(at+long, func() { n.cut = false })
	case 3:
		f.after(at, func() { n.start() })
	}
}

// Switches plays a fleet over an activation of a rule and the way back, with faults at two of its gateways if not calm.
func Switches(seed uint64, d policy.Deployment, r counting.Rule, plant Plant, calm bool) *Fleet {
	f := newFleet(seed, d, []counting.Rule{r})
	f.plant = plant
	start := f.now
	var come func()
	come = func() {
		if f.now < start+28*time.Second {
			f.nodes[f.chance.IntN(len(f.nodes))].take(1+f.chance.Uint64N(8), f.chance.IntN(2))
			f.after(f.some(0, 25*time.Millisecond), come)
		}
	}
	f.after(time.Second, come)
	f.after(3*time.Second, func() { f.table.Phase, f.table.To = counting.Canary, 1 })
	f.after(6*time.Second, func() { f.table.Phase, f.table.Edge = counting.Named, f.now+lead })
	f.after(16*time.Second, func() {
		f.table.Phase, f.table.From, f.table.To, f.table.Edge = counting.Back, 1, 0,
			f.now+lead
	})
	for _, n := range f.nodes[:2] { // never a majority of four
		if calm {
			break
		}
		f.after(f.some(4*time.Second, 12*time.Second), func() { f.fault(n) })
	}
	f.run(start + 40*time.Second)
	return f
}

// Beyond is by how much a count's forwarded weighted units passed its limit, in bursts: by the servers' record, and
// the rule that was truly in force when each task was taken.
func (f *Fleet) Beyond() (worst float64) {
	type store struct {
		used float64
		at   time.Duration
	}
	stores := map[uint64]store{}
	truth := counting.Table{Phase: counting.Named, From: 0, To: 1, Edge: time.Hour + 10*time.Second}
	for _, t := range slices.SortedFunc(slices.Values(f.tasks), func(a, b *task) int {
		return cmp.Compare(a.sent,
			b.sent)
	}) {
		if !t.pushed {
			continue
		}
		version := truth.InForce(t.at)
		if t.at >= time.Hour+20*time.Second {
			version = 0
		}
		c := f.fitted[version].Count(t.customer, t.lane, 0)
		plan, s := f.site.Plans[c.Plan], stores[c.Key]
		s.used = max(s.used-plan.Rate*(t.sent-s.at).Seconds(), 0) + c.Weight
		s.at = t.sent
		stores[c.Key] = s
		worst = max(worst, (s.used-plan.Burst)/plan.Burst)
	}
	return worst
}

// around is a site of four gateways without plans.
func around() policy.Deployment {
	return policy.Deployment{Gateways: 4, Halls: 1, Tick: time.Millisecond, HasCounter: true,
		CountLimit: time.Second, PushLimit: 3,
		Lanes: []policy.Lane{{Name: "look", SoftLimit: time.Second, Patience: 2 * time.Second, Gain: 1},
			{Name: "pay", SoftLimit: time.Second, Patience: 2 * time.Second, Gain: 2}}}
}

// Pushed is how many tasks were forwarded.
func (f *Fleet) Pushed() (n int) {
	for _, t := range f.tasks {
		if t.pushed {
			n++
		}
	}
	return n
}

// Unanswered tells of a task that had no final answer, or two. One whose gateway died may have none.
func (f *Fleet) Unanswered() error {
	for _, t := range f.tasks {
		if t.finals != 1 && !(t.lost && t.finals == 0) {
			return fmt.Errorf("task %d, taken at %v, has %d final answers", t.id, t.at-time.Hour, t.finals)
		}
	}
	return nil
}

// Tight is a site and a rule under which eight customers, who ask eight times a plan, share one.
func Tight() (policy.Deployment, counting.Rule) {
	d := around()
	d.Plans = []policy.Plan{{Name: "small", Rate: 10, Burst: 20}}
	return d, counting.Rule{Version: 1, Key: []string{"group"}, Groups: []counting.Group{{Name: "all",
		Customers: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}},
		Limits: []counting.Limit{{Plan: "*", Rate: 10, Burst: 20}}}
}

// Charges checks by the counter's record that each count was charged what was forwarded under it, no more and no less.
// The plan holds few tasks, so charges go alone and at once.
func Charges(seed uint64, plant Plant) error {
	d := around()
	d.Plans = []policy.Plan{{Name: "small", Rate: 100, Burst: 7}}
	f := Switches(seed, d, counting.Rule{Version: 1, Key: []string{"customer", "lane"},
		Weights: []counting.Weight{{Lane: "pay", Thousandths: 3000}, {Lane: "look", Thousandths: 2000}}}, plant, true)
	forwarded, charged, names, pushed := map[uint64]float64{}, map[uint64]float64{}, map[uint64]uint64{}, 0
	for _, t := range f.tasks {
		if t.pushed {
			forwarded[t.count.Key] += t.weight
			pushed++
			for at := time.Hour; at < f.now && forwarded[t.count.Key] == t.weight; at += time.Second / 2 { // a key's first
				names[counting.At(t.count.Key, &f.site.Plans[t.count.Plan], at).Name] = t.count.Key
			}
		}
	}
	if pushed < 500 {
		return fmt.Errorf("%d pushes show nothing", pushed)
	}
	for name, units := range f.charged {
		charged[names[name]] += units
	}
	for key, units := range forwarded {
		if off := charged[key] - units; max(off, -off) > 0.01 {
			return fmt.Errorf("count %x: %v charged, %v forwarded", key, charged[key], units)
		}
	}
	return nil
}
