// Package play plays debts in virtual time: gateways with tills in halls of emulated servers, digests that are lost,
// doubled and late, processes that die, and leaders that change while they write. The same seed plays the same.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/settlement"
	"harrierhoist/internal/settlement/account"
	"harrierhoist/policy"
)

const (
	tick             = time.Millisecond
	latencyObjective = 600 * time.Millisecond
	requestTimeout   = 2 * time.Second
	timePerUnit      = 20 * time.Millisecond
	digestInterval   = 200 * time.Millisecond
	commitInterval   = time.Second
	leaseDuration    = 2 * time.Second
	meanUnits        = 2.0
	maxElectiveQueue = latencyObjective / 4 // a hall whose queue is longer has no room for tasks that settle
	maxLossSpan      = 4 * time.Second      // digests lost in a row, a leader lost, and the longest that pushes are out
	leaderlessTime   = 1500 * time.Millisecond
)

type gateway struct {
	name        string
	zone        int
	accounts    *account.Accounts
	incarnation uint64
	serial      uint64
	store       *memoryStore
	trackers    map[*account.RequestTracker]bool
}

type simulation struct {
	*Scenario
	random          *rand.Rand
	now             time.Duration
	events          eventQueue
	eventCount      int
	partnerNames    []string
	settings        account.Settings
	gateways        []*gateway
	serverFreeAt    [][]time.Duration // when each server is free
	state           *statemachine.State
	index           uint64
	observations    *observation.Merger
	controller      coordination.Controller
	leadingSince    time.Duration // when the leader began to lead
	leaderlessUntil time.Duration // no leader until then
	receivedTotals  map[string]uint64
	trueDebts       map[settlement.Pair]uint64
	previousLedger  settlement.Ledger // a second before
	crashes         int
	firstAttempts   [2][]int // after the outage: first tries, in time
	movedThisSecond int
	result          Result
}

// Run plays it.
func Run(scenario Scenario) Result {
	s := &simulation{
		Scenario: &scenario, random: rand.New(rand.NewPCG(scenario.Seed, 1)), state: statemachine.New(), observations: observation.NewMerger(),
		receivedTotals: map[string]uint64{}, trueDebts: map[settlement.Pair]uint64{},
	}
	s.firstAttempts = [2][]int{make([]int, scenario.Partners), make([]int, scenario.Partners)}
	s.result.SettledAfter = -1
	for i := range scenario.Partners {
		p, servers := &s.Terms.Partners[i], scenario.ServersPerZone
		if i == 0 && scenario.FirstZoneServers > 0 {
			servers = scenario.FirstZoneServers
		}
		s.partnerNames = append(s.partnerNames, p.Name)
		s.settings.Zones = append(s.settings.Zones, p.Zones[0])
		s.serverFreeAt = append(s.serverFreeAt, make([]time.Duration, servers))
	}
	s.settings.Plans = []string{"plan"}
	s.settings.Classes = []policy.TrafficClass{
		{LatencyObjective: latencyObjective, Timeout: requestTimeout, Effect: policy.Idempotent},
		{LatencyObjective: latencyObjective, Timeout: requestTimeout, Effect: policy.NonIdempotent},
	}
	for i := range scenario.Partners * scenario.GatewaysPerZone {
		g := &gateway{name: fmt.Sprintf("g%d", i), zone: i % scenario.Partners, trackers: map[*account.RequestTracker]bool{}}
		if scenario.WithStores {
			g.store = &memoryStore{}
		}
		s.gateways = append(s.gateways, g)
		s.startGateway(g)
		s.scheduleEvery(digestInterval, time.Duration(i)*7*tick, func() { s.exchangeDigest(g) })
	}
	s.startLeader()
	s.scheduleEvery(commitInterval, commitInterval, s.commitTotals)
	if scenario.WithController {
		s.scheduleEvery(digestInterval, 3*tick, s.runController)
	}
	s.scheduleEvery(time.Second, time.Second, s.checkInvariants)
	s.scheduleFaults()
	end := scenario.BeforeOutage + scenario.Outage + scenario.AfterOutage
	s.scheduleEvery(tick, tick, s.generateRequests)
	for s.now < end+10*time.Second && len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.checkFinalLedger()
	return s.result
}

// persist writes the counts to disk, where there is one.
func (g *gateway) persist() {
	if g.store != nil {
		_ = g.accounts.Persist(g.store)
	}
}

func (s *simulation) endTime() time.Duration { return s.BeforeOutage + s.Outage + s.AfterOutage }

