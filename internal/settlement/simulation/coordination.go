package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/settlement"
	"harrierhoist/internal/settlement/account"
)

// The planted bugs.
const (
	DebtLostWithLeader     = "debt lost with a leader"   // what is owed is read from the leader's memory
	SettlementAppliedTwice = "settlement applied twice"  // what shares moved is struck off too, though the totals have it
	LateDigestCountedTwice = "late digest counted twice" // each digest adds
)

// memoryStore is a disk that is written at once.
type memoryStore struct {
	ledgerID string
	balances []account.StoredBalance
}

func (m *memoryStore) Write(ledgerID string, balances []account.StoredBalance) error {
	m.ledgerID, m.balances = ledgerID, slices.Clone(balances)
	return nil
}

func (m *memoryStore) Restored() (string, []account.StoredBalance) { return m.ledgerID, m.balances }

// exchangeDigest has a gateway tell what it counted, and hear what all hold in common.
func (s *simulation) exchangeDigest(g *gateway) {
	digest := s.newDigest(g)
	delays := []time.Duration{2 * time.Millisecond}
	if s.MessageFaults {
		switch lot := s.random.Float64(); {
		case lot < 0.1:
			delays = nil
		case lot < 0.2:
			delays = append(delays, time.Duration(s.random.IntN(4000))*time.Millisecond)
		case lot < 0.3:
			delays[0] = time.Duration(s.random.IntN(4000)) * time.Millisecond
		}
	}
	for _, late := range delays {
		s.schedule(s.now+late, func() { s.receiveDigest(digest) })
	}
	state, err := settlement.DecodeState(s.state.Table(settlement.TableName).Value)
	if err != nil {
		s.addViolation("a table that cannot be read")
	}
	if s.now >= s.leaderlessUntil { // a majority confirms the read
		g.accounts.ApplyState(state, s.now+leaseDuration)
	}
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

func (s *simulation) receiveDigest(digest observation.Digest) {
	if s.now < s.leaderlessUntil {
		return // nobody leads: the message is lost
	}
	s.observations.Add(digest)
	if s.PlantedBug == LateDigestCountedTwice {
		for name, n := range digest.Exact { // adds what is more than the last one heard, which a late one resets
			key := observation.JoinName(digest.Process, fmt.Sprint(digest.Incarnation), name)
			if last := s.receivedTotals["last"+key]; n > last {
				s.receivedTotals[key] += n - last
			}
			s.receivedTotals["last"+key] = n
		}
	}
}

// exactTotals are the counts in the form of the log's totals.
func exactTotals(b *observation.Merger) map[string]uint64 {
	all := map[string]uint64{}
	for _, digest := range b.ExactCounts() {
		for name, n := range digest.Exact {
			all[observation.JoinName(digest.Process, fmt.Sprint(digest.Incarnation), name)] = n
		}
	}
	return all
}

// startLeader begins a leader's time: its book and its decider know nothing.
func (s *simulation) startLeader() {
	s.observations, s.leadingSince = observation.NewMerger(), max(s.now, 1)
	s.controller = settlement.NewController(s.Terms, func(coordination.ControllerInput) map[string]settlement.ZoneStatus {
		return map[string]settlement.ZoneStatus{s.settings.Zones[0]: {FailingOver: s.now >= s.BeforeOutage && s.now < s.BeforeOutage+s.Outage+5*time.Second, Headroom: -1}}
	})
}

func (s *simulation) commitTotals() {
	if s.now < s.leaderlessUntil {
		return
	}
	s.index++
	s.state.Apply(s.index, statemachine.Command{Kind: statemachine.RaiseTotals, Table: settlement.ExactTable, Totals: exactTotals(s.observations)})
}

func (s *simulation) totals(table string) map[string]uint64 {
	switch {
	case s.PlantedBug == DebtLostWithLeader:
		return exactTotals(s.observations)
	case s.PlantedBug == LateDigestCountedTwice:
		all := maps.Clone(s.receivedTotals)
		maps.DeleteFunc(all, func(name string, _ uint64) bool { return strings.HasPrefix(name, "last") })
		return all
	}
	return s.state.Totals(table)
}

func (s *simulation) runController() {
	if s.now < s.leaderlessUntil || s.now >= s.endTime() {
		return
	}
	entry := s.state.Table(settlement.TableName)
	held := entry
	value, write := s.controller.Decide(s.now, coordination.ControllerInput{
		Sums: s.observations.Sums(), Totals: s.totals, LeadingSince: s.leadingSince,
		Table: func(string) statemachine.Table { return held },
	})
	if !write || s.MessageFaults && s.random.Float64() < 0.1 { // lost against another write, or with the leader
		return
	}
	if s.PlantedBug == SettlementAppliedTwice {
		value = s.applySettlementTwice(entry, value)
	}
	s.index++
	s.state.Apply(s.index, statemachine.Command{Kind: statemachine.Write, Table: settlement.TableName, Epoch: entry.Epoch, Value: value})
}

// applySettlementTwice is the planted bug: what the shares that stood have moved since is taken off the debts.
func (s *simulation) applySettlementTwice(entry statemachine.Table, value []byte) []byte {
	was, _ := settlement.DecodeState(entry.Value)
	next, _ := settlement.DecodeState(value)
	for _, share := range was.Shares {
		moved := float64(share.PPM) / settlement.PartsPerMillion * s.RequestRate * s.IdempotentFraction * meanUnits * float64(next.Clock-was.Clock)
		i := slices.IndexFunc(next.Forgiven, func(a settlement.Amount) bool { return a.Pair == share.Pair })
		if i < 0 {
			i = len(next.Forgiven)
			next.Forgiven = append(next.Forgiven, settlement.Amount{Pair: share.Pair})
		}
		next.Forgiven[i].Sum += uint64(moved)
	}
	b, _ := next.Encode()
	return b
}

// scheduleFaults draws when leaders are lost and processes die.
func (s *simulation) scheduleFaults() {
	for at := 5 * time.Second; s.MessageFaults && at < s.endTime(); at += time.Duration(5+s.random.IntN(25)) * time.Second {
		s.schedule(at, func() { s.leaderlessUntil = s.now + leaderlessTime })
		s.schedule(at+leaderlessTime, s.startLeader)
	}
	for at := 5 * time.Second; s.GatewayCrashes && at < s.endTime(); at += time.Duration(5+s.random.IntN(20)) * time.Second {
		s.schedule(at, func() {
			s.crashes++
			s.startGateway(s.gateways[s.random.IntN(len(s.gateways))])
		})
	}
}

// checkInvariants checks each second what must always hold.
func (s *simulation) checkInvariants() {
	state, _ := settlement.DecodeState(s.state.Table(settlement.TableName).Value)
	ledger := settlement.ReadLedger(s.totals(settlement.ExactTable))
	nets := ledger.NetDebts(state.Forgiven)
	for p, owed := range s.previousLedger {
		if ledger[p] < owed {
			s.addViolation("%v: %d owed, and %d a second before", p, ledger[p], owed)
		}
	}
	s.previousLedger = ledger
	sum, open := int64(0), uint64(0)
	for _, b := range settlement.Balances(nets) {
		sum += b
	}
	for _, n := range nets {
		open += n.Sum
	}
	if sum != 0 {
		s.addViolation("balances sum to %d", sum)
	}
	s.result.PeakDebt, s.result.FinalDebt = max(s.result.PeakDebt, open), open
	if after := s.now - s.BeforeOutage - s.Outage; after > 5*time.Second && s.result.SettledAfter < 0 && open*20 <= s.result.PeakDebt {
		s.result.SettledAfter = after
	}
	s.result.Moved += s.movedThisSecond
	s.result.MaxMovedPerSecond = max(s.result.MaxMovedPerSecond, s.movedThisSecond)
	s.movedThisSecond = 0
}

// checkFinalLedger compares the ledger with what truly ran, once all that was counted has been told.
func (s *simulation) checkFinalLedger() {
	for _, g := range s.gateways {
		s.receiveDigest(s.newDigest(g))
	}
	s.leaderlessUntil = 0
	s.commitTotals()
	s.checkInvariants()
	state, _ := settlement.DecodeState(s.state.Table(settlement.TableName).Value)
	ledger := settlement.ReadLedger(s.totals(settlement.ExactTable))
	for p, owed := range s.trueDebts {
		switch told := ledger[p]; {
		case told > owed:
			s.addViolation("%v: %d owed, %d in the ledger", p, owed, told)
		default:
			s.result.Lost += owed - told
		}
	}
	// A process that dies without a disk loses what it counted since its latest digest that came, and what is out.
	each := s.RequestRate / float64(s.GatewaysPerZone) * meanUnits * 1000 * maxLossSpan.Seconds()
	if most := float64(s.crashes) * each; s.WithStores && s.result.Lost > 0 || float64(s.result.Lost) > most {
		s.addViolation("%d lost in %d deaths", s.result.Lost, s.crashes)
	}
	truth := settlement.Ledger(s.trueDebts).NetDebts(nil)
	if shown := ledger.NetDebts(state.Forgiven); s.Terms.ForgiveAfter == 0 && s.result.Lost == 0 && !slices.Equal(truth, shown) {
		s.addViolation("open: %v, truly %v", shown, truth)
	}
	for partner := range s.Partners {
		s.result.OnTime = append(s.result.OnTime, float64(s.firstAttempts[1][partner])/float64(max(s.firstAttempts[0][partner], 1)))
	}
}

func (s *simulation) addViolation(format string, a ...any) {
	s.result.Violations = append(s.result.Violations, fmt.Sprintf(format, a...))
}
