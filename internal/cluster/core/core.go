// Package core is a voter without its surroundings: the raft of go.etcd.io/raft/v3, the tables that its log makes, and
// the members. It knows no disk, socket, clock or goroutine: ticks, messages and calls are handed in, and what is to be
// written, sent and answered comes out. The same events with the same seed give the same actions.
package core

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
)

// All times are in ticks: the host says how long one lasts.
const (
	heartbeatTicks = 2       // twice within the time that a vote is refused for, with room for one lost
	electionTicks  = 10      // least time without a word of the leader before another may be voted for
	snapshotTicks  = 40      // after which a snapshot that nobody answered for is taken as lost
	messageBytes   = 1 << 20 // most of the entries in one message: below the links' limit for a body
	inflight       = 64      // messages on the way to one voter before its answers are waited for
	uncommitted    = 8 << 20 // bytes of proposals not yet written anywhere: beyond them proposals are refused
)

// Errors of a Core.
var (
	ErrSpoilt  = errors.New("what the disk holds does not fit together")
	ErrChange  = errors.New("another change of the members is under way")
	ErrRefused = errors.New("message refused")
	// ErrOther: the number was given to another disk. One that was emptied needs a new number.
	ErrOther = errors.New("this number belongs to another disk")
)

// Life is one start of a voter on its disk. Two lives of the same count on one mark mean that the disk was copied.
type Life struct {
	Count uint64 `cbor:"1,keyasint"` // of starts on this disk, from 1
	Nonce uint64 `cbor:"2,keyasint"` // drawn at the start
}

// Core is one voter. Not safe for use by several goroutines at once.
type Core struct {
	self    cluster.Member
	life    Life
	node    *raft.RawNode
	store   *raft.MemoryStorage
	state   *tables.State
	members roll
	conf    *raftpb.ConfState // as of the last entry applied
	applied uint64
	term    uint64 // of the last entry applied
	// changing is the term in which a change of the members was proposed that is not yet applied; 0: none
	changing uint64
	seq      uint64 // of calls: grows over lives, as its upper half is the life's count
	chance   *rand.Rand
	quiet    int            // ticks since a leader was heard of or a vote given
	patient  int            // ticks of quiet until this voter stands for election
	snaps    map[uint64]int // ticks since a snapshot was sent, by number
	heard    map[uint64]sender
}

var mode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// quiet is the library's log: what the operators must know comes back as an error or stands in Status.
var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// hush gives it to the library's store as well, which has one for all.
var hush = sync.OnceFunc(func() { raft.SetLogger(quiet) })

// Start makes a voter of what its disk holds. With none, first are the members that begin the log: all of them must be
// given the same, disks included, and the host must have Base written before anything else. Without those either, it
// waits for a leader that adds it. What the disk says of the voter's number goes before self. Errors: ErrSpoilt, or a
// number that is not among first.
func Start(self cluster.Member, life Life, first []cluster.Member, records [][]byte, seed uint64) (c *Core, err error) {
	defer func() {
		if p := recover(); p != nil { // the library's word for a log with gaps
			c, err = nil, fmt.Errorf("%w: %v", ErrSpoilt, p)
		}
	}()
	hush()
	c = &Core{self: self, life: life, store: raft.NewMemoryStorage(), state: tables.New(), seq: life.Count << 32,
		chance: rand.New(rand.NewPCG(seed, self.Number)), snaps: map[uint64]int{}, heard: map[uint64]sender{}}
	if len(records) == 0 && len(first) > 0 {
		if err := c.begin(first); err != nil {
			return nil, err
		}
	}
	if err := c.replay(records); err != nil {
		return nil, err
	}
	snap, _ := c.store.Snapshot() // gives no error
	if err := c.restore(snap); err != nil {
		return nil, err
	}
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.self.Number, ElectionTick: electionTicks,
		HeartbeatTick: heartbeatTicks, Storage: shelf{c.store, c}, Applied: c.applied, MaxSizePerMsg: messageBytes,
		MaxUncommittedEntriesSize: uncommitted, MaxInflightMsgs: inflight, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, Logger: quiet, DisableProposalForwarding: true, StepDownOnRemoval: true})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSpoilt, err)
	}
	c.draw()
	return c, nil
}

