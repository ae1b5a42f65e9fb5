package votersimulation

import (
	"bytes"

	"github.com/anishathalye/porcupine"
)

// tableState is the table as a single copy of it would be.
type tableState struct {
	epoch uint64
	value string
}

// tableModel is a table whose writes compare the epoch first. All answers to clients together must
// fit it.
var tableModel = porcupine.Model{
	Init: func() any { return tableState{} },
	Step: func(state, input, output any) (bool, any) {
		current := state.(tableState)
		request := input.(call)
		returned := output.(answer)
		if !request.write {
			return !returned.known || returned.epoch == current.epoch && returned.value == current.value, current
		}
		applies := request.epoch == current.epoch
		if applies {
			current = tableState{current.epoch + 1, request.value}
		}
		return !returned.known || returned.applied == applies && returned.epoch == current.epoch, current
	},
}

// maxApplyLag is how many entries a voter may be behind the leader at the end: those that are on
// their way.
const maxApplyLag = 5

// checkEndState checks what can only be told at the end of a run.
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
	s.checkConvergence(leader)
	s.report.Trace = s.trace.Sum64()
}

// checkConvergence checks that all voters hold what the leader holds.
func (s *simulation) checkConvergence(leader *node) {
	want, err := leader.consensus.State().Snapshot()
	for _, n := range s.activeNodes() {
		got, e := n.consensus.State().Snapshot()
		switch {
		case err != nil || e != nil:
			s.violation("%v, %v", err, e)
		case n.consensus.AppliedIndex()+maxApplyLag < leader.consensus.AppliedIndex():
			s.violation("voter %d is at entry %d, the leader at %d",
				n.member.Number, n.consensus.AppliedIndex(), leader.consensus.AppliedIndex())
		case n.consensus.AppliedIndex() == leader.consensus.AppliedIndex() && !bytes.Equal(got, want):
			s.violation("voters %d and %d differ at the same entry", n.member.Number, leader.member.Number)
		}
	}
}

// checkInvariants checks what must hold at any moment. The gatherer learns of the node's leadership
// here.
func (n *node) checkInvariants() {
	if !n.up {
		return
	}
	n.sim.recordCommits(n.consensus.State().Table(tableName).Epoch)
	if !n.consensus.IsLeader() {
		n.gatherer.SetLeaderTerm(0)
		return
	}
	term := n.consensus.Status().Term
	n.gatherer.SetLeaderTerm(term)
	if other, ok := n.sim.leaderOfTerm[term]; ok && other != n.member.Number {
		n.sim.violation("voters %d and %d both lead in term %d", other, n.member.Number, term)
	}
	n.sim.leaderOfTerm[term] = n.member.Number
	reported := uint64(0)
	for _, r := range n.sim.reporters {
		reported += r.count
	}
	if sum := n.gatherer.Sums()[countName]; sum > reported {
		n.sim.violation("digests counted twice at voter %d", n.member.Number)
	}
}

// recordCommits notes when an epoch was first applied.
func (s *simulation) recordCommits(epoch uint64) {
	for s.highestEpoch < epoch {
		s.highestEpoch++
		s.committedAt[s.highestEpoch] = s.now()
	}
}
