package settlementsimulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

const (
	digestDelay       = 2 * time.Millisecond
	maxLateMillis     = 4000 // of a late digest
	leaderlessTime    = 1500 * time.Millisecond
	failoverTail      = 5 * time.Second // for which failover still needs the zone after the outage
	faultStart        = 5 * time.Second
	writeLossFraction = 0.1 // of the controller's writes, with message faults

	minFaultSeconds     = 5  // between two faults of a kind
	leaderFaultSeconds  = 25 // drawn beyond these, between two losses of a leader
	gatewayCrashSeconds = 20 // drawn beyond these, between two crashes
)

// Draws from 0 to 1 below which a digest has a fault, where it has none of those before.
const (
	digestLostBelow       = 0.1
	digestDuplicatedBelow = 0.2
	digestLateBelow       = 0.3
)

// exchangeDigest has a gateway report what it counted, and take the table as it is.
func (s *simulation) exchangeDigest(g *gateway) {
	digest := s.newDigest(g)
	for _, delay := range s.drawDelays() {
		s.clock.After(delay, func() { s.receiveDigest(digest) })
	}
	if s.clock.Now() >= s.leaderlessUntil { // a majority confirms the read
		g.accounts.ApplyState(s.storedState(), s.clock.Now()+leaseDuration)
	}
}

// drawDelays returns the delay of each copy of a digest that arrives.
func (s *simulation) drawDelays() []time.Duration {
	if !s.MessageFaults {
		return []time.Duration{digestDelay}
	}
	draw := s.random.Float64()
	switch {
	case draw < digestLostBelow:
		return nil
	case draw < digestDuplicatedBelow:
		return []time.Duration{digestDelay, s.drawLate()}
	case draw < digestLateBelow:
		return []time.Duration{s.drawLate()}
	}
	return []time.Duration{digestDelay}
}

func (s *simulation) drawLate() time.Duration {
	return time.Duration(s.random.IntN(maxLateMillis)) * time.Millisecond
}

func (s *simulation) newDigest(g *gateway) observation.Digest {
	g.serial++
	digest := observation.Digest{
		Process: g.name, Incarnation: g.incarnation, Serial: g.serial, Session: uint64(s.leadingSince),
		Counts: map[string]uint64{}, Exact: map[string]uint64{},
	}
	g.accounts.ReportMetrics(func(name string, n uint64) { digest.Counts[name] = n })
	g.accounts.ReportDebts(func(name string, n uint64) { digest.Exact[name] = n })
	return digest
}

// receiveDigest merges a digest at the leader; it is lost where there is none.
func (s *simulation) receiveDigest(digest observation.Digest) {
	if s.clock.Now() < s.leaderlessUntil {
		return
	}
	s.observations.Add(digest)
	if s.PlantedBug != LateDigestCountedTwice {
		return
	}
	for name, n := range digest.Exact { // adds what is more than in the digest before, which a late one sets back
		total := totalName(digest, name)
		if latest := s.receivedLatest[total]; n > latest {
			s.receivedTotals[total] += n - latest
		}
		s.receivedLatest[total] = n
	}
}

// totalName returns the name of a digest's exact count among the log's totals.
func totalName(digest observation.Digest, name string) string {
	return observation.JoinName(digest.Process, fmt.Sprint(digest.Incarnation), name)
}

// exactTotals returns the exact counts that the leader has, in the form of the log's totals.
func (s *simulation) exactTotals() map[string]uint64 {
	totals := map[string]uint64{}
	for _, digest := range s.observations.ExactCounts() {
		for name, n := range digest.Exact {
			totals[totalName(digest, name)] = n
		}
	}
	return totals
}

// startLeader begins a leader's time: its observations and its controller are empty.
func (s *simulation) startLeader() {
	s.observations = observation.NewMerger()
	s.leadingSince = max(s.clock.Now(), 1)
	s.controller = settlement.NewController(s.Terms, s.zoneStatus)
}

// zoneStatus is what failover reports: it needs the first zone while that is lost, and some time
// after.
func (s *simulation) zoneStatus(coordination.ControllerInput) map[string]settlement.ZoneStatus {
	now := s.clock.Now()
	failingOver := now >= s.BeforeOutage && now < s.outageEnd()+failoverTail
	return map[string]settlement.ZoneStatus{s.settings.Zones[0]: {FailingOver: failingOver, Headroom: -1}}
}

