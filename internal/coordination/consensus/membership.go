package consensus

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

type progress = tracker.Progress

// The log begins with a snapshot that all first members make alike: one that joins later and has nothing is sent a
// snapshot too, never entries whose beginning it lacks.
const initialIndex, initialTerm = 1, 1

// membership is who the members are. It is part of what all voters hold alike.
type membership struct {
	Members       []coordination.Member `cbor:"1,keyasint"` // by number
	HighestNumber uint64                `cbor:"2,keyasint"` // highest number ever given: none is used twice
	ClusterID     uint64                `cbor:"3,keyasint"` // drawn from the first members: messages of another log are refused
}

func (m *membership) find(number uint64) (coordination.Member, bool) {
	for _, member := range m.Members {
		if member.Number == number {
			return member, true
		}
	}
	return coordination.Member{}, false
}

func (m *membership) list() []coordination.Member { return slices.Clone(m.Members) }

// wasRemoved tells whether a number was given once and taken back.
func (m *membership) wasRemoved(number uint64) bool {
	_, ok := m.find(number)
	return !ok && number <= m.HighestNumber
}

// validate tells what is wrong with a change.
func (m *membership) validate(member coordination.Member, remove bool) error {
	if remove {
		switch _, ok := m.find(member.Number); {
		case !ok:
			return fmt.Errorf("no member has number %d", member.Number)
		case len(m.Members) == 1:
			return errors.New("the last member cannot be removed")
		}
		return nil
	}
	switch {
	case member.Number <= m.HighestNumber:
		return fmt.Errorf("number %d was given before; the next is %d", member.Number, m.HighestNumber+1)
	case member.Number >= numberLimit:
		return fmt.Errorf("number %d is too high; the next is %d", member.Number, m.HighestNumber+1)
	case member.Name == "" || member.Address == "":
		return errors.New("a member needs a name and an address")
	case slices.ContainsFunc(m.Members, func(o coordination.Member) bool { return o.Address == member.Address }):
		return fmt.Errorf("another member has the address %s: remove it first", member.Address)
	}
	return nil
}

func (m *membership) update(member coordination.Member, remove bool) {
	m.Members = slices.Clone(m.Members)
	if remove {
		m.Members = slices.DeleteFunc(m.Members, func(o coordination.Member) bool { return o.Number == member.Number })
		return
	}
	m.Members, m.HighestNumber = append(m.Members, member), member.Number
}

// snapshotData is what a snapshot holds.
type snapshotData struct {
	Membership membership `cbor:"1,keyasint"`
	State      []byte     `cbor:"2,keyasint"`
}

// bootstrap makes the first snapshot. A first member whose disk is not named has it written down once it is heard of.
func (n *Node) bootstrap(initialMembers []coordination.Member) error {
	members := membership{Members: slices.Clone(initialMembers)}
	slices.SortFunc(members.Members, func(a, b coordination.Member) int { return int(a.Number) - int(b.Number) })
	conf := &raftpb.ConfState{}
	for i := range members.Members {
		members.HighestNumber = members.Members[i].Number
		conf.Voters = append(conf.Voters, members.HighestNumber)
	}
	if _, ok := members.find(n.self.Number); !ok {
		return fmt.Errorf("number %d is not among the first members", n.self.Number)
	}
	names, err := encMode.Marshal(members.Members)
	if err != nil {
		return err
	}
	members.ClusterID = xxhash.Sum64(names)
	state, err := statemachine.New().Snapshot()
	if err != nil {
		return err
	}
	data, err := encMode.Marshal(snapshotData{members, state})
	if err != nil {
		return err
	}
	index, term := uint64(initialIndex), uint64(initialTerm)
	if err := n.storage.ApplySnapshot(&raftpb.Snapshot{Data: data,
		Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &index, Term: &term}}); err != nil {
		return err
	}
	return n.storage.SetHardState(&raftpb.HardState{Term: &term, Commit: &index})
}

// restoreSnapshot puts a snapshot in place of what is applied.
func (n *Node) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	if snapshot.GetMetadata().GetIndex() == 0 {
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
	n.membership, n.confState = data.Membership, snapshot.GetMetadata().GetConfState()
	n.appliedIndex, n.appliedTerm = snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetTerm()
	return nil
}

// membershipChange is what stands beside a change of the members in the log.
type membershipChange struct {
	Seq    uint64              `cbor:"1,keyasint"`
	From   uint64              `cbor:"2,keyasint"`
	Member coordination.Member `cbor:"3,keyasint"`
	Remove bool                `cbor:"4,keyasint"`
}

// ChangeMembership adds a member or removes one, and gives the number under which Done tells that it is so. Errors: ErrNotLeader,
// ErrChange, or what is wrong with it.
func (n *Node) ChangeMembership(member coordination.Member, remove bool) (uint64, error) {
	if !n.IsLeader() {
		return 0, coordination.ErrNotLeader
	}
	// The library writes nothing in place of a change that comes too early, and says nothing of it: one of an earlier
	// leader may be on its way, or one of this voter's own.
	if !n.IsEstablishedLeader() || n.pendingChangeTerm == n.appliedTerm {
		return 0, ErrChangePending
	}
	if err := n.membership.validate(member, remove); err != nil {
		return 0, err
	}
	n.lastSeq++
	data, err := encMode.Marshal(membershipChange{n.lastSeq, n.self.Number, member, remove})
	if err != nil {
		return 0, err
	}
	kind := raftpb.ConfChangeAddNode
	if remove {
		kind = raftpb.ConfChangeRemoveNode
	}
	if err := n.raftNode.ProposeConfChange(&raftpb.ConfChangeV2{Context: data,
		Changes: []*raftpb.ConfChangeSingle{{Type: &kind, NodeId: &member.Number}}}); err != nil {
		return 0, coordination.ErrNotLeader
	}
	n.pendingChangeTerm = n.appliedTerm
	return n.lastSeq, nil
}

// ProposeDiskIDs has the disks of members that have none yet written down, as far as they were heard of.
func (n *Node) ProposeDiskIDs() {
	if !n.IsEstablishedLeader() {
		return
	}
	for _, member := range n.membership.Members {
		if member.DiskID != "" {
			continue
		}
		if member.DiskID = n.peers[member.Number].DiskID; member.Number == n.self.Number {
			member.DiskID = n.self.DiskID
		}
		if member.DiskID != "" {
			_, _ = n.propose(logEntry{Disk: &member}) // asked again if it comes to nothing
		}
	}
}
