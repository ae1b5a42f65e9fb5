package failover

import "math"

// floorTolerance is added before rounding down, in thousandths. It prevents floating-point errors
// from reducing a share by a whole thousandth.
const floorTolerance = 1e-6

// allocateRound runs one round of allocation among the receivers of a tier. It reports whether any
// demand was allocated.
func (a *allocator) allocateRound(t tier) bool {
	requested := make([][]float64, len(a.demand))
	for from := range requested {
		requested[from] = a.requestedRates(from, t)
	}
	requestedByReceiver := make([]float64, len(a.demand))
	excessByReceiver := make([]float64, len(a.demand))
	for from, row := range requested {
		for to, rate := range row {
			requestedByReceiver[to] += rate
			excessByReceiver[to] += a.excessOverPrevious(from, to, rate)
		}
	}
	anyAllocated := false
	for to := range requested {
		fraction := a.grantedFraction(to, requestedByReceiver[to], excessByReceiver[to])
		for from := range requested {
			if rate := requested[from][to] * fraction; rate > negligibleRate {
				a.allocate(from, to, rate)
				anyAllocated = true
			}
		}
	}
	return anyAllocated
}

// grantedFraction returns the part, 0 to 1, of the requested rate that a receiver takes. The
// receiver's load stays within its maximum utilisation, and the part of the rate that exceeds
// previous plans stays within its unreserved capacity.
func (a *allocator) grantedFraction(to int, requested, excess float64) float64 {
	fraction := 1.0
	headroom := max(a.maxUtilisation*a.capacity[to]-a.loads[to], 0)
	if requested > headroom {
		fraction = headroom / requested
	}
	if excess > a.unreserved[to] {
		fraction = min(fraction, a.unreserved[to]/excess)
	}
	return fraction
}

// requestedRates returns the rate that a sender requests from each receiver of a tier. It splits
// the sender's unallocated demand in proportion to the receivers' available capacity.
func (a *allocator) requestedRates(from int, t tier) []float64 {
	requested := make([]float64, len(a.demand))
	if a.unallocated[from] <= negligibleRate {
		return requested
	}
	sum := 0.0
	for to := range requested {
		requested[to] = a.availableRate(from, to, t)
		sum += requested[to]
	}
	if sum > 0 {
		for to := range requested {
			requested[to] *= min(a.unallocated[from]/sum, 1)
		}
	}
	return requested
}

// toThousandths converts a row of rates to shares in thousandths. Unallocated demand is part of the
// own zone's share, and shed is the part of that share to reject. Remainders from rounding down
// stay local.
func toThousandths(row []float64, unallocated float64, own int) (shares []int, shed int) {
	sum := unallocated
	for _, rate := range row {
		sum += rate
	}
	shares = make([]int, len(row))
	if sum <= 0 {
		shares[own] = fullShare
		return shares, 0
	}
	share := func(rate float64) int {
		return int(math.Floor(max(rate, 0)/sum*fullShare + floorTolerance))
	}
	shares[own] = fullShare
	shed = share(unallocated)
	for to, rate := range row {
		if to != own {
			shares[to] = share(rate)
			shares[own] -= shares[to]
		}
	}
	return shares, min(shed, shares[own])
}
