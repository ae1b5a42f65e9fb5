// Package search looks for the schedule of faults that breaks an invariant or loses most service,
// and shrinks what it found to the least that still does. The command loadlab calls it.
package search

import (
	"math/rand/v2"
	"slices"
	"time"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/scenario"
)

const (
	// searchStream is the random stream that schedules are drawn from.
	searchStream = 77
	// minLossKept is the part of the loss that a smaller schedule has to keep.
	minLossKept = 0.9
	// minFaultLength is how short a fault is made at the least.
	minFaultLength = time.Second
)

// The ranges that faults are drawn from. Fractions and magnitudes are drawn in whole tenths or
// hundredths, so that what is found reads well.
const (
	earliestStart      = 0.1 // part of the scenario's length, as the next two
	latestStart        = 0.7
	maxDuration        = 0.4
	minDurationSeconds = 1
	tenth              = 10
	hundredth          = 100
	fractionTenths     = 8  // from 0.1 to 0.8
	magnitudeTenths    = 40 // from 1 to 4.9
	minErrorTenths     = 2  // error rates are from 0.2
	errorTenths        = 9  // to 1
	lossHundredths     = 20 // losses and resets are from 0.01 to 0.2
	millisPerSecond    = 1000
)

// Finding is a schedule of faults and what it does.
type Finding struct {
	Scenario      *scenario.Scenario
	Result        *experiment.Result
	Loss          float64 // net service lost against the same scenario without faults
	Runs          int     // that the search took
	RemovedFaults int     // that were removed again
}

// IsWorseThan orders findings: a broken invariant before any loss.
func (f *Finding) IsWorseThan(other *Finding) bool {
	if (f.Result.Violations > 0) != (other.Result.Violations > 0) {
		return f.Result.Violations > 0
	}
	return f.Loss > other.Loss
}

// simulator runs a scenario under schedules of faults.
type simulator struct {
	base     *scenario.Scenario
	policy   string
	seed     uint64
	calmNet  float64 // net service without faults
	finished int     // runs
}

// newSimulator runs a scenario without faults first, to compare with.
func newSimulator(base *scenario.Scenario, policy string, seed uint64) (*simulator, error) {
	s := &simulator{base: base, policy: policy, seed: seed}
	calm, err := s.run(nil)
	if err != nil {
		return nil, err
	}
	s.calmNet = calm.Result.Net
	return s, nil
}

// run runs the scenario under a schedule.
func (s *simulator) run(faults []scenario.Fault) (*Finding, error) {
	world := *s.base
	world.Faults = faults
	result, err := experiment.RunScenario(&world, s.policy, s.seed)
	s.finished++
	if err != nil {
		return nil, err
	}
	return &Finding{Scenario: &world, Result: result, Loss: s.calmNet - result.Net, Runs: s.finished}, nil
}

// Run draws schedules of up to maxFaults faults, keeps the worst and shrinks it. It calls found with
// each finding that is worse than all before it. With 0 schedules the finding is nil.
func Run(
	base *scenario.Scenario,
	seed uint64,
	schedules, maxFaults int,
	policy string,
	found func(*Finding),
) (*Finding, error) {
	random := rand.New(rand.NewPCG(seed, searchStream))
	simulator, err := newSimulator(base, policy, seed)
	if err != nil {
		return nil, err
	}
	var worst *Finding
	for range schedules {
		finding, err := simulator.run(DrawFaults(random, base, 1+random.IntN(maxFaults)))
		if err != nil {
			return nil, err
		}
		if worst == nil || finding.IsWorseThan(worst) {
			worst = finding
			found(finding)
		}
	}
	if worst == nil {
		return nil, nil
	}
	worst, err = simulator.shrink(worst)
	if err != nil {
		return nil, err
	}
	worst.Runs = simulator.finished
	return worst, nil
}

// shrink removes faults, one at a time, and then shortens those left, while a broken invariant
// stays broken or most of the loss stays.
func (s *simulator) shrink(worst *Finding) (*Finding, error) {
	isAsBad := func(finding *Finding) bool {
		if worst.Result.Violations > 0 {
			return finding.Result.Violations > 0
		}
		return finding.Loss >= minLossKept*worst.Loss
	}
	least := worst
	removed := 0
	for {
		fewer, err := s.removeOne(least, isAsBad)
		if err != nil {
			return nil, err
		}
		if fewer == nil {
			break
		}
		least = fewer
		removed++
	}
	least, err := s.shorten(least, isAsBad)
	if err != nil {
		return nil, err
	}
	least.RemovedFaults = removed
	return least, nil
}

// removeOne gives the schedule without the first fault that can go; nil: none can.
func (s *simulator) removeOne(finding *Finding, isAsBad func(*Finding) bool) (*Finding, error) {
	faults := finding.Scenario.Faults
	if len(faults) == 1 {
		return nil, nil
	}
	for i := range faults {
		fewer, err := s.run(slices.Delete(slices.Clone(faults), i, i+1))
		if err != nil {
			return nil, err
		}
		if isAsBad(fewer) {
			return fewer, nil
		}
	}
	return nil, nil
}

// shorten halves each fault in turn as often as it can be.
func (s *simulator) shorten(least *Finding, isAsBad func(*Finding) bool) (*Finding, error) {
	for i := range least.Scenario.Faults {
		for least.Scenario.Faults[i].Duration.D() > minFaultLength {
			faults := slices.Clone(least.Scenario.Faults)
			faults[i].Duration /= 2
			shorter, err := s.run(faults)
			if err != nil {
				return nil, err
			}
			if !isAsBad(shorter) {
				break
			}
			least = shorter
		}
	}
	return least, nil
}

// DrawFaults draws n faults of the kinds that a scenario allows, and returns them in the order of
// their start. The order of the draws is that of the fields.
func DrawFaults(random *rand.Rand, world *scenario.Scenario, n int) []scenario.Fault {
	var kinds []string
	for _, name := range scenario.FaultKindNames() {
		kind := scenario.FaultKinds[name]
		lacksCounter := kind.NeedsCounter && world.Counter.Rate <= 0
		lacksZones := kind.NeedsZones && world.Gateways.Zones <= 1
		if !lacksCounter && !lacksZones {
			kinds = append(kinds, name)
		}
	}
	length := world.Length.D().Seconds()
	span := func(from, to float64) scenario.Span { // in seconds, drawn in whole milliseconds
		return scenario.Span(time.Duration((from+(to-from)*random.Float64())*millisPerSecond) * time.Millisecond)
	}
	var faults []scenario.Fault
	for range n {
		fault := scenario.Fault{
			Kind:      kinds[random.IntN(len(kinds))],
			Start:     span(earliestStart*length, latestStart*length),
			Duration:  span(minDurationSeconds, maxDuration*length),
			Fraction:  float64(1+random.IntN(fractionTenths)) / tenth,
			Magnitude: 1 + float64(random.IntN(magnitudeTenths))/tenth,
			Zone:      random.IntN(world.Gateways.Zones),
			Class:     world.Classes[random.IntN(len(world.Classes))].Name,
			Plan:      world.Plans[random.IntN(len(world.Plans))].Name,
		}
		switch fault.Kind {
		case scenario.ServerErrors:
			fault.Magnitude = float64(minErrorTenths+random.IntN(errorTenths)) / tenth
		case scenario.AnswerLoss, scenario.ConnectionResets:
			fault.Fraction = float64(1+random.IntN(lossHundredths)) / hundredth
		}
		faults = append(faults, fault)
	}
	slices.SortStableFunc(faults, func(a, b scenario.Fault) int { return int(a.Start - b.Start) })
	return faults
}
