// Package core is a voter without its surroundings: the raft of go.etcd.io/raft/v3, the tables that its log makes, and
// the members. It knows no disk, socket, clock or goroutine: ticks, messages and calls are handed in, and what is to be
// written, sent and answered comes out. The same events with the same seed give the same actions.
package consensus

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

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// All times are in ticks: the host says how long one lasts.
const (
	heartbeatTicks       = 2       // twice within the time that a vote is refused for, with room for one lost
	minElectionTicks     = 10      // least time without a word of the leader before another may be voted for
	snapshotTimeoutTicks = 40      // after which a snapshot that nobody answered for is taken as lost
	maxMessageBytes      = 1 << 20 // most of the entries in one message: below the links' limit for a body
	maxInflightMessages  = 64      // messages on the way to one voter before its answers are waited for
	maxUncommittedBytes  = 8 << 20 // bytes of proposals not yet written anywhere: beyond them proposals are refused
)

// Errors of a Core.
var (
	ErrCorrupt       = errors.New("what the disk holds does not fit together")
	ErrChangePending = errors.New("another change of the members is under way")
	ErrRejected      = errors.New("message refused")
	// ErrDiskMismatch: the number was given to another disk. One that was emptied needs a new number.
	ErrDiskMismatch = errors.New("this number belongs to another disk")
)

// Incarnation is one start of a voter on its disk. Two lives of the same count on one mark mean that the disk was copied.
type Incarnation struct {
	Count uint64 `cbor:"1,keyasint"` // of starts on this disk, from 1
	Nonce uint64 `cbor:"2,keyasint"` // drawn at the start
}

