package failover

import (
	"math"
	"strings"

	"harrierhoist/internal/control/failover/zonestats"
)

// What a plan gives as the reasons of a move. They are stored: their wording stays.
const (
	reasonOrdinary   = "nearer, or as room allows"
	reasonLinkLost   = " is out of reach, though not of others"
	reasonZoneLost   = " is lost"
	reasonOverloaded = " is pushed over"
)

// buildPlan makes the plan of the rows.
func (in *planInput) buildPlan(rows [][]int, shed []int, moved []bool) *Plan {
	plan := &Plan{
		Rows: map[string]map[string]int{}, Health: map[string]int{}, Shed: map[string]int{},
		Fallback: in.fallbackRows(), Reasons: map[string]string{}, Demand: map[string]uint64{},
	}
	for from, fromZone := range in.zones {
		row := map[string]int{}
		for to, toZone := range in.zones {
			if rows[from][to] > 0 {
				row[toZone] = rows[from][to]
			}
			if in.lostLinks[from][to] {
				plan.LostLinks = append(plan.LostLinks, [2]string{fromZone, toZone})
			}
		}
		plan.Rows[fromZone], plan.Demand[fromZone] = row, uint64(in.demand[from]*1000)
		plan.Health[fromZone] = int(math.Round(in.health[from] * fullShare / zonestats.Healthy))
		if shed[from] > 0 {
			plan.Shed[fromZone] = shed[from]
		}
		if moved[from] {
			plan.Reasons[fromZone] = in.reason(from)
		} else if in.plan.Reasons[fromZone] != "" {
			plan.Reasons[fromZone] = in.plan.Reasons[fromZone]
		}
	}
	return plan
}

// reason is why a zone's row moves.
func (in *planInput) reason(from int) string {
	var reasons []string
	for to, toZone := range in.zones {
		switch {
		case !in.toLeave[from][to]:
		case in.lostLinks[from][to]:
			reasons = append(reasons, toZone+reasonLinkLost)
		case in.capacity[to] <= 0:
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

// fallbackRows shares out what lies between the most that is planned in a zone and its capacity: the same to every other
// zone, so that whichever of them have no plan, by whichever plan they got last, all together stay below its capacity. The
// nearest receivers get requests first.
func (in *planInput) fallbackRows() map[string]map[string]int {
	rows := map[string]map[string]int{}
	for from, fromZone := range in.zones {
		row, rest := map[string]int{}, fullShare
		for _, t := range []tier{tierRegion, tierRemote} {
			for to, toZone := range in.zones {
				if tierOf(in.regionOf, from, to) != t || in.lostLinks[from][to] {
					continue
				}
				reserve := (1 - in.settings.MaxUtilisation) * in.capacity[to] / float64(len(in.zones)-1)
				if share := min(int(reserve/in.demand[from]*fullShare), rest); share > 0 {
					row[toZone], rest = share, rest-share
				}
			}
		}
		rows[fromZone] = row
	}
	return rows
}
