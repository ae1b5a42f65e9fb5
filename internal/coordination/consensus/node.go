// Package consensus is one voter of the replicated log without its surroundings: the Raft
// implementation of go.etcd.io/raft/v3, the state machine that the log drives, and the membership.
// It has no disk, socket, clock or goroutine of its own: ticks, messages and calls come in as
// method calls; records to write, messages to send and results come out. Package voter calls it
// with a real clock and disk, the simulation of voters in virtual time. The same calls with the
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
	heartbeatTicks = 2 // between two heartbeats of the leader
	// minElectionTicks is the shortest time without a message of the leader before another voter
	// can be elected. The drawn timeouts are from that to one tick below twice that.
	minElectionTicks     = 10
	snapshotTimeoutTicks = 40 // after which a snapshot that was not acknowledged counts as lost
)

// Limits of what is sent and accepted.
const (
	maxMessageBytes     = 1 << 20 // of entries in one message
	maxInflightMessages = 64      // messages sent to one voter before its acknowledgments are awaited
	maxUncommittedBytes = 8 << 20 // of proposals that are not yet committed; beyond it new ones are rejected
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

	// These four are the result of all log entries up to appliedIndex, and of no later one.
	state        *statemachine.State
	membership   membership
	confState    *raftpb.ConfState // the members' numbers, in Raft's type
	appliedIndex uint64            // of the last entry applied
	appliedTerm  uint64            // of the last entry applied

	pendingChangeTerm  uint64          // term of a proposed membership change that is not yet applied; 0: none
	lastSeq            uint64          // of calls; grows over incarnations, as their count is its upper half
	ticksWithoutLeader int             // since a message of the leader arrived, or the term or the vote changed
	electionTimeout    int             // ticksWithoutLeader at which this voter stands for election
	snapshotAge        map[uint64]int  // ticks since an unacknowledged snapshot was sent, by receiver
	peers              map[uint64]peer // voters as they last identified themselves in an accepted message, by number
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options
	}
	return m
}()

// discardLogger drops the library's log: what operators must know is returned as an error or is
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

// raftConfig returns the protocol's settings. With CheckQuorum a leader that hears from no majority
// for minElectionTicks loses the lead; with PreVote a voter that was cut off does not disturb the
// others when it is back. ReadOnlySafe has a majority confirm each read.
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
