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

// Message is an encoded envelope for another voter.
type Message struct {
	To   coordination.Member
	Body []byte
}

// envelope is what one voter sends another.
type envelope struct {
	From         coordination.Member  `cbor:"1,keyasint"`
	Incarnation  Incarnation          `cbor:"3,keyasint"`
	ClusterID    uint64               `cbor:"4,keyasint"` // 0: none yet
	RaftMessages [][]byte             `cbor:"5,keyasint,omitempty"`
	Digests      []observation.Digest `cbor:"6,keyasint,omitempty"`
}

// checksumBytes is the size of the checksum at the end of a message.
const checksumBytes = 8

// encode returns the envelope with its checksum. Raft trusts every number in a message, so a
// damaged one would be taken for what the sender says.
func (e *envelope) encode() ([]byte, error) {
	b, err := encMode.Marshal(e)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), err
}

// decodeEnvelope is the inverse of encode. It rejects a message whose checksum does not match.
func decodeEnvelope(message []byte) (received envelope, err error) {
	end := len(message) - checksumBytes
	if end < 0 || binary.BigEndian.Uint64(message[end:]) != xxhash.Sum64(message[:end]) {
		return received, errors.New("checksum mismatch")
	}
	return received, cbor.Unmarshal(message[:end], &received)
}

// newEnvelope returns an envelope that identifies this voter and holds no messages.
func (n *Node) newEnvelope() envelope {
	return envelope{From: n.self, Incarnation: n.incarnation, ClusterID: n.membership.ClusterID}
}

// addressMessages packs Raft's messages into one envelope for each receiver, in the order of the
// first message to each.
func (n *Node) addressMessages(raftMessages []*raftpb.Message) ([]Message, error) {
	var receivers []uint64
	envelopes := map[uint64]*envelope{}
	for _, m := range raftMessages {
		id := m.GetTo()
		if envelopes[id] == nil {
			outgoing := n.newEnvelope()
			envelopes[id] = &outgoing
			receivers = append(receivers, id)
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
	for _, id := range receivers {
		to, ok := n.receiver(id)
		if !ok {
			continue // removed meanwhile
		}
		b, err := envelopes[id].encode()
		if err != nil {
			return nil, err
		}
		messages = append(messages, Message{to, b})
	}
	return messages, nil
}

// receiver returns a member, or a voter that this voter's log does not list yet: a voter that waits
// to be added has to answer the leader.
func (n *Node) receiver(id uint64) (coordination.Member, bool) {
	if member, ok := n.membership.find(id); ok {
		return member, true
	}
	p, ok := n.peers[id]
	return p.Member, ok && !n.membership.wasRemoved(id)
}

// DigestMessage makes a message with digests for the leader. It returns false if no leader is known
// or this voter leads.
func (n *Node) DigestMessage(digests []observation.Digest) (Message, bool, error) {
	leader, ok := n.membership.find(n.raftNode.BasicStatus().Lead)
	if !ok || leader.Number == n.self.Number {
		return Message{}, false, nil
	}
	outgoing := n.newEnvelope()
	outgoing.Digests = digests
	b, err := outgoing.encode()
	return Message{leader, b}, err == nil, err
}

// HandleMessage takes a message of another voter and returns the digests in it. Errors wrap
// ErrRejected: the message is damaged, or checkSender or checkRoute rejects it.
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
		if err := n.checkRoute(m, received.From.Number); err != nil {
			return nil, err
		}
		n.handleRaftMessage(m)
	}
	return received.Digests, nil
}

// checkRoute rejects one of Raft's messages that is not from the voter that sent the envelope, or
// not for this one.
func (n *Node) checkRoute(m *raftpb.Message, sender uint64) error {
	if m.GetFrom() != sender || m.GetTo() != n.self.Number {
		return fmt.Errorf("%w: from %d to %d, sent by %d", ErrRejected, m.GetFrom(), m.GetTo(), sender)
	}
	return nil
}

// leaderMessageTypes are the messages that only a leader sends.
var leaderMessageTypes = []raftpb.MessageType{raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap}

// handleRaftMessage hands a message to Raft, and restarts the wait for an election: with another
// timeout where the message changed the term or the vote, with the same one where it came from the
// leader.
func (n *Node) handleRaftMessage(m *raftpb.Message) {
	before := n.raftNode.BasicStatus()
	_ = n.raftNode.Step(m) // a message that Raft cannot use changes nothing
	after := n.raftNode.BasicStatus()
	if after.GetTerm() != before.GetTerm() || after.GetVote() != before.GetVote() {
		n.resetElectionTimer()
	}
	isFromLeader := after.Lead == m.GetFrom() && slices.Contains(leaderMessageTypes, m.GetType())
	if isFromLeader {
		n.ticksWithoutLeader = 0
	}
}
