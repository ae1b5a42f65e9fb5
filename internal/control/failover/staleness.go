package failover

import (
	"math"
	"slices"

	"harrierhoist/internal/control/failover/zonestats"
)

// Limits on the change of a fallback share. The plan is rewritten if a share changes by more than
// both together.
const (
	fallbackTolerance = 0.3 // as a part of the larger share
	minFallbackChange = 20  // thousandths
)

// isStale reports whether the plan in force must be replaced because of parts other than its rows.
// Such a replacement moves no requests between zones. It is due at most once per lease, and for
// fallback shares at most once per hold-down.
func (in *planInput) isStale(plan *Plan) bool {
	old := in.plan
	if in.now < in.planAdoptedAt+in.lease {
		return false
	}
	wasMoving := len(old.HeldDownZones) > 0 || old.PreviousRows != nil
	hasSettled := len(plan.HeldDownZones) == 0 && wasMoving
	if hasSettled || !slices.Equal(plan.LostLinks, old.LostLinks) {
		return true
	}
	isFallbackDue := in.now >= in.planAdoptedAt+in.settings.holdDown()
	return slices.ContainsFunc(in.zones, func(zone string) bool {
		isHealthStale := math.Abs(float64(plan.Health[zone]-old.Health[zone])) >= fullShare/zonestats.Healthy
		return isHealthStale || isFallbackDue && in.isFallbackStale(plan.FallbackRows[zone], old.FallbackRows[zone])
	})
}

// isFallbackStale reports whether a zone's fallback row in the plan in force differs too much from
// the one that would be written now.
func (in *planInput) isFallbackStale(row, old map[string]int) bool {
	return slices.ContainsFunc(in.zones, func(zone string) bool {
		newShare := float64(row[zone])
		oldShare := float64(old[zone])
		wasTooHigh := newShare < oldShare*(1-fallbackTolerance)-minFallbackChange
		wasTooLow := newShare*(1-fallbackTolerance)-minFallbackChange > oldShare
		return wasTooHigh || wasTooLow
	})
}
