package experiment

import (
	"math/rand/v2"
	"slices"

	"harrierhoist/internal/lab/scenario"
)

// mildFaults are the troubles that a day without a lost hall may have, and the largest part that each strikes.
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

// DrawMildFaults draws so many mild troubles for a world: the same seed gives the same day at any size.
func DrawMildFaults(base *scenario.Scenario, seed uint64, n int) []scenario.Fault {
	random := rand.New(rand.NewPCG(seed, 77))
	length := base.Length.D()
	var all []scenario.Fault
	for range n {
		m := mildFaults[random.IntN(len(mildFaults))]
		at, long, part, size := random.Float64(), random.Float64(), random.Float64(), random.Float64()
		t := scenario.Fault{Kind: m.kind, Start: scenario.Span(float64(length) * (0.1 + 0.6*at)),
			Duration: scenario.Span(float64(length) * (0.05 + 0.25*long)),
			Fraction: m.part * part, Magnitude: m.size * size}
		if m.size > 1 {
			t.Magnitude = max(t.Magnitude, 1)
		}
		all = append(all, t)
	}
	return all
}

// apply makes the world of a story.
func (p *FaultProfile) apply(base *scenario.Scenario, seed uint64) *scenario.Scenario {
	c := *base
	c.Name += ": " + p.Name
	if p.Load > 0 {
		c.Load.Rate *= p.Load
	}
	if p.Length > 0 {
		c.Length = p.Length
	}
	c.Faults = append(slices.Clone(p.Faults), DrawMildFaults(&c, seed, p.DrawnFaults)...)
	return &c
}
