package experiment

import (
	"math/rand/v2"
	"slices"
)

// Comparison is what two sets of results say of one figure: the mean difference, B less A, over plays of the same world,
// size and seed, with a 95% interval.
type Comparison struct {
	Scenario     string
	Gateways     int
	Metric       string
	Pairs        int
	MeanA, MeanB float64 // means
	Diff         float64
	Low, High    float64
}

// IsNoise tells that the interval holds nought: nothing is shown.
func (p Comparison) IsNoise() bool { return p.Pairs < 2 || p.Low <= 0 && p.High >= 0 }

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

// resamples of the bootstrap.
const resamples = 4000

// Compare pairs results by world, size and seed.
func Compare(a, b []*Result) []Comparison {
	type key struct {
		world    string
		gateways int
		seed     uint64
	}
	first := map[key]*Result{}
	for _, result := range a {
		first[key{result.Scenario, result.Gateways, result.Seed}] = result
	}
	type group struct {
		world    string
		gateways int
	}
	pairs := map[group][][2]*Result{}
	var order []group
	for _, result := range b {
		g := group{result.Scenario, result.Gateways}
		if m := first[key{result.Scenario, result.Gateways, result.Seed}]; m != nil {
			if pairs[g] == nil {
				order = append(order, g)
			}
			pairs[g] = append(pairs[g], [2]*Result{m, result})
		}
	}
	var all []Comparison
	for _, g := range order {
		for _, f := range Metrics {
			p := Comparison{Scenario: g.world, Gateways: g.gateways, Metric: f.Name, Pairs: len(pairs[g])}
			diffs := make([]float64, 0, p.Pairs)
			for _, m := range pairs[g] {
				p.MeanA += f.Of(m[0]) / float64(p.Pairs)
				p.MeanB += f.Of(m[1]) / float64(p.Pairs)
				diffs = append(diffs, f.Of(m[1])-f.Of(m[0]))
			}
			p.Diff = p.MeanB - p.MeanA
			p.Low, p.High = ConfidenceInterval(diffs)
			all = append(all, p)
		}
	}
	return all
}

// ConfidenceInterval is the 95% interval of a mean, by bootstrap with a fixed seed: the same values give the same interval.
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
	return means[resamples*25/1000], means[resamples*975/1000]
}
