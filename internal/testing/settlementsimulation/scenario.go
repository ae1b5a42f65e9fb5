package settlementsimulation

import (
	"time"

	"harrierhoist/internal/control/settlement"
)

// PlantedBug is a fault in the simulated coordination that a run must find.
type PlantedBug string

// The planted bugs.
const (
	NoPlantedBug           PlantedBug = ""
	DebtLostWithLeader     PlantedBug = "debt lost with a leader"   // debts are read from the leader's memory
	SettlementAppliedTwice PlantedBug = "settlement applied twice"  // what shares moved is forgiven too
	LateDigestCountedTwice PlantedBug = "late digest counted twice" // each digest adds to what came before
)

// Scenario is what is simulated. Each partner has one zone.
type Scenario struct {
	Seed               uint64
	Terms              settlement.Terms
	Partners           int
	GatewaysPerZone    int
	RequestRate        float64 // requests per second of each partner
	IdempotentFraction float64 // of the requests
	ServersPerZone     int     // each works on one request at a time
	FirstZoneServers   int     // in the first zone; 0: as many as in the others

	BeforeOutage time.Duration // the first partner's zone is lost after it
	Outage       time.Duration
	AfterOutage  time.Duration

	IgnoreQueues   bool // gateways make elective attempts whatever the queue at the servers
	WithController bool // false: nothing is settled
	MessageFaults  bool // digests are lost, duplicated and late, and leaders change
	GatewayCrashes bool
	WithStores     bool // gateways store their ledgers
	PlantedBug     PlantedBug
	SlowFrom       time.Duration // when the second partner's servers become slow for 20 s; 0: never
}

// end returns when the last request comes in.
func (s *Scenario) end() time.Duration { return s.outageEnd() + s.AfterOutage }

func (s *Scenario) outageEnd() time.Duration { return s.BeforeOutage + s.Outage }

// Result is what a run came to. Debts are in thousandths of units.
type Result struct {
	PeakDebt          uint64        // the largest sum of net debts
	FinalDebt         uint64        // the sum of net debts at the end
	SettledAfter      time.Duration // from the end of the outage until 5 % of the peak is left; negative: never
	OnTime            []float64     // by partner, the fraction of first attempts after the outage
	Moved             int           // elective attempts at a debtor's servers
	MaxMovedPerSecond int
	Lost              uint64   // debts that never came to the log
	Violations        []string // what no run may show
}
