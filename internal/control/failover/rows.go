package failover

import (
	"math"
	"slices"
)

const (
	// minOverloadMove is how many thousandths of a zone's requests are worth moving away from
	// another, overloaded zone.
	minOverloadMove = 5
	// minUnreachableMove is the same for an unreachable zone. It lies between two whole thousandths,
	// so that any move counts.
	minUnreachableMove = 0.5
	// minProbes is the part of the probe share from which on a zone counts as probed.
	minProbes = 0.5
)

// zoneRow is where a zone's requests go.
type zoneRow struct {
	shares []int // by receiver, in thousandths
	shed   int   // thousandths of the own zone's share
	moves  bool  // the row is laid out anew; layOut takes that back where it is not worth it
}

// mustLeave decides whether a zone's requests are to be moved away from somewhere, hold-down or
// not.
func (in *planInput) mustLeave(from int) bool { return slices.Contains(in.toLeave[from], true) }

// canMove decides whether a zone's requests may move for any reason. Those of a zone whose gateways
// report nothing stay, as nothing is known of what its gateways do.
func (in *planInput) canMove(from int) bool {
	return in.estimates.isSettled(from) && in.estimates.isReporting[from] && !in.isHeldDown(from, in.now)
}

// computeRows decides the rows of the next plan. All that may move are laid out together; a row
// that is not worth moving then stays, and the others are laid out again around it.
func (in *planInput) computeRows() []zoneRow {
	rows := make([]zoneRow, len(in.zones))
	for from := range rows {
		rows[from] = in.currentRow(from)
		rows[from].moves = in.mustLeave(from) || in.canMove(from)
	}
	again := true
	for again {
		again = in.layOut(rows)
	}
	return rows
}

// layOut lays out the rows that move, and reports whether some of them are not worth moving: these
// stay from now on.
func (in *planInput) layOut(rows []zoneRow) (again bool) {
	result := in.newLayout(rows)
	result.compute()
	for from := range rows {
		if !rows[from].moves {
			continue
		}
		next := in.computedRow(result, from)
		if in.exceedsMinMove(from, next) {
			rows[from] = next
			continue
		}
		rows[from] = in.currentRow(from)
		again = true
	}
	return again
}

// currentRow is a zone's row by the plan in force.
func (in *planInput) currentRow(from int) zoneRow {
	return zoneRow{shares: in.rows[from], shed: in.plan.Shed[in.zones[from]]}
}

// computedRow is a zone's row by a layout. In a zone that serves and is full of its own requests
// alone the decision module sheds what fits nowhere; the plan sheds only the part by which the own
// share would otherwise grow beyond one recovery step.
func (in *planInput) computedRow(result *layout, from int) zoneRow {
	shares, shed := toThousandths(result.allocation[from], result.unplaced[from], from)
	ofOthers := result.loads[from] - result.allocation[from][from]
	isServing := !in.isZoneLost(from) && !in.lostLinks[from][from]
	isFull := result.loads[from] >= result.maxUtilisation*result.capacity[from]*(1-roundingTolerance)
	if isServing && isFull && ofOthers < minDemand {
		shed = max(shares[from]-int((in.shares[from][from]+in.settings.RecoveryStep)*fullShare), 0)
	}
	return zoneRow{shares: shares, shed: shed, moves: true}
}

// newLayout is what is to be laid out, with the rows that are not to move fixed.
func (in *planInput) newLayout(rows []zoneRow) *layout {
	n := len(in.zones)
	result := &layout{
		regionOf: in.regionOf, demand: in.demand, capacity: in.capacity, maxUtilisation: in.settings.MaxUtilisation,
		lostLinks: in.lostLinks, previous: in.previous, fixed: make([][]float64, n), probes: make([]float64, n),
		liftLocal: make([]bool, n),
	}
	for from := range n {
		low := make([]float64, n)
		high := make([]float64, n)
		current := make([]float64, n)
		for to := range n {
			current[to] = in.shares[from][to] * in.demand[from]
			low[to], high[to] = in.limits(from, to, current[to])
		}
		result.low = append(result.low, low)
		result.high = append(result.high, high)
		if !rows[from].moves {
			result.fixed[from] = current
		}
		result.probes[from] = in.probeShare(from) * in.demand[from]
		result.liftLocal[from] = in.plan.Shed[in.zones[from]] == 0
	}
	return result
}

// limits decides the least and the most, in units a second, that a pair may get that currently gets
// so much: requests return to their own zone by recovery steps, and a zone in hold-down only leaves
// what fails.
func (in *planInput) limits(from, to int, current float64) (low, high float64) {
	step := current + in.settings.RecoveryStep*in.demand[from]
	isLocal := to == from
	leaves := in.toLeave[from][to]
	switch {
	case !in.mustLeave(from): // nothing fails
		return 0, step
	case in.canMove(from) && isLocal && !leaves:
		return 0, step
	case in.canMove(from):
		return 0, math.Inf(1)
	case leaves: // here and below the zone is in hold-down: what does not fail stays
		return 0, current
	case isLocal:
		return current, step
	}
	return current, math.Inf(1)
}

// exceedsMinMove decides whether a row is worth moving: it leaves what is unreachable or
// overloaded, probes start, or enough requests move. Smaller moves would follow chance.
func (in *planInput) exceedsMinMove(from int, row zoneRow) bool {
	largest := 0.0
	for to, share := range row.shares {
		current := in.shares[from][to] * fullShare
		planned := float64(share)
		if to == from {
			planned -= float64(row.shed)
		}
		switch {
		case to == from && in.startsProbes(from, current, planned):
			return true
		case in.unreachable[from][to] && planned < current-minUnreachableMove:
			return true
		case to != from && in.toLeave[from][to] && planned < current-minOverloadMove:
			return true
		}
		largest = max(largest, math.Abs(planned-current))
	}
	return largest >= in.settings.MinMove*fullShare
}

// startsProbes tells whether a zone that is avoided would be probed by a planned share, in
// thousandths, and is not by the current one.
func (in *planInput) startsProbes(zone int, current, planned float64) bool {
	enough := in.probeShare(zone) * fullShare * minProbes
	return current < enough && planned >= enough
}
