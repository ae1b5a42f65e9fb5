package experiment

import (
	"math/rand/v2"
	"slices"

	"harrierhoist/internal/lab/scenario"
)

// faultStream is the random stream that faults are drawn from.
const faultStream = 77

// mildFaults are the faults that a day without a lost zone may have, and the largest part that each
// affects and its size.
var mildFaults = []struct {
	kind       string
	part, size float64
}{
	{"server_errors", 0.6, 0.6},
	{"server_slow", 0.3, 4},
	{"server_lost", 0.2, 0},
	{"deploy", 0.5, 0},
	{"resets", 0.1, 0},
	{"answers_lost", 0.1, 0},
	{"counter_slow", 0, 100},
	{"counter_silent", 0, 0},
	{"burst", 0, 2.5},
	{"flood", 0, 6},
	{"kill", 0.2, 0},
	{"standstill", 0.4, 0},
	{"blind", 0.05, 0},
	{"list_lost", 0.3, 0},
	{"leader_lost", 0, 0},
}

// DrawMildFaults draws so many mild faults for a scenario: the same seed gives the same faults at
// any size.
func DrawMildFaults(world *scenario.Scenario, seed uint64, n int) []scenario.Fault {
	random := rand.New(rand.NewPCG(seed, faultStream))
	length := float64(world.Length.D())
	var faults []scenario.Fault
	for range n {
		mild := mildFaults[random.IntN(len(mildFaults))]
		at := random.Float64()
		span := random.Float64()
		part := random.Float64()
		size := random.Float64()
		fault := scenario.Fault{
			Kind:     mild.kind,
			Start:    scenario.Span(length * (0.1 + 0.6*at)),
			Duration: scenario.Span(length * (0.05 + 0.25*span)),
			Fraction: mild.part * part, Magnitude: mild.size * size,
		}
		if mild.size > 1 {
			fault.Magnitude = max(fault.Magnitude, 1)
		}
		faults = append(faults, fault)
	}
	return faults
}

// apply makes the scenario with the profile's faults.
func (p *FaultProfile) apply(base *scenario.Scenario, seed uint64) *scenario.Scenario {
	world := *base
	world.Name += ": " + p.Name
	if p.Load > 0 {
		world.Load.Rate *= p.Load
	}
	if p.Length > 0 {
		world.Length = p.Length
	}
	world.Faults = append(slices.Clone(p.Faults), DrawMildFaults(&world, seed, p.DrawnFaults)...)
	return &world
}
