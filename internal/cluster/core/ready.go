package core

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
)

// Ready is what the host has to do, in this order: send Early; write Record and sync it; send Messages; call Done. Where
// the record cannot be written nothing more may be sent, and the voter has ended.
type Ready struct {
	// Early are a leader's entries for the others, which may sync them while it does: it counts itself among those who
	// have them once its own are on disk (Ongaro, Consensus: Bridging Theory and Practice, 2014, 10.2.1).
	Early    []Message
	Record   []byte // nil: nothing, or only how far is committed, which the others tell again
	Messages []Message
	raft     raft.Ready
}

// Message is for one other voter.
type Message struct {
	To   cluster.Member
	Body []byte
}

// Done is what became of calls.
type Done struct {
	Results  []Outcome
	Confirms []Confirmed
	News     bool // something was applied
}

// Outcome is that of one proposal or change.
type Outcome struct {
	Seq    uint64
	Result tables.Result
	Err    error
}

// Confirmed tells that a majority was asked after the call: once Index is applied here, what stands is no older than
// it.
type Confirmed struct{ Seq, Index uint64 }

// Ready gives what is to be done next, or false. It must be followed by Done.
func (c *Core) Ready() (Ready, bool, error) {
	if !c.node.HasReady() {
		return Ready{}, false, nil
	}
	r := Ready{raft: c.node.Ready()}
	if rd := &r.raft; rd.MustSync || !raft.IsEmptySnap(rd.Snapshot) {
		var err error
		if r.Record, err = pack(nil, rd.Snapshot, rd.Entries, rd.HardState); err != nil {
			return Ready{}, false, err
		}
	}
	early, late := c.early(r.raft)
	var err, err2 error
	r.Early, err = c.seal(early)
	r.Messages, err2 = c.seal(late)
	return r, true, errors.Join(err, err2)
}

// early parts the messages that may be sent before the record is on disk: those of a leader whose term and vote are
// there already.
func (c *Core) early(rd raft.Ready) (early, late []*raftpb.Message) {
	was, _, _ := c.store.InitialState() // gives no error
	h := rd.HardState
	if !raft.IsEmptyHardState(h) && (h.GetTerm() != was.GetTerm() || h.GetVote() != was.GetVote()) ||
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

// Done tells the core that the record is on disk and the messages are sent.
func (c *Core) Done(r Ready) (d Done, err error) {
	if err := c.keep(r.raft.Snapshot, r.raft.Entries, r.raft.HardState); err != nil {
		return d, err
	}
	if !raft.IsEmptySnap(r.raft.Snapshot) {
		if err := c.restore(r.raft.Snapshot); err != nil {
			return d, err
		}
		d.News = true
	}
	for _, e := range r.raft.CommittedEntries {
		if err := c.apply(e, &d); err != nil {
			return d, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		d.News = true
	}
	for _, s := range r.raft.ReadStates {
		if len(s.RequestCtx) == 16 && binary.BigEndian.Uint64(s.RequestCtx) == c.self.Number {
			d.Confirms = append(d.Confirms, Confirmed{binary.BigEndian.Uint64(s.RequestCtx[8:]), s.Index})
		}
	}
	c.node.Advance(r.raft)
	if m, ok := c.members.find(c.self.Number); ok && m.Disk != "" && m.Disk != c.self.Disk {
		return d, fmt.Errorf("%w: number %d", ErrOther, m.Number)
	}
	return d, nil
}

func (c *Core) apply(e *raftpb.Entry, d *Done) error {
	if e.GetIndex() != c.applied+1 {
		return fmt.Errorf("%w: it follows %d", ErrSpoilt, c.applied)
	}
	c.applied, c.term = e.GetIndex(), e.GetTerm()
	if e.GetType() == raftpb.EntryConfChangeV2 {
		return c.applyChange(e, d)
	}
	if len(e.GetData()) == 0 {
		return nil // a new leader's first, or a change that came while another was under way
	}
	var own entry
	if err := cbor.Unmarshal(e.GetData(), &own); err != nil {
		return err
	}
	var result tables.Result
	switch {
	case own.Command != nil:
		result = c.state.Apply(c.applied, *own.Command)
	case own.Mark != nil:
		c.members.mark(*own.Mark)
	}
	if own.From == c.self.Number {
		d.Results = append(d.Results, Outcome{Seq: own.Seq, Result: result})
	}
	return nil
}

// mark writes down a disk where none stands yet: the first one stays.
func (r *roll) mark(m cluster.Member) {
	for i := range r.Members {
		if r.Members[i].Number == m.Number && r.Members[i].Disk == "" {
			r.Members[i].Disk = m.Disk
		}
	}
}

func (c *Core) applyChange(e *raftpb.Entry, d *Done) error {
	cc := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), cc); err != nil {
		return err
	}
	if len(cc.GetContext()) == 0 { // not one of ours
		return fmt.Errorf("%w: a change without its member", ErrSpoilt)
	}
	var ch change
	if err := cbor.Unmarshal(cc.GetContext(), &ch); err != nil {
		return err
	}
	c.changing = 0
	err := c.members.check(ch.Member, ch.Remove) // all voters find the same
	if err == nil {
		c.members.change(ch.Member, ch.Remove)
		c.conf = c.node.ApplyConfChange(cc)
	}
	if ch.From == c.self.Number {
		d.Results = append(d.Results, Outcome{Seq: ch.Seq, Err: err})
	}
	return nil
}
