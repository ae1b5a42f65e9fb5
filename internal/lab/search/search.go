// Package search looks for a schedule of troubles that breaks a rule or loses most, and shrinks what it found to the
// least that still does.
package search

import (
	"math/rand/v2"
	"slices"
	"time"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/scenario"
)

// Finding is a schedule and what it does.
type Finding struct {
	Scenario      *scenario.Scenario
	Result        *experiment.Result
	Loss          float64 // net service lost against the same world without troubles
	Runs          int     // that the search took
	RemovedFaults int     // troubles that were taken out again
}

// IsWorseThan orders what was found: a broken rule before any loss.
func (finding *Finding) IsWorseThan(other *Finding) bool {
	if (finding.Result.Violations > 0) != (other.Result.Violations > 0) {
		return finding.Result.Violations > 0
	}
	return finding.Loss > other.Loss
}

// Run draws schedules of up to so many troubles and keeps the worst. Tell is told of each that is worse than all
// before it.
func Run(base *scenario.Scenario, seed uint64, tries, most int, policy string, tell func(*Finding)) (*Finding, error) {
	random := rand.New(rand.NewPCG(seed, 77))
	plain := *base
	plain.Faults = nil
	baseline, err := experiment.RunScenario(&plain, policy, seed)
	if err != nil {
		return nil, err
	}
	plays := 1
	play := func(troubles []scenario.Fault) (*Finding, error) {
		c := *base
		c.Faults = troubles
		l, err := experiment.RunScenario(&c, policy, seed)
		plays++
		if err != nil {
			return nil, err
		}
		return &Finding{Scenario: &c, Result: l, Loss: baseline.Net - l.Net, Runs: plays}, nil
	}
	var worst *Finding
	for range tries {
		finding, err := play(DrawFaults(random, base, 1+random.IntN(most)))
		if err != nil {
			return nil, err
		}
		if worst == nil || finding.IsWorseThan(worst) {
			worst = finding
			tell(finding)
		}
	}
	if worst == nil {
		return nil, nil
	}
	worst, err = shrink(worst, play)
	if worst != nil {
		worst.Runs = plays
	}
	return worst, err
}

// minLossKept is how much of the loss a smaller schedule has to keep.
const minLossKept = 0.9

// shrink takes troubles out, one at a time, and then shortens those left, while a broken rule stays broken or nine
// tenths of the loss stay.
func shrink(finding *Finding, play func([]scenario.Fault) (*Finding, error)) (*Finding, error) {
	still := func(other *Finding) bool {
		if finding.Result.Violations > 0 {
			return other.Result.Violations > 0
		}
		return other.Loss >= minLossKept*finding.Loss
	}
	least, out := finding, 0
	for again := true; again; {
		again = false
		for i := range least.Scenario.Faults {
			if len(least.Scenario.Faults) == 1 {
				break
			}
			other, err := play(slices.Delete(slices.Clone(least.Scenario.Faults), i, i+1))
			if err != nil {
				return nil, err
			}
			if still(other) {
				least, again = other, true
				out++
				break
			}
		}
	}
	for i := range least.Scenario.Faults {
		for least.Scenario.Faults[i].Duration.D() > time.Second {
			shorter := slices.Clone(least.Scenario.Faults)
			shorter[i].Duration /= 2
			other, err := play(shorter)
			if err != nil {
				return nil, err
			}
			if !still(other) {
				break
			}
			least = other
		}
	}
	least.RemovedFaults = out
	return least, nil
}

// DrawFaults draws a schedule of so many troubles that a world allows.
func DrawFaults(random *rand.Rand, base *scenario.Scenario, n int) []scenario.Fault {
	var kinds []string
	for _, name := range scenario.FaultKindNames() {
		k := scenario.FaultKinds[name]
		if (!k.NeedsCounter || base.Counter.Rate > 0) && (!k.NeedsZones || base.Gateways.Zones > 1) {
			kinds = append(kinds, name)
		}
	}
	length := base.Length.D().Seconds()
	seconds := func(from, to float64) scenario.Span {
		return scenario.Span(time.Duration((from+(to-from)*random.Float64())*1000).Round(1) * time.Millisecond)
	}
	var all []scenario.Fault
	for range n {
		t := scenario.Fault{Kind: kinds[random.IntN(len(kinds))], Start: seconds(0.1*length, 0.7*length), Duration: seconds(1, 0.4*length),
			Fraction: float64(1+random.IntN(8)) / 10, Magnitude: 1 + float64(random.IntN(40))/10, Zone: random.IntN(base.Gateways.Zones),
			Class: base.Classes[random.IntN(len(base.Classes))].Name, Plan: base.Plans[random.IntN(len(base.Plans))].Name}
		switch t.Kind {
		case "server_errors":
			t.Magnitude = float64(2+random.IntN(9)) / 10
		case "answers_lost", "resets":
			t.Fraction = float64(1+random.IntN(20)) / 100
		}
		all = append(all, t)
	}
	slices.SortStableFunc(all, func(a, b scenario.Fault) int { return int(a.Start - b.Start) })
	return all
}
