package failover

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// The same verdict every time: rapid draws from a seed of our own.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "2026"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawn is a world drawn by lot: two to five halls in up to three regions.
func drawn(chance *rand.Rand) *world {
	w := three(0)
	w.halls, w.gateways, w.demand, w.listed, w.sound = nil, nil, nil, nil, nil
	w.terms.Regions = nil
	for i := range 2 + chance.IntN(4) {
		name := string(rune('a' + i))
		w.halls, w.gateways = append(w.halls, name), append(w.gateways, 2+chance.IntN(5))
		w.demand = append(w.demand, 20+60*chance.Float64())
		w.listed, w.sound = append(w.listed, float64(5+chance.IntN(11))), append(w.sound, 1)
		if r := len(w.terms.Regions); r == 0 || r < 3 && chance.IntN(2) == 0 {
			w.terms.Regions = append(w.terms.Regions, Region{Name: "r" + name})
		}
		r := &w.terms.Regions[len(w.terms.Regions)-1]
		r.Halls = append(r.Halls, name)
	}
	return w
}

// trouble changes something in the world by lot.
func (w *world) trouble(chance *rand.Rand) string {
	n := len(w.halls)
	h, to := chance.IntN(n), chance.IntN(n)
	switch kind := chance.IntN(8); kind {
	case 0, 1:
		w.sound[h] = []float64{0, 0, 0.5, 1, 1, 1}[chance.IntN(6)]
	case 2:
		w.listed[h] = float64(chance.IntN(16))
	case 3:
		if h != to {
			w.cut[[2]int{h, to}] = !w.cut[[2]int{h, to}]
		}
	case 4:
		w.demand[h] *= 0.5 + chance.Float64()
	case 5:
		w.mute[h] = !w.mute[h]
	case 6:
		w.blind[h] = !w.blind[h]
	case 7:
		w.lead()
	}
	return fmt.Sprintf("sound %v, listed %v, demand %.0f, cut %v, mute %v, blind %v", w.sound, w.listed, w.demand,
		w.cut, w.mute, w.blind)
}

// play lets a drawn world go through troubles with a decider that goes by terms of its own, and gives the first promise
// that it breaks, of those that the file's terms make.
func play(seed uint64, own func(*Terms, *time.Duration)) error {
	chance := rand.New(rand.NewPCG(seed, 29))
	w := drawn(chance)
	promised := w.terms.Filled()
	lease := w.lease
	own(&w.terms, &lease)
	lead := func() { w.d = New(w.terms, lease); w.d.terms = w.terms.Filled(); w.d.view.terms = &w.d.terms }
	lead()
	w.run(6 * time.Second)
	for range 6 {
		said := w.trouble(chance)
		w.troubled = w.now
		lead()
		for end := w.now + time.Duration(2+chance.IntN(14))*time.Second; w.now < end; {
			was := append([]planned{}, w.plans...)
			if len(w.run(tick)) == 0 {
				continue
			}
			if err := w.check(was, w.plans[len(w.plans)-1], promised); err != nil {
				return fmt.Errorf("seed %d at %v: %w (%s)", seed, w.now, err, said)
			}
		}
	}
	return nil
}

func (w *world) equal(a, b *Plan, hall string) bool {
	return maps.Equal(a.Rows[hall], b.Rows[hall]) && a.Shed[hall] == b.Shed[hall]
}

// moved is when a hall's tasks last moved; 0: not yet.
func (w *world) moved(was []planned, hall string) time.Duration {
	for i := len(was) - 1; i > 0; i-- {
		if !w.equal(was[i-1].plan, was[i].plan, hall) {
			return was[i].at
		}
	}
	return 0
}

// earlier is the most that a pair gets by any plan before the latest that some gateway may still hold.
func (w *world) earlier(was []planned, from, to string) float64 {
	most := 0
	for i, p := range was {
		if i == len(was)-1 || was[i+1].at > w.now-w.lease {
			most = max(most, p.plan.Rows[from][to])
		}
	}
	return float64(most)
}

