package failover

import (
	"math"
	"slices"
	"strings"

	"harrierhoist/internal/zonestats"
)

// mustLeave tells that a hall's tasks flee from somewhere: this needs no rest.
func (in *planInput) mustLeave(from int) bool { return slices.Contains(in.toLeave[from], true) }

// canMove tells that a hall's tasks may move for any reason. Those of a hall whose gateways tell nothing stay: nobody knows
// what they do.
func (in *planInput) canMove(from int) bool {
	return in.estimates.isSettled(from) && in.estimates.isReporting[from] && in.holdDownUntil[from] <= in.now
}

// computeRows gives the rows of the next plan, what they shed and which of them moved. A row that it is not worth to move stays;
// then the others are laid out anew around it.
func (in *planInput) computeRows() (rows [][]int, shed []int, moved []bool) {
	n := len(in.zones)
	moved, shed = make([]bool, n), make([]int, n)
	rows = make([][]int, n)
	for from, zone := range in.zones {
		moved[from] = in.mustLeave(from) || in.canMove(from)
		rows[from], shed[from] = in.rows[from], in.plan.Shed[zone]
	}
	for again := true; again; {
		again = false
		l := in.newLayout(moved)
		allocation, unplaced := l.compute()
		for from := range n {
			if !moved[from] {
				continue
			}
			row, over := toThousandths(allocation[from], unplaced[from], from)
			others := l.loads[from] - allocation[from][from]
			if in.capacity[from] > 0 && !in.lostLinks[from][from] && l.loads[from] >= l.maxUtilisation*l.capacity[from]*(1-roundingTolerance) && others < minDemand {
				over = in.overloadShed(from, row[from]) // the hall is full, no more, and of its own tasks alone: the module sheds
			}
			if in.isWorthMoving(from, row, over) {
				rows[from], shed[from] = row, over
				continue
			}
			moved[from], again = false, true
			rows[from], shed[from] = in.rows[from], in.plan.Shed[in.zones[from]]
		}
	}
	return rows, shed, moved
}

// overloadShed is what of a full hall's share of its own tasks is rejected at once all the same: what comes back by more than a
// step.
func (in *planInput) overloadShed(from, share int) int {
	return max(share-int((in.shares[from][from]+in.settings.RecoveryStep)*fullShare), 0)
}

// newLayout is what is to be laid out, with the rows that are not to move fixed.
func (in *planInput) newLayout(moves []bool) *layout {
	n := len(in.zones)
	l := &layout{regionOf: in.regionOf, demand: in.demand, capacity: in.capacity, maxUtilisation: in.settings.MaxUtilisation, lostLinks: in.lostLinks,
		previous: in.previous, fixed: make([][]float64, n), probes: make([]float64, n), liftLocal: make([]bool, n)}
	for from := range n {
		low, high := make([]float64, n), make([]float64, n)
		l.probes[from] = in.probeShare(from) * in.demand[from]
		l.liftLocal[from] = in.plan.Shed[in.zones[from]] == 0
		for to := range n {
			current, leave := in.shares[from][to]*in.demand[from], in.toLeave[from][to]
			step := current + in.settings.RecoveryStep*in.demand[from]
			switch {
			case !in.mustLeave(from):
				high[to] = step
			case in.canMove(from) && to == from && !leave:
				high[to] = step // coming back goes by steps, whatever else moves
			case in.canMove(from):
				high[to] = math.Inf(1)
			case leave: // a resting hall flees from what is bad, and nothing else changes
				high[to] = current
			case to == from:
				low[to], high[to] = current, step
			default:
				low[to], high[to] = current, math.Inf(1)
			}
		}
		if !moves[from] {
			l.fixed[from] = make([]float64, n)
			for to := range n {
				l.fixed[from][to] = in.shares[from][to] * in.demand[from]
			}
		}
		l.low, l.high = append(l.low, low), append(l.high, high)
	}
	return l
}

// minOverloadMove is the thousandths of a hall's tasks that are worth a move from another hall that is pushed over.
const minOverloadMove = 5

// isWorthMoving tells that a row is to move: it flees from what is lost or pushed over, a trial begins, or enough tasks move.
func (in *planInput) isWorthMoving(from int, row []int, shed int) bool {
	most := 0.0
	for to, share := range row {
		current := in.shares[from][to] * fullShare
		planned := float64(share)
		if to == from {
			planned -= float64(shed)
			if trial := in.probeShare(from) * fullShare; current < trial/2 && planned >= trial/2 {
				return true
			}
		}
		if in.unreachable[from][to] && planned < current-0.5 || to != from && in.toLeave[from][to] && planned < current-minOverloadMove {
			return true
		}
		most = max(most, math.Abs(planned-current))
	}
	return most >= in.settings.MinMove*fullShare
}

// buildPlan makes the plan of the rows.
func (in *planInput) buildPlan(rows [][]int, shed []int, moved []bool) *Plan {
	plan := &Plan{Rows: map[string]map[string]int{}, Health: map[string]int{}, Shed: map[string]int{},
		Fallback: in.fallbackRows(), Reasons: map[string]string{}, Demand: map[string]uint64{}}
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

// reasonOrdinary is why a row moves that flees from nothing.
const reasonOrdinary = "nearer, or as room allows"

// reason says what moved a row.
func (in *planInput) reason(from int) string {
	var all []string
	for to, toZone := range in.zones {
		switch {
		case !in.toLeave[from][to]:
		case in.lostLinks[from][to]:
			all = append(all, toZone+" is out of reach, though not of others")
		case in.capacity[to] <= 0:
			all = append(all, toZone+" is lost")
		default:
			all = append(all, toZone+" is pushed over")
		}
	}
	if len(all) == 0 {
		return reasonOrdinary
	}
	return strings.Join(all, ", ")
}

// fallbackRows shares out what lies between the most that is planned in a hall and all that it bears: to every other hall alike,
// so that whichever of them hear no plan, by whichever plan they heard last, all together stay below what it bears. It
// goes to the nearest first.
func (in *planInput) fallbackRows() map[string]map[string]int {
	n := len(in.zones)
	all := map[string]map[string]int{}
	for from, fromZone := range in.zones {
		row, left := map[string]int{}, fullShare
		for tier := 1; tier <= 2; tier++ {
			for to, toZone := range in.zones {
				kind := 2
				if in.regionOf[from] == in.regionOf[to] {
					kind = 1
				}
				if to == from || kind != tier || in.lostLinks[from][to] {
					continue
				}
				reserve := (1 - in.settings.MaxUtilisation) * in.capacity[to] / float64(n-1)
				if share := min(int(reserve/in.demand[from]*fullShare), left); share > 0 {
					row[toZone], left = share, left-share
				}
			}
		}
		all[fromZone] = row
	}
	return all
}
