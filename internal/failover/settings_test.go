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
func TestValidate_reportsAllErrors(t *testing.T) {
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
	var settings Settings
	if err := toml.NewDecoder(strings.NewReader(file)).DisallowUnknownFields().Decode(&settings); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, err := range settings.Check() {
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
	if settings.Enabled = false; len(settings.Check()) > 0 {
		t.Error("what is off is not to be right")
	}
	if wrong := threeZones(1).settings.Check(); len(wrong) > 0 {
		t.Error(wrong)
	}
}

// A plan is the same after the table, and the same bytes again.
func TestPlan_roundTrip(t *testing.T) {
	fx := threeZones(3)
	fx.run(6 * time.Second)
	fx.healthy[0], fx.lostLinks[[2]int{1, 2}] = 0, true
	fx.run(3 * time.Second)
	plan, err := DecodePlan(fx.entry.Value)
	if err != nil {
		t.Fatal(err)
	}
	again, err := plan.Encode()
	if d := cmp.Diff(string(fx.entry.Value), string(again)); d != "" || err != nil {
		t.Error(err, d)
	}
	if plan, err := DecodePlan(nil); plan != nil || err != nil {
		t.Errorf("no value is %v, %v", plan, err)
	}
}

// Two sides: whoever hears a plan acts on it, whoever does not on what some earlier plan set apart. Whatever the split of
// the gateways and the age of what they heard, no hall gets more than it bears but by its own tasks.
func TestFallback_partitionNeverOverloadsThirdZone(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 4))
		fx := drawFixture(random)
		fx.newLeader()
		fx.run(6 * time.Second)
		for range 4 {
			fx.healthy[random.IntN(len(fx.zones))] = 0
			fx.run(time.Duration(random.IntN(6)) * time.Second)
		}
		fx.run(3 * time.Second)
		last := fx.plans[len(fx.plans)-1].plan
		for t2, toZone := range fx.zones {
			foreign := 0.0
			for from, fromZone := range fx.zones {
				if from == t2 {
					continue
				}
				alone := fx.plans[random.IntN(len(fx.plans))].plan.FallbackAssignment(fromZone, true).Weights[toZone]
				part := random.Float64() // of its gateways that hear no plan
				share := float64(last.Rows[fromZone][toZone])/fullShare*(1-part) + alone*part
				foreign += share * fx.demand[from]
			}
			own := float64(last.Rows[toZone][toZone]-last.Shed[toZone]) / fullShare * fx.demand[t2]
			if bears := fx.readyPower[t2] * fx.settings.Capacity; foreign > 1 && foreign+min(own, 0.8*bears) > bears*1.02 {
				t.Errorf("seed %d: %s gets %.1f of others, %.1f of its own, and bears %.1f", seed, toZone, foreign, own, bears)
			}
		}
	}
}
