package experiment

import (
	"math/rand/v2"
	"slices"
)

// Comparison is what two sets of results, A and B, say of one metric: the mean difference over runs
// of the same scenario, size and seed, with a 95% confidence interval.
type Comparison struct {
	Scenario     string
	Gateways     int
	Metric       string
	Pairs        int
	MeanA, MeanB float64
	Diff         float64 // B less A
	Low, High    float64 // bounds of the interval
}

// IsNoise tells that the interval holds 0: nothing is shown.
func (c Comparison) IsNoise() bool { return c.Pairs <= 1 || c.Low <= 0 && c.High >= 0 }

// Metrics are what is compared, in the order of tables.
var Metrics = []struct {
	Name string
	Of   func(*Result) float64
}{
	{"service", func(result *Result) float64 { return result.Service }},
	{"net", func(result *Result) float64 { return result.Net }},
	{"beyond", func(result *Result) float64 { return result.OverQuota }},
	{"handshakes", func(result *Result) float64 { return result.Handshakes }},
	{"crossed", func(result *Result) float64 { return result.CrossZone }},
	{"hottest", func(result *Result) float64 { return result.PeakUtilisation }},
	{"warmest", func(result *Result) float64 { return result.PeakUtilisationOver5s }},
	{"calls", func(result *Result) float64 { return result.CounterCalls }},
	{"broken", func(result *Result) float64 { return float64(result.Violations) }},
}

// size is a scenario at a number of gateways.
type size struct {
	scenario string
	gateways int
}

// pair is two results of the same scenario, size and seed.
type pair struct{ a, b *Result }

// Compare pairs results by scenario, size and seed, and compares all metrics.
func Compare(a, b []*Result) []Comparison {
	pairs, order := pairUp(a, b)
	var comparisons []Comparison
	for _, size := range order {
		for _, metric := range Metrics {
			comparison := Comparison{
				Scenario: size.scenario,
				Gateways: size.gateways,
				Metric:   metric.Name,
				Pairs:    len(pairs[size]),
			}
			diffs := make([]float64, 0, comparison.Pairs)
			for _, pair := range pairs[size] {
				comparison.MeanA += metric.Of(pair.a) / float64(comparison.Pairs)
				comparison.MeanB += metric.Of(pair.b) / float64(comparison.Pairs)
				diffs = append(diffs, metric.Of(pair.b)-metric.Of(pair.a))
			}
			comparison.Diff = comparison.MeanB - comparison.MeanA
			comparison.Low, comparison.High = ConfidenceInterval(diffs)
			comparisons = append(comparisons, comparison)
		}
	}
	return comparisons
}

// pairUp gives the pairs by scenario and size, and these in the order in which they first come in
// b.
func pairUp(a, b []*Result) (pairs map[size][]pair, order []size) {
	type key struct {
		size
		seed uint64
	}
	keyOf := func(result *Result) key { return key{size{result.Scenario, result.Gateways}, result.Seed} }
	inA := map[key]*Result{}
	for _, result := range a {
		inA[keyOf(result)] = result
	}
	pairs = map[size][]pair{}
	for _, result := range b {
		key := keyOf(result)
		other := inA[key]
		if other == nil {
			continue
		}
		if pairs[key.size] == nil {
			order = append(order, key.size)
		}
		pairs[key.size] = append(pairs[key.size], pair{other, result})
	}
	return pairs, order
}

const (
	// resamples is how often the bootstrap draws values anew.
	resamples = 4000
	// lowPermille and highPermille bound the middle 95% of the means.
	lowPermille  = 25
	highPermille = 975
	permille     = 1000
)

// ConfidenceInterval is the 95% confidence interval of the mean of values, by bootstrap. Its seed is
// fixed, so that the same values give the same interval.
func ConfidenceInterval(values []float64) (low, high float64) {
	n := len(values)
	if n == 0 {
		return 0, 0
	}
	random := rand.New(rand.NewPCG(1, uint64(n)))
	means := make([]float64, resamples)
	for i := range means {
		for range n {
			means[i] += values[random.IntN(n)] / float64(n)
		}
	}
	slices.Sort(means)
	return means[resamples*lowPermille/permille], means[resamples*highPermille/permille]
}
