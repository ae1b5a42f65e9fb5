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
	switch draw := s.random.Float64(); {
	case draw < 0.1:
		return nil
	case draw < 0.2:
		return []time.Duration{digestDelay, s.drawLate()}
	case draw < 0.3:
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
	s.controller = settlement.NewController(s.Terms, func(coordination.ControllerInput) map[string]settlement.ZoneStatus {
		now := s.clock.Now()
		failingOver := now >= s.BeforeOutage && now < s.outageEnd()+failoverTail
		return map[string]settlement.ZoneStatus{s.settings.Zones[0]: {FailingOver: failingOver, Headroom: -1}}
	})
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
	if !write || s.MessageFaults && s.random.Float64() < writeLossFraction { // lost with the leader, or to another write
		return
	}
	if s.PlantedBug == SettlementAppliedTwice {
		value = s.applySettlementTwice(entry.Value, value)
	}
	s.apply(statemachine.Command{
		Kind: statemachine.Write, Table: settlement.TableName, Epoch: entry.Epoch, Value: value,
	})
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
		for at := faultStart; at < s.end(); at += time.Duration(5+s.random.IntN(25)) * time.Second {
			s.clock.At(at, func() { s.leaderlessUntil = s.clock.Now() + leaderlessTime })
			s.clock.At(at+leaderlessTime, s.startLeader)
		}
	}
	if s.GatewayCrashes {
		for at := faultStart; at < s.end(); at += time.Duration(5+s.random.IntN(20)) * time.Second {
			s.clock.At(at, func() {
				s.crashes++
				s.startGateway(s.gateways[s.random.IntN(len(s.gateways))])
			})
		}
	}
}
