package consensus

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harrierhoist/internal/coordination/statemachine"
)

// Ready is what the host has to do, in this order: send EarlyMessages; write Record and sync it;
// send Messages; call Advance. If the record cannot be written, nothing more may be sent and the
// voter has to stop.
type Ready struct {
	// EarlyMessages are a leader's entries for the others, which may sync them while the leader
	// does: it counts itself among those who have them once its own are on disk (Ongaro, Consensus:
	// Bridging Theory and Practice, 2014, 10.2.1).
	EarlyMessages []Message
	Record        []byte // nil: nothing, or only the commit index, which the others send again
	Messages      []Message
	raft          raft.Ready
}

// durable is the part of Ready that its record holds.
func (r *Ready) durable() durableState {
	return durableState{r.raft.Snapshot, r.raft.Entries, r.raft.HardState}
}

// AppliedResult is what came of earlier calls.
type AppliedResult struct {
	Outcomes     []Outcome
	ReadIndexes  []ReadIndex
	StateChanged bool // an entry or a snapshot was applied
}

// Outcome is the result of a proposal or of a membership change.
type Outcome struct {
	Seq    uint64 // as Propose or ChangeMembership returned it
	Result statemachine.Result
	Err    error // of a membership change: why it was invalid
}

// ReadIndex is the answer to RequestReadIndex: a majority was asked after the call, and once Index
// is applied here, the state is no older than the call.
type ReadIndex struct{ Seq, Index uint64 }

// Ready returns what is to be done next, or false. It must be followed by Advance.
func (n *Node) Ready() (Ready, bool, error) {
	if !n.raftNode.HasReady() {
		return Ready{}, false, nil
	}
	ready := Ready{raft: n.raftNode.Ready()}
	if ready.raft.MustSync || !raft.IsEmptySnap(ready.raft.Snapshot) {
		var err error
		ready.Record, err = ready.durable().encode(nil)
		if err != nil {
			return Ready{}, false, err
		}
	}
	early, late := n.splitEarly(&ready.raft)
	var earlyErr, lateErr error
	ready.EarlyMessages, earlyErr = n.addressMessages(early)
	ready.Messages, lateErr = n.addressMessages(late)
	return ready, true, errors.Join(earlyErr, lateErr)
}

// changesVote reports whether a record holds another term or vote than the disk.
func (n *Node) changesVote(ready *raft.Ready) bool {
	hardState := ready.HardState
	if raft.IsEmptyHardState(hardState) {
		return false
	}
	onDisk, _, _ := n.storage.InitialState() // never fails
	return hardState.GetTerm() != onDisk.GetTerm() || hardState.GetVote() != onDisk.GetVote()
}

// splitEarly separates the messages that may be sent before the record is on disk: the entries of a
// leader whose term and vote are there already.
func (n *Node) splitEarly(ready *raft.Ready) (early, late []*raftpb.Message) {
	if n.changesVote(ready) || !raft.IsEmptySnap(ready.Snapshot) {
		return nil, ready.Messages
	}
	for _, m := range ready.Messages {
		if m.GetType() == raftpb.MsgApp {
			early = append(early, m)
		} else {
			late = append(late, m)
		}
	}
	return early, late
}

// Advance takes notice that the record is on disk and the messages are sent, and applies what is
// committed. After an error, such as ErrDiskMismatch, the voter has to stop.
func (n *Node) Advance(ready Ready) (applied AppliedResult, err error) {
	if err := n.appendToStorage(ready.durable()); err != nil {
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
		if number, seq, ok := decodeReadContext(s.RequestCtx); ok && number == n.self.Number {
			applied.ReadIndexes = append(applied.ReadIndexes, ReadIndex{seq, s.Index})
		}
	}
	n.raftNode.Advance(ready.raft)
	return applied, n.checkOwnDisk()
}

// checkOwnDisk decides whether this voter may go on: the log does not bind its number to another
// disk. One whose disk was emptied has forgotten its votes, and could vote twice.
func (n *Node) checkOwnDisk() error {
	member, isMember := n.membership.find(n.self.Number)
	if isMember && member.DiskID != "" && member.DiskID != n.self.DiskID {
		return fmt.Errorf("%w: number %d", ErrDiskMismatch, member.Number)
	}
	return nil
}

// applyEntry applies a committed entry, which must follow the last one, and adds the outcome to
// applied where this voter proposed it.
func (n *Node) applyEntry(entry *raftpb.Entry, applied *AppliedResult) error {
	if entry.GetIndex() != n.appliedIndex+1 {
		return fmt.Errorf("%w: it follows %d", ErrCorrupt, n.appliedIndex)
	}
	n.appliedIndex = entry.GetIndex()
	n.appliedTerm = entry.GetTerm()
	if entry.GetType() == raftpb.EntryConfChangeV2 {
		return n.applyMembershipChange(entry, applied)
	}
	if len(entry.GetData()) == 0 {
		return nil // a new leader's first entry, or a membership change that came while another was pending
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

// applyMembershipChange applies a committed membership change, if it is still valid: another one
// may have been applied since it was proposed.
func (n *Node) applyMembershipChange(entry *raftpb.Entry, applied *AppliedResult) error {
	confChange := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), confChange); err != nil {
		return err
	}
	if len(confChange.GetContext()) == 0 { // not made by ChangeMembership
		return fmt.Errorf("%w: a membership change without its member", ErrCorrupt)
	}
	var decoded membershipChange
	if err := cbor.Unmarshal(confChange.GetContext(), &decoded); err != nil {
		return err
	}
	n.pendingChangeTerm = 0
	err := n.membership.validate(decoded.Member, decoded.Remove) // every voter comes to the same result
	if err == nil {
		n.membership.update(decoded.Member, decoded.Remove)
		n.confState = n.raftNode.ApplyConfChange(confChange)
	}
	if decoded.From == n.self.Number {
		applied.Outcomes = append(applied.Outcomes, Outcome{Seq: decoded.Seq, Err: err})
	}
	return nil
}
