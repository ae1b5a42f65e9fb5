package simulation

import (
	"bytes"

	"github.com/anishathalye/porcupine"
)

// tableState is the table as one that is in one place would have it.
type tableState struct {
	epoch uint64
	value string
}

// tableModel is a table that is written by comparing its epoch first: what all answers together must look like.
var tableModel = porcupine.Model{
	Init: func() any { return tableState{} },
	Step: func(state, input, output any) (bool, any) {
		s, c, a := state.(tableState), input.(call), output.(answer)
		if !c.write {
			return !a.known || a.epoch == s.epoch && a.value == s.value, s
		}
		fits := c.epoch == s.epoch
		if fits {
			s = tableState{s.epoch + 1, c.value}
		}
		return !a.known || a.applied == fits && a.epoch == s.epoch, s
	},
}

// maxApplyLag is how far a voter may be behind the leader at the end: what is on its way.
const maxApplyLag = 5

// checkEndState looks at what can be told at the end only.
func (s *simulation) checkEndState() {
	for _, c := range s.clients {
		c.recordPending()
	}
	if !porcupine.CheckOperations(tableModel, s.history) {
		s.violation("the answers of %d calls fit no order", len(s.history))
	}
	leader := s.leader()
	if leader == nil {
		s.violation("no leader %v after the last fault", runDuration-faultsUntil)
		return
	}
	want, err := leader.consensus.State().Snapshot()
	for _, n := range s.activeNodes() {
		got, e := n.consensus.State().Snapshot()
		switch {
		case err != nil || e != nil:
			s.violation("%v, %v", err, e)
		case n.consensus.AppliedIndex()+maxApplyLag < leader.consensus.AppliedIndex():
			s.violation("voter %d is at entry %d, the leader at %d", n.member.Number, n.consensus.AppliedIndex(), leader.consensus.AppliedIndex())
		case n.consensus.AppliedIndex() == leader.consensus.AppliedIndex() && !bytes.Equal(got, want):
			s.violation("voters %d and %d differ at the same entry", n.member.Number, leader.member.Number)
		}
	}
	s.report.Trace = s.trace.Sum64()
}

// checkInvariants checks what must hold at any moment.
func (n *node) checkInvariants() {
	if !n.up {
		return
	}
	s := n.sim
	for e := n.consensus.State().Table(tableName).Epoch; s.highestEpoch < e; {
		s.highestEpoch++
		s.committedAt[s.highestEpoch] = s.now
	}
	if !n.consensus.IsLeader() {
		n.gatherer.SetLeaderTerm(0)
		return
	}
	term := n.consensus.Status().Term
	n.gatherer.SetLeaderTerm(term)
	if was, ok := s.leaderOfTerm[term]; ok && was != n.member.Number {
		s.violation("voters %d and %d both lead in term %d", was, n.member.Number, term)
	}
	s.leaderOfTerm[term] = n.member.Number
	reportedCount := uint64(0)
	for _, r := range s.reporters {
		reportedCount += r.count
	}
	if summedCount := n.gatherer.Sums()[countName]; summedCount > reportedCount {
		s.violation("evidence counted twice at voter %d", n.member.Number)
	}
}
