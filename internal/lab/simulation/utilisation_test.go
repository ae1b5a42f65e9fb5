package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// A column that throws together what ended in different ways says nothing of any of them: each request that failed
// stands under one end, also where gateways die or stand still while their clients go.
func TestResult_eachFailedRequestHasOneCause(t *testing.T) {
	for kind, of := range map[string]func(FailureCauses) int{
		"":              func(e FailureCauses) int { return e.BetweenTries },
		"server_errors": func(e FailureCauses) int { return e.Terminated },
		"kill":          func(e FailureCauses) int { return e.WithGateway },
		"standstill":    func(e FailureCauses) int { return e.InFlight },
	} {
		spec := smallScenario()
		if kind != "" {
			spec = smallScenario(scenario.Fault{Kind: kind, Start: span(3 * time.Second), Duration: span(4 * time.Second), Fraction: 0.5, Magnitude: 0.8})
		}
		spec.Load.Rate = 500
		r := mustRun(t, spec, 3, baseline.Module)
		e := r.FailureCauses
		if sum := e.BetweenTries + e.Terminated + e.WithGateway + e.InFlight; sum != r.Failed || of(e) == 0 {
			t.Errorf("%q: %d failed, ends %+v", kind, r.Failed, e)
		}
		if ended := r.InTime + r.Late + r.RejectedRequests + r.Failed; ended > r.Offered {
			t.Errorf("%q: %d ended of %d", kind, ended, r.Offered)
		}
	}
}

// With two halls of one region and one of another, chance alone sends two pushes of three to another hall, and
// four of nine to another region; a hall that is sent all its servers can do is at 1.
func TestResult_countsAttemptsBetweenZonesAndRegions(t *testing.T) {
	spec := smallScenario()
	spec.Gateways.Zones, spec.Gateways.Regions = 3, [][]int{{0, 1}, {2}}
	spec.Servers.Count = 18
	r := mustRun(t, spec, 3, baseline.Random)
	crossed, far := float64(r.CrossZone)/float64(r.Attempts), float64(r.CrossRegion)/float64(r.Attempts)
	if crossed < 0.62 || crossed > 0.71 || far < 0.4 || far > 0.49 {
		t.Errorf("%.3f between halls, %.3f between regions", crossed, far)
	}
	mean := spec.Load.Rate * 0.058 / (18 * 2)
	if r.PeakUtilisation < mean || r.PeakUtilisation > 2.2*mean {
		t.Errorf("hottest %.2f where halls are at %.2f in the mean", r.PeakUtilisation, mean)
	}
}
