package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harrierhoist/internal/coordination"
)

// record is what is written to the disk at once.
type record struct {
	Self      *coordination.Member `cbor:"1,keyasint,omitempty"` // in the first one
	Snapshot  []byte               `cbor:"2,keyasint,omitempty"`
	Entries   [][]byte             `cbor:"3,keyasint,omitempty"`
	HardState []byte               `cbor:"4,keyasint,omitempty"`
}

func encodeRecord(self *coordination.Member, snapshot *raftpb.Snapshot, entries []*raftpb.Entry, hardState *raftpb.HardState) ([]byte, error) {
	contents := record{Self: self}
	var err error
	if !raft.IsEmptySnap(snapshot) {
		if contents.Snapshot, err = proto.Marshal(snapshot); err != nil {
			return nil, err
		}
	}
	for _, entry := range entries {
		b, err := proto.Marshal(entry)
		if err != nil {
			return nil, err
		}
		contents.Entries = append(contents.Entries, b)
	}
	if !raft.IsEmptyHardState(hardState) {
		if contents.HardState, err = proto.Marshal(hardState); err != nil {
			return nil, err
		}
	}
	return encMode.Marshal(contents)
}

// appendToStorage puts what is on disk into the store that raft reads from.
func (n *Node) appendToStorage(snapshot *raftpb.Snapshot, entries []*raftpb.Entry, hardState *raftpb.HardState) error {
	if !raft.IsEmptySnap(snapshot) {
		if err := n.storage.ApplySnapshot(snapshot); err != nil {
			return err
		}
	}
	if err := n.storage.Append(entries); err != nil {
		return err
	}
	if raft.IsEmptyHardState(hardState) {
		return nil
	}
	return n.storage.SetHardState(hardState)
}

// replay reads what the disk holds, in the order in which it was written.
func (n *Node) replay(records [][]byte) error {
	for i, b := range records {
		var contents record
		if err := cbor.Unmarshal(b, &contents); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrCorrupt, i, err)
		}
		if contents.Self != nil {
			n.self = *contents.Self
		}
		snapshot, hardState := &raftpb.Snapshot{}, &raftpb.HardState{}
		if err := proto.Unmarshal(contents.Snapshot, snapshot); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrCorrupt, i, err)
		}
		if err := proto.Unmarshal(contents.HardState, hardState); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrCorrupt, i, err)
		}
		var entries []*raftpb.Entry
		for _, b := range contents.Entries {
			entry := &raftpb.Entry{}
			if err := proto.Unmarshal(b, entry); err != nil {
				return fmt.Errorf("%w: record %d: %w", ErrCorrupt, i, err)
			}
			entries = append(entries, entry)
		}
		if err := n.appendToStorage(snapshot, entries, hardState); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrCorrupt, i, err)
		}
	}
	hardState, _, _ := n.storage.InitialState() // gives no error
	if last, _ := n.storage.LastIndex(); hardState.GetCommit() > last {
		return fmt.Errorf("%w: %d entries are missing at its end", ErrCorrupt, hardState.GetCommit()-last)
	}
	return nil
}

// Checkpoint is all that this voter must hold, as one record: the disk may put it in place of all that it has.
func (n *Node) Checkpoint() ([]byte, error) {
	snapshot, _ := n.storage.Snapshot() // neither gives an error
	hardState, _, _ := n.storage.InitialState()
	first, _ := n.storage.FirstIndex()
	last, _ := n.storage.LastIndex()
	var entries []*raftpb.Entry
	if last >= first {
		var err error
		if entries, err = n.storage.Entries(first, last+1, 1<<62); err != nil {
			return nil, err
		}
	}
	return encodeRecord(&n.self, snapshot, entries, hardState)
}

// snapshotStorage is what raft reads its log from. The snapshot that it sends to another voter is of what is applied now: one that
// was made before a member joined does not name it, and the member would refuse it.
type snapshotStorage struct {
	*raft.MemoryStorage
	node *Node
}

// Snapshot implements raft.Storage.
func (s snapshotStorage) Snapshot() (*raftpb.Snapshot, error) {
	data, err := s.node.encodeSnapshot()
	index, term := s.node.appliedIndex, s.node.appliedTerm
	return &raftpb.Snapshot{Data: data,
		Metadata: &raftpb.SnapshotMetadata{ConfState: s.node.confState, Index: &index, Term: &term}}, err
}

// encodeSnapshot is all that the voters hold alike.
func (n *Node) encodeSnapshot() ([]byte, error) {
	state, err := n.state.Snapshot()
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(snapshotData{n.membership, state})
}

// Compact makes a snapshot of what is applied and drops the entries before it, but for the latest keep: a voter that
// is not further behind gets those, not all of it.
func (n *Node) Compact(keep uint64) error {
	snapshot, _ := n.storage.Snapshot()
	if n.appliedIndex <= snapshot.GetMetadata().GetIndex() {
		return nil
	}
	data, err := n.encodeSnapshot()
	if err != nil {
		return err
	}
	if _, err := n.storage.CreateSnapshot(n.appliedIndex, n.confState, data); err != nil {
		return err
	}
	first, _ := n.storage.FirstIndex()
	if n.appliedIndex > keep && n.appliedIndex-keep >= first {
		return n.storage.Compact(n.appliedIndex - keep)
	}
	return nil
}
