package settlement

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Rates must be weighted max-min fair for any flows and limits: no rate exceeds its demand, no
// limit is exceeded, and each flow below its demand uses a saturated limit on which no flow has a
// higher rate per weight.
func TestMaxMinFair_isMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "flows")
		flows := make([]Flow, n)
		for i := range flows {
			flows[i].Demand = rapid.Float64Range(0, 100).Draw(t, "demand")
			flows[i].Weight = rapid.Float64Range(0.01, 100).Draw(t, "weight")
		}
		limits := make([]Limit, rapid.IntRange(0, 5).Draw(t, "limits"))
		for limitIndex := range limits {
			limits[limitIndex] = Limit{rapid.Float64Range(0, 200).Draw(t, "capacity"), make([]float64, n)}
			for i := range n {
				limits[limitIndex].UsePerFlow[i] = rapid.SampledFrom([]float64{0, 0, 1, 0.5, 3}).Draw(t, "use per flow")
			}
		}
		rates := MaxMinFair(flows, limits)
		saturated := saturatedLimits(t, limits, rates)
		for i, flow := range flows {
			if rates[i] < 0 || rates[i] > flow.Demand*(1+tolerance) {
				t.Fatalf("flow %d has a rate of %v for a demand of %v", i, rates[i], flow.Demand)
			}
			if rates[i] < flow.Demand*(1-tolerance)-tolerance && !isBounded(i, flows, limits, saturated, rates) {
				t.Fatalf("flow %d of %+v has no saturated limit: rates %v, limits %+v", i, flows, rates, limits)
			}
		}
	})
}

// tolerance is the relative and absolute rounding error that checks of rates accept.
const tolerance = 1e-6

// saturatedLimits returns whether each limit is saturated by the rates. It fails the test if a
// limit is exceeded.
func saturatedLimits(t *rapid.T, limits []Limit, rates []float64) []bool {
	saturated := make([]bool, len(limits))
	for limitIndex, limit := range limits {
		used := 0.0
		for i, rate := range rates {
			used += limit.UsePerFlow[i] * rate
		}
		if used > limit.Capacity*(1+tolerance)+tolerance {
			t.Fatalf("limit %d: use of %v exceeds the capacity of %v", limitIndex, used, limit.Capacity)
		}
		saturated[limitIndex] = used >= limit.Capacity*(1-tolerance)-tolerance
	}
	return saturated
}

// isBounded reports whether a flow uses a saturated limit on which no flow has a higher rate per
// weight.
func isBounded(flow int, flows []Flow, limits []Limit, saturated []bool, rates []float64) bool {
	for limitIndex, limit := range limits {
		if limit.UsePerFlow[flow] == 0 || !saturated[limitIndex] {
			continue
		}
		highest := 0.0
		for other := range flows {
			if limit.UsePerFlow[other] > 0 {
				highest = max(highest, rates[other]/flows[other].Weight)
			}
		}
		if rates[flow]/flows[flow].Weight >= highest*(1-tolerance)-tolerance {
			return true
		}
	}
	return false
}

func TestMaxMinFair_sharesByWeight(t *testing.T) {
	rates := MaxMinFair([]Flow{{10, 1}, {100, 2}, {100, 1}}, []Limit{{70, []float64{1, 1, 1}}})
	for i, want := range []float64{10, 40, 20} {
		if math.Abs(rates[i]-want) > tolerance {
			t.Errorf("rates %v, want %v for flow %d", rates, want, i)
		}
	}
}
