package simulation

import (
	"fmt"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/consensus"
)

// The places at which a crash may come, while a record is written and messages are sent.
const (
	beforeWrite = iota + 1
	beforeSync  // what was written may be there after the crash, or not
	beforeSend
	midSend
	crashPoints = midSend
)

// maxRecords is how many records a disk holds before it is made anew: few, so that runs see it.
const maxRecords = 40

// node is a voter with a disk that keeps only what was synced.
type node struct {
	sim         *simulation
	member      coordination.Member
	synced      [][]byte
	unsynced    [][]byte // said to be synced, by a disk that lies
	incarnation uint64
	consensus   *consensus.Node
	readQueue   *consensus.ReadQueue
	gatherer    *consensus.Gatherer
	up          bool
	diskLost    bool // its disk, for good
	diskFull    bool
	crashPoint  int
	syncDelay   time.Duration // what a sync takes; 0: no time
	syncing     bool          // waits for it, and does nothing else
	suspended   bool
	clockLag    time.Duration // its clock, while others' went on
	deferred    []func()      // what came while it slept
	proposals   map[uint64]func(consensus.Outcome)
}

func newNode(s *simulation, number uint64) *node {
	return &node{sim: s, member: coordination.Member{Number: number, Name: fmt.Sprint("v", number),
		Address: fmt.Sprint("a", number), DiskID: fmt.Sprint("d", number)}}
}

// initialMembers are the members that begin, with the marks of their disks in some runs.
func (s *simulation) initialMembers() (all []coordination.Member) {
	known := s.rng.IntN(2) == 0
	for _, n := range s.nodes {
		m := n.member
		if !known {
			m.DiskID = ""
		}
		all = append(all, m)
	}
	return all
}

func (n *node) now() time.Duration { return n.sim.now - n.clockLag }

func (n *node) start(first []coordination.Member) {
	n.incarnation++
	incarnation, seed := consensus.Incarnation{Count: n.incarnation, Nonce: n.sim.rng.Uint64()}, n.sim.rng.Uint64()
	raftNode, err := consensus.NewNode(n.member, incarnation, first, n.synced, seed)
	if err != nil {
		n.sim.violation("voter %d: %v", n.member.Number, err)
		return
	}
	if len(n.synced) == 0 {
		n.writeCheckpoint(raftNode)
	}
	n.consensus, n.readQueue, n.gatherer = raftNode, consensus.NewReadQueue(raftNode), consensus.NewGatherer(n.member.Name, n.incarnation)
	n.up, n.suspended, n.syncing, n.deferred, n.crashPoint = true, false, false, nil, 0
	n.proposals = map[uint64]func(consensus.Outcome){}
	own := func() bool { return n.up && n.incarnation == incarnation.Count }
	n.sim.every(tickInterval, func() bool {
		if own() && !n.isBusy() {
			n.execute(func() { n.consensus.Tick(); n.readQueue.Tick(n.now()) })
		}
		return own()
	})
	n.sim.every(forwardInterval, func() bool {
		if own() && !n.isBusy() {
			n.execute(n.forwardDigests)
		}
		return own()
	})
}

func (n *node) writeCheckpoint(raftNode *consensus.Node) {
	b, err := raftNode.Checkpoint()
	if err != nil {
		n.sim.violation("voter %d: %v", n.member.Number, err)
	}
	n.synced, n.unsynced = [][]byte{b}, nil
}

func (n *node) crash() { n.up, n.unsynced, n.deferred = false, nil, nil }

func (n *node) restart() {
	if !n.up && !n.diskLost {
		n.start(nil)
	}
}

func (n *node) suspend(span time.Duration, stands bool) {
	if n.suspended || !n.up {
		return
	}
	n.suspended = true
	incarnation := n.incarnation
	n.sim.after(span, func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		n.suspended = false
		if stands {
			n.clockLag += span
		}
		n.runDeferred()
	})
}

func (n *node) isBusy() bool { return n.suspended || n.syncing }

// runDeferred does what came while the voter was busy.
func (n *node) runDeferred() {
	for len(n.deferred) > 0 && n.up && !n.isBusy() {
		action := n.deferred[0]
		n.deferred = n.deferred[1:]
		n.execute(action)
	}
}

// execute has something done at a voter that is there, and what follows from it.
func (n *node) execute(action func()) {
	switch {
	case !n.up:
		return
	case n.isBusy():
		n.deferred = append(n.deferred, action)
		return
	}
	defer func() {
		if p := recover(); p != nil { // the library's word for what must never be
			n.sim.violation("voter %d: %v", n.member.Number, p)
			n.crash()
		}
	}()
	action()
	n.processReady()
}

// processReady does what the core has ready, and looks at what came of it.
func (n *node) processReady() {
	for n.up && !n.syncing {
		ready, ok, err := n.consensus.Ready()
		if err != nil {
			n.sim.violation("voter %d: %v", n.member.Number, err)
		}
		if !ok || !n.handleReady(ready) {
			break
		}
	}
	if n.up && !n.syncing && len(n.synced)+len(n.unsynced) > maxRecords {
		if err := n.consensus.Compact(10); err != nil {
			n.sim.violation("voter %d: %v", n.member.Number, err)
		}
		n.writeCheckpoint(n.consensus)
	}
	n.checkInvariants()
}
