package core

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harrierhoist/internal/cluster"
)

// record is what is written to the disk at once.
type record struct {
	Self     *cluster.Member `cbor:"1,keyasint,omitempty"` // in the first one
	Snapshot []byte          `cbor:"2,keyasint,omitempty"`
	Entries  [][]byte        `cbor:"3,keyasint,omitempty"`
	Hard     []byte          `cbor:"4,keyasint,omitempty"`
}

func pack(self *cluster.Member, s *raftpb.Snapshot, entries []*raftpb.Entry, h *raftpb.HardState) ([]byte, error) {
	r := record{Self: self}
	var err error
	if !raft.IsEmptySnap(s) {
		if r.Snapshot, err = proto.Marshal(s); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		b, err := proto.Marshal(e)
		if err != nil {
			return nil, err
		}
		r.Entries = append(r.Entries, b)
	}
	if !raft.IsEmptyHardState(h) {
		if r.Hard, err = proto.Marshal(h); err != nil {
			return nil, err
		}
	}
	return mode.Marshal(r)
}

// keep puts what is on disk into the store that raft reads from.
func (c *Core) keep(s *raftpb.Snapshot, entries []*raftpb.Entry, h *raftpb.HardState) error {
	if !raft.IsEmptySnap(s) {
		if err := c.store.ApplySnapshot(s); err != nil {
			return err
		}
	}
	if err := c.store.Append(entries); err != nil {
		return err
	}
	if raft.IsEmptyHardState(h) {
		return nil
	}
	return c.store.SetHardState(h)
}

// replay reads what the disk holds, in the order in which it was written.
func (c *Core) replay(records [][]byte) error {
	for i, b := range records {
		var r record
		if err := cbor.Unmarshal(b, &r); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrSpoilt, i, err)
		}
		if r.Self != nil {
			c.self = *r.Self
		}
		s, h := &raftpb.Snapshot{}, &raftpb.HardState{}
		if err := proto.Unmarshal(r.Snapshot, s); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrSpoilt, i, err)
		}
		if err := proto.Unmarshal(r.Hard, h); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrSpoilt, i, err)
		}
		var entries []*raftpb.Entry
		for _, b := range r.Entries {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(b, e); err != nil {
				return fmt.Errorf("%w: record %d: %w", ErrSpoilt, i, err)
			}
			entries = append(entries, e)
		}
		if err := c.keep(s, entries, h); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrSpoilt, i, err)
		}
	}
	h, _, _ := c.store.InitialState() // gives no error
	if last, _ := c.store.LastIndex(); h.GetCommit() > last {
		return fmt.Errorf("%w: %d entries are missing at its end", ErrSpoilt, h.GetCommit()-last)
	}
	return nil
}

// Base is all that this voter must hold, as one record: the disk may put it in place of all that it has.
func (c *Core) Base() ([]byte, error) {
	s, _ := c.store.Snapshot() // neither gives an error
	h, _, _ := c.store.InitialState()
	first, _ := c.store.FirstIndex()
	last, _ := c.store.LastIndex()
	var entries []*raftpb.Entry
	if last >= first {
		var err error
		if entries, err = c.store.Entries(first, last+1, 1<<62); err != nil {
			return nil, err
		}
	}
	return pack(&c.self, s, entries, h)
}

// shelf is what raft reads its log from. The snapshot that it sends to another voter is of what is applied now: one that
// was made before a member joined does not name it, and the member would refuse it.
type shelf struct {
	*raft.MemoryStorage
	c *Core
}

// Snapshot implements raft.Storage.
func (s shelf) Snapshot() (*raftpb.Snapshot, error) {
	data, err := s.c.picture()
	index, term := s.c.applied, s.c.term
	return &raftpb.Snapshot{Data: data,
		Metadata: &raftpb.SnapshotMetadata{ConfState: s.c.conf, Index: &index, Term: &term}}, err
}

// picture is all that the voters hold alike.
func (c *Core) picture() ([]byte, error) {
	state, err := c.state.Snapshot()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(picture{c.members, state})
}

// Compact makes a snapshot of what is applied and drops the entries before it, but for the latest keep: a voter that
// is not further behind gets those, not all of it.
func (c *Core) Compact(keep uint64) error {
	s, _ := c.store.Snapshot()
	if c.applied <= s.GetMetadata().GetIndex() {
		return nil
	}
	data, err := c.picture()
	if err != nil {
		return err
	}
	if _, err := c.store.CreateSnapshot(c.applied, c.conf, data); err != nil {
		return err
	}
	first, _ := c.store.FirstIndex()
	if c.applied > keep && c.applied-keep >= first {
		return c.store.Compact(c.applied - keep)
	}
	return nil
}
