package failover

import (
	"math"
	"slices"

	"harrierhoist/internal/control/failover/zonestats"
)

// How far a plan's fallback shares may be off before they are written anew.
const (
	fallbackTolerance = 0.3 // part of the share
	minFallbackChange = 20  // thousandths, beyond that part
)

// isStale decides whether what a plan says besides its rows is to be written anew. This alone moves
// no request between zones. It happens once a lease at most, and for the fallback shares once a
// hold-down.
func (in *planInput) isStale(plan *Plan) bool {
	old := in.plan
	if in.now < in.planSince+in.lease {
		return false
	}
	wasMoving := len(old.HoldDown) > 0 || old.Previous != nil
	hasSettled := len(plan.HoldDown) == 0 && wasMoving
	if hasSettled || !slices.Equal(plan.LostLinks, old.LostLinks) {
		return true
	}
	isFallbackDue := in.now >= in.planSince+in.settings.holdDown()
	return slices.ContainsFunc(in.zones, func(zone string) bool {
		isHealthStale := math.Abs(float64(plan.Health[zone]-old.Health[zone])) >= fullShare/zonestats.Healthy
		return isHealthStale || isFallbackDue && in.isFallbackStale(plan.Fallback[zone], old.Fallback[zone])
	})
}

// isFallbackStale decides whether a zone's old fallback row is too far off the one that would be
// written now.
func (in *planInput) isFallbackStale(row, old map[string]int) bool {
	return slices.ContainsFunc(in.zones, func(zone string) bool {
		now := float64(row[zone])
		before := float64(old[zone])
		wasTooHigh := now < before*(1-fallbackTolerance)-minFallbackChange
		wasTooLow := now*(1-fallbackTolerance)-minFallbackChange > before
		return wasTooHigh || wasTooLow
	})
}
