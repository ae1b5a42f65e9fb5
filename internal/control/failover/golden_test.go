package failover

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/testing/golden"
)

// storedPlans are the plans whose stored bytes are in testdata, by the name of the fixture.
var storedPlans = map[string]*Plan{
	"empty": {},
	"plain": {
		Rows:         map[string]map[string]int{"a": {"a": 1000}, "b": {"b": 1000}},
		Health:       map[string]int{"a": 1000, "b": 1000},
		FallbackRows: map[string]map[string]int{"a": {"b": 100}, "b": {"a": 90}},
		Shed:         map[string]int{},
		Reasons:      map[string]string{},
		Demand:       map[string]uint64{"a": 50000, "b": 49999},
	},
	"full": {
		Rows: map[string]map[string]int{
			"a": {"a": 20, "b": 780, "c": 200}, "b": {"b": 1000}, "c": {"c": 1000},
		},
		Health:        map[string]int{"a": 0, "b": 1000, "c": 750},
		FallbackRows:  map[string]map[string]int{"a": {"b": 100, "c": 50}, "b": {}, "c": nil},
		PreviousRows:  map[string]map[string]int{"a": {"a": 1000}, "b": {"b": 1000}, "c": {"c": 1000}},
		HeldDownZones: []string{"a"},
		LostLinks:     [][2]string{{"a", "b"}, {"c", "a"}},
		Shed:          map[string]int{"a": 12},
		Reasons:       map[string]string{"a": "a is lost", "b": reasonOrdinary},
		Demand:        map[string]uint64{"a": 1, "b": 1 << 40, "c": 0},
	},
	"resting": {HeldDownZones: []string{}, LostLinks: [][2]string{}, PreviousRows: map[string]map[string]int{}},
}

// TestPlan_encodingIsStable compares the stored form of plans with fixtures, since gateways and
// leaders of other releases read it.
func TestPlan_encodingIsStable(t *testing.T) {
	for name, plan := range storedPlans {
		t.Run(name, func(t *testing.T) {
			golden.CheckStored(t, golden.ReadHex(t, "plan-"+name+".hex"), plan, (*Plan).Encode, DecodePlan)
		})
	}
}

// goldenSettings are the settings of the random streams, by name.
var goldenSettings = map[string]func(*Settings, *time.Duration){
	"defaults": func(*Settings, *time.Duration) {},
	"quick": func(t *Settings, lease *time.Duration) {
		t.MaxUtilisation = 0.6
		t.HoldDownSeconds = 3
		t.RecoveryStep = 0.5
		t.MinMove = 0.02
		t.AgreementShare = 0.75
		t.ProbeShare = 0.05
		*lease = 5 * time.Second
	},
	"uneven": func(t *Settings, lease *time.Duration) {
		t.CapacityByZone = map[string]float64{"a": 5, "b": 20}
		t.HoldDownSeconds = 20
		t.MinGateways = 3
		t.MaxUtilisation = 0.9
		*lease = time.Second
	},
}

// goldenSeeds are the seeds of the random streams.
var goldenSeeds = []uint64{1, 2, 3, 4, 5, 6, 12, 2026}

// goldenPlans contains, by the name of the settings, the number of plans written during the random
// streams and the hash of all decisions.
var goldenPlans = map[string]struct {
	plans int
	hash  string
}{
	"defaults": {85, "56af996789a91dffe2ec84dfce6a8e69bbdf3e8f61c571766b31edd52c35f787"},
	"quick":    {129, "ba98638bff3f16d8d7ad64a3b8e7eefa2e904f3fefe50df0943dd966a46d4565"},
	"uneven":   {54, "56d1ac5e0c25cfcf72c85828bae14160cf283c0faf687586527d5e69144a45c4"},
}

// TestController_randomStreamDecisionsAreStable checks that no decision on random streams of
// observations changes between versions: when a plan is written, its bytes, and the assignments of
// gateways.
func TestController_randomStreamDecisionsAreStable(t *testing.T) {
	for name, set := range goldenSettings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sum := golden.NewDigest()
			plans := 0
			for _, seed := range goldenSeeds {
				plans += len(runRandomStream(seed, set, sum))
			}
			got := fmt.Sprintf("%d %s", plans, sum.String())
			if want := fmt.Sprintf("%d %s", goldenPlans[name].plans, goldenPlans[name].hash); got != want {
				t.Errorf("number of plans and hash are %s, want %s", got, want)
			}
		})
	}
}