func (s *simulation) schedule(at time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.events, event{at, s.eventCount, do})
}

func (s *simulation) scheduleEvery(apart, first time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.schedule(s.now+apart, again)
	}
	s.schedule(first, again)
}

// startGateway begins a life of a gateway's process.
func (s *simulation) startGateway(g *gateway) {
	g.incarnation, g.serial = g.incarnation+1, 0
	clear(g.trackers)
	ledgerID := fmt.Sprintf("%s.%d", g.name, g.incarnation)
	seed := s.Seed<<20 + g.incarnation<<10 + uint64(len(g.name)+g.zone)
	g.accounts = account.New(s.Terms, s.settings, ledgerID, seed, func() time.Duration { return s.now })
	if g.store != nil {
		g.accounts.Restore(g.store)
	}
}

// generateRequests has tasks come in, and be pushed: near, or where they settle a debt, or while their hall is out to the others.
func (s *simulation) generateRequests() {
	if s.now >= s.endTime() {
		return
	}
	for partner := range s.Partners {
		if s.random.Float64() >= s.RequestRate*tick.Seconds() {
			continue
		}
		g := s.gateways[partner+s.Partners*s.random.IntN(s.GatewaysPerZone)]
		trueUnits := max(s.random.ExpFloat64()*meanUnits, 0.1)
		request := policy.Request{Customer: uint64(partner+1) << 16, Units: meanUnits, Class: 1}
		if s.random.Float64() < s.IdempotentFraction {
			request.Class = 0
		}
		tracker := g.accounts.TrackRequest(s.now, request)
		zone := partner
		if d := tracker.PreferredPartner(); d > 0 && (s.IgnoreQueues || s.queueDelay(d-1) < maxElectiveQueue) && !s.isZoneOut(d-1) {
			zone = d - 1
			s.movedThisSecond++
		}
		if s.isZoneOut(zone) {
			zone = (partner + 1 + s.random.IntN(s.Partners-1)) % s.Partners
		}
		s.attempt(g, tracker, partner, zone, trueUnits)
	}
}

func (s *simulation) isZoneOut(zone int) bool {
	return zone == 0 && s.now >= s.BeforeOutage && s.now < s.BeforeOutage+s.Outage
}

// queueDelay is the queue of a hall.
func (s *simulation) queueDelay(zone int) time.Duration {
	first := s.serverFreeAt[zone][0]
	for _, free := range s.serverFreeAt[zone] {
		first = min(first, free)
	}
	return max(first-s.now, 0)
}

func (s *simulation) attempt(g *gateway, tracker *account.RequestTracker, partner, zone int, trueUnits float64) {
	tracker.OnAttemptStart(zone)
	g.trackers[tracker] = true
	g.persist()
	nextFree := 0
	for i, free := range s.serverFreeAt[zone] {
		if free < s.serverFreeAt[zone][nextFree] {
			nextFree = i
		}
	}
	serviceTime := time.Duration(trueUnits * float64(timePerUnit))
	if s.SlowFrom > 0 && zone == 1 && s.now >= s.SlowFrom && s.now < s.SlowFrom+20*time.Second {
		serviceTime *= 3
	}
	startedAt := s.now
	endsAt := max(s.serverFreeAt[zone][nextFree], s.now) + serviceTime
	s.serverFreeAt[zone][nextFree] = endsAt
	outcome, billedUnits, owed := policy.Answered, trueUnits, settlement.Thousandths(trueUnits)
	if endsAt-startedAt > requestTimeout {
		endsAt, outcome, billedUnits, owed = startedAt+requestTimeout, policy.TimedOut, 0, settlement.Thousandths(meanUnits)
	}
	if startedAt >= s.BeforeOutage+s.Outage {
		s.firstAttempts[0][partner]++
		if endsAt-startedAt <= latencyObjective {
			s.firstAttempts[1][partner]++
		}
	}
	p := settlement.Pair{Debtor: s.partnerNames[partner], Creditor: s.partnerNames[zone]}
	s.schedule(endsAt, func() {
		if !g.trackers[tracker] { // its process has died: kept as told where there is a disk
			owed = settlement.Thousandths(meanUnits)
		} else {
			delete(g.trackers, tracker)
			tracker.OnAttemptEnd(s.now, outcome, billedUnits)
			g.persist()
			if outcome != policy.Answered {
				tracker.OnRequestEnd(false)
			}
		}
		if partner != zone {
			s.trueDebts[p] += owed
		}
	})
}
