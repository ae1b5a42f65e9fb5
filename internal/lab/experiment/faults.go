package experiment

import (
	"bytes"
	_ "embed"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/lab/scenario"
)

// faultStream is the random stream that faults are drawn from.
const faultStream = 77

// When drawn faults begin and how long they last, in parts of a scenario's length.
const (
	earliestStart    = 0.1
	startRange       = 0.6
	shortestDuration = 0.05
	durationRange    = 0.25
)

// mildFaultsText is the table of mild faults.
//
//go:embed mild_faults.toml
var mildFaultsText []byte

// mildFaults are the faults that a day without a lost zone may have, each with the largest fraction
// and magnitude that are drawn.
var mildFaults = sync.OnceValue(func() []scenario.Fault {
	var table struct {
		Faults []scenario.Fault `toml:"trouble"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(mildFaultsText)).DisallowUnknownFields()
	if err := decoder.Decode(&table); err != nil {
		panic(fmt.Sprint("mild_faults.toml is malformed: ", err)) // it is a part of the program
	}
	return table.Faults
})

// DrawMildFaults draws n mild faults for a scenario. The same seed gives the same faults at any
// number of gateways.
func DrawMildFaults(world *scenario.Scenario, seed uint64, n int) []scenario.Fault {
	random := rand.New(rand.NewPCG(seed, faultStream))
	length := float64(world.Length.D())
	var faults []scenario.Fault
	for range n {
		worst := mildFaults()[random.IntN(len(mildFaults()))]
		at := random.Float64()
		span := random.Float64()
		part := random.Float64()
		size := random.Float64()
		fault := scenario.Fault{
			Kind:     worst.Kind,
			Start:    scenario.Span(length * (earliestStart + startRange*at)),
			Duration: scenario.Span(length * (shortestDuration + durationRange*span)),
			Fraction: worst.Fraction * part, Magnitude: worst.Magnitude * size,
		}
		if worst.Magnitude > 1 {
			fault.Magnitude = max(fault.Magnitude, 1)
		}
		faults = append(faults, fault)
	}
	return faults
}

// apply returns the scenario with the profile's load, length and faults.
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
