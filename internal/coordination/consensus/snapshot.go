package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// The log begins with a snapshot that every initial member makes identically. So a voter that joins
// later with nothing is sent a snapshot too, never entries whose beginning it lacks.
const initialIndex, initialTerm = 1, 1

// snapshotData is the data of a Raft snapshot.
type snapshotData struct {
	Membership membership `cbor:"1,keyasint"`
	State      []byte     `cbor:"2,keyasint"` // see statemachine.State.Snapshot
}

// snapshotStorage is what Raft reads its log from. A snapshot that it sends is of what is applied
// at that moment: an older one might not list a member that joined since, which would then reject
// it.
type snapshotStorage struct {
	*raft.MemoryStorage
	node *Node
}

// Snapshot implements raft.Storage.
func (s snapshotStorage) Snapshot() (*raftpb.Snapshot, error) {
	data, err := s.node.encodeSnapshot()
	return newSnapshot(data, s.node.confState, s.node.appliedIndex, s.node.appliedTerm), err
}

// newSnapshot returns a snapshot of what is applied up to an index.
func newSnapshot(data []byte, confState *raftpb.ConfState, index, term uint64) *raftpb.Snapshot {
	return &raftpb.Snapshot{
		Data:     data,
		Metadata: &raftpb.SnapshotMetadata{ConfState: confState, Index: &index, Term: &term},
	}
}

// bootstrap makes the first snapshot. The disk of an initial member whose disk ID is not given is
// bound to its number once the member is heard from.
func (n *Node) bootstrap(initialMembers []coordination.Member) error {
	members, err := newMembership(initialMembers)
	if err != nil {
		return err
	}
	if _, ok := members.find(n.self.Number); !ok {
		return fmt.Errorf("number %d is not among the initial members", n.self.Number)
	}
	state, err := statemachine.New().Snapshot()
	if err != nil {
		return err
	}
	data, err := encMode.Marshal(snapshotData{members, state})
	if err != nil {
		return err
	}
	confState := &raftpb.ConfState{}
	for _, member := range members.Members {
		confState.Voters = append(confState.Voters, member.Number)
	}
	if err := n.storage.ApplySnapshot(newSnapshot(data, confState, initialIndex, initialTerm)); err != nil {
		return err
	}
	index := uint64(initialIndex)
	term := uint64(initialTerm)
	return n.storage.SetHardState(&raftpb.HardState{Term: &term, Commit: &index})
}

// encodeSnapshot returns the replicated state as the data of a snapshot.
func (n *Node) encodeSnapshot() ([]byte, error) {
	state, err := n.state.Snapshot()
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(snapshotData{n.membership, state})
}

// restoreSnapshot replaces the applied state by a snapshot.
func (n *Node) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	metadata := snapshot.GetMetadata()
	if metadata.GetIndex() == 0 {
		n.confState = &raftpb.ConfState{}
		return nil
	}
	var data snapshotData
	if err := cbor.Unmarshal(snapshot.GetData(), &data); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err := n.state.Restore(data.State); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	n.membership = data.Membership
	n.confState = metadata.GetConfState()
	n.appliedIndex = metadata.GetIndex()
	n.appliedTerm = metadata.GetTerm()
	return nil
}

// Compact makes a snapshot of what is applied and drops the entries before it, except for the
// latest retained ones: a voter that is not further behind is sent those instead of the snapshot.
func (n *Node) Compact(retained uint64) error {
	snapshot, _ := n.storage.Snapshot() // never fails
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
	first, _ := n.storage.FirstIndex() // never fails
	if n.appliedIndex > retained && n.appliedIndex-retained >= first {
		return n.storage.Compact(n.appliedIndex - retained)
	}
	return nil
}
