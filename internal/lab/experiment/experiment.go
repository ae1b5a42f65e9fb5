// Package experiment plays worlds under variants and seeds over all cores, keeps each result as a line of JSON, and
// compares results pair by pair.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/virtual"
	"harrierhoist/internal/lab/world"
)

// Plan is a file that names what is to be played.
type Plan struct {
	Name     string    `toml:"name"`
	Worlds   []string  `toml:"worlds"` // files, from the plan's own folder
	Seeds    int       `toml:"seeds"`  // 1 to so many
	Gateways []int     `toml:"gateways"`
	Variants []Variant `toml:"variant"`
}

// Variant is a policy and what it changes of a world.
type Variant struct {
	Name   string `toml:"name"`
	Policy string `toml:"policy"`
	Pool   *bool  `toml:"pool"`
}

// ReadPlan reads and checks a plan.
func ReadPlan(file string) (*Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := &Plan{Seeds: 3}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p); err != nil {
		return nil, world.Faults(file, err)
	}
	var all []error
	say := func(good bool, format string, args ...any) {
		if !good {
			all = append(all, fmt.Errorf("%s: %s", file, fmt.Sprintf(format, args...)))
		}
	}
	say(len(p.Worlds) > 0, "worlds is empty")
	say(p.Seeds > 0, "seeds is %d; 1 at least", p.Seeds)
	if len(p.Variants) == 0 {
		for _, name := range baseline.Names {
			p.Variants = append(p.Variants, Variant{Name: name, Policy: name})
		}
	}
	seen := map[string]bool{}
	for i, v := range p.Variants {
		if v.Name == "" {
			p.Variants[i].Name = v.Policy
		}
		say(baseline.All[v.Policy] != nil, "variant %d: policy is %q; one of %s is allowed", i+1, v.Policy, strings.Join(baseline.Names, ", "))
		say(!seen[p.Variants[i].Name], "variant %d: %q is there twice", i+1, p.Variants[i].Name)
		seen[p.Variants[i].Name] = true
	}
	for _, n := range p.Gateways {
		say(n > 0, "gateways names %d; 1 at least", n)
	}
	for i, w := range p.Worlds {
		p.Worlds[i] = filepath.Join(filepath.Dir(file), w)
	}
	return p, errors.Join(all...)
}

// Line is one result, as it is kept.
type Line struct {
	Plan     string           `json:"plan,omitempty"`
	World    string           `json:"world"`
	Gateways int              `json:"gateways"`
	Servers  int              `json:"servers"`
	Variant  string           `json:"variant"`
	Seed     uint64           `json:"seed"`
	Build    string           `json:"build"`
	Service  float64          `json:"service"` // part of the due gain that was served in time
	Net      float64          `json:"net"`     // less what units beyond quotas cost
	Beyond   float64          `json:"beyond"`  // part of the units sent on that were beyond quotas
	Refused  float64          `json:"refused"` // part of the requests
	Failed   float64          `json:"failed"`
	Tries    float64          `json:"tries"`      // a request
	Calls    float64          `json:"calls"`      // to the counter, a request
	Shakes   float64          `json:"handshakes"` // a push
	Uneven   float64          `json:"uneven"`     // load of servers: deviation over mean
	P50      []float64        `json:"p50_ms"`     // by lane
	P99      []float64        `json:"p99_ms"`
	P999     []float64        `json:"p999_ms"`
	Lanes    []string         `json:"lanes"`
	Broken   int              `json:"broken"` // rules, how often
	First    string           `json:"first_breach,omitempty"`
	Seconds  []virtual.Second `json:"seconds"`
	Troubles []world.Trouble  `json:"troubles,omitempty"`
	Wall     float64          `json:"-"` // seconds: not part of the result, which is the same every time
}

// Build names the program that made a result: the revision it was built from, if that is known.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), 12)]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+"
		}
	}
	return revision + dirty
}

