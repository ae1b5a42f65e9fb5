package core

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
)

type progress = tracker.Progress

// The log begins with a snapshot that all first members make alike: one that joins later and has nothing is sent a
// snapshot too, never entries whose beginning it lacks.
const beginIndex, beginTerm = 1, 1

// roll is who the members are. It is part of what all voters hold alike.
type roll struct {
	Members []cluster.Member `cbor:"1,keyasint"` // by number
	Top     uint64           `cbor:"2,keyasint"` // highest number ever given: none is used twice
	Club    uint64           `cbor:"3,keyasint"` // drawn from the first members: messages of another log are refused
}

func (r *roll) find(number uint64) (cluster.Member, bool) {
	for _, m := range r.Members {
		if m.Number == number {
			return m, true
		}
	}
	return cluster.Member{}, false
}

func (r *roll) sorted() []cluster.Member { return slices.Clone(r.Members) }

// gone tells whether a number was given once and taken back.
func (r *roll) gone(number uint64) bool {
	_, ok := r.find(number)
	return !ok && number <= r.Top
}

// check tells what is wrong with a change.
func (r *roll) check(m cluster.Member, remove bool) error {
	if remove {
		switch _, ok := r.find(m.Number); {
		case !ok:
			return fmt.Errorf("no member has number %d", m.Number)
		case len(r.Members) == 1:
			return errors.New("the last member cannot be removed")
		}
		return nil
	}
	switch {
	case m.Number <= r.Top:
		return fmt.Errorf("number %d was given before; the next is %d", m.Number, r.Top+1)
	case m.Number >= numberMost:
		return fmt.Errorf("number %d is too high; the next is %d", m.Number, r.Top+1)
	case m.Name == "" || m.Address == "":
		return errors.New("a member needs a name and an address")
	case slices.ContainsFunc(r.Members, func(o cluster.Member) bool { return o.Address == m.Address }):
		return fmt.Errorf("another member has the address %s: remove it first", m.Address)
	}
	return nil
}

func (r *roll) change(m cluster.Member, remove bool) {
	r.Members = slices.Clone(r.Members)
	if remove {
		r.Members = slices.DeleteFunc(r.Members, func(o cluster.Member) bool { return o.Number == m.Number })
		return
	}
	r.Members, r.Top = append(r.Members, m), m.Number
}

// picture is what a snapshot holds.
type picture struct {
	Roll  roll   `cbor:"1,keyasint"`
	State []byte `cbor:"2,keyasint"`
}

// begin makes the first snapshot. A first member whose disk is not named has it written down once it is heard of.
func (c *Core) begin(first []cluster.Member) error {
	r := roll{Members: slices.Clone(first)}
	slices.SortFunc(r.Members, func(a, b cluster.Member) int { return int(a.Number) - int(b.Number) })
	conf := &raftpb.ConfState{}
	for i := range r.Members {
		r.Top = r.Members[i].Number
		conf.Voters = append(conf.Voters, r.Top)
	}
	if _, ok := r.find(c.self.Number); !ok {
		return fmt.Errorf("number %d is not among the first members", c.self.Number)
	}
	names, err := mode.Marshal(r.Members)
	if err != nil {
		return err
	}
	r.Club = xxhash.Sum64(names)
	state, err := tables.New().Snapshot()
	if err != nil {
		return err
	}
	data, err := mode.Marshal(picture{r, state})
	if err != nil {
		return err
	}
	index, term := uint64(beginIndex), uint64(beginTerm)
	if err := c.store.ApplySnapshot(&raftpb.Snapshot{Data: data,
		Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &index, Term: &term}}); err != nil {
		return err
	}
	return c.store.SetHardState(&raftpb.HardState{Term: &term, Commit: &index})
}

// restore puts a snapshot in place of what is applied.
func (c *Core) restore(s *raftpb.Snapshot) error {
	if s.GetMetadata().GetIndex() == 0 {
		c.conf = &raftpb.ConfState{}
		return nil
	}
	var p picture
	if err := cbor.Unmarshal(s.GetData(), &p); err != nil {
		return fmt.Errorf("%w: %w", ErrSpoilt, err)
	}
	if err := c.state.Restore(p.State); err != nil {
		return fmt.Errorf("%w: %w", ErrSpoilt, err)
	}
	c.members, c.conf = p.Roll, s.GetMetadata().GetConfState()
	c.applied, c.term = s.GetMetadata().GetIndex(), s.GetMetadata().GetTerm()
	return nil
}

// change is what stands beside a change of the members in the log.
type change struct {
	Seq    uint64         `cbor:"1,keyasint"`
	From   uint64         `cbor:"2,keyasint"`
	Member cluster.Member `cbor:"3,keyasint"`
	Remove bool           `cbor:"4,keyasint"`
}

// Change adds a member or removes one, and gives the number under which Done tells that it is so. Errors: ErrNotLeader,
// ErrChange, or what is wrong with it.
func (c *Core) Change(m cluster.Member, remove bool) (uint64, error) {
	if !c.Leads() {
		return 0, cluster.ErrNotLeader
	}
	// The library writes nothing in place of a change that comes too early, and says nothing of it: one of an earlier
	// leader may be on its way, or one of this voter's own.
	if !c.Settled() || c.changing == c.term {
		return 0, ErrChange
	}
	if err := c.members.check(m, remove); err != nil {
		return 0, err
	}
	c.seq++
	data, err := mode.Marshal(change{c.seq, c.self.Number, m, remove})
	if err != nil {
		return 0, err
	}
	kind := raftpb.ConfChangeAddNode
	if remove {
		kind = raftpb.ConfChangeRemoveNode
	}
	if err := c.node.ProposeConfChange(&raftpb.ConfChangeV2{Context: data,
		Changes: []*raftpb.ConfChangeSingle{{Type: &kind, NodeId: &m.Number}}}); err != nil {
		return 0, cluster.ErrNotLeader
	}
	c.changing = c.term
	return c.seq, nil
}

// Mark has the disks of members that have none yet written down, as far as they were heard of.
func (c *Core) Mark() {
	if !c.Settled() {
		return
	}
	for _, m := range c.members.Members {
		if m.Disk != "" {
			continue
		}
		if m.Disk = c.heard[m.Number].Disk; m.Number == c.self.Number {
			m.Disk = c.self.Disk
		}
		if m.Disk != "" {
			_, _ = c.propose(entry{Mark: &m}) // asked again if it comes to nothing
		}
	}
}
