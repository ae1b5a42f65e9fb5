package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierhoist/internal/counting"
	"harrierhoist/policy"
)

func site() policy.Deployment {
	return policy.Deployment{Gateways: 4, Lanes: []policy.Lane{{Name: "look", Gain: 1}, {Name: "pay", Gain: 2}},
		Plans: []policy.Plan{{Name: "small", Rate: 2, Burst: 10}}}
}

func fit(t testing.TB, r counting.Rule) (*counting.Fitted, policy.Deployment) {
	t.Helper()
	d := counting.Plans(site(), []counting.Rule{r})
	f, err := counting.Fit(r, d)
	if err != nil {
		t.Fatal(err)
	}
	return f, d
}

// listed draws a rule of groups over few customers, so that the two rules' groups cross.
func listed(t *rapid.T, version uint64) counting.Rule {
	r := counting.Rule{Version: version, Key: []string{"group"}, Limits: []counting.Limit{{Plan: "*", Rate: 1, Burst: 1}}}
	if rapid.Bool().Draw(t, "by customer") {
		r.Key = []string{"customer", "lane"}
		return r
	}
	next := uint64(1)
	for i := range rapid.IntRange(1, 12).Draw(t, "groups") {
		g := counting.Group{Name: fmt.Sprint(i)}
		for range rapid.IntRange(1, 4).Draw(t, "customers") {
			next += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			g.Customers = append(g.Customers, next)
		}
		r.Groups = append(r.Groups, g)
	}
	return r
}

// cut looks for a count, of either rule, of which some customers are played and some not, or in two cells.
func cut(t *rapid.T, in func(*Sample, uint64) (int, bool)) string {
	old, next := listed(t, 1), listed(t, 2)
	s, err := NewSample(old, next, rapid.Uint64().Draw(t, "seed"), 300)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []counting.Rule{old, next} {
		d := counting.Plans(site(), []counting.Rule{r})
		f, _ := counting.Fit(r, d)
		type where struct {
			cell int
			in   bool
		}
		first := map[uint64]where{}
		for c := range uint64(100) {
			cell, played := in(s, c)
			key := f.Count(c, 0, 0).Key
			if was, ok := first[key]; ok && was != (where{cell, played}) {
				return fmt.Sprintf("rule %d cuts the key of customer %d", r.Version, c)
			}
			first[key] = where{cell, played}
		}
	}
	return ""
}

func TestSampleCutsNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if why := cut(t, (*Sample).Cell); why != "" {
			t.Fatal(why)
		}
	})
}

// The same check finds a sample that goes by customers, and one that follows one rule's groups but no further.
func TestSampleThatCutsAKeyIsFound(t *testing.T) {
	for name, planted := range map[string]func(*Sample, uint64) (int, bool){
		"by customer": func(s *Sample, c uint64) (int, bool) {
			return int(counting.Mix(s.seed, c) % Cells), counting.Mix(s.seed, c) < s.most
		},
		"one step only": func(s *Sample, c uint64) (int, bool) {
			one := Sample{seed: s.seed, most: s.most, mask: s.mask, roots: map[uint64]uint64{}}
			if r := s.roots[c]; r != 0 && c-r < 4 { // neighbours alone
				one.roots[c] = r
			}
			return one.Cell(c)
		},
	} {
		runs, found := 0, false
		gen := rapid.Custom(func(t *rapid.T) string { return cut(t, planted) })
		for ; runs < 200 && !found; runs++ {
			found = gen.Example(runs) != ""
		}
		if !found {
			t.Errorf("%s: not found in %d runs", name, runs)
		}
		t.Logf("%s: found after %d runs", name, runs)
	}
}

// Two masks hang together what either leaves open; with few bits in common there is nothing to draw from.
func TestMasksAreSampledByWhatTheyShare(t *testing.T) {
	rule := func(v, mask uint64) counting.Rule {
		return counting.Rule{Version: v, Key: []string{"group"}, Mask: mask}
	}
	s, err := NewSample(rule(1, 0xfff0), rule(2, 0xff0f), 3, 500)
	if err != nil || s.Key(0x1234) != s.Key(0x12ff) || s.Key(0x1234) == s.Key(0x1334) {
		t.Errorf("%v, %+v", err, s)
	}
	if _, err := NewSample(rule(1, 0xff00), rule(2, 0x00ff), 3, 500); err == nil {
		t.Error("all customers are one component, and a sample was drawn")
	}
	if _, err := NewSample(rule(1, 0xff00), counting.Rule{Version: 2, Key: []string{"group"},
		Groups: []counting.Group{{Name: "a", Customers: []uint64{1, 2}}}}, 3, 500); err == nil {
		t.Error("a list across masks was sampled")
	}
}

