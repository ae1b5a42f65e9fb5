package simulation

import (
	"slices"
	"time"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/lab/scenario"
)

// voter is one of the processes that hold the replicated log.
type voter struct {
	coordinator  *coordinator
	index, zone  int
	dead         bool
	incarnation  uint64
	serial       uint64
	direct       *observation.Merger // digests of gateways
	merged       *observation.Merger // digests of other voters, while it leads
	table        statemachine.Table  // as applied here
	waitingReads []*read
}

// read is a read of a follower that waits for a later table.
type read struct {
	knownEpoch uint64
	done       bool
	answer     func(table statemachine.Table, confirmed bool)
}

// start starts a voter; it keeps its table, as that is on its disk.
func (v *voter) start() {
	v.incarnation++
	v.serial = 0
	v.dead = false
	v.direct = observation.NewMerger()
	v.merged = observation.NewMerger()
}

// receiveDigest takes a gateway's digest.
func (v *voter) receiveDigest(digest observation.Digest) {
	if v.dead {
		return
	}
	v.coordinator.countMessage(v, func(m *Messages) *int { return &m.Digests })
	v.direct.Add(digest)
}

// sendDigest sends the leader what this voter got from gateways.
func (v *voter) sendDigest(leader *voter) {
	c := v.coordinator
	v.serial++
	digest := observation.Digest{
		Process: "voter " + scenario.ZoneName(v.index), Incarnation: v.incarnation, Serial: v.serial, Session: c.term,
		Counts: v.direct.Sums(),
	}
	c.send(v.zone, leader.zone, func() {
		if !leader.dead {
			c.countMessage(leader, func(m *Messages) *int { return &m.MergedDigests })
			leader.merged.Add(digest)
		}
	})
}

// replicate sends a table to a voter, again and again until it has it or a later one is written.
func (v *voter) replicate(leader *voter, table statemachine.Table) {
	c := v.coordinator
	if c.table.Epoch != table.Epoch || v.table.Epoch >= table.Epoch {
		return
	}
	if v.dead || !c.send(leader.zone, v.zone, func() { v.apply(table) }) {
		c.engine.clock.After(c.settings.DecisionInterval.D(), func() { v.replicate(leader, table) })
	}
}

// apply applies a table, and answers the reads that wait for it.
func (v *voter) apply(table statemachine.Table) {
	if v.dead || table.Epoch <= v.table.Epoch {
		return
	}
	v.table = table
	waiting := v.waitingReads
	v.waitingReads = nil
	for _, r := range waiting {
		v.answer(r)
	}
}

// isConfirmed reports whether the leader, backed by a majority, can confirm that a voter's table is
// the latest.
func (v *voter) isConfirmed() bool {
	leader := v.coordinator.leader
	if v.dead || leader == nil {
		return false
	}
	return v.coordinator.hasMajority(leader) && v.coordinator.canReach(v.zone, leader.zone)
}

// read answers a read once there is a later table than it knows, or after the wait.
func (v *voter) read(pending *read) {
	if v.dead {
		return
	}
	c := v.coordinator
	c.countMessage(v, func(m *Messages) *int { return &m.Reads })
	if v.table.Epoch > pending.knownEpoch || !v.isConfirmed() {
		v.answer(pending)
		return
	}
	v.waitingReads = append(v.waitingReads, pending)
	c.engine.clock.After(c.settings.ReadWait.D(), func() {
		v.waitingReads = slices.DeleteFunc(v.waitingReads, func(other *read) bool { return other == pending })
		v.answer(pending)
	})
}

// answer answers a read, once, after the round trip by which the leader confirms the table.
func (v *voter) answer(r *read) {
	if r.done || v.dead {
		return
	}
	r.done = true
	c := v.coordinator
	roundTrip := time.Duration(0)
	if leader := c.leader; leader != nil && leader != v {
		roundTrip = waysOfRoundTrip * c.engine.delayBy(c.random, v.zone, leader.zone)
	}
	minEpoch := c.table.Epoch // what a majority has: an answer with less is not confirmed
	c.engine.clock.After(roundTrip, func() { r.answer(v.table, v.isConfirmed() && v.table.Epoch >= minEpoch) })
}
