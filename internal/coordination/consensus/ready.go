package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// Ready is what the host has to do, in this order: send Early; write Record and sync it; send Messages; call Done. Where
// the record cannot be written nothing more may be sent, and the voter has ended.
type Ready struct {
	// EarlyMessages are a leader's entries for the others, which may sync them while it does: it counts itself among those who
	// have them once its own are on disk (Ongaro, Consensus: Bridging Theory and Practice, 2014, 10.2.1).
	EarlyMessages []Message
	Record        []byte // nil: nothing, or only how far is committed, which the others tell again
	Messages      []Message
	raft          raft.Ready
}

// Message is for one other voter.
type Message struct {
	To   coordination.Member
	Body []byte
}

// AppliedResult is what became of calls.
type AppliedResult struct {
	Outcomes     []Outcome
	ReadIndexes  []ReadIndex
	StateChanged bool // something was applied
}

// Outcome is that of one proposal or change.
type Outcome struct {
	Seq    uint64
	Result statemachine.Result
	Err    error
}

// ReadIndex tells that a majority was asked after the call: once Index is applied here, what stands is no older than
// it.
type ReadIndex struct{ Seq, Index uint64 }

// Ready gives what is to be done next, or false. It must be followed by Done.
func (n *Node) Ready() (Ready, bool, error) {
	if !n.raftNode.HasReady() {
		return Ready{}, false, nil
	}
	ready := Ready{raft: n.raftNode.Ready()}
	if rd := &ready.raft; rd.MustSync || !raft.IsEmptySnap(rd.Snapshot) {
		var err error
		if ready.Record, err = encodeRecord(nil, rd.Snapshot, rd.Entries, rd.HardState); err != nil {
			return Ready{}, false, err
		}
	}
	early, late := n.splitEarly(ready.raft)
	var err, err2 error
	ready.EarlyMessages, err = n.addressMessages(early)
	ready.Messages, err2 = n.addressMessages(late)
	return ready, true, errors.Join(err, err2)
}

// splitEarly parts the messages that may be sent before the record is on disk: those of a leader whose term and vote are
// there already.
func (n *Node) splitEarly(rd raft.Ready) (early, late []*raftpb.Message) {
	was, _, _ := n.storage.InitialState() // gives no error
	hardState := rd.HardState
	if !raft.IsEmptyHardState(hardState) && (hardState.GetTerm() != was.GetTerm() || hardState.GetVote() != was.GetVote()) ||
		!raft.IsEmptySnap(rd.Snapshot) {
		return nil, rd.Messages
	}
	for _, m := range rd.Messages {
		if m.GetType() == raftpb.MsgApp {
			early = append(early, m)
		} else {
			late = append(late, m)
		}
	}
	return early, late
}

// Advance tells the core that the record is on disk and the messages are sent.
func (n *Node) Advance(ready Ready) (applied AppliedResult, err error) {
	if err := n.appendToStorage(ready.raft.Snapshot, ready.raft.Entries, ready.raft.HardState); err != nil {
		return applied, err
	}
	if !raft.IsEmptySnap(ready.raft.Snapshot) {
		if err := n.restoreSnapshot(ready.raft.Snapshot); err != nil {
			return applied, err
		}
		applied.StateChanged = true
	}
	for _, entry := range ready.raft.CommittedEntries {
		if err := n.applyEntry(entry, &applied); err != nil {
			return applied, fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
		}
		applied.StateChanged = true
	}
	for _, s := range ready.raft.ReadStates {
		if len(s.RequestCtx) == 16 && binary.BigEndian.Uint64(s.RequestCtx) == n.self.Number {
			applied.ReadIndexes = append(applied.ReadIndexes, ReadIndex{binary.BigEndian.Uint64(s.RequestCtx[8:]), s.Index})
		}
	}
	n.raftNode.Advance(ready.raft)
	if member, ok := n.membership.find(n.self.Number); ok && member.DiskID != "" && member.DiskID != n.self.DiskID {
		return applied, fmt.Errorf("%w: number %d", ErrDiskMismatch, member.Number)
	}
	return applied, nil
}

func (n *Node) applyEntry(entry *raftpb.Entry, applied *AppliedResult) error {
	if entry.GetIndex() != n.appliedIndex+1 {
		return fmt.Errorf("%w: it follows %d", ErrCorrupt, n.appliedIndex)
	}
	n.appliedIndex, n.appliedTerm = entry.GetIndex(), entry.GetTerm()
	if entry.GetType() == raftpb.EntryConfChangeV2 {
		return n.applyMembershipChange(entry, applied)
	}
	if len(entry.GetData()) == 0 {
		return nil // a new leader's first, or a change that came while another was under way
	}
	var decoded logEntry
	if err := cbor.Unmarshal(entry.GetData(), &decoded); err != nil {
		return err
	}
	var result statemachine.Result
	switch {
	case decoded.Command != nil:
		result = n.state.Apply(n.appliedIndex, *decoded.Command)
	case decoded.Disk != nil:
		n.membership.setDiskID(*decoded.Disk)
	}
	if decoded.From == n.self.Number {
		applied.Outcomes = append(applied.Outcomes, Outcome{Seq: decoded.Seq, Result: result})
	}
	return nil
}

// setDiskID writes down a disk where none stands yet: the first one stays.
func (m *membership) setDiskID(member coordination.Member) {
	for i := range m.Members {
		if m.Members[i].Number == member.Number && m.Members[i].DiskID == "" {
			m.Members[i].DiskID = member.DiskID
		}
	}
}

func (n *Node) applyMembershipChange(entry *raftpb.Entry, applied *AppliedResult) error {
	confChange := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), confChange); err != nil {
		return err
	}
	if len(confChange.GetContext()) == 0 { // not one of ours
		return fmt.Errorf("%w: a change without its member", ErrCorrupt)
	}
	var decoded membershipChange
	if err := cbor.Unmarshal(confChange.GetContext(), &decoded); err != nil {
		return err
	}
	n.pendingChangeTerm = 0
	err := n.membership.validate(decoded.Member, decoded.Remove) // all voters find the same
	if err == nil {
		n.membership.update(decoded.Member, decoded.Remove)
		n.confState = n.raftNode.ApplyConfChange(confChange)
	}
	if decoded.From == n.self.Number {
		applied.Outcomes = append(applied.Outcomes, Outcome{Seq: decoded.Seq, Err: err})
	}
	return nil
}
