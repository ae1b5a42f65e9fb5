package failover

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPlan_roundTrip checks that decoding and encoding a stored plan results in the same bytes.
func TestPlan_roundTrip(t *testing.T) {
	sim := threeZones(3)
	sim.run(6 * time.Second)
	sim.healthy[0], sim.lostLinks[[2]int{1, 2}] = 0, true
	sim.run(3 * time.Second)
	plan, err := DecodePlan(sim.entry.Value)
	if err != nil {
		t.Fatal(err)
	}
	again, err := plan.Encode()
	if d := cmp.Diff(string(sim.entry.Value), string(again)); d != "" || err != nil {
		t.Error(err, d)
	}
}

func TestDecodePlan_withoutPlan(t *testing.T) {
	if plan, err := DecodePlan(nil); plan != nil || err != nil {
		t.Errorf("an empty value is decoded to %v, %v", plan, err)
	}
	if plan, err := DecodePlan([]byte("malformed")); plan != nil || err == nil {
		t.Errorf("a malformed value is decoded to %v, %v", plan, err)
	}
}

// TestFallback_partitionNeverOverloadsThirdZone checks network partitions in which some gateways
// act on the latest plan and others on the fallback shares of an earlier plan. Regardless of which
// gateways are cut off and how old their plans are, the requests of other zones must not load a
// zone above its capacity.
func TestFallback_partitionNeverOverloadsThirdZone(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 4))
		sim := randomSimulation(random)
		sim.newLeader()
		sim.run(6 * time.Second)
		for range 4 {
			sim.healthy[random.IntN(len(sim.zones))] = 0
			sim.run(time.Duration(random.IntN(6)) * time.Second)
		}
		sim.run(3 * time.Second)
		for to, toZone := range sim.zones {
			loadFromOthers := sim.partitionedLoad(random, to)
			own := float64(sim.latest().Rows[toZone][toZone]-sim.latest().Shed[toZone]) / fullShare * sim.demand[to]
			capacity := sim.readyPower[to] * sim.settings.Capacity
			if loadFromOthers > 1 && loadFromOthers+min(own, 0.8*capacity) > capacity*1.02 {
				t.Errorf("seed %d: %s gets %.1f units a second from other zones, %.1f from its own, capacity %.1f",
					seed, toZone, loadFromOthers, own, capacity)
			}
		}
	}
}

// partitionedLoad returns the rate that a zone gets from other zones, in units a second, while a
// random part of each zone's gateways does not have the latest plan and uses the fallback shares of
// a random earlier one.
func (s *simulation) partitionedLoad(random *rand.Rand, to int) float64 {
	load := 0.0
	for from, fromZone := range s.zones {
		if from == to {
			continue
		}
		earlier := s.plans[random.IntN(len(s.plans))].plan
		fallback := earlier.FallbackAssignment(fromZone, true).Weights[s.zones[to]]
		fractionWithoutPlan := random.Float64()
		share := float64(s.latest().Rows[fromZone][s.zones[to]])/fullShare*(1-fractionWithoutPlan) +
			fallback*fractionWithoutPlan
		load += share * s.demand[from]
	}
	return load
}
