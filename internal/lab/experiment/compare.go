package experiment

import (
	"math/rand/v2"
	"slices"
)

// Pair is what two sets of results say of one figure: the mean difference, B less A, over plays of the same world,
// size and seed, with a 95% interval.
type Pair struct {
	World     string
	Gateways  int
	Figure    string
	N         int
	A, B      float64 // means
	Diff      float64
	Low, High float64
}

// Noise tells that the interval holds nought: nothing is shown.
func (p Pair) Noise() bool { return p.N < 2 || p.Low <= 0 && p.High >= 0 }

// Figures are what is compared, in the order of tables.
var Figures = []struct {
	Name string
	Of   func(*Line) float64
}{
	{"service", func(l *Line) float64 { return l.Service }},
	{"net", func(l *Line) float64 { return l.Net }},
	{"beyond", func(l *Line) float64 { return l.Beyond }},
	{"handshakes", func(l *Line) float64 { return l.Shakes }},
	{"crossed", func(l *Line) float64 { return l.Crossed }},
	{"hottest", func(l *Line) float64 { return l.Hottest }},
	{"warmest", func(l *Line) float64 { return l.Warmest }},
	{"calls", func(l *Line) float64 { return l.Calls }},
	{"broken", func(l *Line) float64 { return float64(l.Broken) }},
}

// resamples of the bootstrap.
const resamples = 4000

// Compare pairs results by world, size and seed.
func Compare(a, b []*Line) []Pair {
	type key struct {
		world    string
		gateways int
		seed     uint64
	}
	first := map[key]*Line{}
	for _, l := range a {
		first[key{l.World, l.Gateways, l.Seed}] = l
	}
	type group struct {
		world    string
		gateways int
	}
	pairs := map[group][][2]*Line{}
	var order []group
	for _, l := range b {
		g := group{l.World, l.Gateways}
		if m := first[key{l.World, l.Gateways, l.Seed}]; m != nil {
			if pairs[g] == nil {
				order = append(order, g)
			}
			pairs[g] = append(pairs[g], [2]*Line{m, l})
		}
	}
	var all []Pair
	for _, g := range order {
		for _, f := range Figures {
			p := Pair{World: g.world, Gateways: g.gateways, Figure: f.Name, N: len(pairs[g])}
			diffs := make([]float64, 0, p.N)
			for _, m := range pairs[g] {
				p.A += f.Of(m[0]) / float64(p.N)
				p.B += f.Of(m[1]) / float64(p.N)
				diffs = append(diffs, f.Of(m[1])-f.Of(m[0]))
			}
			p.Diff = p.B - p.A
			p.Low, p.High = Interval(diffs)
			all = append(all, p)
		}
	}
	return all
}

// Interval is the 95% interval of a mean, by bootstrap with a fixed seed: the same values give the same interval.
func Interval(values []float64) (low, high float64) {
	n := len(values)
	if n == 0 {
		return 0, 0
	}
	chance := rand.New(rand.NewPCG(1, uint64(n)))
	means := make([]float64, resamples)
	for i := range means {
		for range n {
			means[i] += values[chance.IntN(n)] / float64(n)
		}
	}
	slices.Sort(means)
	return means[resamples*25/1000], means[resamples*975/1000]
}
