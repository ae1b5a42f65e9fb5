// Package consensus is one voter of the replicated log without its surroundings: the Raft
// implementation of go.etcd.io/raft/v3, the state machine that the log drives, and the membership.
// It has no disk, socket, clock or goroutine of its own: ticks, messages and calls come in as
// method calls; records to write, messages to send and results come out. The same calls with the
// same seed give the same output.
package consensus

import (
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

// Timing of the Raft protocol, in ticks. The host decides how long a tick lasts.
const (
	heartbeatTicks       = 2  // two heartbeats fit into the time for which votes are refused, with room for a lost one
	minElectionTicks     = 10 // shortest time without a message of the leader before another voter can be elected
	snapshotTimeoutTicks = 40 // a snapshot that was not acknowledged by then counts as lost
)

// Limits of what is sent and accepted.
const (
	maxMessageBytes     = 1 << 20 // entries in one message; below the transport's limit for a body
	maxInflightMessages = 64      // messages sent to one voter before its acknowledgments are awaited
	maxUncommittedBytes = 8 << 20 // proposals that are not yet committed; beyond it new ones are rejected
)

// sequenceBits is the lower part of a call's sequence number, which counts the calls of one start.
const sequenceBits = 32

// Incarnation is one start of a voter on its disk. Two incarnations with the same count on one disk
// ID mean that the disk was copied.
type Incarnation struct {
	Count uint64 `cbor:"1,keyasint"` // of starts on this disk, from 1
	Nonce uint64 `cbor:"2,keyasint"` // drawn at the start
}

// isCopyOf reports whether two incarnations claim the same start, which only a copied disk makes.
func (i Incarnation) isCopyOf(other Incarnation) bool {
	return i.Count == other.Count && i.Nonce != other.Nonce
}

// Node is one voter. It is not safe for concurrent use.
type Node struct {
	self        coordination.Member
	incarnation Incarnation
	rng         *rand.Rand

	raftNode *raft.RawNode
	storage  *raft.MemoryStorage // mirrors what is on disk

	// What the applied part of the log amounts to.
	state        *statemachine.State
	membership   membership
	confState    *raftpb.ConfState
	appliedIndex uint64
	appliedTerm  uint64 // of the last entry applied

	pendingChangeTerm  uint64          // term of a proposed membership change that is not yet applied; 0: none
	lastSeq            uint64          // of calls; grows over incarnations, as their count is its upper half
	ticksWithoutLeader int             // since a message of the leader arrived or a vote was given
	electionTimeout    int             // value of ticksWithoutLeader at which this voter stands for election
	snapshotAge        map[uint64]int  // ticks since a snapshot was sent, by the receiver's number
	peers              map[uint64]peer // as last heard from, by number
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// discardLogger drops the library's log: whatever operators must know is returned as an error or is
// part of Status.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// silenceRaftStorage sets discardLogger for raft.MemoryStorage, which only has a global logger.
var silenceRaftStorage = sync.OnceFunc(func() { raft.SetLogger(discardLogger) })

// NewNode makes a voter from the records on its disk. Without records initialMembers begin the log,
// the same list at all of them, and the host must write Checkpoint first; without these, the voter
// waits until a leader adds it. A member in the records takes precedence over self. Errors:
// ErrCorrupt, or self is not among initialMembers.
func NewNode(self coordination.Member, incarnation Incarnation, initialMembers []coordination.Member, records [][]byte,
	seed uint64,
) (n *Node, err error) {
	defer func() {
		if p := recover(); p != nil { // how the library reports a log with gaps
			n = nil
			err = fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}()
	silenceRaftStorage()
	n = &Node{
		self:        self,
		incarnation: incarnation,
		rng:         rand.New(rand.NewPCG(seed, self.Number)),
		storage:     raft.NewMemoryStorage(),
		state:       statemachine.New(),
		lastSeq:     incarnation.Count << sequenceBits,
		snapshotAge: map[uint64]int{},
		peers:       map[uint64]peer{},
	}
	if len(records) == 0 && len(initialMembers) > 0 {
		if err := n.bootstrap(initialMembers); err != nil {
			return nil, err
		}
	}
	if err := n.replay(records); err != nil {
		return nil, err
	}
	snapshot, _ := n.storage.Snapshot() // never fails
	if err := n.restoreSnapshot(snapshot); err != nil {
		return nil, err
	}
	n.raftNode, err = raft.NewRawNode(n.raftConfig())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	n.resetElectionTimer()
	return n, nil
}

func (n *Node) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        n.self.Number,
		ElectionTick:              minElectionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   snapshotStorage{n.storage, n},
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    discardLogger,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
	}
}

// resetElectionTimer draws a new election timeout. The library would draw one itself, but from a
// source that cannot be seeded; so the node counts the ticks of a voter that does not lead.
func (n *Node) resetElectionTimer() {
	n.ticksWithoutLeader = 0
	n.electionTimeout = minElectionTicks + n.rng.IntN(minElectionTicks)
}

// Tick advances the node's time by one tick.
func (n *Node) Tick() {
	if n.IsLeader() {
		n.raftNode.Tick()
		n.expireSnapshots()
		return
	}
	clear(n.snapshotAge)
	// TickQuiesced only counts the time for which votes are refused; it draws nothing. It is marked
	// as deprecated, but the library has no other way to leave the drawing to its user.
	n.raftNode.TickQuiesced()
	n.ticksWithoutLeader++
	if n.ticksWithoutLeader >= n.electionTimeout {
		n.resetElectionTimer()
		_ = n.raftNode.Campaign() // fails on a node that is not a member, which must not campaign
	}
}

// expireSnapshots ends the wait for snapshots that were not acknowledged in time, so that they are
// sent again.
func (n *Node) expireSnapshots() {
	for id := range n.snapshotAge {
		n.snapshotAge[id]++
		if n.snapshotAge[id] >= snapshotTimeoutTicks {
			delete(n.snapshotAge, id)
			n.raftNode.ReportSnapshot(id, raft.SnapshotFinish)
		}
	}
}

// IsLeader reports whether this voter leads, as far as it knows.
func (n *Node) IsLeader() bool { return n.raftNode.BasicStatus().RaftState == raft.StateLeader }

// IsEstablishedLeader reports whether this voter leads and has applied an entry of its own term,
// and with it everything that was ever acknowledged.
func (n *Node) IsEstablishedLeader() bool {
	status := n.raftNode.BasicStatus()
	return status.RaftState == raft.StateLeader && n.appliedTerm == status.GetTerm()
}

// Leader returns the number of the voter that leads, as far as this one knows; 0: none.
func (n *Node) Leader() uint64 { return n.raftNode.BasicStatus().Lead }

// AppliedIndex returns the index of the last entry applied.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// State returns the applied state, which remains the node's own and must not be changed.
func (n *Node) State() *statemachine.State { return n.state }

// Self returns this voter as its disk has it.
func (n *Node) Self() coordination.Member { return n.self }

// Status returns this voter's own view.
func (n *Node) Status() coordination.Status {
	status := n.raftNode.BasicStatus()
	return coordination.Status{
		Number:  n.self.Number,
		Leader:  status.Lead,
		Term:    status.GetTerm(),
		Applied: n.appliedIndex,
		Members: n.membership.list(),
	}
}

// TransferLeadership hands the leadership to the member whose log is the longest, before a planned
// shutdown.
func (n *Node) TransferLeadership() {
	best := uint64(0)
	match := uint64(0)
	n.raftNode.WithProgress(func(id uint64, _ raft.ProgressType, p progress) {
		if id != n.self.Number && p.Match > match {
			best = id
			match = p.Match
		}
	})
	if best != 0 && n.IsLeader() {
		n.raftNode.TransferLeader(best)
	}
}
