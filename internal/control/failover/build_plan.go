package failover

import (
	"math"
	"strings"

	"harrierhoist/internal/control/failover/zonestats"
)

// Reasons for a move, as written to Plan.Reasons. All but reasonOrdinary follow the name of a
// receiver. They are part of the stored form and must not change.
const (
	reasonOrdinary   = "nearer, or as room allows"
	reasonLinkLost   = " is out of reach, though not of others"
	reasonZoneLost   = " is lost"
	reasonOverloaded = " is pushed over"
)

// buildPlan returns the plan that consists of the rows. The caller sets HeldDownZones and
// PreviousRows.
func (in *planInput) buildPlan(rows []zoneRow) *Plan {
	plan := &Plan{
		Rows: map[string]map[string]int{}, Health: map[string]int{}, Shed: map[string]int{},
		FallbackRows: in.fallbackRows(), Reasons: map[string]string{}, Demand: map[string]uint64{},
	}
	for from, fromZone := range in.zones {
		row := map[string]int{}
		for to, toZone := range in.zones {
			if share := rows[from].shares[to]; share > 0 {
				row[toZone] = share
			}
			if in.lostLinks[from][to] {
				plan.LostLinks = append(plan.LostLinks, [2]string{fromZone, toZone})
			}
		}
		plan.Rows[fromZone] = row
		plan.Demand[fromZone] = uint64(in.demand[from] * storedDemandScale)
		plan.Health[fromZone] = int(math.Round(in.health[from] * fullShare / zonestats.Healthy))
		if rows[from].shed > 0 {
			plan.Shed[fromZone] = rows[from].shed
		}
		if rows[from].moves {
			plan.Reasons[fromZone] = in.moveReason(from)
		} else if in.plan.Reasons[fromZone] != "" {
			plan.Reasons[fromZone] = in.plan.Reasons[fromZone]
		}
	}
	return plan
}

// moveReason returns why a zone's row moves, in words for operators.
func (in *planInput) moveReason(from int) string {
	var reasons []string
	for to, toZone := range in.zones {
		switch {
		case !in.mustMoveAway[from][to]:
		case in.lostLinks[from][to]:
			reasons = append(reasons, toZone+reasonLinkLost)
		case in.isZoneLost(to):
			reasons = append(reasons, toZone+reasonZoneLost)
		default:
			reasons = append(reasons, toZone+reasonOverloaded)
		}
	}
	if len(reasons) == 0 {
		return reasonOrdinary
	}
	return strings.Join(reasons, ", ")
}

// fallbackRows returns the shares, in thousandths, that gateways without a plan may send to other
// zones. Plans use at most MaxUtilisation of a zone's capacity. The remaining capacity is reserved
// for gateways without a plan. It is divided evenly among all other zones, so that the zone is not
// overloaded even if none of them has a plan. Shares are assigned to the nearest receivers first.
func (in *planInput) fallbackRows() map[string]map[string]int {
	rows := map[string]map[string]int{}
	for from, fromZone := range in.zones {
		row := map[string]int{}
		remaining := fullShare
		for _, t := range []tier{tierRegion, tierRemote} {
			for to, toZone := range in.zones {
				if tierOf(in.regionOf, from, to) != t || in.lostLinks[from][to] {
					continue
				}
				reserve := (1 - in.settings.MaxUtilisation) * in.capacity[to] / float64(len(in.zones)-1)
				if share := min(int(reserve/in.demand[from]*fullShare), remaining); share > 0 {
					row[toZone] = share
					remaining -= share
				}
			}
		}
		rows[fromZone] = row
	}
	return rows
}
