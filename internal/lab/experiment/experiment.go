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
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// Plan is a file that names what is to be played.
type Plan struct {
	Name      string    `toml:"name"`
	Scenarios []string  `toml:"worlds"` // files, from the plan's own folder
	Seeds     int       `toml:"seeds"`  // 1 to so many
	Gateways  []int     `toml:"gateways"`
	Variants  []Variant `toml:"variant"`
	// Profiles are played on each world, under the world's name and theirs; none: the worlds as they stand.
	Profiles []FaultProfile `toml:"story"`
}

// FaultProfile is what goes wrong in a world, in place of what its file says.
type FaultProfile struct {
	Name   string           `toml:"name"`
	Load   float64          `toml:"load"`   // times the world's; 0: as it is
	Length scenario.Span    `toml:"length"` // 0: the world's
	Faults []scenario.Fault `toml:"trouble"`
	// DrawnFaults is how many troubles are drawn for each seed besides, none of which loses a hall or cuts it off.
	DrawnFaults int `toml:"drawn"`
}

// Variant is a policy and what it changes of a world.
type Variant struct {
	Name         string `toml:"name"`
	Policy       string `toml:"policy"`
	Subset       *bool  `toml:"pool"`
	Coordination string `toml:"common"` // as a world's common.how; empty: as the world says
}

// ReadPlan reads and checks a plan.
func ReadPlan(file string) (*Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := &Plan{Seeds: 3}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p); err != nil {
		return nil, scenario.DecodeErrors(file, err)
	}
	var all []error
	say := func(good bool, format string, args ...any) {
		if !good {
			all = append(all, fmt.Errorf("%s: %s", file, fmt.Sprintf(format, args...)))
		}
	}
	say(len(p.Scenarios) > 0, "worlds is empty")
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
		say(baseline.ByName[v.Policy] != nil, "variant %d: policy is %q; one of %s is allowed", i+1, v.Policy,
			strings.Join(baseline.Names, ", "))
		say(v.Coordination == "" || slices.Contains([]string{scenario.CoordinationNone, scenario.CoordinationLocal, scenario.CoordinationShared}, v.Coordination),
			"variant %d: common is %q; none, own or common is allowed", i+1, v.Coordination)
		say(!seen[p.Variants[i].Name], "variant %d: %q is there twice", i+1, p.Variants[i].Name)
		seen[p.Variants[i].Name] = true
	}
	for _, n := range p.Gateways {
		say(n > 0, "gateways names %d; 1 at least", n)
	}
	for i, w := range p.Scenarios {
		p.Scenarios[i] = filepath.Join(filepath.Dir(file), w)
	}
	return p, errors.Join(all...)
}

// Scaled makes a world of another number of gateways, with servers, load, customers and counter in proportion.
func Scaled(base *scenario.Scenario, gateways int) *scenario.Scenario {
	c := *base
	if gateways <= 0 || gateways == base.Gateways.Count {
		return &c
	}
	times := float64(gateways) / float64(base.Gateways.Count)
	scale := func(n int) int { return max(int(math.Round(float64(n)*times)), 1) }
	c.Gateways.Count = gateways
	c.Gateways.Zones = min(base.Gateways.Zones, gateways)
	c.Servers.Count = scale(base.Servers.Count)
	c.Load.Rate *= times
	c.Counter.Rate *= times
	c.Plans = slices.Clone(base.Plans)
	for i := range c.Plans {
		c.Plans[i].Customers = scale(c.Plans[i].Customers)
	}
	return &c
}

// job is one play to be done.
type job struct {
	scenario *scenario.Scenario
	variant  Variant
	seed     uint64
}

// Run plays a plan on so many workers, and writes the results in the plan's order whatever order they end in. Done
// is told of each, from one goroutine at a time.
func (p *Plan) Run(workers int, out io.Writer, done func(n, of int, result *Result)) error {
	var jobs []job
	for _, file := range p.Scenarios {
		base, err := scenario.Read(file)
		if err != nil {
			return err
		}
		sizes := p.Gateways
		if len(sizes) == 0 {
			sizes = []int{base.Gateways.Count}
		}
		for _, n := range sizes {
			for _, v := range p.Variants {
				for seed := range p.Seeds {
					s := Scaled(base, n)
					if v.Subset != nil {
						s.Gateways.Subset = *v.Subset
					}
					if v.Coordination != "" {
						s.Coordination.Mode = v.Coordination
					}
					if len(p.Profiles) == 0 {
						jobs = append(jobs, job{s, v, uint64(seed + 1)})
					}
					for i := range p.Profiles {
						t := p.Profiles[i].apply(s, uint64(seed+1))
						if err := t.Check(file); err != nil {
							return err
						}
						jobs = append(jobs, job{t, v, uint64(seed + 1)})
					}
				}
			}
		}
	}
	lines, errs := make([]*Result, len(jobs)), make([]error, len(jobs))
	next := make(chan int)
	var wait sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	for range max(workers, 1) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range next {
				lines[i], errs[i] = RunScenario(jobs[i].scenario, jobs[i].variant.Policy, jobs[i].seed)
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
	for i, result := range lines {
		if errs[i] != nil {
			return errs[i]
		}
		if err := enc.Encode(result); err != nil {
			return err
		}
	}
	return nil
}
