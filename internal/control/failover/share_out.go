package failover

import "math"

// flooringSlack is added before rounding down, in thousandths. It prevents floating-point errors
// from costing a whole share a thousandth.
const flooringSlack = 1e-6

// shareOut runs one round of allocation among the receivers of a tier. It reports whether any
// demand was allocated.
func (l *layout) shareOut(t tier) bool {
	asked := make([][]float64, len(l.demand))
	for from := range asked {
		asked[from] = l.ask(from, t)
	}
	askedOf := make([]float64, len(l.demand))
	excessOf := make([]float64, len(l.demand))
	for from, row := range asked {
		for to, amount := range row {
			askedOf[to] += amount
			excessOf[to] += l.excess(from, to, amount)
		}
	}
	placed := false
	for to := range asked {
		granted := l.grantedPart(to, askedOf[to], excessOf[to])
		for from := range asked {
			if amount := asked[from][to] * granted; amount > negligibleRate {
				l.place(from, to, amount)
				placed = true
			}
		}
	}
	return placed
}

// grantedPart returns the part, 0 to 1, of the requested rate that a receiver takes. The receiver's
// load stays within its maximum utilisation, and the part of the rate that exceeds previous plans
// stays within its unreserved capacity.
func (l *layout) grantedPart(to int, asked, excess float64) float64 {
	granted := 1.0
	free := max(l.maxUtilisation*l.capacity[to]-l.loads[to], 0)
	if asked > free {
		granted = free / asked
	}
	if excess > l.spare[to] {
		granted = min(granted, l.spare[to]/excess)
	}
	return granted
}

// ask returns the rate that a sender requests from each receiver of a tier. It splits the sender's
// unallocated demand in proportion to the receivers' available capacity.
func (l *layout) ask(from int, t tier) []float64 {
	asked := make([]float64, len(l.demand))
	if l.unplaced[from] <= negligibleRate {
		return asked
	}
	sum := 0.0
	for to := range asked {
		asked[to] = l.available(from, to, t)
		sum += asked[to]
	}
	if sum > 0 {
		for to := range asked {
			asked[to] *= min(l.unplaced[from]/sum, 1)
		}
	}
	return asked
}

// toThousandths converts a row of rates to shares in thousandths. Unallocated demand is part of the
// own zone's share, and shed is the part of that share to reject. Remainders from rounding down
// stay local.
func toThousandths(row []float64, unplaced float64, own int) (shares []int, shed int) {
	sum := unplaced
	for _, amount := range row {
		sum += amount
	}
	shares = make([]int, len(row))
	if sum <= 0 {
		shares[own] = fullShare
		return shares, 0
	}
	share := func(amount float64) int {
		return int(math.Floor(max(amount, 0)/sum*fullShare + flooringSlack))
	}
	shares[own] = fullShare
	shed = share(unplaced)
	for to, amount := range row {
		if to != own {
			shares[to] = share(amount)
			shares[own] -= shares[to]
		}
	}
	return shares, min(shed, shares[own])
}