// Sized makes a world of another number of gateways, with servers, load, customers and counter in proportion.
func Sized(w *world.World, gateways int) *world.World {
	c := *w
	if gateways <= 0 || gateways == w.Gateways.Count {
		return &c
	}
	times := float64(gateways) / float64(w.Gateways.Count)
	scale := func(n int) int { return max(int(math.Round(float64(n)*times)), 1) }
	c.Gateways.Count = gateways
	c.Gateways.Halls = min(w.Gateways.Halls, gateways)
	c.Servers.Count = scale(w.Servers.Count)
	c.Load.Rate *= times
	c.Counter.Rate *= times
	c.Plans = slices.Clone(w.Plans)
	for i := range c.Plans {
		c.Plans[i].Customers = scale(c.Plans[i].Customers)
	}
	return &c
}

// job is one play to be done.
type job struct {
	world   *world.World
	variant Variant
	seed    uint64
}

// Run plays a plan on so many workers, and writes the results in the plan's order whatever order they end in. Done
// is told of each, from one goroutine at a time.
func (p *Plan) Run(workers int, out io.Writer, done func(n, of int, l *Line)) error {
	var jobs []job
	for _, file := range p.Worlds {
		w, err := world.Read(file)
		if err != nil {
			return err
		}
		sizes := p.Gateways
		if len(sizes) == 0 {
			sizes = []int{w.Gateways.Count}
		}
		for _, n := range sizes {
			for _, v := range p.Variants {
				for seed := range p.Seeds {
					s := Sized(w, n)
					if v.Pool != nil {
						s.Gateways.Pool = *v.Pool
					}
					jobs = append(jobs, job{s, v, uint64(seed + 1)})
				}
			}
		}
	}
	lines, errs := make([]*Line, len(jobs)), make([]error, len(jobs))
	next := make(chan int)
	var wait sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	for range max(workers, 1) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range next {
				lines[i], errs[i] = Play(jobs[i].world, jobs[i].variant.Policy, jobs[i].seed)
				mu.Lock()
				if ended++; lines[i] != nil {
					lines[i].Plan, lines[i].Variant = p.Name, jobs[i].variant.Name
					done(ended, len(jobs), lines[i])
				}
				mu.Unlock()
			}
		}()
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wait.Wait()
	enc := json.NewEncoder(out)
	for i, l := range lines {
		if errs[i] != nil {
			return errs[i]
		}
		if err := enc.Encode(l); err != nil {
			return err
		}
	}
	return nil
}

// Play plays one world and gives its line.
func Play(w *world.World, policy string, seed uint64) (*Line, error) {
	began := time.Now()
	r, err := virtual.Play(w, seed, baseline.All[policy])
	if err != nil {
		return nil, err
	}
	r.Percentiles()
	part := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	l := &Line{World: w.Name, Gateways: w.Gateways.Count, Servers: w.Servers.Count, Variant: policy, Seed: seed, Build: Build(),
		Service: r.Service(), Net: r.Net(), Beyond: r.Beyond / max(r.Units, 1e-9), Refused: part(r.Refused, r.Offered),
		Failed: part(r.Failed, r.Offered), Tries: part(r.Tries, r.Offered), Calls: part(r.Calls, r.Offered),
		Shakes: part(r.Handshakes, r.Pushes), Uneven: r.Uneven, P50: r.P50, P99: r.P99, P999: r.P999, Lanes: r.Lanes,
		Seconds: r.Seconds, Troubles: w.Troubles, Wall: time.Since(began).Seconds()}
	for _, n := range r.Broken {
		l.Broken += n
	}
	if len(r.Breaches) > 0 {
		l.First = r.Breaches[0].String()
	}
	return l, nil
}

// ReadLines reads results.
func ReadLines(file string) ([]*Line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []*Line
	dec := json.NewDecoder(f)
	for {
		l := &Line{}
		if err := dec.Decode(l); err == io.EOF {
			return all, nil
		} else if err != nil {
			return nil, fmt.Errorf("%s: result %d: %w", file, len(all)+1, err)
		}
		all = append(all, l)
	}
}

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
