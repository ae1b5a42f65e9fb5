package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
)

// envelope is what one voter sends another.
type envelope struct {
	From         coordination.Member  `cbor:"1,keyasint"`
	Incarnation  Incarnation          `cbor:"3,keyasint"`
	ClusterID    uint64               `cbor:"4,keyasint"` // 0: has none yet
	RaftMessages [][]byte             `cbor:"5,keyasint,omitempty"`
	Digests      []observation.Digest `cbor:"6,keyasint,omitempty"`
}

// encode are the envelope with its checksum: raft goes by each number in a message, and one spoilt on the way would be
// taken for what the sender says.
func (e *envelope) encode() ([]byte, error) {
	b, err := encMode.Marshal(e)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), err
}

func decodeEnvelope(message []byte) (received envelope, err error) {
	end := len(message) - 8
	if end < 0 || binary.BigEndian.Uint64(message[end:]) != xxhash.Sum64(message[:end]) {
		return received, errors.New("spoilt on the way")
	}
	return received, cbor.Unmarshal(message[:end], &received)
}

// numberLimit is beyond any number of a member; the library keeps the highest ones for itself.
const numberLimit = 1 << 32

// peer is what was last heard of a member.
type peer struct {
	coordination.Member
	incarnation Incarnation
}

func (n *Node) newEnvelope() envelope {
	return envelope{From: n.self, Incarnation: n.incarnation, ClusterID: n.membership.ClusterID}
}

// addressMessages makes one message for each voter that something is sent to.
func (n *Node) addressMessages(out []*raftpb.Message) ([]Message, error) {
	var recipients []uint64
	envelopes := map[uint64]*envelope{}
	for _, m := range out {
		id := m.GetTo()
		if envelopes[id] == nil {
			received := n.newEnvelope()
			envelopes[id], recipients = &received, append(recipients, id)
		}
		if m.GetType() == raftpb.MsgSnap {
			n.snapshotAge[id] = 0
		}
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, err
		}
		envelopes[id].RaftMessages = append(envelopes[id].RaftMessages, b)
	}
	var messages []Message
	for _, id := range recipients {
		member, ok := n.membership.find(id)
		if !ok {
			if member, ok = n.unlistedPeer(id); !ok {
				continue // removed meanwhile
			}
		}
		b, err := envelopes[id].encode()
		if err != nil {
			return nil, err
		}
		messages = append(messages, Message{member, b})
	}
	return messages, nil
}

// unlistedPeer is a member that this voter's log does not name yet: so the leader is to one that waits to be added.
func (n *Node) unlistedPeer(id uint64) (coordination.Member, bool) {
	s, ok := n.peers[id]
	return s.Member, ok && !n.membership.wasRemoved(id)
}

// DigestMessage makes a message of digests for the leader; false: none is known, or this voter leads itself.
func (n *Node) DigestMessage(digests []observation.Digest) (Message, bool, error) {
	lead, ok := n.membership.find(n.raftNode.BasicStatus().Lead)
	if !ok || lead.Number == n.self.Number {
		return Message{}, false, nil
	}
	received := n.newEnvelope()
	received.Digests = digests
	b, err := received.encode()
	return Message{lead, b}, err == nil, err
}

// HandleMessage takes a message of another voter and gives the digests in it. Error: ErrRefused with what is wrong with it.
func (n *Node) HandleMessage(message []byte) ([]observation.Digest, error) {
	received, err := decodeEnvelope(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if err := n.checkSender(received); err != nil {
		return nil, err
	}
	for _, b := range received.RaftMessages {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRejected, err)
		}
		if m.GetFrom() != received.From.Number || m.GetTo() != n.self.Number {
			return nil, fmt.Errorf("%w: from %d to %d, told by %d", ErrRejected, m.GetFrom(), m.GetTo(), received.From.Number)
		}
		n.stepRaft(m)
	}
	return received.Digests, nil
}

// checkSender tells whether the sender is who it says. It guards against a disk that was emptied, copied or put back from an
// older copy, and against another installation; a member refused so is as good as lost and must come under a new number.
func (n *Node) checkSender(received envelope) error {
	from := received.From.Number
	previous := n.peers[from]
	member, _ := n.membership.find(from)
	switch {
	case from == 0 || from >= numberLimit || from == n.self.Number:
		return fmt.Errorf("%w: it says to be number %d", ErrRejected, from)
	case received.ClusterID != 0 && n.membership.ClusterID != 0 && received.ClusterID != n.membership.ClusterID:
		return fmt.Errorf("%w: number %d is of another log", ErrRejected, from)
	case n.membership.wasRemoved(from):
		return fmt.Errorf("%w: number %d was removed", ErrRejected, from)
	case member.DiskID != "" && member.DiskID != received.From.DiskID, previous.DiskID != "" && previous.DiskID != received.From.DiskID:
		return fmt.Errorf("%w: number %d came with another disk", ErrRejected, from)
	case received.Incarnation.Count < previous.incarnation.Count:
		return fmt.Errorf("%w: number %d came with an earlier life of its disk", ErrRejected, from)
	case received.Incarnation.Count == previous.incarnation.Count && received.Incarnation.Nonce != previous.incarnation.Nonce:
		return fmt.Errorf("%w: number %d came twice: its disk was copied", ErrRejected, from)
	}
	n.peers[from] = peer{received.From, received.Incarnation}
	return nil
}

// leaderMessageTypes are the messages that only a leader sends.
var leaderMessageTypes = []raftpb.MessageType{raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap}

func (n *Node) stepRaft(m *raftpb.Message) {
	before := n.raftNode.BasicStatus()
	_ = n.raftNode.Step(m) // a message that makes no sense changes nothing
	after := n.raftNode.BasicStatus()
	if was, is := before.HardState, after.HardState; is.GetTerm() != was.GetTerm() || is.GetVote() != was.GetVote() {
		n.resetElectionTimer()
	}
	if after.Lead == m.GetFrom() && slices.Contains(leaderMessageTypes, m.GetType()) {
		n.ticksWithoutLeader = 0
	}
}
