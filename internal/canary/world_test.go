package canary

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/counting"
	"harrierhoist/policy"
)

var full = flag.Bool("full", false, "1,000 harmless and 1,000 harmful changes in place of a few")
var only = flag.String("only", "", "the change that is played alone with -full")

// world is a fleet of three processes in virtual time with a counter, a leader's decider and customers that are drawn.
type world struct {
	decider *Decider
	table   tables.Entry
	plays   []*Play
	counter counter
	chance  *rand.Rand
	now     time.Duration
	led     time.Duration
	demand  []float64 // tasks a second by customer
	next    []time.Duration
	site    policy.Deployment
	outage  float64           // part of the tasks that fail whatever the rule says
	offset  map[string]uint64 // sums that an earlier leader had and this one never saw
	keep    map[string]uint64
}

func trial() counting.Trial {
	return counting.Trial{Sample: 400, Calls: 250, DeadlineS: 120, WrongThousandths: 50, Rejected: 50, LetIn: 100,
		Beyond: 100, Leave: 100, WatchS: 120}
}

func begin(r counting.Rule, seed uint64) *world {
	w := &world{counter: counter{}, chance: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, led: time.Hour,
		keep: map[string]uint64{}}
	terms := &counting.Terms{Try: r.Version, Rules: []counting.Rule{r}, Canary: trial()}
	w.decider = &Decider{Terms: func() *counting.Terms { return terms }, Lease: 2 * time.Second, Wait: time.Second,
		Origin: time.Duration(seed%977) * time.Second}
	w.site = counting.Plans(policy.Deployment{Gateways: 3, Lanes: site().Lanes,
		Plans: []policy.Plan{{Name: "small", Rate: 0.5, Burst: 3}}}, terms.Rules)
	for range 1200 { // most well within their plan, some at it, some far beyond
		w.demand = append(w.demand, 0.25*math.Exp(0.7*w.chance.NormFloat64()))
		w.next = append(w.next, w.now+time.Duration(w.chance.ExpFloat64()*4e9))
	}
	return w
}

func (w *world) value() counting.Table {
	t, _ := counting.Decode(w.table.Value)
	return t
}

// sums are what the leader's book would give.
func (w *world) sums() map[string]uint64 {
	all := maps.Clone(w.keep)
	for _, p := range w.plays {
		p.Witness(func(name string, n uint64) { all[name] += n })
	}
	for name := range all {
		all[name] -= min(w.offset[name], all[name])
	}
	return all
}

// decide lets the decider decide, and the processes follow.
func (w *world) decide() {
	value, write := w.decider.Decide(w.now, cluster.Seen{Sums: w.sums(), Since: w.led,
		Held: func(string) tables.Entry { return w.table }})
	was := w.value()
	if !write {
		return
	}
	w.table = tables.Entry{Epoch: w.table.Epoch + 1, Value: value}
	t := w.value()
	if t.Phase == counting.Canary && was.Phase != counting.Canary {
		old, _ := t.Rule(t.From)
		next, _ := t.Rule(t.To)
		s, err := NewSample(old, next, t.Seed, trial().Sample)
		if err != nil {
			panic(err)
		}
		one, _ := counting.Fit(old, w.site)
		two, _ := counting.Fit(next, w.site)
		for range 3 {
			w.plays = append(w.plays, NewPlay(s, one, two, w.site, t.Seed, 250))
		}
	}
}

// pass lets time pass; sampled customers come, each task at one of the processes.
func (w *world) pass(until time.Duration, stop func() bool) {
	for ; w.now < until && !stop(); w.now += 250 * time.Millisecond {
		if w.now%time.Second == 0 {
			w.decide()
		}
		t := w.value()
		for _, p := range w.plays {
			p.Earn(600)
			w.counter.run(p, w.now, p.Due(w.now))
		}
		for c := range w.demand {
			if len(w.plays) == 0 || !w.plays[0].Played(uint64(c)) {
				continue
			}
			for w.next[c] < w.now {
				w.next[c] += time.Duration(w.chance.ExpFloat64() / w.demand[c] * 1e9)
				p := w.plays[w.chance.IntN(len(w.plays))]
				before, after := p.counts[both]+p.counts[oldOnly], p.counts[both]+p.counts[newOnly]
				w.counter.run(p, w.now, p.Take(w.now, Task{Customer: uint64(c), Lane: w.chance.IntN(2), Units: 1}))
				in := p.counts[both]+p.counts[oldOnly] > before // the stand-in for the module's own word
				if version := t.InForce(w.now + w.decider.Origin); version == t.To {
					in = p.counts[both]+p.counts[newOnly] > after
					p.Real(version, 1, in && w.chance.Float64() >= w.outage)
				} else {
					p.Real(version, 1, in)
				}
			}
		}
	}
}

