package consensus

import "go.etcd.io/raft/v3"

// resetElectionTimer restarts the wait for an election with a new timeout. The library would draw
// one itself, but from a source that cannot be seeded; so the node counts the ticks of a voter that
// does not lead.
func (n *Node) resetElectionTimer() {
	n.ticksWithoutLeader = 0
	n.electionTimeout = minElectionTicks + n.rng.IntN(minElectionTicks)
}

// Tick advances the node's time by one tick.
func (n *Node) Tick() {
	if n.IsLeader() {
		n.raftNode.Tick()
		n.expireSnapshots()
		return
	}
	clear(n.snapshotAge)
	// TickQuiesced only counts the time for which votes are refused; it draws nothing. It is marked
	// as deprecated, but the library has no other way to leave the drawing to its user.
	n.raftNode.TickQuiesced()
	n.ticksWithoutLeader++
	if n.shouldCampaign() {
		n.resetElectionTimer()
		_ = n.raftNode.Campaign() // fails on a node that is not a member, which must not campaign
	}
}

// shouldCampaign decides whether this voter stands for election: for its drawn election timeout, in
// ticks, it heard from no leader, and neither its term nor its vote changed. The timeouts differ,
// so that voters rarely stand at the same time.
func (n *Node) shouldCampaign() bool { return n.ticksWithoutLeader >= n.electionTimeout }

// expireSnapshots ends the wait for snapshots that were not acknowledged in time, so that they are
// sent again.
func (n *Node) expireSnapshots() {
	for id := range n.snapshotAge {
		n.snapshotAge[id]++
		if n.snapshotAge[id] >= snapshotTimeoutTicks {
			delete(n.snapshotAge, id)
			n.raftNode.ReportSnapshot(id, raft.SnapshotFinish)
		}
	}
}

// TransferLeadership hands the leadership to another member, before a planned shutdown.
func (n *Node) TransferLeadership() {
	successor := n.longestLog()
	if successor != 0 && n.IsLeader() {
		n.raftNode.TransferLeader(successor)
	}
}

// longestLog returns the number of the other member that is known to have most of the log on its
// disk; 0: none is known to have any.
func (n *Node) longestLog() (number uint64) {
	match := uint64(0)
	n.raftNode.WithProgress(func(id uint64, _ raft.ProgressType, p progress) {
		if id != n.self.Number && p.Match > match {
			number = id
			match = p.Match
		}
	})
	return number
}
