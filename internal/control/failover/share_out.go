package failover

import "math"

// flooringSlack keeps a share that is whole but for rounding errors from losing a thousandth.
const flooringSlack = 1e-6

// shareOut shares what is unplaced out among the receivers of a tier once, and reports whether any
// of it was placed.
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

// grantedPart decides the part, 0 to 1, of what is asked of a receiver that it takes: no more than
// the maximum utilisation leaves free nor, of what exceeds previous plans, than it has spare.
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

// ask gives what a sender asks of each receiver of a tier: what is unplaced, by their available
// capacity.
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

// toThousandths gives the shares of a row, and what is shed of the own share, in thousandths. What
// is lost to whole numbers stays local.
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
