package failover

import "math"

// layout allocates the demand of all zones to the capacity of all zones. A sender is the zone at
// which requests arrive, a receiver is a zone that serves them. All rates are in units a second.
// Slices are indexed by zone, matrices by sender and receiver.
type layout struct {
	regionOf       []int
	demand         []float64
	capacity       []float64
	maxUtilisation float64     // maximum part of a receiver's capacity that is allocated
	lostLinks      [][]bool    // links that must not be used
	previous       [][]float64 // highest rates that gateways without the latest plan may still send
	fixed          [][]float64 // rows that stay unchanged; nil for a row to be computed
	low            [][]float64 // lowest rates of receivers in rows to be computed
	high           [][]float64 // highest rates of receivers in rows to be computed
	probes         []float64   // rate of probes to the sender's own zone while it is avoided
	liftLocal      []bool      // the own zone may exceed high with demand that fits nowhere else

	// The result so far.
	allocation [][]float64
	unplaced   []float64 // demand not yet allocated, by sender
	loads      []float64 // allocated rate, by receiver
	spare      []float64 // capacity that previous plans do not take up, by receiver
}

// tier is the proximity of a receiver to a sender. Nearer tiers are filled first.
type tier int

const (
	tierLocal  tier = iota // the sender's own zone
	tierRegion             // another zone in the sender's region
	tierRemote             // a zone in another region
	tierLifted             // the own zone again, without the limit of a recovery step
)

// maxRounds is the maximum number of allocation rounds per tier. Each round fills at least one
// receiver or allocates all remaining demand.
const maxRounds = 12

// negligibleRate is the rate, in units a second, up to which a rate counts as zero.
const negligibleRate = 1e-9

// compute allocates demand tier by tier. Demand that fits nowhere stays unallocated. No receiver
// gets more than its maximum utilisation. Together with the requests that previous plans may still
// send, no receiver gets more than its capacity. Within a tier, demand is split in proportion to
// the receivers' available capacity.
func (l *layout) compute() {
	l.reset()
	l.placeFixed()
	l.placeProbes()
	for _, t := range []tier{tierLocal, tierRegion, tierRemote, tierLifted} {
		for range maxRounds {
			if !l.shareOut(t) {
				break
			}
		}
	}
}

// reset clears the result. It subtracts the rates of previous plans from the unreserved capacity.
func (l *layout) reset() {
	n := len(l.demand)
	l.allocation = make([][]float64, n)
	l.unplaced = make([]float64, n)
	l.loads = make([]float64, n)
	l.spare = make([]float64, n)
	for to := range n {
		l.allocation[to] = make([]float64, n)
		l.spare[to] = l.capacity[to]
		for from := range n {
			l.spare[to] -= l.previous[from][to]
		}
		l.spare[to] = max(l.spare[to], 0)
	}
}

// placeFixed allocates the fixed rows, and the minimum rates of all other rows.
func (l *layout) placeFixed() {
	for from := range l.demand {
		row := l.fixed[from]
		if row == nil {
			row = l.low[from]
			l.unplaced[from] = l.demand[from]
		}
		for to, amount := range row {
			l.place(from, to, amount)
		}
		if l.fixed[from] != nil {
			l.unplaced[from] = 0
		}
	}
}

// placeProbes allocates the probes of zones that are avoided. They do not count as load, as such a
// zone has no capacity.
func (l *layout) placeProbes() {
	for from := range l.demand {
		if l.fixed[from] == nil && l.probes[from] > 0 {
			amount := min(l.probes[from], l.unplaced[from])
			l.allocation[from][from] += amount
			l.unplaced[from] -= amount
		}
	}
}

// place allocates a further rate from a sender to a receiver.
func (l *layout) place(from, to int, amount float64) {
	l.spare[to] = max(l.spare[to]-l.excess(from, to, amount), 0)
	l.allocation[from][to] += amount
	l.loads[to] += amount
	l.unplaced[from] -= amount
}

// excess returns the part of a further rate from a sender to a receiver that exceeds what previous
// plans may send anyway.
func (l *layout) excess(from, to int, amount float64) float64 {
	placed := l.allocation[from][to]
	return max(placed+amount-max(l.previous[from][to], placed), 0)
}

// available returns the rate that a receiver can still take from a sender in a tier, if no other
// sender takes it.
func (l *layout) available(from, to int, t tier) float64 {
	pairTier := l.tier(from, to)
	high := l.high[from][to]
	if t == tierLifted && l.liftLocal[from] && from == to {
		pairTier = tierLifted
		high = math.Inf(1)
	}
	if l.lostLinks[from][to] || pairTier != t {
		return 0
	}
	placed := l.allocation[from][to]
	free := l.maxUtilisation*l.capacity[to] - l.loads[to]
	beyondPrevious := max(l.previous[from][to]-placed, 0) + l.spare[to]
	return max(min(free, high-placed, beyondPrevious), 0)
}

// tier returns the tier of a receiver for a sender.
func (l *layout) tier(from, to int) tier { return tierOf(l.regionOf, from, to) }

func tierOf(regionOf []int, from, to int) tier {
	switch {
	case from == to:
		return tierLocal
	case regionOf[from] == regionOf[to]:
		return tierRegion
	}
	return tierRemote
}
