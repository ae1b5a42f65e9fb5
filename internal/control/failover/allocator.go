package failover

import "math"

// allocator allocates the demand of all zones to the capacity of all zones. A sender is the zone at
// which requests arrive, a receiver is a zone that serves them. All rates are in units a second.
// Slices are indexed by zone, matrices by sender and receiver.
type allocator struct {
	regionOf              []int
	demand                []float64
	capacity              []float64
	maxUtilisation        float64     // maximum part of a receiver's capacity that is allocated
	lostLinks             [][]bool    // links that must not be used
	previousRates         [][]float64 // highest rates that gateways without the latest plan may still send
	fixedRows             [][]float64 // rows that stay unchanged; nil for a row to be computed
	minRates              [][]float64 // lowest rates of receivers in rows to be computed
	maxRates              [][]float64 // highest rates of receivers in rows to be computed
	probeRates            []float64   // rate of probes to the sender's own zone while it is avoided
	localMayExceedMaxRate []bool      // the own zone may exceed its maxRates with demand that fits nowhere else

	// The result so far.
	allocated   [][]float64
	unallocated []float64 // demand not yet allocated, by sender
	loads       []float64 // allocated rate, by receiver
	unreserved  []float64 // capacity that neither previous plans nor rates allocated beyond them take up, by receiver
}

// tier is the proximity of a receiver to a sender. Nearer tiers are filled first.
type tier int

const (
	tierLocal              tier = iota // the sender's own zone
	tierRegion                         // another zone in the sender's region
	tierRemote                         // a zone in another region
	tierLocalBeyondMaxRate             // the own zone again, without the limit of maxRates
)

// maxRounds is the maximum number of allocation rounds per tier. Each round fills at least one
// receiver or allocates all remaining demand.
const maxRounds = 12

// negligibleRate is the rate, in units a second, up to which a rate counts as zero.
const negligibleRate = 1e-9

// compute allocates demand tier by tier. Demand that fits in no zone stays unallocated. Apart from
// fixed rows, minimum rates and probes, no receiver gets more than its maximum utilisation.
// Together with previous plans, the allocation loads no receiver above its capacity, unless
// previous plans alone do. Within a tier, demand is split in proportion to the receivers' available
// capacity.
func (a *allocator) compute() {
	a.reset()
	a.allocateFixedRows()
	a.allocateProbes()
	for _, t := range []tier{tierLocal, tierRegion, tierRemote, tierLocalBeyondMaxRate} {
		for range maxRounds {
			if !a.allocateRound(t) {
				break
			}
		}
	}
}

// reset clears the result. It subtracts the rates of previous plans from the unreserved capacity.
func (a *allocator) reset() {
	n := len(a.demand)
	a.allocated = make([][]float64, n)
	a.unallocated = make([]float64, n)
	a.loads = make([]float64, n)
	a.unreserved = make([]float64, n)
	for to := range n {
		a.allocated[to] = make([]float64, n)
		a.unreserved[to] = a.capacity[to]
		for from := range n {
			a.unreserved[to] -= a.previousRates[from][to]
		}
		a.unreserved[to] = max(a.unreserved[to], 0)
	}
}

// allocateFixedRows allocates the fixed rows, and the minimum rates of all other rows.
func (a *allocator) allocateFixedRows() {
	for from := range a.demand {
		row := a.fixedRows[from]
		if row == nil {
			row = a.minRates[from]
			a.unallocated[from] = a.demand[from]
		}
		for to, rate := range row {
			a.allocate(from, to, rate)
		}
		if a.fixedRows[from] != nil {
			a.unallocated[from] = 0
		}
	}
}

// allocateProbes allocates the probes of zones that are avoided. They do not count as load, as such
// a zone has no capacity.
func (a *allocator) allocateProbes() {
	for from := range a.demand {
		if a.fixedRows[from] == nil && a.probeRates[from] > 0 {
			rate := min(a.probeRates[from], a.unallocated[from])
			a.allocated[from][from] += rate
			a.unallocated[from] -= rate
		}
	}
}

// allocate allocates a further rate from a sender to a receiver.
func (a *allocator) allocate(from, to int, rate float64) {
	a.unreserved[to] = max(a.unreserved[to]-a.excessOverPrevious(from, to, rate), 0)
	a.allocated[from][to] += rate
	a.loads[to] += rate
	a.unallocated[from] -= rate
}

// excessOverPrevious returns the part of a further rate from a sender to a receiver that exceeds
// what previous plans may send anyway.
func (a *allocator) excessOverPrevious(from, to int, rate float64) float64 {
	allocated := a.allocated[from][to]
	return max(allocated+rate-max(a.previousRates[from][to], allocated), 0)
}

// availableRate returns the rate that a receiver can still take from a sender in a tier, if no
// other sender takes it.
func (a *allocator) availableRate(from, to int, t tier) float64 {
	pairTier := a.tier(from, to)
	maxRate := a.maxRates[from][to]
	if t == tierLocalBeyondMaxRate && a.localMayExceedMaxRate[from] && from == to {
		pairTier = tierLocalBeyondMaxRate
		maxRate = math.Inf(1)
	}
	if a.lostLinks[from][to] || pairTier != t {
		return 0
	}
	allocated := a.allocated[from][to]
	headroom := a.maxUtilisation*a.capacity[to] - a.loads[to]
	beyondPrevious := max(a.previousRates[from][to]-allocated, 0) + a.unreserved[to]
	return max(min(headroom, maxRate-allocated, beyondPrevious), 0)
}

// tier returns the tier of a receiver for a sender.
func (a *allocator) tier(from, to int) tier { return tierOf(a.regionOf, from, to) }

func tierOf(regionOf []int, from, to int) tier {
	switch {
	case from == to:
		return tierLocal
	case regionOf[from] == regionOf[to]:
		return tierRegion
	}
	return tierRemote
}