// runRandomStream runs a random stream of about 1200 steps. It adds every decision to sum: the
// time, the value, and the assignments of gateways. It returns the plans.
func runRandomStream(seed uint64, set func(*Settings, *time.Duration), sum *golden.Digest) []writtenPlan {
	random := rand.New(rand.NewPCG(seed, 31))
	sim := randomSimulation(random)
	set(&sim.settings, &sim.lease)
	sim.newLeader()
	sim.run(6 * time.Second)
	for i := range 14 {
		if i%3 == 0 { // with too many faults at the same time the controller rarely writes plans
			clear(sim.silent)
			clear(sim.blindGateway)
		}
		sim.injectFault(random)
		for end := sim.now + time.Duration(2+random.IntN(14))*time.Second; sim.now < end; {
			value, write := sim.step()
			sum.Printf("%d %v %x\n", sim.now, write, value)
			if !write {
				continue
			}
			plan := sim.latest()
			for _, zone := range append(slices.Clone(sim.zones), "elsewhere") {
				leased := plan.Assignment(zone)
				lost := plan.FallbackAssignment(zone, true)
				answering := plan.FallbackAssignment(zone, false)
				sum.Println(zone, leased.Weights, leased.Shed, leased.Zones(), lost.Weights, lost.Shed,
					answering.Weights, answering.Shed, plan.Describe(zone))
			}
		}
	}
	return sim.plans
}

// TestController_randomStreamsCoverAllParts checks that the random streams produce every optional
// part of a plan and every reason, so that the hashes cover them.
func TestController_randomStreamsCoverAllParts(t *testing.T) {
	covered := map[string]bool{}
	for _, set := range goldenSettings {
		for _, seed := range goldenSeeds {
			for _, written := range runRandomStream(seed, set, golden.NewDigest()) {
				markCovered(covered, written.plan)
			}
		}
	}
	for part, found := range covered {
		if !found {
			t.Errorf("no stream produces %q", part)
		}
	}
	if len(covered) != 8 {
		t.Errorf("the streams produce %v, want 8 parts and reasons", slices.Sorted(maps.Keys(covered)))
	}
}

// markCovered sets the entries of the optional parts and the reasons that a plan contains.
func markCovered(covered map[string]bool, plan *Plan) {
	covered["hold-down"] = covered["hold-down"] || len(plan.HeldDownZones) > 0
	covered["previous"] = covered["previous"] || len(plan.PreviousRows) > 0
	covered["lost links"] = covered["lost links"] || len(plan.LostLinks) > 0
	covered["shed"] = covered["shed"] || len(plan.Shed) > 0
	for _, why := range plan.Reasons {
		for _, reason := range []string{"out of reach", "is lost", "pushed over", reasonOrdinary} {
			covered[reason] = covered[reason] || strings.Contains(why, reason)
		}
	}
}

// wantSettingErrors are the error messages for a file in which every key is invalid.
const wantSettingErrors = `
failover.regions[0].name: a name of its own is wanted, not ""
failover.regions[0].halls: halls that stand in one region, once is wanted, not "a"
failover.regions[1].halls: the names of its halls is wanted, not none
failover.regions[2].name: a name of its own is wanted, not "south"
failover.regions[2].halls: halls that stand in one region, once is wanted, not ""
failover.bears: a number from 0.001 to 1e+09 is wanted, not 1e+10
failover.bears_by.a: a number from 0.001 to 1e+09 is wanted, not 0.0001
failover.bears_by: a hall of a region is wanted, not "z"
failover.utilisation_most: a number from 0.3 to 0.95 is wanted, not 1.2
failover.least_stay_s: a number from 2 to 600 is wanted, not 1
failover.step: a number from 0.05 to 1 is wanted, not 2
failover.worth: a number from 0.01 to 0.3 is wanted, not 0.5
failover.ill_part: a number from 0.51 to 0.95 is wanted, not 0.3
failover.gateways_least: a number from 2 to 1000 is wanted, not 1
failover.trial: a number from 0.002 to 0.1 is wanted, not 0.5
failover.regions: at least one region with a name and its halls is wanted, not none
`

// invalidSettings is a file in which every key has an invalid value.
const invalidSettings = `
on = true
bears = 1e10
utilisation_most = 1.2
least_stay_s = 1.0
step = 2.0
worth = 0.5
ill_part = 0.3
gateways_least = 1
trial = 0.5
bears_by = { z = 1.0, a = 0.0001 }
[[regions]]
halls = ["a", "a"]
[[regions]]
name = "south"
[[regions]]
name = "south"
halls = ["", "b"]
`

// readInvalidSettings decodes invalidSettings. All of its keys are known; only the values are
// invalid.
func readInvalidSettings(t *testing.T) (settings Settings) {
	t.Helper()
	decoder := toml.NewDecoder(strings.NewReader(invalidSettings)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		t.Fatal(err)
	}
	return settings
}

// TestSettings_errorsAreStable checks that the keys of the operator's file and the messages for
// invalid values do not change.
func TestSettings_errorsAreStable(t *testing.T) {
	var lines []string
	for _, err := range readInvalidSettings(t).Check() {
		lines = append(lines, err.Error())
	}
	lines = append(lines, Settings{Enabled: true}.Check()[0].Error())
	if d := cmp.Diff(strings.TrimSpace(wantSettingErrors), strings.Join(lines, "\n")); d != "" {
		t.Error(d)
	}
}

// TestSettings_defaultsAreStable checks that the defaults of settings that are left out do not
// change.
func TestSettings_defaultsAreStable(t *testing.T) {
	got := fmt.Sprint(Settings{}.WithDefaults())
	if want := "{false [] 0 map[] 0.8 10 0.25 0.05 0.6 2 0.02}"; got != want {
		t.Errorf("the defaults are %s, want %s", got, want)
	}
}
