package simulation

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// smallScenario is a scenario of 12 s in which all effects of faults show.
func smallScenario(faults ...scenario.Fault) *scenario.Scenario {
	spec, err := scenario.Parse("small", nil)
	if err != nil {
		panic(err) // the defaults are valid: package scenario tests them
	}
	spec.Length = span(12 * time.Second)
	spec.Gateways.Count, spec.Gateways.Zones = 6, 2
	spec.Servers.Count, spec.Servers.RackSize = 16, 4
	spec.Load.Rate = 250
	spec.Counter.Rate = 2000
	spec.Faults = faults
	return spec
}

// threeZones is a scenario of three zones in two regions, without quotas, under a mode of
// coordination.
func threeZones(mode string, faults ...scenario.Fault) *scenario.Scenario {
	spec := smallScenario(faults...)
	spec.Length = span(16 * time.Second)
	spec.Gateways.Count, spec.Gateways.Zones, spec.Gateways.Regions = 12, 3, [][]int{{0, 1}, {2}}
	spec.Servers.Count, spec.Load.Rate = 18, 250
	for i := range spec.Plans {
		spec.Plans[i].Rate, spec.Plans[i].Burst, spec.Plans[i].CeilingRate = 0, 0, 0
	}
	spec.Coordination.Mode = mode
	return spec
}

// zoneLossFault is the loss of a whole zone.
func zoneLossFault(zone int, start, duration time.Duration) scenario.Fault {
	return scenario.Fault{Kind: scenario.ZoneLoss, Zone: zone, Start: span(start), Duration: span(duration)}
}

func span(d time.Duration) scenario.Span { return scenario.Span(d) }

// mustRun runs a scenario, and fails the test if that returns an error.
func mustRun(t *testing.T, spec *scenario.Scenario, seed uint64, newPolicy baseline.Constructor) *Result {
	t.Helper()
	r, err := Run(spec, seed, newPolicy)
	if err != nil {
		t.Fatal(err)
	}
	r.ComputePercentiles()
	return r
}

// faultStart is the second at which the faults of comparisons begin.
const faultStart = 3

// sumSeconds sums a figure of the timeline from faultStart until before a second.
func sumSeconds(r *Result, until int, of func(Second) int) (n int) {
	for _, s := range r.Timeline[faultStart:min(until, len(r.Timeline))] {
		n += of(s)
	}
	return n
}

func sum(all []int) (n int) {
	for _, one := range all {
		n += one
	}
	return n
}

// summary has the figures by which the tests tell whether a fault is visible.
func (r *Result) summary() string {
	return fmt.Sprintf("failover after %v ms, %d in time, %d failed or rejected, %d offered, %.0f units over quota, "+
		"%d counter calls",
		r.FailoverMs, sumSeconds(r, 8, inTime), sumSeconds(r, 9, failed), sumSeconds(r, 7, offered), r.OverQuotaUnits,
		r.CounterCalls)
}
