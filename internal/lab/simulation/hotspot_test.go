package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// hotspotScenario is three zones at three fifths of their capacity; from second 4 to 14, four tries
// in five come in at one.
func hotspotScenario(mode string, faults ...scenario.Fault) *scenario.Scenario {
	spec := threeZones(mode, append(faults, scenario.Fault{
		Kind: scenario.Hotspot, Start: span(4 * time.Second), Duration: span(10 * time.Second), Fraction: 0.7,
	})...)
	spec.Load.Rate = 400
	return spec
}

// TestHotspot_overflowsToOtherZones sends a zone more than its capacity. Its gateways reject the
// rest before any attempt, so that no attempt shows it; it still goes to other zones, and does not
// overload them.
func TestHotspot_overflowsToOtherZones(t *testing.T) {
	t.Parallel()
	r := mustRun(t, hotspotScenario(scenario.CoordinationShared), 1, baseline.Module)
	if part := float64(r.CrossZone) / float64(r.Attempts); part < 0.12 || part > 0.3 {
		t.Errorf("%.3f of the attempts go to another zone, want 0.12 to 0.3", part)
	}
	if rejected := float64(r.RejectedRequests+r.Failed) / float64(r.Offered); rejected > 0.04 {
		t.Errorf("%.3f of the requests are not served, want 0.04 at most", rejected)
	}
	if r.WrongPlans > 0 || r.PeakUtilisationOver5s > 1.05 {
		t.Errorf("%d wrong plans, peak utilisation over five seconds %.2f, want none and 1.05 at most", r.WrongPlans,
			r.PeakUtilisationOver5s)
	}
}

// TestHotspot_loadBeyondQuotaMovesNothing has one customer flood the zone with many times its
// capacity, nearly all of it beyond the customer's quota, which counts as no demand.
func TestHotspot_loadBeyondQuotaMovesNothing(t *testing.T) {
	t.Parallel()
	spec := hotspotScenario(scenario.CoordinationShared, scenario.Fault{
		Kind: scenario.PlanFlood, Plan: "enterprise", Magnitude: 20,
		Start: span(4 * time.Second), Duration: span(10 * time.Second),
	})
	spec.Load.Rate = 150
	plan := &spec.Plans[2]
	plan.Customers, plan.Rate, plan.Burst = 1, 20, 40
	r := mustRun(t, spec, 1, baseline.Module)
	if r.CrossZone > 0 || r.WrongPlans > 0 {
		t.Errorf("%d of %d attempts go to another zone, %d wrong plans, want none", r.CrossZone, r.Attempts,
			r.WrongPlans)
	}
	if r.Offered < 8000 || r.RejectedRequests+r.Failed < r.Offered/2 {
		t.Errorf("%d requests, of which %d were rejected and %d failed, are no flood", r.Offered, r.RejectedRequests,
			r.Failed)
	}
}
