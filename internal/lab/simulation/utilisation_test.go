package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// TestResult_eachFailedRequestHasOneCause checks that each failed request counts under one cause,
// also where gateways die or are paused while their clients disconnect.
func TestResult_eachFailedRequestHasOneCause(t *testing.T) {
	for _, test := range []struct {
		name  string
		kind  string // of the fault; empty: none
		cause func(FailureCauses) int
	}{
		{"overload", "", func(f FailureCauses) int { return f.BetweenTries }},
		{"server errors", scenario.ServerErrors, func(f FailureCauses) int { return f.Terminated }},
		{"gateways killed", scenario.GatewayKill, func(f FailureCauses) int { return f.WithGateway }},
		{"gateways paused", scenario.GatewayPause, func(f FailureCauses) int { return f.InFlight }},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := smallScenario()
			if test.kind != "" {
				spec.Faults = []scenario.Fault{{
					Kind: test.kind, Start: span(3 * time.Second), Duration: span(4 * time.Second),
					Fraction: 0.5, Magnitude: 0.8,
				}}
			}
			spec.Load.Rate = 500
			r := mustRun(t, spec, 3, baseline.Module)
			f := r.FailureCauses
			all := f.BetweenTries + f.Terminated + f.WithGateway + f.InFlight
			if all != r.Failed || test.cause(f) == 0 {
				t.Errorf("%d requests failed, by cause %+v", r.Failed, f)
			}
			if ended := r.InTime + r.Late + r.RejectedRequests + r.Failed; ended > r.Offered {
				t.Errorf("%d requests ended of %d", ended, r.Offered)
			}
		})
	}
}

// TestResult_countsAttemptsBetweenZonesAndRegions has two zones in one region and one in another.
// Random servers are then in another zone for two attempts of three, and in another region for four
// of nine. A zone that is sent all that its servers can do has a utilisation of 1.
func TestResult_countsAttemptsBetweenZonesAndRegions(t *testing.T) {
	spec := smallScenario()
	spec.Gateways.Zones, spec.Gateways.Regions = 3, [][]int{{0, 1}, {2}}
	spec.Servers.Count = 18
	r := mustRun(t, spec, 3, baseline.Random)
	crossZone, crossRegion := float64(r.CrossZone)/float64(r.Attempts), float64(r.CrossRegion)/float64(r.Attempts)
	if crossZone < 0.62 || crossZone > 0.71 || crossRegion < 0.4 || crossRegion > 0.49 {
		t.Errorf("%.3f of the attempts between zones, %.3f between regions, want 0.62 to 0.71 and 0.4 to 0.49",
			crossZone, crossRegion)
	}
	mean := spec.Load.Rate * 0.058 / (18 * 2)
	if r.PeakUtilisation < mean || r.PeakUtilisation > 2.2*mean {
		t.Errorf("peak utilisation %.2f where the mean is %.2f", r.PeakUtilisation, mean)
	}
}
