package simulation

import (
	"slices"
	"time"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/lab/scenario"
)

// voter is one of the few that hold the log.
type voter struct {
	coordinator  *coordinator
	index, zone  int
	dead         bool
	incarnation  uint64
	serial       uint64
	direct       *observation.Merger // of gateways
	merged       *observation.Merger // of other voters, where it leads
	table        statemachine.Table  // as applied here
	waitingReads []*read
}

// read is a read that waits for news.
type read struct {
	knownEpoch uint64
	done       bool
	answer     func(e statemachine.Table, confirmed bool)
}

func (v *voter) start() {
	v.incarnation++
	v.serial, v.dead = 0, false
	v.direct, v.merged = observation.NewMerger(), observation.NewMerger()
}

// pass sends the leader what this voter merged.
func (v *voter) sendDigest(leader *voter) {
	v.serial++
	d := observation.Digest{
		Process: "voter " + scenario.ZoneName(v.index), Incarnation: v.incarnation, Serial: v.serial, Session: v.coordinator.term,
		Counts: v.direct.Sums(),
	}
	v.coordinator.send(v.zone, leader.zone, func() {
		if !leader.dead {
			v.coordinator.countMessage(leader, func(m *Messages) *int { return &m.MergedDigests })
			leader.merged.Add(d)
		}
	})
}

// catchUp brings an entry to a voter, again and again until it is there or a later one stands.
func (v *voter) replicate(l *voter, e statemachine.Table) {
	c := v.coordinator
	if c.table.Epoch != e.Epoch || v.table.Epoch >= e.Epoch {
		return
	}
	if v.dead || !c.send(l.zone, v.zone, func() { v.apply(e) }) {
		c.engine.clock.After(c.settings.DecisionInterval.D(), func() { v.replicate(l, e) })
	}
}

// apply takes an entry, which answers reads that wait for it.
func (v *voter) apply(e statemachine.Table) {
	if v.dead || e.Epoch <= v.table.Epoch {
		return
	}
	v.table = e
	waiting := v.waitingReads
	v.waitingReads = nil
	for _, r := range waiting {
		v.answer(r)
	}
}

// confirmed tells whether a majority confirms to a voter what it has.
func (v *voter) isConfirmed() bool {
	l := v.coordinator.leader
	return l != nil && !v.dead && v.coordinator.hasMajority(l) && v.coordinator.canReach(v.zone, l.zone)
}

// read answers with what is later than known, or at the end of the wait with nothing.
func (v *voter) read(r *read) {
	if v.dead {
		return
	}
	v.coordinator.countMessage(v, func(m *Messages) *int { return &m.Reads })
	if v.table.Epoch > r.knownEpoch || !v.isConfirmed() {
		v.answer(r)
		return
	}
	v.waitingReads = append(v.waitingReads, r)
	v.coordinator.engine.clock.After(v.coordinator.settings.ReadWait.D(), func() {
		v.waitingReads = slices.DeleteFunc(v.waitingReads, func(o *read) bool { return o == r })
		v.answer(r)
	})
}

// finish answers a read, once, after the round by which the leader confirms.
func (v *voter) answer(r *read) {
	if r.done || v.dead {
		return
	}
	r.done = true
	took := time.Duration(0)
	if l := v.coordinator.leader; l != nil && l != v {
		took = 2 * v.coordinator.engine.delayBy(v.coordinator.random, v.zone, l.zone)
	}
	need := v.coordinator.table.Epoch // what a majority has: an answer without it is none
	v.coordinator.engine.clock.After(took, func() { r.answer(v.table, v.isConfirmed() && v.table.Epoch >= need) })
}