// At the very bound neither side may win more often than stated, whenever it is looked at.
func TestBetIsWrongAsSeldomAsStated(t *testing.T) {
	const runs, bound, a = 2000, 0.05, 0.05
	draws := map[string]func(*rand.Rand) float64{
		"rare and whole": func(r *rand.Rand) float64 { return map[bool]float64{true: 1}[r.Float64() < bound] },
		"even":           func(r *rand.Rand) float64 { return 2 * bound * r.Float64() },
	}
	for name, draw := range draws {
		harmless, harmful := 0, 0
		for seed := range uint64(runs) {
			r, b := rand.New(rand.NewPCG(seed, 9)), Bet{}
			no, yes := false, false
			for range Cells {
				b.Take(draw(r), bound)
				no, yes = no || b.Harmful(a), yes || b.Harmless(a)
			}
			if no {
				harmful++
			}
			if yes {
				harmless++
			}
		}
		t.Logf("%s: of %d at the bound, %d called harmless, %d harmful", name, runs, harmless, harmful)
		if harmless > 120 || harmful > 120 { // 100 are stated; 120 is two deviations more
			t.Errorf("%s: wrong too often: %d and %d", name, harmless, harmful)
		}
	}
}

// The page's word on how many cells a bound needs where nothing goes wrong.
func TestCleanCellsDecide(t *testing.T) {
	for bound, most := range map[float64]int{0.02: 200, 0.05: 80, 0.1: 40} {
		b := Bet{}
		for !b.Harmless(0.05) && b.N < Cells {
			b.Take(0, bound)
		}
		if !b.Harmless(0.05) || b.N > most {
			t.Errorf("bound %v: %d cells, not %d", bound, b.N, most)
		}
	}
}

// counter is one that answers at once.
type counter map[uint64]float64

func (c counter) run(p *Play, now time.Duration, calls []Call) {
	for _, call := range calls {
		c[call.Name] += call.Units
		c.run(p, now, p.Told(now, call.ID, c[call.Name], true))
	}
}

// Alike on both sides, a rule that says the same as the old one differs nowhere; calls stay within their share.
func TestSameRuleDiffersNowhere(t *testing.T) {
	same := counting.Rule{Version: 1, Key: []string{"customer"}}
	f, d := fit(t, same)
	today, _ := counting.Fit(counting.Rule{}, d)
	s, _ := NewSample(counting.Rule{}, same, 5, 500)
	p, count, earned := NewPlay(s, today, f, d, 5, 250), counter{}, uint64(0)
	chance := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	for range 20_000 {
		now += time.Duration(chance.IntN(int(10 * time.Millisecond)))
		p.Earn(8)
		earned += 8
		count.run(p, now, p.Take(now, Task{Customer: uint64(chance.IntN(40)), Units: 1}))
		count.run(p, now, p.Due(now))
	}
	got := p.counts
	off := int(got[oldOnly]) - int(got[newOnly])
	if max(off, -off) > int(got[both])/100 || got[both] < 100_000 || got[neither] == 0 || got[merged]+got[splits] != 0 {
		t.Errorf("%v", got)
	}
	if p.Calls > earned/4+uint64(budgetMost) {
		t.Errorf("%d calls of %d", p.Calls, earned)
	}
}

// Customers that come together under half of their rates lose about half: seen, with the keys that merged.
func TestMergedKeysAreSeenToReject(t *testing.T) {
	r := counting.Rule{Version: 1, Key: []string{"group"}, Limits: []counting.Limit{{Plan: "*", Rate: 2, Burst: 10}}}
	for i := range uint64(20) {
		r.Groups = append(r.Groups, counting.Group{Name: fmt.Sprint(i), Customers: []uint64{2 * i, 2*i + 1}})
	}
	f, d := fit(t, r)
	today, _ := counting.Fit(counting.Rule{}, d)
	s, _ := NewSample(counting.Rule{}, r, 5, 500)
	p, count := NewPlay(s, today, f, d, 5, 250), counter{}
	chance := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	for range 20_000 {
		now += 15 * time.Millisecond
		p.Earn(8)
		count.run(p, now, p.Take(now, Task{Customer: uint64(chance.IntN(40)), Units: 1}))
		count.run(p, now, p.Due(now))
	}
	got := p.counts
	// 40 customers ask 1.67 units a second each of their 2, so pairs ask 3.3 of their 2.
	part := float64(got[oldOnly]) / float64(got[both]+got[oldOnly])
	if part < 0.3 || part > 0.5 || got[newOnly] > got[both]/100 || got[merged] == 0 || got[splits] != 0 {
		t.Errorf("%.3f lost, %v", part, got)
	}
}
