package consensus

import (
	"encoding/binary"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// logEntry is the data of every log entry other than a membership change.
type logEntry struct {
	Seq     uint64                `cbor:"1,keyasint"` // of the call at the voter that proposed it
	From    uint64                `cbor:"2,keyasint"` // number of that voter
	Command *statemachine.Command `cbor:"3,keyasint,omitempty"`
	Disk    *coordination.Member  `cbor:"4,keyasint,omitempty"` // Number and DiskID: binds the number to the disk
}

// propose has the leader append an entry to the log, and returns its sequence number. Raft rejects
// it where this voter does not lead, where it is handing over the lead, or where more than
// maxUncommittedBytes are not committed yet.
func (n *Node) propose(entry logEntry) (uint64, error) {
	n.lastSeq++
	entry.Seq = n.lastSeq
	entry.From = n.self.Number
	data, err := encMode.Marshal(entry)
	if err != nil {
		return 0, err
	}
	if err := n.raftNode.Propose(data); err != nil {
		return 0, coordination.ErrNotLeader
	}
	return n.lastSeq, nil
}

// Propose proposes a command and returns the sequence number under which Advance returns its
// outcome. Error: ErrNotLeader, also if too many proposals are not committed yet.
func (n *Node) Propose(command statemachine.Command) (uint64, error) {
	return n.propose(logEntry{Command: &command})
}

// ProposeDiskIDs proposes to bind the numbers of members whose disks are not known yet to the disks
// that they were heard from. Only an established leader does so.
func (n *Node) ProposeDiskIDs() {
	if !n.IsEstablishedLeader() {
		return
	}
	for _, member := range n.membership.Members {
		if member.DiskID != "" {
			continue
		}
		member.DiskID = n.peers[member.Number].DiskID
		if member.Number == n.self.Number {
			member.DiskID = n.self.DiskID
		}
		if member.DiskID != "" {
			_, _ = n.propose(logEntry{Disk: &member}) // the host calls again until the disk is known
		}
	}
}

// RequestReadIndex has a majority confirm who leads, and returns the sequence number under which
// Advance returns the index up to which this voter must have applied the log to be no older than
// the call. A request may be lost; the caller then makes another one.
func (n *Node) RequestReadIndex() uint64 {
	n.lastSeq++
	n.raftNode.ReadIndex(encodeReadContext(n.self.Number, n.lastSeq))
	return n.lastSeq
}

// A read context is the voter's number and the sequence number of the request.
const (
	readSequenceOffset = 8
	readContextBytes   = 16
)

// encodeReadContext makes the context by which a read index request is recognized when it is
// answered.
func encodeReadContext(number, seq uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, number), seq)
}

// decodeReadContext is its inverse; ok is false for a context of another form.
func decodeReadContext(context []byte) (number, seq uint64, ok bool) {
	if len(context) != readContextBytes {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(context), binary.BigEndian.Uint64(context[readSequenceOffset:]), true
}
