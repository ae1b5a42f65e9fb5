package consensus

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"harrierhoist/internal/coordination"
)

// progress is what the leader knows of another member's log.
type progress = tracker.Progress

// membership is who the members are. It is part of the replicated state.
type membership struct {
	Members       []coordination.Member `cbor:"1,keyasint"` // by number
	HighestNumber uint64                `cbor:"2,keyasint"` // highest number ever given: none is reused
	// ClusterID is derived from the initial members. Messages of another log are rejected by it.
	ClusterID uint64 `cbor:"3,keyasint"`
}

// newMembership makes the membership that a log begins with. Every initial member must derive the
// same one.
func newMembership(initialMembers []coordination.Member) (membership, error) {
	m := membership{Members: slices.Clone(initialMembers)}
	slices.SortFunc(m.Members, func(a, b coordination.Member) int { return int(a.Number) - int(b.Number) })
	m.HighestNumber = m.Members[len(m.Members)-1].Number
	encoded, err := encMode.Marshal(m.Members)
	m.ClusterID = xxhash.Sum64(encoded)
	return m, err
}

// find returns the member of a number, and whether there is one.
func (m *membership) find(number uint64) (coordination.Member, bool) {
	i := slices.IndexFunc(m.Members, func(member coordination.Member) bool { return member.Number == number })
	if i < 0 {
		return coordination.Member{}, false
	}
	return m.Members[i], true
}

func (m *membership) list() []coordination.Member { return slices.Clone(m.Members) }

// wasRemoved reports whether a number was given once and its member is gone.
func (m *membership) wasRemoved(number uint64) bool {
	_, ok := m.find(number)
	return !ok && number <= m.HighestNumber
}

// validate decides whether a change may be made, and returns why not: a number is given only once,
// and an address belongs to one member at a time.
func (m *membership) validate(member coordination.Member, remove bool) error {
	if remove {
		return m.validateRemoval(member.Number)
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

// validateRemoval is validate for the removal of a member.
func (m *membership) validateRemoval(number uint64) error {
	if _, ok := m.find(number); !ok {
		return fmt.Errorf("no member has number %d", number)
	}
	if len(m.Members) == 1 {
		return errors.New("the last member cannot be removed")
	}
	return nil
}

// update applies a valid change. It copies the list, as earlier ones may still be in use.
func (m *membership) update(member coordination.Member, remove bool) {
	m.Members = slices.Clone(m.Members)
	if remove {
		m.Members = slices.DeleteFunc(
			m.Members,
			func(other coordination.Member) bool { return other.Number == member.Number },
		)
		return
	}
	m.Members = append(m.Members, member)
	m.HighestNumber = member.Number
}

// setDiskID binds a member's number to its disk, unless it is bound already.
func (m *membership) setDiskID(member coordination.Member) {
	for i := range m.Members {
		if m.Members[i].Number == member.Number && m.Members[i].DiskID == "" {
			m.Members[i].DiskID = member.DiskID
		}
	}
}

// membershipChange is the context of a membership change in the log.
type membershipChange struct {
	Seq    uint64              `cbor:"1,keyasint"` // of the call at the voter that proposed it
	From   uint64              `cbor:"2,keyasint"` // number of that voter
	Member coordination.Member `cbor:"3,keyasint"`
	Remove bool                `cbor:"4,keyasint"`
}

// isChangePending decides whether a membership change has to wait: another one may not be applied
// yet, of an earlier leader or of this one in this term. Raft would silently replace a second one
// by an empty entry.
func (n *Node) isChangePending() bool {
	return !n.IsEstablishedLeader() || n.pendingChangeTerm == n.appliedTerm
}

// ChangeMembership proposes to add a member, or to remove the one with that number, and returns the
// sequence number under which Advance returns the outcome. Errors: ErrNotLeader, ErrChangePending,
// or why the change is invalid.
func (n *Node) ChangeMembership(member coordination.Member, remove bool) (uint64, error) {
	if !n.IsLeader() {
		return 0, coordination.ErrNotLeader
	}
	if n.isChangePending() {
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
	changeType := raftpb.ConfChangeAddNode
	if remove {
		changeType = raftpb.ConfChangeRemoveNode
	}
	if err := n.raftNode.ProposeConfChange(&raftpb.ConfChangeV2{
		Context: data,
		Changes: []*raftpb.ConfChangeSingle{{Type: &changeType, NodeId: &member.Number}},
	}); err != nil {
		return 0, coordination.ErrNotLeader
	}
	n.pendingChangeTerm = n.appliedTerm
	return n.lastSeq, nil
}
