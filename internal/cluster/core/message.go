package core

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
)

// envelope is what one voter sends another.
type envelope struct {
	From    cluster.Member    `cbor:"1,keyasint"`
	Life    Life              `cbor:"3,keyasint"`
	Club    uint64            `cbor:"4,keyasint"` // 0: has none yet
	Raft    [][]byte          `cbor:"5,keyasint,omitempty"`
	Digests []evidence.Digest `cbor:"6,keyasint,omitempty"`
}

// bytes are the envelope with its checksum: raft goes by each number in a message, and one spoilt on the way would be
// taken for what the sender says.
func (e *envelope) bytes() ([]byte, error) {
	b, err := mode.Marshal(e)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), err
}

func open(message []byte) (e envelope, err error) {
	end := len(message) - 8
	if end < 0 || binary.BigEndian.Uint64(message[end:]) != xxhash.Sum64(message[:end]) {
		return e, errors.New("spoilt on the way")
	}
	return e, cbor.Unmarshal(message[:end], &e)
}

// numberMost is beyond any number of a member; the library keeps the highest ones for itself.
const numberMost = 1 << 32

// sender is what was last heard of a member.
type sender struct {
	cluster.Member
	life Life
}

func (c *Core) envelope() envelope {
	return envelope{From: c.self, Life: c.life, Club: c.members.Club}
}

// seal makes one message for each voter that something is sent to.
func (c *Core) seal(out []*raftpb.Message) ([]Message, error) {
	var to []uint64
	bodies := map[uint64]*envelope{}
	for _, m := range out {
		id := m.GetTo()
		if bodies[id] == nil {
			e := c.envelope()
			bodies[id], to = &e, append(to, id)
		}
		if m.GetType() == raftpb.MsgSnap {
			c.snaps[id] = 0
		}
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, err
		}
		bodies[id].Raft = append(bodies[id].Raft, b)
	}
	var all []Message
	for _, id := range to {
		m, ok := c.members.find(id)
		if !ok {
			if m, ok = c.heardOf(id); !ok {
				continue // removed meanwhile
			}
		}
		b, err := bodies[id].bytes()
		if err != nil {
			return nil, err
		}
		all = append(all, Message{m, b})
	}
	return all, nil
}

// heardOf is a member that this voter's log does not name yet: so the leader is to one that waits to be added.
func (c *Core) heardOf(id uint64) (cluster.Member, bool) {
	s, ok := c.heard[id]
	return s.Member, ok && !c.members.gone(id)
}

// Evidence makes a message of digests for the leader; false: none is known, or this voter leads itself.
func (c *Core) Evidence(digests []evidence.Digest) (Message, bool, error) {
	lead, ok := c.members.find(c.node.BasicStatus().Lead)
	if !ok || lead.Number == c.self.Number {
		return Message{}, false, nil
	}
	e := c.envelope()
	e.Digests = digests
	b, err := e.bytes()
	return Message{lead, b}, err == nil, err
}

// Step takes a message of another voter and gives the digests in it. Error: ErrRefused with what is wrong with it.
func (c *Core) Step(message []byte) ([]evidence.Digest, error) {
	e, err := open(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if err := c.admit(e); err != nil {
		return nil, err
	}
	for _, b := range e.Raft {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		if m.GetFrom() != e.From.Number || m.GetTo() != c.self.Number {
			return nil, fmt.Errorf("%w: from %d to %d, told by %d", ErrRefused, m.GetFrom(), m.GetTo(), e.From.Number)
		}
		c.step(m)
	}
	return e.Digests, nil
}

// admit tells whether the sender is who it says. It guards against a disk that was emptied, copied or put back from an
// older copy, and against another installation; a member refused so is as good as lost and must come under a new number.
func (c *Core) admit(e envelope) error {
	from := e.From.Number
	was := c.heard[from]
	m, _ := c.members.find(from)
	switch {
	case from == 0 || from >= numberMost || from == c.self.Number:
		return fmt.Errorf("%w: it says to be number %d", ErrRefused, from)
	case e.Club != 0 && c.members.Club != 0 && e.Club != c.members.Club:
		return fmt.Errorf("%w: number %d is of another log", ErrRefused, from)
	case c.members.gone(from):
		return fmt.Errorf("%w: number %d was removed", ErrRefused, from)
	case m.Disk != "" && m.Disk != e.From.Disk, was.Disk != "" && was.Disk != e.From.Disk:
		return fmt.Errorf("%w: number %d came with another disk", ErrRefused, from)
	case e.Life.Count < was.life.Count:
		return fmt.Errorf("%w: number %d came with an earlier life of its disk", ErrRefused, from)
	case e.Life.Count == was.life.Count && e.Life.Nonce != was.life.Nonce:
		return fmt.Errorf("%w: number %d came twice: its disk was copied", ErrRefused, from)
	}
	c.heard[from] = sender{e.From, e.Life}
	return nil
}

// fromLeader are the messages that only a leader sends.
var fromLeader = []raftpb.MessageType{raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap}

func (c *Core) step(m *raftpb.Message) {
	before := c.node.BasicStatus()
	_ = c.node.Step(m) // a message that makes no sense changes nothing
	after := c.node.BasicStatus()
	if was, is := before.HardState, after.HardState; is.GetTerm() != was.GetTerm() || is.GetVote() != was.GetVote() {
		c.draw()
	}
	if after.Lead == m.GetFrom() && slices.Contains(fromLeader, m.GetType()) {
		c.quiet = 0
	}
}