// check holds a plan, just written, against what was promised, by what the decider holds to be true: that this is what
// the world tells is what the stories show.
func (w *world) check(was []planned, now planned, promised Terms) error {
	v, p := w.d.view, now.plan
	for t, to := range w.halls {
		bears, _ := v.bears(t, to)
		load, foreign, both, before := 0.0, 0.0, 0.0, 0.0
		for f, from := range w.halls {
			d := max(v.demand[f], tinyDemand)
			x := float64(p.Rows[from][to])
			if f == t {
				x -= float64(p.Shed[from])
			} else {
				foreign += x / whole * d
			}
			load += x / whole * d
			old := w.earlier(was, from, to)
			both, before = both+max(x, old)/whole*d, before+old/whole*d
		}
		slack := 0.01*bears + 0.05
		if foreign > slack && load > (promised.UtilisationMost+1)/2*bears+slack {
			return fmt.Errorf("%s gets %.1f, of that %.1f of others, and bears %.1f", to, load, foreign, bears)
		}
		if foreign > slack && both > max(bears, before)+slack {
			return fmt.Errorf("%s gets %.1f by old plans or new, %.1f by old ones, and bears %.1f", to, both, before, bears)
		}
	}
	for _, from := range w.halls {
		sum := 0
		for _, x := range p.Rows[from] {
			if sum += x; x < 0 {
				return fmt.Errorf("a share of %s is %d", from, x)
			}
		}
		if sum != whole || p.Shed[from] > p.Rows[from][from] {
			return fmt.Errorf("row of %s: %v, shed %d", from, p.Rows[from], p.Shed[from])
		}
		if len(was) == 0 {
			continue
		}
		last := was[len(was)-1].plan
		at := w.moved(was, from)
		if p.Why[from] == ordinary && at > 0 && now.at < at+promised.stay() && !w.equal(last, p, from) {
			return fmt.Errorf("%s moved at %v, and again", from, at)
		}
		for t, to := range w.halls {
			well := now.at > w.troubled+3*time.Second && w.sound[t] > 0 && w.listed[t] > 0
			if well && strings.Contains(p.Why[from], to+" is lost") && !w.equal(last, p, from) {
				return fmt.Errorf("%s flees from %s, which is well", from, to)
			}
		}
		home := func(p *Plan) int { return p.Rows[from][from] - p.Shed[from] }
		if up := home(p) - home(last); float64(up) > promised.Step*whole+21 &&
			(last.Shed[from] > 0 || p.Why[from] == ordinary) {
			return fmt.Errorf("%s comes back by %d at once, from %+v to %+v", from, up, last, p)
		}
	}
	return nil
}

func honest(*Terms, *time.Duration) {}

func TestDrawnTroublesBreakNoPromise(t *testing.T) {
	for part := range uint64(8) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part * 8; seed < part*8+8; seed++ {
				if err := play(seed, honest); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// Bugs planted in a decider are found by the same play.
func TestPlantedBugsAreFound(t *testing.T) {
	for name, plant := range map[string]func(*Terms, *time.Duration){
		"plan above the receiver's strength": func(t *Terms, _ *time.Duration) { t.UtilisationMost = 1.3 },
		"return without steps":               func(t *Terms, _ *time.Duration) { t.Step = 1 },
		"one gateway's word":                 func(t *Terms, _ *time.Duration) { t.GatewaysLeast, t.IllPart = 1, 0.15 },
		"no rest":                            func(t *Terms, _ *time.Duration) { t.LeastStay = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(200) {
				if err := play(seed, plant); err != nil {
					t.Logf("found after %d runs: %v", seed+1, err)
					return
				}
			}
			t.Error("not found in 200 runs")
		})
	}
}

// The same sums give the same bytes, whatever the order of maps.
func TestSameEvidenceSamePlan(t *testing.T) {
	var first []byte
	for range 3 {
		w := three(3)
		w.run(6 * time.Second)
		w.sound[0], w.demand[1] = 0, 77
		w.run(20 * time.Second)
		if first == nil {
			first = w.entry.Value
		}
		if !bytes.Equal(first, w.entry.Value) {
			t.Fatal("another plan")
		}
	}
}
