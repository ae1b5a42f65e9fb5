package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// crowded is three halls at three fifths of their strength, of whose tries four in five come through one from second 4 to 14.
func hotspotScenario(how string, troubles ...scenario.Fault) *scenario.Scenario {
	spec := threeZones(how, append(troubles, scenario.Fault{
		Kind: "crowd", Start: span(4 * time.Second),
		Duration: span(10 * time.Second), Fraction: 0.7,
	})...)
	spec.Load.Rate = 400
	return spec
}

// A hall that more comes in at than it bears: its gateways turn the rest away before any push, so that pushes tell
// nothing of it. It goes to other halls all the same, and those are not pushed over for it.
func TestHotspot_overflowsToOtherZones(t *testing.T) {
	t.Parallel()
	r := mustRun(t, hotspotScenario(scenario.CoordinationShared), 1, baseline.Module)
	if part := float64(r.CrossZone) / float64(r.Attempts); part < 0.12 || part > 0.3 {
		t.Errorf("%.3f of the pushes go to another hall", part)
	}
	if refused := float64(r.RejectedRequests+r.Failed) / float64(r.Offered); refused > 0.04 {
		t.Errorf("%.3f of the requests get no answer", refused)
	}
	if r.WrongPlans > 0 || r.PeakUtilisationOver5s > 1.05 {
		t.Errorf("%d wrong; over five seconds a hall gets %.2f of what it can do", r.WrongPlans, r.PeakUtilisationOver5s)
	}
}

// One customer floods a crowded hall with many times what the hall bears, nearly all of it beyond its quota: that is no
// demand, and nothing moves.
func TestHotspot_loadBeyondQuotaMovesNothing(t *testing.T) {
	t.Parallel()
	spec := hotspotScenario(scenario.CoordinationShared, scenario.Fault{
		Kind: "flood", Plan: "enterprise", Magnitude: 20, Start: span(4 * time.Second),
		Duration: span(10 * time.Second),
	})
	spec.Load.Rate = 150
	p := &spec.Plans[2]
	p.Customers, p.Rate, p.Burst = 1, 20, 40
	r := mustRun(t, spec, 1, baseline.Module)
	if r.CrossZone > 0 || r.WrongPlans > 0 {
		t.Errorf("%d of %d pushes go to another hall; %d wrong", r.CrossZone, r.Attempts, r.WrongPlans)
	}
	if r.Offered < 8000 || r.RejectedRequests+r.Failed < r.Offered/2 {
		t.Errorf("%d requests, of which %d and %d were not served, are no flood", r.Offered, r.RejectedRequests, r.Failed)
	}
}
