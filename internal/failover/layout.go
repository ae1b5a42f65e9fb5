package failover

import "math"

// layout is what is to be laid out. All figures are units a second, by hall or by pair (from, to).
type layout struct {
	regionOf       []int
	demand         []float64
	capacity       []float64
	maxUtilisation float64     // the part of bears that is planned at most
	lostLinks      [][]bool    // links not to be used
	previous       [][]float64 // what may still be pushed by those that have not heard of the latest plan
	fixed          [][]float64 // rows that stay; nil: those to be laid out
	low            [][]float64 // of a row to be laid out: what stays where it is
	high           [][]float64 // and what a pair may get at most
	probes         []float64   // what tries the own hall, which is avoided
	liftLocal      []bool      // the own hall may get more than high before anything is left
	loads          []float64
	spare          []float64 // by receiver: room above what old plans may still bring
}

// layoutRounds is how often what is left is shared out among the receivers of a kind: each round fills one of them up, or
// places all.
const layoutRounds = 12

// compute lays the rows out: the own hall first, then those of the region, then the others; left is what fits nowhere.
// No receiver gets more than the most of what it bears, nor, with what may still come by old plans, more than it bears.
// Among halls equally near what is left is shared out by their room.
func (l *layout) compute() (allocation [][]float64, unplaced []float64) {
	n := len(l.demand)
	allocation = make([][]float64, n)
	l.loads, l.spare = make([]float64, n), make([]float64, n)
	for to := range n {
		l.spare[to] = l.capacity[to]
		for from := range n {
			l.spare[to] -= l.previous[from][to]
		}
		l.spare[to] = max(l.spare[to], 0)
	}
	unplaced = make([]float64, n)
	for from := range n {
		allocation[from] = make([]float64, n)
		row := l.low
		if l.fixed[from] != nil {
			row = l.fixed
		} else {
			unplaced[from] = l.demand[from]
		}
		for to, amount := range row[from] {
			l.place(allocation, unplaced, from, to, amount)
		}
		if l.fixed[from] != nil {
			unplaced[from] = 0
		}
	}
	for from := range n {
		if l.fixed[from] == nil && l.probes[from] > 0 {
			amount := min(l.probes[from], unplaced[from])
			allocation[from][from], unplaced[from] = allocation[from][from]+amount, unplaced[from]-amount // of what is avoided no room is asked
		}
	}
	for _, tier := range []int{0, 1, 2, tierLifted} {
		for range layoutRounds {
			if !l.shareOut(allocation, unplaced, tier) {
				break
			}
		}
	}
	return allocation, unplaced
}

func (l *layout) place(allocation [][]float64, unplaced []float64, from, to int, amount float64) {
	l.spare[to] = max(l.spare[to]-l.excess(allocation, from, to, amount), 0)
	allocation[from][to] += amount
	l.loads[to] += amount
	unplaced[from] -= amount
}

// excess is how much of a further x for a pair is above what old plans may bring there anyway.
func (l *layout) excess(allocation [][]float64, from, to int, amount float64) float64 {
	return max(allocation[from][to]+amount-max(l.previous[from][to], allocation[from][to]), 0)
}

// available is how much more a pair may get, others aside.
func (l *layout) available(allocation [][]float64, from, to, tier int) float64 {
	kind, high := l.tier(from, to), l.high[from][to]
	if tier == tierLifted && l.liftLocal[from] && from == to {
		kind, high = tierLifted, math.Inf(1)
	}
	if l.lostLinks[from][to] || kind != tier {
		return 0
	}
	room := min(l.maxUtilisation*l.capacity[to]-l.loads[to], high-allocation[from][to],
		max(l.previous[from][to]-allocation[from][to], 0)+l.spare[to])
	return max(room, 0)
}

// tierLifted is the own hall once more, without the limit of a step.
const tierLifted = 3

// tier is how near a hall is to another.
func (l *layout) tier(from, to int) int {
	switch {
	case from == to:
		return 0
	case l.regionOf[from] == l.regionOf[to]:
		return 1
	}
	return 2
}

// shareOut shares out what is left among the receivers of a kind, and tells whether any of it was placed.
func (l *layout) shareOut(allocation [][]float64, unplaced []float64, tier int) bool {
	n := len(unplaced)
	ask := make([][]float64, n)
	asked, above := make([]float64, n), make([]float64, n)
	for from := range n {
		ask[from] = make([]float64, n)
		sum := 0.0
		for to := range n {
			if unplaced[from] > negligibleRate {
				ask[from][to] = l.available(allocation, from, to, tier)
				sum += ask[from][to]
			}
		}
		for to := range n {
			if sum > 0 {
				ask[from][to] *= min(unplaced[from]/sum, 1)
			}
			asked[to] += ask[from][to]
			above[to] += l.excess(allocation, from, to, ask[from][to])
		}
	}
	placed := false
	for to := range n {
		part := 1.0
		if room := max(l.maxUtilisation*l.capacity[to]-l.loads[to], 0); asked[to] > room {
			part = room / asked[to]
		}
		if above[to] > l.spare[to] {
			part = min(part, l.spare[to]/above[to])
		}
		for from := range n {
			if amount := ask[from][to] * part; amount > negligibleRate {
				l.place(allocation, unplaced, from, to, amount)
				placed = true
			}
		}
	}
	return placed
}

// negligibleRate is a rate, in units a second, that is none.
const negligibleRate = 1e-9

// toThousandths are the shares of a row: what is lost to whole numbers stays at home.
func toThousandths(row []float64, left float64, own int) (shares []int, shed int) {
	sum := left
	for _, amount := range row {
		sum += amount
	}
	shares = make([]int, len(row))
	if sum <= 0 {
		shares[own] = fullShare
		return shares, 0
	}
	part := func(amount float64) int { return int(math.Floor(max(amount, 0)/sum*fullShare + 1e-6)) }
	shares[own], shed = fullShare, part(left)
	for to, amount := range row {
		if to != own {
			shares[to] = part(amount)
			shares[own] -= shares[to]
		}
	}
	return shares, min(shed, shares[own])
}
