package experiment

import (
	"math"
	"testing"
)

func TestCompare_recognisesNoise(t *testing.T) {
	var before, same, better []*Result
	for i, deviation := range []float64{0.01, -0.02, 0.015, -0.01, 0.02, -0.015, 0.005, -0.005} {
		result := func(service float64) *Result {
			return &Result{Scenario: "w", Gateways: 3, Seed: uint64(i), Service: service}
		}
		before = append(before, result(0.7+5*deviation))
		same = append(same, result(0.7+5*deviation+deviation))
		better = append(better, result(0.75+5*deviation+deviation))
	}
	if comparison := Compare(before, same)[0]; !comparison.IsNoise() || comparison.Pairs != 8 {
		t.Errorf("noise is not recognised: %+v", comparison)
	}
	// The seeds differ by more than the improvement: only pairs show it.
	if comparison := Compare(before, better)[0]; comparison.IsNoise() || math.Abs(comparison.Diff-0.05) > 0.001 {
		t.Errorf("an improvement of 0.05 is not recognised: %+v", comparison)
	}
	if comparisons := Compare(before, []*Result{{Scenario: "other", Gateways: 3}}); len(comparisons) != 0 {
		t.Errorf("paired with another scenario: %+v", comparisons)
	}
}
