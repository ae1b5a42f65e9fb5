package failover

import (
	"math"
	"slices"
)

const (
	// minOverloadMove is the share of a zone's requests, in thousandths, that a move away from
	// another, overloaded zone must exceed to be worth making.
	minOverloadMove = 5
	// minUnreachableMove is the same limit for moves away from an unreachable zone. It lies between
	// two whole thousandths, so that any move exceeds it.
	minUnreachableMove = 0.5
	// minProbedFraction is the smallest part of the probe share with which a zone counts as probed.
	minProbedFraction = 0.5
)

// zoneRow states where a zone's requests are sent.
type zoneRow struct {
	shares []int // shares by receiver, in thousandths
	shed   int   // thousandths of all of the zone's requests; part of the own zone's share
	moves  bool  // the row may differ from the plan in force
}

// mustMove reports whether a zone's requests must move away from some receiver regardless of
// hold-down.
func (in *planInput) mustMove(from int) bool { return slices.Contains(in.mustMoveAway[from], true) }

// canMove reports whether a zone's requests may move without a failure or an overload. They may not
// in hold-down or before the demand is known. They also may not while the zone's gateways report
// nothing, as it is not known what these gateways do.
func (in *planInput) canMove(from int) bool {
	return in.estimates.isDemandSettled(from) && in.estimates.isReporting[from] && !in.isHeldDown(from, in.now)
}

// computeRows returns the rows of the next plan. It allocates all rows that may move together. A
// row whose change is too small then keeps its current shares, and the others are allocated again.
func (in *planInput) computeRows() []zoneRow {
	rows := make([]zoneRow, len(in.zones))
	for from := range rows {
		rows[from] = in.currentRow(from)
		rows[from].moves = in.mustMove(from) || in.canMove(from)
	}
	changed := true
	for changed {
		changed = in.allocateRows(rows)
	}
	return rows
}

// allocateRows allocates the rows that move. Rows whose change is too small are reset to the plan
// in force and no longer move. It reports whether there were any.
func (in *planInput) allocateRows(rows []zoneRow) (changed bool) {
	alloc := in.newAllocator(rows)
	alloc.compute()
	for from := range rows {
		if !rows[from].moves {
			continue
		}
		next := in.allocatedRow(alloc, from)
		if in.isWorthMoving(from, next) {
			rows[from] = next
			continue
		}
		rows[from] = in.currentRow(from)
		changed = true
	}
	return changed
}

// currentRow returns a zone's row in the plan in force.
func (in *planInput) currentRow(from int) zoneRow {
	return zoneRow{shares: in.rows[from], shed: in.plan.Shed[in.zones[from]]}
}

// allocatedRow converts a zone's allocation to a row. If a zone serves and is filled by its own
// requests alone, the gateways' decision module sheds the excess. The plan then sheds only as much
// as is needed to keep the own share from growing by more than one recovery step.
func (in *planInput) allocatedRow(alloc *allocator, from int) zoneRow {
	shares, shed := toThousandths(alloc.allocated[from], alloc.unallocated[from], from)
	loadFromOthers := alloc.loads[from] - alloc.allocated[from][from]
	isServing := !in.isZoneLost(from) && !in.lostLinks[from][from]
	isFull := alloc.loads[from] >= alloc.maxUtilisation*alloc.capacity[from]*(1-roundingTolerance)
	if isServing && isFull && loadFromOthers < minDemand {
		shed = max(shares[from]-int((in.shares[from][from]+in.settings.RecoveryStep)*fullShare), 0)
	}
	return zoneRow{shares: shares, shed: shed, moves: true}
}

// newAllocator returns an allocator with its input set. Rows that do not move are fixed.
func (in *planInput) newAllocator(rows []zoneRow) *allocator {
	n := len(in.zones)
	alloc := &allocator{
		regionOf: in.regionOf, demand: in.demand, capacity: in.capacity, maxUtilisation: in.settings.MaxUtilisation,
		lostLinks: in.lostLinks, previousRates: in.previousRates, fixedRows: make([][]float64, n),
		probeRates: make([]float64, n), localMayExceedMaxRate: make([]bool, n),
	}
	for from := range n {
		minRates := make([]float64, n)
		maxRates := make([]float64, n)
		current := make([]float64, n)
		for to := range n {
			current[to] = in.shares[from][to] * in.demand[from]
			minRates[to], maxRates[to] = in.allocationLimits(from, to, current[to])
		}
		alloc.minRates = append(alloc.minRates, minRates)
		alloc.maxRates = append(alloc.maxRates, maxRates)
		if !rows[from].moves {
			alloc.fixedRows[from] = current
		}
		alloc.probeRates[from] = in.probeShare(from) * in.demand[from]
		alloc.localMayExceedMaxRate[from] = in.plan.Shed[in.zones[from]] == 0
	}
	return alloc
}

// allocationLimits returns the lowest and the highest rate that a receiver may get from a sender,
// in units a second. The current rate is what it gets by the plan in force. Requests return to
// their own zone in recovery steps. Requests of a zone that may not move otherwise, see canMove,
// only leave receivers that are unreachable or overloaded.
func (in *planInput) allocationLimits(from, to int, current float64) (minRate, maxRate float64) {
	afterStep := current + in.settings.RecoveryStep*in.demand[from]
	isLocal := to == from
	mustMoveAway := in.mustMoveAway[from][to]
	switch {
	case !in.mustMove(from): // no receiver is unreachable or overloaded
		return 0, afterStep
	case in.canMove(from) && isLocal && !mustMoveAway:
		return 0, afterStep
	case in.canMove(from):
		return 0, math.Inf(1)
	case mustMoveAway: // here and below canMove is false: all other receivers keep their requests
		return 0, current
	case isLocal:
		return current, afterStep
	}
	return current, math.Inf(1)
}

// isWorthMoving reports whether a row's change is worth making: requests move away from an
// unreachable or overloaded receiver, probes start, or enough requests move. Smaller changes would
// follow random variation.
func (in *planInput) isWorthMoving(from int, row zoneRow) bool {
	largest := 0.0
	for to, share := range row.shares {
		current := in.shares[from][to] * fullShare
		planned := float64(share)
		if to == from {
			planned -= float64(row.shed)
		}
		switch {
		case to == from && in.startsProbing(from, current, planned):
			return true
		case in.unreachable[from][to] && planned < current-minUnreachableMove:
			return true
		case to != from && in.mustMoveAway[from][to] && planned < current-minOverloadMove:
			return true
		}
		largest = max(largest, math.Abs(planned-current))
	}
	return largest >= in.settings.MinMove*fullShare
}

// startsProbing reports whether a zone that is avoided would be probed by its planned own share but
// is not by the current one. Both shares are in thousandths.
func (in *planInput) startsProbing(zone int, current, planned float64) bool {
	minProbedShare := in.probeShare(zone) * fullShare * minProbedFraction
	return current < minProbedShare && planned >= minProbedShare
}
