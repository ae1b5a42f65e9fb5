package simulation

import (
	"time"

	"harrierhoist/internal/settlement"
)

// Scenario says what is played. Partners bring a hall each.
type Scenario struct {
	Seed               uint64
	Terms              settlement.Terms
	Partners           int
	GatewaysPerZone    int           // in each hall
	RequestRate        float64       // tasks a second of each partner
	IdempotentFraction float64       // part of them that are pure
	ServersPerZone     int           // in each hall; each does one task at a time
	FirstZoneServers   int           // servers in the first hall, if others than in the rest
	BeforeOutage       time.Duration // before the first partner's hall is lost
	Outage             time.Duration // how long it is lost
	AfterOutage        time.Duration
	IgnoreQueues       bool // gateways don't see the queues that they push to to settle
	WithController     bool // false: the same without a decider

	MessageFaults  bool          // digests go wrong, leaders change
	GatewayCrashes bool          // gateways die
	WithStores     bool          // gateways keep their counts
	PlantedBug     string        // name of a planted bug; empty: none
	SlowFrom       time.Duration // from when the halls of the second partner are slow for a while; 0: never
}

// Result is what came of it.
type Result struct {
	PeakDebt          uint64        // largest sum of net debts, in thousandths
	SettledAfter      time.Duration // from the end of the outage until 5 % of the peak is left; below 0: never
	OnTime            []float64     // by partner, of first tries after the outage
	FinalDebt         uint64        // sum of net debts at the end
	Moved             int           // pushes made to settle
	MaxMovedPerSecond int           // in any second
	Lost              uint64        // units that the log never heard of, in thousandths
	Violations        []string      // what no run may show
}

// event is what happens at a time.
type event struct {
	at       time.Duration
	sequence int // the order of those at one time
	run      func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].sequence < a[k].sequence
}
func (a eventQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}
