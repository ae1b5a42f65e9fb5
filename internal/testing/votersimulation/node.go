package votersimulation

import (
	"fmt"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/consensus"
)

// node is a voter with a disk that keeps only what was synced.
type node struct {
	sim         *simulation
	member      coordination.Member
	incarnation uint64

	consensus *consensus.Node
	readQueue *consensus.ReadQueue
	gatherer  *consensus.Gatherer
	proposals map[uint64]func(consensus.Outcome) // that wait for their outcome, by sequence number

	synced   [][]byte // records on disk
	unsynced [][]byte // records that a lying disk reports as synced

	up         bool
	diskLost   bool // for good
	diskFull   bool
	crashPoint crashPoint
	syncDelay  time.Duration
	syncing    bool // waits for a sync, and does nothing else
	suspended  bool
	clockLag   time.Duration // of its clock, which may stop while it is suspended
	deferred   []func()      // what arrived while it was busy
}

func newNode(s *simulation, number uint64) *node {
	return &node{sim: s, member: coordination.Member{
		Number:  number,
		Name:    fmt.Sprint("v", number),
		Address: fmt.Sprint("a", number),
		DiskID:  fmt.Sprint("d", number),
	}}
}

// initialMembers are the members that begin the log. In some runs their disk IDs are not known yet.
func (s *simulation) initialMembers() []coordination.Member {
	known := s.rng.IntN(2) == 0
	var members []coordination.Member
	for _, n := range s.nodes {
		member := n.member
		if !known {
			member.DiskID = ""
		}
		members = append(members, member)
	}
	return members
}

func (n *node) now() time.Duration { return n.sim.now() - n.clockLag }

func (n *node) start(initialMembers []coordination.Member) {
	n.incarnation++
	incarnation := consensus.Incarnation{Count: n.incarnation, Nonce: n.sim.rng.Uint64()}
	seed := n.sim.rng.Uint64()
	started, err := consensus.NewNode(n.member, incarnation, initialMembers, n.synced, seed)
	if err != nil {
		n.violation(err)
		return
	}
	if len(n.synced) == 0 {
		n.writeCheckpoint(started)
	}
	n.consensus = started
	n.readQueue = consensus.NewReadQueue(started)
	n.gatherer = consensus.NewGatherer(n.member.Name, n.incarnation)
	n.proposals = map[uint64]func(consensus.Outcome){}
	n.up = true
	n.suspended = false
	n.syncing = false
	n.deferred = nil
	n.crashPoint = noCrash
	n.every(tickInterval, func() { n.consensus.Tick(); n.readQueue.Tick(n.now()) })
	n.every(forwardInterval, n.forwardDigests)
}

// every executes an action again and again in this incarnation. It is left out while the node is
// busy.
func (n *node) every(interval time.Duration, action func()) {
	incarnation := n.incarnation
	running := func() bool { return n.up && n.incarnation == incarnation }
	n.sim.every(interval, func() bool {
		if running() && !n.isBusy() {
			n.execute(action)
		}
		return running()
	})
}

func (n *node) violation(what any) { n.sim.violation("voter %d: %v", n.member.Number, what) }

func (n *node) crash() {
	n.up = false
	n.unsynced = nil
	n.deferred = nil
}

func (n *node) restart() {
	if !n.up && !n.diskLost {
		n.start(nil)
	}
}

// suspend stops the node for a while, as a paused process; its clock may stop with it.
func (n *node) suspend(duration time.Duration, clockStops bool) {
	if n.suspended || !n.up {
		return
	}
	n.suspended = true
	incarnation := n.incarnation
	n.sim.after(duration, func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		n.suspended = false
		if clockStops {
			n.clockLag += duration
		}
		n.runDeferred()
	})
}

func (n *node) isBusy() bool { return n.suspended || n.syncing }

// runDeferred does what arrived while the node was busy.
func (n *node) runDeferred() {
	for len(n.deferred) > 0 && n.up && !n.isBusy() {
		action := n.deferred[0]
		n.deferred = n.deferred[1:]
		n.execute(action)
	}
}

// execute runs an action at a node that is up, and what follows from it; a busy node does so later.
func (n *node) execute(action func()) {
	switch {
	case !n.up:
		return
	case n.isBusy():
		n.deferred = append(n.deferred, action)
		return
	}
	defer func() {
		if p := recover(); p != nil { // how the library reports a broken invariant
			n.violation(p)
			n.crash()
		}
	}()
	action()
	n.processReady()
}

// forwardDigests sends the leader what was merged here.
func (n *node) forwardDigests() {
	n.consensus.ProposeDiskIDs()
	status := n.consensus.Status()
	if status.Leader == 0 || status.Leader == status.Number {
		return
	}
	if m, ok, err := n.consensus.DigestMessage(n.gatherer.ForLeader(status.Term)); ok && err == nil {
		n.send([]consensus.Message{m})
	}
}

func (n *node) send(messages []consensus.Message) {
	for _, m := range messages {
		to := n.sim.nodeByNumber(m.To.Number)
		if to == nil {
			continue
		}
		n.sim.network.deliver(n.member.Number, m.To.Number, func() {
			to.execute(func() {
				if digests, err := to.consensus.HandleMessage(m.Body); err == nil {
					to.gatherer.AddFromVoter(digests)
				}
			})
		})
	}
}
