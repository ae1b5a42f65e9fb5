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
	c       *common
	n, hall int
	dead    bool
	life    uint64
	serial  uint64
	direct  *observation.Merger // of gateways
	merged  *observation.Merger // of other voters, where it leads
	entry   statemachine.Table  // as applied here
	reads   []*read
}

// read is a read that waits for news.
type read struct {
	known  uint64
	done   bool
	answer func(e statemachine.Table, confirmed bool)
}

func (v *voter) start() {
	v.life++
	v.serial, v.dead = 0, false
	v.direct, v.merged = observation.NewMerger(), observation.NewMerger()
}

// pass sends the leader what this voter merged.
func (v *voter) pass(leader *voter) {
	v.serial++
	d := observation.Digest{
		Process: "voter " + scenario.HallName(v.n), Incarnation: v.life, Serial: v.serial, Session: v.c.term,
		Counts: v.direct.Sums(),
	}
	v.c.send(v.hall, leader.hall, func() {
		if !leader.dead {
			v.c.count(leader, func(m *Messages) *int { return &m.Merged })
			leader.merged.Add(d)
		}
	})
}

// catchUp brings an entry to a voter, again and again until it is there or a later one stands.
func (v *voter) catchUp(l *voter, e statemachine.Table) {
	c := v.c
	if c.entry.Epoch != e.Epoch || v.entry.Epoch >= e.Epoch {
		return
	}
	if v.dead || !c.send(l.hall, v.hall, func() { v.apply(e) }) {
		c.e.clock.After(c.w.Decide.D(), func() { v.catchUp(l, e) })
	}
}

// apply takes an entry, which answers reads that wait for it.
func (v *voter) apply(e statemachine.Table) {
	if v.dead || e.Epoch <= v.entry.Epoch {
		return
	}
	v.entry = e
	waiting := v.reads
	v.reads = nil
	for _, r := range waiting {
		v.finish(r)
	}
}

// confirmed tells whether a majority confirms to a voter what it has.
func (v *voter) confirmed() bool {
	l := v.c.leader
	return l != nil && !v.dead && v.c.backed(l) && v.c.reaches(v.hall, l.hall)
}

// read answers with what is later than known, or at the end of the wait with nothing.
func (v *voter) read(r *read) {
	if v.dead {
		return
	}
	v.c.count(v, func(m *Messages) *int { return &m.Reads })
	if v.entry.Epoch > r.known || !v.confirmed() {
		v.finish(r)
		return
	}
	v.reads = append(v.reads, r)
	v.c.e.clock.After(v.c.w.Wait.D(), func() {
		v.reads = slices.DeleteFunc(v.reads, func(o *read) bool { return o == r })
		v.finish(r)
	})
}

// finish answers a read, once, after the round by which the leader confirms.
func (v *voter) finish(r *read) {
	if r.done || v.dead {
		return
	}
	r.done = true
	took := time.Duration(0)
	if l := v.c.leader; l != nil && l != v {
		took = 2 * v.c.e.hopBy(v.c.draw, v.hall, l.hall)
	}
	need := v.c.entry.Epoch // what a majority has: an answer without it is none
	v.c.e.clock.After(took, func() { r.answer(v.entry, v.confirmed() && v.entry.Epoch >= need) })
}
