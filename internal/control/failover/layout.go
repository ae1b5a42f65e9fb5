package failover

import "math"

// layout distributes the demand of all zones over all zones. All figures are units a second, by
// zone index or by pair (from, to).
type layout struct {
	regionOf       []int
	demand         []float64
	capacity       []float64
	maxUtilisation float64     // the part of capacity that is planned at most
	lostLinks      [][]bool    // links not to be used
	previous       [][]float64 // what gateways without the latest plan may still send
	fixed          [][]float64 // rows that stay; nil: the row is to be computed
	low            [][]float64 // of a row to be computed: what stays where it is
	high           [][]float64 // and what a pair may get at most
	probes         []float64   // what probes the own zone while it is avoided
	liftLocal      []bool      // the own zone may get more than high before anything stays unplaced

	// The result so far.
	allocation [][]float64
	unplaced   []float64 // by sender
	loads      []float64 // by receiver
	spare      []float64 // by receiver: capacity above what previous plans may still bring
}

// tier is how near a receiver is to a sender. Nearer tiers are filled first.
type tier int

const (
	tierLocal  tier = iota // the own zone
	tierRegion             // another zone of the region
	tierRemote             // a zone of another region
	tierLifted             // the own zone once more, without the limit of a recovery step
)

// maxRounds is how often what is unplaced is shared out among the receivers of a tier: each round
// fills one of them up, or places all.
const maxRounds = 12

// negligibleRate is a rate, in units a second, that counts as none.
const negligibleRate = 1e-9

// compute lays the rows out tier by tier; what fits nowhere stays unplaced. No receiver gets more
// than the maximum utilisation of its capacity nor, with what may still come by previous plans,
// more than its capacity. Among receivers of one tier what is unplaced is shared out by their
// available capacity.
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

// reset starts with nothing placed, and with what previous plans leave spare.
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

// placeFixed places the rows that stay, and of the others what stays where it is.
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

// placeProbes places what probes a zone that is avoided. It counts as no load there, as such a zone
// has no capacity.
func (l *layout) placeProbes() {
	for from := range l.demand {
		if l.fixed[from] == nil && l.probes[from] > 0 {
			amount := min(l.probes[from], l.unplaced[from])
			l.allocation[from][from] += amount
			l.unplaced[from] -= amount
		}
	}
}

// place gives a pair a further amount.
func (l *layout) place(from, to int, amount float64) {
	l.spare[to] = max(l.spare[to]-l.excess(from, to, amount), 0)
	l.allocation[from][to] += amount
	l.loads[to] += amount
	l.unplaced[from] -= amount
}

// excess is how much of a further amount for a pair is above what previous plans may bring anyway.
func (l *layout) excess(from, to int, amount float64) float64 {
	placed := l.allocation[from][to]
	return max(placed+amount-max(l.previous[from][to], placed), 0)
}

// available decides how much more a pair may get in a tier, other senders aside.
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

// tier is how near a receiver is to a sender.
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
