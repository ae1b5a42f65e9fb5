// Package settlementsimulation runs settlements in virtual time: gateways with their accounts in
// zones of simulated servers, digests that are lost, duplicated and late, gateways that crash, and
// leaders that change while they write. Its own tests call it; equal scenarios give equal results.
package settlementsimulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/lab/virtualtime"
	"harrierhoist/policy"
)

const (
	tick           = time.Millisecond // requests come in at ticks
	digestInterval = 200 * time.Millisecond
	commitInterval = time.Second
	checkInterval  = time.Second
	leaseDuration  = 2 * time.Second
	drainTime      = 10 * time.Second // after the last request

	digestStagger   = 7 * tick // between the first digests of two gateways
	controllerStart = 3 * tick
)

// Places of a run's seed and a gateway's incarnation in the seed of its draws.
const (
	seedShift        = 20
	incarnationShift = 10
)

// Classes of the simulated settings.
const (
	idempotentClass = iota
	nonIdempotentClass
)

// gateway is one process of a gateway, over its incarnations.
type gateway struct {
	name        string
	zone        int
	accounts    *account.Accounts
	incarnation uint64
	serial      uint64 // of the latest digest
	store       *memoryStore
	trackers    map[*account.RequestTracker]bool // of this incarnation's attempts in flight
}

// simulation is the state of a run.
type simulation struct {
	*Scenario
	random       *rand.Rand
	clock        virtualtime.Scheduler
	partnerNames []string
	settings     account.Settings
	gateways     []*gateway
	serverFreeAt [][]time.Duration // by zone and server

	state *statemachine.State
	index uint64 // of the log's latest entry

	observations    *observation.Merger // of the leader
	controller      coordination.Controller
	leadingSince    time.Duration
	leaderlessUntil time.Duration

	receivedTotals map[string]uint64          // by the planted bug LateDigestCountedTwice
	receivedLatest map[string]uint64          // the same: what the latest digest had
	trueDebts      map[settlement.Pair]uint64 // by what ran
	previousLedger settlement.Ledger          // at the check before
	crashes        int
	firstAttempts  []int // by partner, after the outage
	onTimeAttempts []int // of these
	moved          int   // since the check before
	result         Result
}

// Run simulates a scenario.
func Run(scenario Scenario) Result {
	simulated := newSimulation(&scenario)
	for i := range scenario.Partners * scenario.GatewaysPerZone {
		g := &gateway{
			name:     fmt.Sprintf("g%d", i),
			zone:     i % scenario.Partners,
			trackers: map[*account.RequestTracker]bool{},
		}
		if scenario.WithStores {
			g.store = &memoryStore{}
		}
		simulated.gateways = append(simulated.gateways, g)
		simulated.startGateway(g)
		simulated.every(time.Duration(i)*digestStagger, digestInterval, func() { simulated.exchangeDigest(g) })
	}
	simulated.startLeader()
	simulated.every(commitInterval, commitInterval, simulated.commitTotals)
	if scenario.WithController {
		simulated.every(controllerStart, digestInterval, simulated.runController)
	}
	simulated.every(checkInterval, checkInterval, simulated.checkInvariants)
	simulated.scheduleFaults()
	simulated.every(tick, tick, simulated.generateRequests)
	for simulated.clock.Now() < scenario.end()+drainTime && simulated.clock.Step() {
	}
	simulated.checkFinalLedger()
	return simulated.result
}

func newSimulation(scenario *Scenario) *simulation {
	simulated := &simulation{
		Scenario:       scenario,
		random:         rand.New(rand.NewPCG(scenario.Seed, 1)),
		state:          statemachine.New(),
		receivedTotals: map[string]uint64{},
		receivedLatest: map[string]uint64{},
		trueDebts:      map[settlement.Pair]uint64{},
		firstAttempts:  make([]int, scenario.Partners),
		onTimeAttempts: make([]int, scenario.Partners),
		result:         Result{SettledAfter: -1},
	}
	for i, p := range scenario.Terms.Partners[:scenario.Partners] {
		servers := scenario.ServersPerZone
		if i == 0 && scenario.FirstZoneServers > 0 {
			servers = scenario.FirstZoneServers
		}
		simulated.partnerNames = append(simulated.partnerNames, p.Name)
		simulated.settings.Zones = append(simulated.settings.Zones, p.Zones[0])
		simulated.serverFreeAt = append(simulated.serverFreeAt, make([]time.Duration, servers))
	}
	simulated.settings.Plans = []string{"plan"}
	simulated.settings.Classes = []policy.TrafficClass{
		idempotentClass:    {LatencyObjective: latencyObjective, Timeout: requestTimeout, Effect: policy.Idempotent},
		nonIdempotentClass: {LatencyObjective: latencyObjective, Timeout: requestTimeout, Effect: policy.NonIdempotent},
	}
	return simulated
}

// every schedules an action for the whole run.
func (s *simulation) every(first, interval time.Duration, action func()) {
	s.clock.Every(first, interval, func() bool {
		action()
		return true
	})
}

// startGateway begins an incarnation of a gateway's process.
func (s *simulation) startGateway(g *gateway) {
	g.incarnation++
	g.serial = 0
	clear(g.trackers)
	ledgerID := fmt.Sprintf("%s.%d", g.name, g.incarnation)
	seed := s.Seed<<seedShift + g.incarnation<<incarnationShift + uint64(len(g.name)+g.zone)
	g.accounts = account.New(account.Config{
		Terms: s.Terms, Settings: s.settings, LedgerID: ledgerID, Seed: seed, Now: s.clock.Now,
	})
	if g.store != nil {
		g.accounts.Restore(g.store)
	}
}

// persist stores the balances, where there is a store.
func (g *gateway) persist() {
	if g.store != nil {
		_ = g.accounts.Persist() // memory does not fail
	}
}

// memoryStore is a disk that is written at once.
type memoryStore struct {
	ledgerID string
	balances []account.StoredBalance
}

func (m *memoryStore) Write(ledgerID string, balances []account.StoredBalance) error {
	m.ledgerID = ledgerID
	m.balances = slices.Clone(balances)
	return nil
}

func (m *memoryStore) InitialState() (ledgerID string, balances []account.StoredBalance) {
	return m.ledgerID, m.balances
}
