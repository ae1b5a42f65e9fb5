package play

import (
	"time"

	"harrierhoist/internal/debts"
)

// World says what is played. Partners bring a hall each.
type World struct {
	Seed     uint64
	Terms    debts.Terms
	Partners int
	Gateways int           // in each hall
	Rate     float64       // tasks a second of each partner
	Pure     float64       // part of them that are pure
	Servers  int           // in each hall; each does one task at a time
	Weak     int           // servers in the first hall, if others than in the rest
	Calm     time.Duration // before the first partner's hall is lost
	Out      time.Duration // how long it is lost
	After    time.Duration
	Blind    bool // gateways don't see the queues that they push to to settle
	Settle   bool // false: the same without a decider

	Faults  bool          // digests go wrong, leaders change
	Deaths  bool          // gateways die
	Disks   bool          // gateways keep their counts
	Planted string        // name of a planted bug; empty: none
	Slow    time.Duration // from when the halls of the second partner are slow for a while; 0: never
}

// Result is what came of it.
type Result struct {
	Peak      uint64        // largest sum of net debts, in thousandths
	Settled   time.Duration // from the end of the outage until 5 % of the peak is left; below 0: never
	InTime    []float64     // by partner, of first tries after the outage
	Open      uint64        // sum of net debts at the end
	Moved     int           // pushes made to settle
	MovedMost int           // in any second
	Lost      uint64        // units that the log never heard of, in thousandths
	Wrong     []string      // what no run may show
}

// event is what happens at a time.
type event struct {
	at time.Duration
	n  int // the order of those at one time
	do func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].n < a[k].n
}
func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}