// draw begins a new patience, as the library would: it draws from a source that no seed can set, so the core counts
// the ticks of one that doesn't lead itself.
func (c *Core) draw() { c.quiet, c.patient = 0, electionTicks+c.chance.IntN(electionTicks) }

// Tick is one step of the host's clock.
func (c *Core) Tick() {
	if c.Leads() {
		c.node.Tick()
		for id := range c.snaps {
			c.snaps[id]++
			if c.snaps[id] >= snapshotTicks {
				delete(c.snaps, id)
				c.node.ReportSnapshot(id, raft.SnapshotFinish)
			}
		}
		return
	}
	clear(c.snaps)
	// Counts for the refusal of votes alone, and draws nothing; it is marked as old in the library, which has no
	// other way to leave the drawing to its user.
	c.node.TickQuiesced()
	if c.quiet++; c.quiet >= c.patient {
		c.draw()
		_ = c.node.Campaign() // one that isn't a member stays quiet
	}
}

// Leads tells whether this voter leads, as far as it knows.
func (c *Core) Leads() bool { return c.node.BasicStatus().RaftState == raft.StateLeader }

// Leader is the number of the voter that leads, as far as this one knows; 0: none.
func (c *Core) Leader() uint64 { return c.node.BasicStatus().Lead }

// Applied is the index of the last entry applied.
func (c *Core) Applied() uint64 { return c.applied }

// Settled tells whether it leads and has applied an entry of its own term: all that was ever acknowledged.
func (c *Core) Settled() bool {
	s := c.node.BasicStatus()
	return s.RaftState == raft.StateLeader && c.term == s.HardState.GetTerm()
}

// State is the tables as applied; it is the core's own and must not be changed.
func (c *Core) State() *tables.State { return c.state }

// Self is this voter as its disk has it.
func (c *Core) Self() cluster.Member { return c.self }

// Status is this voter as it sees itself.
func (c *Core) Status() cluster.Status {
	s := c.node.BasicStatus()
	return cluster.Status{Number: c.self.Number, Leader: s.Lead, Term: s.HardState.GetTerm(), Applied: c.applied,
		Members: c.members.sorted()}
}

// Transfer hands the lead to the member that has most of the log, before a planned end.
func (c *Core) Transfer() {
	best, match := uint64(0), uint64(0)
	c.node.WithProgress(func(id uint64, _ raft.ProgressType, p progress) {
		if id != c.self.Number && p.Match > match {
			best, match = id, p.Match
		}
	})
	if best != 0 && c.Leads() {
		c.node.TransferLeader(best)
	}
}

// entry is what stands in the log beside changes of the members.
type entry struct {
	Seq     uint64          `cbor:"1,keyasint"` // of the call at the voter that proposed it
	From    uint64          `cbor:"2,keyasint"`
	Command *tables.Command `cbor:"3,keyasint,omitempty"`
	Mark    *cluster.Member `cbor:"4,keyasint,omitempty"` // Number and Disk: the disk that the number is from now on
}

func (c *Core) propose(e entry) (uint64, error) {
	c.seq++
	e.Seq, e.From = c.seq, c.self.Number
	data, err := mode.Marshal(e)
	if err != nil {
		return 0, err
	}
	if err := c.node.Propose(data); err != nil {
		return 0, cluster.ErrNotLeader
	}
	return c.seq, nil
}

// Propose has a command written, and gives the number under which Done tells its result. Error: ErrNotLeader, also
// where more waits to be written than fits.
func (c *Core) Propose(cmd tables.Command) (uint64, error) { return c.propose(entry{Command: &cmd}) }

// Confirm asks a majority whether what is applied here is the latest, and gives the number under which Done tells the
// index that it is good for. It may be lost: ask again.
func (c *Core) Confirm() uint64 {
	c.seq++
	ctx := binary.BigEndian.AppendUint64(nil, c.self.Number)
	c.node.ReadIndex(binary.BigEndian.AppendUint64(ctx, c.seq))
	return c.seq
}
