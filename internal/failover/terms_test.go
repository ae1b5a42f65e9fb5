package failover

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
)

// An operator hears of all that is wrong at once, by key and with what is allowed.
func TestAllThatIsWrongIsSaid(t *testing.T) {
	const file = `
on = true
utilisation_most = 1.2
least_stay_s = 1.0
step = 2.0
worth = 0.5
ill_part = 0.3
gateways_least = 1
trial = 0.5
bears_by = { z = 1.0 }
[[regions]]
halls = ["a", "a"]
[[regions]]
name = "south"
`
	var terms Terms
	if err := toml.NewDecoder(strings.NewReader(file)).DisallowUnknownFields().Decode(&terms); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, err := range terms.Check() {
		if !strings.Contains(err.Error(), " is wanted, not ") {
			t.Errorf("%q does not say what is allowed", err)
		}
		key, _, _ := strings.Cut(err.Error(), ": ")
		keys = append(keys, strings.TrimPrefix(key, "failover."))
	}
	want := []string{"regions[0].name", "regions[0].halls", "regions[1].halls", "bears", "bears_by", "utilisation_most",
		"least_stay_s", "step", "worth", "ill_part", "gateways_least", "trial"}
	if d := cmp.Diff(want, keys); d != "" {
		t.Error(d)
	}
	if terms.On = false; len(terms.Check()) > 0 {
		t.Error("what is off is not to be right")
	}
	if wrong := three(1).terms.Check(); len(wrong) > 0 {
		t.Error(wrong)
	}
}

// A plan is the same after the table, and the same bytes again.
func TestPlanThroughTheTable(t *testing.T) {
	w := three(3)
	w.run(6 * time.Second)
	w.sound[0], w.cut[[2]int{1, 2}] = 0, true
	w.run(3 * time.Second)
	p, err := Read(w.entry.Value)
	if err != nil {
		t.Fatal(err)
	}
	again, err := p.Bytes()
	if d := cmp.Diff(string(w.entry.Value), string(again)); d != "" || err != nil {
		t.Error(err, d)
	}
	if p, err := Read(nil); p != nil || err != nil {
		t.Errorf("no value is %v, %v", p, err)
	}
}

// Two sides: whoever hears a plan acts on it, whoever does not on what some earlier plan set apart. Whatever the split of
// the gateways and the age of what they heard, no hall gets more than it bears but by its own tasks.
func TestTwoSidesNeverPushAThirdHallOver(t *testing.T) {
	for seed := range uint64(40) {
		chance := rand.New(rand.NewPCG(seed, 4))
		w := drawn(chance)
		w.lead()
		w.run(6 * time.Second)
		for range 4 {
			w.sound[chance.IntN(len(w.halls))] = 0
			w.run(time.Duration(chance.IntN(6)) * time.Second)
		}
		w.run(3 * time.Second)
		last := w.plans[len(w.plans)-1].plan
		for t2, to := range w.halls {
			foreign := 0.0
			for f, from := range w.halls {
				if f == t2 {
					continue
				}
				alone := w.plans[chance.IntN(len(w.plans))].plan.PartAlone(from, true).Weights[to]
				part := chance.Float64() // of its gateways that hear no plan
				share := float64(last.Rows[from][to])/whole*(1-part) + alone*part
				foreign += share * w.demand[f]
			}
			own := float64(last.Rows[to][to]-last.Shed[to]) / whole * w.demand[t2]
			if bears := w.listed[t2] * w.terms.Bears; foreign > 1 && foreign+min(own, 0.8*bears) > bears*1.02 {
				t.Errorf("seed %d: %s gets %.1f of others, %.1f of its own, and bears %.1f", seed, to, foreign, own, bears)
			}
		}
	}
}