// Node is one voter. Not safe for use by several goroutines at once.
type Node struct {
	self         coordination.Member
	incarnation  Incarnation
	raftNode     *raft.RawNode
	storage      *raft.MemoryStorage
	state        *statemachine.State
	membership   membership
	confState    *raftpb.ConfState // as of the last entry applied
	appliedIndex uint64
	appliedTerm  uint64 // of the last entry applied
	// pendingChangeTerm is the term in which a change of the members was proposed that is not yet applied; 0: none
	pendingChangeTerm  uint64
	lastSeq            uint64 // of calls: grows over lives, as its upper half is the life's count
	rng                *rand.Rand
	ticksWithoutLeader int            // ticks since a leader was heard of or a vote given
	electionTimeout    int            // ticks of quiet until this voter stands for election
	snapshotAge        map[uint64]int // ticks since a snapshot was sent, by number
	peers              map[uint64]peer
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// discardLogger is the library's log: what the operators must know comes back as an error or stands in Status.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// silenceRaftStorage gives it to the library's store as well, which has one for all.
var silenceRaftStorage = sync.OnceFunc(func() { raft.SetLogger(discardLogger) })

// NewNode makes a voter of what its disk holds. With none, first are the members that begin the log: all of them must be
// given the same, disks included, and the host must have Base written before anything else. Without those either, it
// waits for a leader that adds it. What the disk says of the voter's number goes before self. Errors: ErrSpoilt, or a
// number that is not among first.
func NewNode(self coordination.Member, incarnation Incarnation, initialMembers []coordination.Member, records [][]byte, seed uint64) (n *Node, err error) {
	defer func() {
		if p := recover(); p != nil { // the library's word for a log with gaps
			n, err = nil, fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}()
	silenceRaftStorage()
	n = &Node{self: self, incarnation: incarnation, storage: raft.NewMemoryStorage(), state: statemachine.New(), lastSeq: incarnation.Count << 32,
		rng: rand.New(rand.NewPCG(seed, self.Number)), snapshotAge: map[uint64]int{}, peers: map[uint64]peer{}}
	if len(records) == 0 && len(initialMembers) > 0 {
		if err := n.bootstrap(initialMembers); err != nil {
			return nil, err
		}
	}
	if err := n.replay(records); err != nil {
		return nil, err
	}
	snap, _ := n.storage.Snapshot() // gives no error
	if err := n.restoreSnapshot(snap); err != nil {
		return nil, err
	}
	n.raftNode, err = raft.NewRawNode(&raft.Config{ID: n.self.Number, ElectionTick: minElectionTicks,
		HeartbeatTick: heartbeatTicks, Storage: snapshotStorage{n.storage, n}, Applied: n.appliedIndex, MaxSizePerMsg: maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes, MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, Logger: discardLogger, DisableProposalForwarding: true, StepDownOnRemoval: true})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	n.resetElectionTimer()
	return n, nil
}

// resetElectionTimer begins a new patience, as the library would: it draws from a source that no seed can set, so the core counts
// the ticks of one that doesn't lead itself.
func (n *Node) resetElectionTimer() {
	n.ticksWithoutLeader, n.electionTimeout = 0, minElectionTicks+n.rng.IntN(minElectionTicks)
}

// Tick is one step of the host's clock.
func (n *Node) Tick() {
	if n.IsLeader() {
		n.raftNode.Tick()
		for id := range n.snapshotAge {
			n.snapshotAge[id]++
			if n.snapshotAge[id] >= snapshotTimeoutTicks {
				delete(n.snapshotAge, id)
				n.raftNode.ReportSnapshot(id, raft.SnapshotFinish)
			}
		}
		return
	}
	clear(n.snapshotAge)
	// Counts for the refusal of votes alone, and draws nothing; it is marked as old in the library, which has no
	// other way to leave the drawing to its user.
	n.raftNode.TickQuiesced()
	if n.ticksWithoutLeader++; n.ticksWithoutLeader >= n.electionTimeout {
		n.resetElectionTimer()
		_ = n.raftNode.Campaign() // one that isn't a member stays quiet
	}
}

// IsLeader tells whether this voter leads, as far as it knows.
func (n *Node) IsLeader() bool { return n.raftNode.BasicStatus().RaftState == raft.StateLeader }

// Leader is the number of the voter that leads, as far as this one knows; 0: none.
func (n *Node) Leader() uint64 { return n.raftNode.BasicStatus().Lead }

// AppliedIndex is the index of the last entry applied.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// IsEstablishedLeader tells whether it leads and has applied an entry of its own term: all that was ever acknowledged.
func (n *Node) IsEstablishedLeader() bool {
	s := n.raftNode.BasicStatus()
	return s.RaftState == raft.StateLeader && n.appliedTerm == s.HardState.GetTerm()
}

// State is the tables as applied; it is the core's own and must not be changed.
func (n *Node) State() *statemachine.State { return n.state }

// Self is this voter as its disk has it.
func (n *Node) Self() coordination.Member { return n.self }

// Status is this voter as it sees itself.
func (n *Node) Status() coordination.Status {
	s := n.raftNode.BasicStatus()
	return coordination.Status{Number: n.self.Number, Leader: s.Lead, Term: s.HardState.GetTerm(), Applied: n.appliedIndex,
		Members: n.membership.list()}
}

// TransferLeadership hands the lead to the member that has most of the log, before a planned end.
func (n *Node) TransferLeadership() {
	best, match := uint64(0), uint64(0)
	n.raftNode.WithProgress(func(id uint64, _ raft.ProgressType, p progress) {
		if id != n.self.Number && p.Match > match {
			best, match = id, p.Match
		}
	})
	if best != 0 && n.IsLeader() {
		n.raftNode.TransferLeader(best)
	}
}

// logEntry is what stands in the log beside changes of the members.
type logEntry struct {
	Seq     uint64                `cbor:"1,keyasint"` // of the call at the voter that proposed it
	From    uint64                `cbor:"2,keyasint"`
	Command *statemachine.Command `cbor:"3,keyasint,omitempty"`
	Disk    *coordination.Member  `cbor:"4,keyasint,omitempty"` // Number and Disk: the disk that the number is from now on
}

func (n *Node) propose(e logEntry) (uint64, error) {
	n.lastSeq++
	e.Seq, e.From = n.lastSeq, n.self.Number
	data, err := encMode.Marshal(e)
	if err != nil {
		return 0, err
	}
	if err := n.raftNode.Propose(data); err != nil {
		return 0, coordination.ErrNotLeader
	}
	return n.lastSeq, nil
}

// Propose has a command written, and gives the number under which Done tells its result. Error: ErrNotLeader, also
// where more waits to be written than fits.
func (n *Node) Propose(cmd statemachine.Command) (uint64, error) {
	return n.propose(logEntry{Command: &cmd})
}

// RequestReadIndex asks a majority whether what is applied here is the latest, and gives the number under which Done tells the
// index that it is good for. It may be lost: ask again.
func (n *Node) RequestReadIndex() uint64 {
	n.lastSeq++
	ctx := binary.BigEndian.AppendUint64(nil, n.self.Number)
	n.raftNode.ReadIndex(binary.BigEndian.AppendUint64(ctx, n.lastSeq))
	return n.lastSeq
}
