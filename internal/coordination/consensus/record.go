package consensus

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harrierhoist/internal/coordination"
)

// record is what is written to the disk in one piece.
type record struct {
	Self      *coordination.Member `cbor:"1,keyasint,omitempty"` // in a checkpoint
	Snapshot  []byte               `cbor:"2,keyasint,omitempty"` // raftpb.Snapshot
	Entries   [][]byte             `cbor:"3,keyasint,omitempty"` // raftpb.Entry each
	HardState []byte               `cbor:"4,keyasint,omitempty"` // raftpb.HardState
}

// durableState is what a record holds, in Raft's types. Each part may be empty.
type durableState struct {
	snapshot  *raftpb.Snapshot
	entries   []*raftpb.Entry
	hardState *raftpb.HardState
}

// encode makes a record; self is nil but in a checkpoint.
func (d durableState) encode(self *coordination.Member) ([]byte, error) {
	encoded := record{Self: self}
	var err error
	if !raft.IsEmptySnap(d.snapshot) {
		encoded.Snapshot, err = proto.Marshal(d.snapshot)
		if err != nil {
			return nil, err
		}
	}
	for _, entry := range d.entries {
		b, err := proto.Marshal(entry)
		if err != nil {
			return nil, err
		}
		encoded.Entries = append(encoded.Entries, b)
	}
	if !raft.IsEmptyHardState(d.hardState) {
		encoded.HardState, err = proto.Marshal(d.hardState)
		if err != nil {
			return nil, err
		}
	}
	return encMode.Marshal(encoded)
}

// decodeRecord is the inverse of encode; self is nil where the record has none.
func decodeRecord(b []byte) (self *coordination.Member, durable durableState, err error) {
	var encoded record
	if err := cbor.Unmarshal(b, &encoded); err != nil {
		return nil, durable, err
	}
	durable.snapshot = &raftpb.Snapshot{}
	durable.hardState = &raftpb.HardState{}
	if err := proto.Unmarshal(encoded.Snapshot, durable.snapshot); err != nil {
		return nil, durable, err
	}
	if err := proto.Unmarshal(encoded.HardState, durable.hardState); err != nil {
		return nil, durable, err
	}
	for _, b := range encoded.Entries {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(b, entry); err != nil {
			return nil, durable, err
		}
		durable.entries = append(durable.entries, entry)
	}
	return encoded.Self, durable, nil
}

// appendToStorage puts what is on disk into the storage that Raft reads from.
func (n *Node) appendToStorage(d durableState) error {
	if !raft.IsEmptySnap(d.snapshot) {
		if err := n.storage.ApplySnapshot(d.snapshot); err != nil {
			return err
		}
	}
	if err := n.storage.Append(d.entries); err != nil {
		return err
	}
	if raft.IsEmptyHardState(d.hardState) {
		return nil
	}
	return n.storage.SetHardState(d.hardState)
}

// replay reads the records on disk in the order in which they were written.
func (n *Node) replay(records [][]byte) error {
	for i, b := range records {
		self, durable, err := decodeRecord(b)
		if err == nil {
			err = n.appendToStorage(durable)
		}
		if err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrCorrupt, i, err)
		}
		if self != nil {
			n.self = *self
		}
	}
	hardState, _, _ := n.storage.InitialState() // never fails
	last, _ := n.storage.LastIndex()            // never fails
	if hardState.GetCommit() > last {
		return fmt.Errorf("%w: %d entries are missing at its end", ErrCorrupt, hardState.GetCommit()-last)
	}
	return nil
}

// Checkpoint returns everything that this voter must hold on disk as one record, which may replace
// all earlier ones.
func (n *Node) Checkpoint() ([]byte, error) {
	var d durableState
	d.snapshot, _ = n.storage.Snapshot()         // never fails
	d.hardState, _, _ = n.storage.InitialState() // never fails
	first, _ := n.storage.FirstIndex()           // never fails
	last, _ := n.storage.LastIndex()             // never fails
	if last >= first {
		var err error
		d.entries, err = n.storage.Entries(first, last+1, math.MaxUint64)
		if err != nil {
			return nil, err
		}
	}
	return d.encode(&n.self)
}
