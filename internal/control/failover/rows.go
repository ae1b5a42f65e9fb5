package failover

import (
	"math"
	"slices"
)

// minOverloadMove is how many thousandths of a zone's requests are worth moving away from another, overloaded zone.
const minOverloadMove = 5

// mustLeave tells that a zone's requests are to be moved away from somewhere: no hold-down is waited for.
func (in *planInput) mustLeave(from int) bool { return slices.Contains(in.toLeave[from], true) }

// canMove tells that a zone's requests may move for any reason. Those of a zone whose gateways report nothing stay: nobody
// knows what its gateways do.
func (in *planInput) canMove(from int) bool {
	return in.estimates.isSettled(from) && in.estimates.isReporting[from] && in.holdDownUntil[from] <= in.now
}

// computeRows gives the rows of the next plan, what they shed, and which of them moved. A row that it is not worth moving
// stays; the others are then laid out anew around it.
func (in *planInput) computeRows() (rows [][]int, shed []int, moved []bool) {
	n := len(in.zones)
	rows, shed, moved = make([][]int, n), make([]int, n), make([]bool, n)
	for from := range in.zones {
		moved[from] = in.mustLeave(from) || in.canMove(from)
		rows[from], shed[from] = in.currentRow(from)
	}
	for again := true; again; {
		again = false
		result := in.newLayout(moved)
		result.compute()
		for from := range in.zones {
			if !moved[from] {
				continue
			}
			row, rowShed := in.computedRow(result, from)
			if in.exceedsMinMove(from, row, rowShed) {
				rows[from], shed[from] = row, rowShed
				continue
			}
			moved[from], again = false, true
			rows[from], shed[from] = in.currentRow(from)
		}
	}
	return rows, shed, moved
}

// currentRow is a zone's row by the plan in force, and what is shed of it.
func (in *planInput) currentRow(from int) (row []int, shed int) {
	return in.rows[from], in.plan.Shed[in.zones[from]]
}

// computedRow is a zone's row by a layout, and what is shed of it. In a zone that is merely full, and of its own requests
// alone, the policy module sheds: the plan does only what returns by more than a recovery step.
func (in *planInput) computedRow(result *layout, from int) (row []int, shed int) {
	row, shed = toThousandths(result.allocation[from], result.unplaced[from], from)
	ofOthers := result.loads[from] - result.allocation[from][from]
	isServing := in.capacity[from] > 0 && !in.lostLinks[from][from]
	isFull := result.loads[from] >= result.maxUtilisation*result.capacity[from]*(1-roundingTolerance)
	if isServing && isFull && ofOthers < minDemand {
		shed = max(row[from]-int((in.shares[from][from]+in.settings.RecoveryStep)*fullShare), 0)
	}
	return row, shed
}

// newLayout is what is to be laid out, with the rows that are not to move fixed.
func (in *planInput) newLayout(moves []bool) *layout {
	n := len(in.zones)
	result := &layout{
		regionOf: in.regionOf, demand: in.demand, capacity: in.capacity, maxUtilisation: in.settings.MaxUtilisation,
		lostLinks: in.lostLinks, previous: in.previous, fixed: make([][]float64, n), probes: make([]float64, n),
		liftLocal: make([]bool, n),
	}
	for from := range n {
		low, high, current := make([]float64, n), make([]float64, n), make([]float64, n)
		for to := range n {
			current[to] = in.shares[from][to] * in.demand[from]
			low[to], high[to] = in.limits(from, to, current[to])
		}
		result.low, result.high = append(result.low, low), append(result.high, high)
		if !moves[from] {
			result.fixed[from] = current
		}
		result.probes[from] = in.probeShare(from) * in.demand[from]
		result.liftLocal[from] = in.plan.Shed[in.zones[from]] == 0
	}
	return result
}

// limits are the least and the most, in units a second, that a pair may get that currently gets so much.
func (in *planInput) limits(from, to int, current float64) (low, high float64) {
	step := current + in.settings.RecoveryStep*in.demand[from]
	isLocal, leaves := to == from, in.toLeave[from][to]
	switch {
	case !in.mustLeave(from):
		return 0, step
	case in.canMove(from) && isLocal && !leaves:
		return 0, step // recovery goes by steps, whatever else moves
	case in.canMove(from):
		return 0, math.Inf(1)
	case leaves: // a zone in hold-down leaves what fails, and changes nothing else
		return 0, current
	case isLocal:
		return current, step
	}
	return current, math.Inf(1)
}

// exceedsMinMove tells that a row is to move: it leaves what is unreachable or overloaded, probes start, or enough requests
// move.
func (in *planInput) exceedsMinMove(from int, row []int, shed int) bool {
	largest := 0.0
	for to, share := range row {
		current, planned := in.shares[from][to]*fullShare, float64(share)
		if to == from {
			planned -= float64(shed)
			if probes := in.probeShare(from) * fullShare; current < probes/2 && planned >= probes/2 {
				return true
			}
		}
		if in.unreachable[from][to] && planned < current-0.5 {
			return true
		}
		if to != from && in.toLeave[from][to] && planned < current-minOverloadMove {
			return true
		}
		largest = max(largest, math.Abs(planned-current))
	}
	return largest >= in.settings.MinMove*fullShare
}
