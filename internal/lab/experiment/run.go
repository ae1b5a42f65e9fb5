package experiment

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"sync"

	"harrierhoist/internal/lab/scenario"
)

// job is one simulation to be run.
type job struct {
	world   *scenario.Scenario
	variant Variant
	seed    uint64
}

// Run simulates a plan on so many workers, and writes the results in the plan's order whatever
// order they end in. Done is called with each result as it comes, one call at a time.
func (p *Plan) Run(workers int, out io.Writer, done func(n, of int, result *Result)) error {
	jobs, err := p.jobs()
	if err != nil {
		return err
	}
	results, errs := p.runJobs(jobs, workers, done)
	encoder := json.NewEncoder(out)
	for i, result := range results {
		if errs[i] != nil {
			return errs[i]
		}
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	return nil
}

// jobs are all simulations of a plan: scenarios by sizes by variants by seeds by profiles.
func (p *Plan) jobs() ([]job, error) {
	var jobs []job
	for _, file := range p.Scenarios {
		base, err := scenario.Read(file)
		if err != nil {
			return nil, err
		}
		sizes := p.Gateways
		if len(sizes) == 0 {
			sizes = []int{base.Gateways.Count}
		}
		for _, gateways := range sizes {
			for _, variant := range p.Variants {
				for seed := range p.Seeds {
					world := variant.apply(Scaled(base, gateways))
					more, err := p.profiled(file, job{world, variant, uint64(seed + 1)})
					if err != nil {
						return nil, err
					}
					jobs = append(jobs, more...)
				}
			}
		}
	}
	return jobs, nil
}

// profiled gives a job under each of the plan's profiles; without profiles, the job itself.
func (p *Plan) profiled(file string, base job) ([]job, error) {
	if len(p.Profiles) == 0 {
		return []job{base}, nil
	}
	var jobs []job
	for i := range p.Profiles {
		world := p.Profiles[i].apply(base.world, base.seed)
		if err := world.Check(file); err != nil {
			return nil, err
		}
		jobs = append(jobs, job{world, base.variant, base.seed})
	}
	return jobs, nil
}

// runJobs runs jobs on so many workers. Results and errors are in the order of the jobs.
func (p *Plan) runJobs(jobs []job, workers int, done func(n, of int, result *Result)) ([]*Result, []error) {
	results := make([]*Result, len(jobs))
	errs := make([]error, len(jobs))
	next := make(chan int)
	var wait sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	for range max(workers, 1) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range next {
				results[i], errs[i] = RunScenario(jobs[i].world, jobs[i].variant.Policy, jobs[i].seed)
				mu.Lock()
				ended++
				if results[i] != nil {
					results[i].Plan = p.Name
					results[i].Variant = jobs[i].variant.Name
					done(ended, len(jobs), results[i])
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
	return results, errs
}

// apply changes a scenario as a variant says.
func (v *Variant) apply(world *scenario.Scenario) *scenario.Scenario {
	if v.Subset != nil {
		world.Gateways.Subset = *v.Subset
	}
	if v.Coordination != "" {
		world.Coordination.Mode = v.Coordination
	}
	return world
}

// Scaled makes a scenario of another number of gateways, with servers, load, customers and counter
// in proportion. 0 gateways: a copy as it is.
func Scaled(base *scenario.Scenario, gateways int) *scenario.Scenario {
	world := *base
	if gateways <= 0 || gateways == base.Gateways.Count {
		return &world
	}
	times := float64(gateways) / float64(base.Gateways.Count)
	scale := func(n int) int { return max(int(math.Round(float64(n)*times)), 1) }
	world.Gateways.Count = gateways
	world.Gateways.Zones = min(base.Gateways.Zones, gateways)
	world.Servers.Count = scale(base.Servers.Count)
	world.Load.Rate *= times
	world.Counter.Rate *= times
	world.Plans = slices.Clone(base.Plans)
	for i := range world.Plans {
		world.Plans[i].Customers = scale(world.Plans[i].Customers)
	}
	return &world
}
