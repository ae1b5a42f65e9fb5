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

// storedPlans are plans whose stored bytes are held in testdata, by the fixture's name.
var storedPlans = map[string]*Plan{
	"empty": {},
	"plain": {
		Rows:     map[string]map[string]int{"a": {"a": 1000}, "b": {"b": 1000}},
		Health:   map[string]int{"a": 1000, "b": 1000},
		Fallback: map[string]map[string]int{"a": {"b": 100}, "b": {"a": 90}},
		Shed:     map[string]int{},
		Reasons:  map[string]string{},
		Demand:   map[string]uint64{"a": 50000, "b": 49999},
	},
	"full": {
		Rows:      map[string]map[string]int{"a": {"a": 20, "b": 780, "c": 200}, "b": {"b": 1000}, "c": {"c": 1000}},
		Health:    map[string]int{"a": 0, "b": 1000, "c": 750},
		Fallback:  map[string]map[string]int{"a": {"b": 100, "c": 50}, "b": {}, "c": nil},
		Previous:  map[string]map[string]int{"a": {"a": 1000}, "b": {"b": 1000}, "c": {"c": 1000}},
		HoldDown:  []string{"a"},
		LostLinks: [][2]string{{"a", "b"}, {"c", "a"}},
		Shed:      map[string]int{"a": 12},
		Reasons:   map[string]string{"a": "a is lost", "b": reasonOrdinary},
		Demand:    map[string]uint64{"a": 1, "b": 1 << 40, "c": 0},
	},
	"resting": {HoldDown: []string{}, LostLinks: [][2]string{}, Previous: map[string]map[string]int{}},
}

// TestPlan_encodingIsStable holds the plan's stored form to fixtures, as gateways and leaders of
// other releases read it.
func TestPlan_encodingIsStable(t *testing.T) {
	for name, plan := range storedPlans {
		t.Run(name, func(t *testing.T) {
			golden.CheckStored(t, golden.ReadHex(t, "plan-"+name+".hex"), plan, (*Plan).Encode, DecodePlan)
		})
	}
}

// goldenSettings are the settings that the drawn streams run under.
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

// goldenSeeds are the seeds of the drawn streams.
var goldenSeeds = []uint64{1, 2, 3, 4, 5, 6, 12, 2026}

// goldenPlans are, by settings, how many plans the drawn streams write and the hash of all that is
// decided on them.
var goldenPlans = map[string]struct {
	plans int
	hash  string
}{
	"defaults": {85, "56af996789a91dffe2ec84dfce6a8e69bbdf3e8f61c571766b31edd52c35f787"},
	"quick":    {129, "ba98638bff3f16d8d7ad64a3b8e7eefa2e904f3fefe50df0943dd966a46d4565"},
	"uneven":   {54, "56d1ac5e0c25cfcf72c85828bae14160cf283c0faf687586527d5e69144a45c4"},
}

// TestController_drawnStreamDecidesAsBefore holds every decision on drawn streams of observations
// to what it was: when a plan is written, its bytes, and how gateways act on it.
func TestController_drawnStreamDecidesAsBefore(t *testing.T) {
	for name, set := range goldenSettings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sum := golden.NewDigest()
			plans := 0
			for _, seed := range goldenSeeds {
				plans += len(decideDrawn(seed, set, sum))
			}
			got := fmt.Sprintf("%d %s", plans, sum.String())
			if want := fmt.Sprintf("%d %s", goldenPlans[name].plans, goldenPlans[name].hash); got != want {
				t.Errorf("plans and hash are %s, not %s", got, want)
			}
		})
	}
}

// decideDrawn runs a drawn stream of some 1200 steps and hashes every decision: the time, the
// value, and what gateways make of it.
func decideDrawn(seed uint64, set func(*Settings, *time.Duration), sum *golden.Digest) []writtenPlan {
	random := rand.New(rand.NewPCG(seed, 31))
	sim := drawSimulation(random)
	set(&sim.settings, &sim.lease)
	sim.newLeader()
	sim.run(6 * time.Second)
	for i := range 14 {
		if i%3 == 0 { // many faults at once leave little to decide
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

// TestController_drawnStreamsReachAllParts makes sure that the hashes cover every optional part of
// a plan and every reason.
func TestController_drawnStreamsReachAllParts(t *testing.T) {
	reached := map[string]bool{}
	for _, set := range goldenSettings {
		for _, seed := range goldenSeeds {
			for _, written := range decideDrawn(seed, set, golden.NewDigest()) {
				markReached(reached, written.plan)
			}
		}
	}
	for part, is := range reached {
		if !is {
			t.Errorf("no stream reaches %q", part)
		}
	}
	if len(reached) != 8 {
		t.Errorf("reached only %v", slices.Sorted(maps.Keys(reached)))
	}
}

// markReached marks the optional parts and the reasons that a plan has.
func markReached(reached map[string]bool, plan *Plan) {
	reached["hold-down"] = reached["hold-down"] || len(plan.HoldDown) > 0
	reached["previous"] = reached["previous"] || len(plan.Previous) > 0
	reached["lost links"] = reached["lost links"] || len(plan.LostLinks) > 0
	reached["shed"] = reached["shed"] || len(plan.Shed) > 0
	for _, why := range plan.Reasons {
		for _, reason := range []string{"out of reach", "is lost", "pushed over", reasonOrdinary} {
			reached[reason] = reached[reason] || strings.Contains(why, reason)
		}
	}
}

// refusals are what an operator reads of a file that is wrong in all its keys.
const refusals = `
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

// invalidSettings is a file that is wrong in all its keys.
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

// readInvalidSettings returns what the file says: it is wrong in its values only.
func readInvalidSettings(t *testing.T) (settings Settings) {
	t.Helper()
	decoder := toml.NewDecoder(strings.NewReader(invalidSettings)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		t.Fatal(err)
	}
	return settings
}

// TestSettings_refusalsAreStable holds the keys of the operators' file and the wording of what is
// said of wrong values.
func TestSettings_refusalsAreStable(t *testing.T) {
	var lines []string
	for _, err := range readInvalidSettings(t).Check() {
		lines = append(lines, err.Error())
	}
	lines = append(lines, Settings{Enabled: true}.Check()[0].Error())
	if d := cmp.Diff(strings.TrimSpace(refusals), strings.Join(lines, "\n")); d != "" {
		t.Error(d)
	}
}

// TestSettings_defaultsAreStable holds the defaults of what the operators' file leaves out.
func TestSettings_defaultsAreStable(t *testing.T) {
	got := fmt.Sprint(Settings{}.WithDefaults())
	if want := "{false [] 0 map[] 0.8 10 0.25 0.05 0.6 2 0.02}"; got != want {
		t.Errorf("the defaults are %s, not %s", got, want)
	}
}
