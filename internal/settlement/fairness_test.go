package settlement

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever the flows and limits: nothing above what is wanted, no limit passed, and each that has less than it wants
// is held by a full limit in which none has more for its weight. That is weighted max-min fairness.
func TestMaxMinFair_isMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "flows")
		flows := make([]Flow, n)
		for i := range flows {
			flows[i] = Flow{rapid.Float64Range(0, 100).Draw(t, "want"), rapid.Float64Range(0.01, 100).Draw(t, "weight")}
		}
		limits := make([]Limit, rapid.IntRange(0, 5).Draw(t, "limits"))
		for k := range limits {
			limits[k] = Limit{rapid.Float64Range(0, 200).Draw(t, "most"), make([]float64, n)}
			for i := range n {
				limits[k].UsePerFlow[i] = rapid.SampledFrom([]float64{0, 0, 1, 0.5, 3}).Draw(t, "each")
			}
		}
		rates := MaxMinFair(flows, limits)
		const near = 1e-6
		used := make([]float64, len(limits))
		for k, l := range limits {
			for i := range n {
				used[k] += l.UsePerFlow[i] * rates[i]
			}
			if used[k] > l.Capacity*(1+near)+near {
				t.Fatalf("limit %d: %v used of %v", k, used[k], l.Capacity)
			}
		}
		for i, f := range flows {
			if rates[i] < 0 || rates[i] > f.Demand*(1+near) {
				t.Fatalf("flow %d has %v of %v", i, rates[i], f.Demand)
			}
			held := rates[i] >= f.Demand*(1-near)-near
			for k, l := range limits {
				if l.UsePerFlow[i] == 0 || used[k] < l.Capacity*(1-near)-near {
					continue
				}
				most := 0.0
				for o := range n {
					if l.UsePerFlow[o] > 0 {
						most = max(most, rates[o]/flows[o].Weight)
					}
				}
				held = held || rates[i]/f.Weight >= most*(1-near)-near
			}
			if !held {
				t.Fatalf("flow %d of %+v could have more than %v under %+v", i, flows, rates, limits)
			}
		}
	})
}

func TestMaxMinFair_sharesByWeight(t *testing.T) {
	rates := MaxMinFair([]Flow{{10, 1}, {100, 2}, {100, 1}}, []Limit{{70, []float64{1, 1, 1}}})
	for i, want := range []float64{10, 40, 20} {
		if d := rates[i] - want; d > 1e-6 || d < -1e-6 {
			t.Errorf("got %v", rates)
		}
	}
}