func (s *simulation) commitTotals() {
	if s.clock.Now() < s.leaderlessUntil {
		return
	}
	s.apply(statemachine.Command{
		Kind: statemachine.RaiseTotals, Table: settlement.ExactTable, Totals: s.exactTotals(),
	})
}

func (s *simulation) apply(command statemachine.Command) {
	s.index++
	s.state.Apply(s.index, command)
}

// totals returns the totals that the controller reads: those of the log, but for planted bugs.
func (s *simulation) totals(table string) map[string]uint64 {
	switch s.PlantedBug {
	case DebtLostWithLeader:
		return s.exactTotals()
	case LateDigestCountedTwice:
		return maps.Clone(s.receivedTotals)
	case NoPlantedBug, SettlementAppliedTwice:
	}
	return s.state.Totals(table)
}

func (s *simulation) runController() {
	if s.clock.Now() < s.leaderlessUntil || s.clock.Now() >= s.end() {
		return
	}
	entry := s.state.Table(settlement.TableName)
	value, write := s.controller.Decide(s.clock.Now(), coordination.ControllerInput{
		Sums: s.observations.Sums(), Totals: s.totals, LeadingSince: s.leadingSince,
		Table: func(string) statemachine.Table { return entry },
	})
	if !write || s.isWriteLost() {
		return
	}
	if s.PlantedBug == SettlementAppliedTwice {
		value = s.applySettlementTwice(entry.Value, value)
	}
	s.apply(statemachine.Command{
		Kind: statemachine.Write, Table: settlement.TableName, Epoch: entry.Epoch, Value: value,
	})
}

// isWriteLost draws whether a write of the controller is lost with the leader, or to another write.
func (s *simulation) isWriteLost() bool {
	return s.MessageFaults && s.random.Float64() < writeLossFraction
}

// applySettlementTwice is a planted bug: what shares have moved since is forgiven too.
func (s *simulation) applySettlementTwice(current, next []byte) []byte {
	before := s.decode(current)
	after := s.decode(next)
	for _, share := range before.Shares {
		fraction := float64(share.PPM) / settlement.PartsPerMillion
		moved := fraction * s.RequestRate * s.IdempotentFraction * meanUnits * float64(after.Clock-before.Clock)
		i := slices.IndexFunc(after.Forgiven, func(a settlement.Amount) bool { return a.Pair == share.Pair })
		if i < 0 {
			i = len(after.Forgiven)
			after.Forgiven = append(after.Forgiven, settlement.Amount{Pair: share.Pair})
		}
		after.Forgiven[i].Sum += uint64(moved)
	}
	value, err := after.Encode()
	if err != nil {
		s.addViolation("state not encoded: %v", err)
	}
	return value
}

// storedState returns the table as committed.
func (s *simulation) storedState() settlement.State {
	return s.decode(s.state.Table(settlement.TableName).Value)
}

func (s *simulation) decode(value []byte) settlement.State {
	state, err := settlement.DecodeState(value)
	if err != nil {
		s.addViolation("unreadable table: %v", err)
	}
	return state
}

// scheduleFaults draws when leaders are lost and gateways crash.
func (s *simulation) scheduleFaults() {
	if s.MessageFaults {
		for at := faultStart; at < s.end(); at += s.drawFaultPause(leaderFaultSeconds) {
			s.clock.At(at, func() { s.leaderlessUntil = s.clock.Now() + leaderlessTime })
			s.clock.At(at+leaderlessTime, s.startLeader)
		}
	}
	if s.GatewayCrashes {
		for at := faultStart; at < s.end(); at += s.drawFaultPause(gatewayCrashSeconds) {
			s.clock.At(at, func() {
				s.crashes++
				s.startGateway(s.gateways[s.random.IntN(len(s.gateways))])
			})
		}
	}
}

// drawFaultPause draws the time between two faults of a kind: minFaultSeconds, and up to as many
// seconds more.
func (s *simulation) drawFaultPause(seconds int) time.Duration {
	return time.Duration(minFaultSeconds+s.random.IntN(seconds)) * time.Second
}