func (w *world) judged() bool { t := w.value(); return w.table.Epoch > 0 && t.Phase != counting.Canary }

func limits(factor float64) counting.Rule {
	return counting.Rule{Version: 1, Key: []string{"customer"},
		Limits: []counting.Limit{{Plan: "small", Rate: 0.5 * factor, Burst: 3 * factor}}}
}

func pairs(rate float64) counting.Rule {
	r := counting.Rule{Version: 1, Key: []string{"group"},
		Limits: []counting.Limit{{Plan: "*", Rate: rate, Burst: 6 * rate}}}
	for i := range uint64(600) {
		r.Groups = append(r.Groups, counting.Group{Name: fmt.Sprint(i), Customers: []uint64{2 * i, 2*i + 1}})
	}
	return r
}

func dear(thousandths uint64) counting.Rule {
	return counting.Rule{Version: 1, Key: []string{"customer"},
		Weights: []counting.Weight{{Lane: "pay", Thousandths: thousandths}}}
}

var changes = map[string]counting.Rule{"as it is": limits(1), "5% more": limits(1.05), "5% less": limits(0.95),
	"10% less": limits(0.9), "pairs": pairs(1), "pay 1.05": dear(1050), "40% less": limits(0.6), "half": limits(0.5),
	"triple": limits(3), "poor pairs": pairs(0.5), "pay 2.5": dear(2500), "pay free": dear(1), "25% less": limits(0.75),
	"30% less": limits(0.7)}

// quick are those of a short test.
var quick = []string{"as it is", "pairs", "half", "poor pairs"}

// truth is a change's mean of each figure over many cells at the end of a canary, none of them looked at before.
func truth(r counting.Rule, plays uint64) (mean [3]float64) {
	n := 0.0
	for seed := range plays {
		w := begin(r, 5000+seed)
		w.decide()
		t := w.value()
		off := trial()
		off.DeadlineS = 86_400 // no verdict
		w.decider.Terms = func() *counting.Terms { return &counting.Terms{Try: 1, Rules: []counting.Rule{r}, Canary: off} }
		w.pass(w.now+75*time.Second, func() bool { return false })
		var x Test
		sums := w.sums()
		for cell := range Cells {
			at := func(what string) float64 { return float64(sums[cellName(Mark(t.Seed), cell, what)]) }
			if at(asks) >= askedLow {
				c := trial()
				x.take(&c, at(asks), at(oldOnly), at(newOnly), at(beyonds))
			}
		}
		for i := range mean {
			mean[i] += x.Bets[i].Sum
		}
		n += float64(x.Bets[0].N)
	}
	for i := range mean {
		mean[i] /= n
	}
	return mean
}

// Drawn changes, harmless and harmful, are judged wrong at most as often as stated. What stays undecided is refused.
func TestVerdictsAreWrongAsSeldomAsStated(t *testing.T) {
	names, each, plays := quick, 3, uint64(2)
	if *full {
		names, each, plays = slices.Sorted(maps.Keys(changes)), 167, 12 // times six or more of either kind
	}
	if *only != "" {
		names = []string{*only}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	room := make(chan bool, 4)
	taken, refused, undecided, of := map[bool]int{}, map[bool]int{}, map[bool]int{}, map[bool]int{}
	for _, name := range names {
		r := changes[name]
		is := truth(r, plays)
		harmful := is[0] > 0.05 || is[1] > 0.1 || is[2] > 0.1
		of[harmful] += each
		var spent time.Duration
		var lines [3]int
		for i := range each {
			all.Add(1)
			room <- true
			go func() {
				defer func() { <-room; all.Done() }()
				w := begin(r, uint64(i)+100)
				w.pass(w.now+130*time.Second, w.judged)
				mu.Lock()
				defer mu.Unlock()
				spent += w.now - time.Hour
				switch why := w.value().Why; {
				case strings.HasPrefix(why, "harmless"):
					lines[0]++
					taken[harmful]++
				case strings.HasPrefix(why, "undecided"):
					lines[2]++
					undecided[harmful]++
				default:
					lines[1]++
					refused[harmful]++
				}
			}()
		}
		all.Wait()
		t.Logf("%-10s harmful %5v (%.3f %.3f %.3f): taken, refused, undecided %v, %v in the mean", name, harmful,
			is[0], is[1], is[2],
			lines, (spent / time.Duration(each)).Round(time.Second))
	}
	t.Logf("harmful taken %d of %d, harmless refused %d of %d; undecided %v", taken[true], of[true],
		refused[false], of[false], undecided)
	nothing := *only == "" && (refused[true] == 0 || taken[false] == 0)
	if nothing || taken[true]*20 > of[true] || refused[false]*20 > of[false] {
		t.Errorf("taken %v, refused %v: more than one in twenty wrong", taken, refused)
	}
}
