package votersimulation

import (
	"time"
)

// How long faults last and how often they come.
const (
	minFaultDuration   = 50 * time.Millisecond
	faultDurationRange = 1500 * time.Millisecond
	maxFaultInterval   = 800 * time.Millisecond
	maxSyncDelay       = 400 * time.Millisecond
	lossyMaxRate       = 0.4
	lossyMaxDelay      = 100 * time.Millisecond
	replaceInterval    = 300 * time.Millisecond // between two steps of a replacement
)

// fault injects a fault into a voter or the network. It lasts for the given duration.
type fault func(s *simulation, n *node, duration time.Duration)

// faults are equally probable.
var faults = []fault{
	crashWhileWriting,
	crashWhileWriting,
	crashAll,
	suspendNode,
	isolate,
	dropOutgoing,
	loseMessages,
	fillDisk,
	slowDisk,
	func(s *simulation, n *node, _ time.Duration) { s.replaceVoter(n) },
}

// injectFault draws a fault and the time of the next one.
func (s *simulation) injectFault() {
	if s.now() >= faultsUntil {
		s.healFaults()
		return
	}
	n := s.randomNode()
	if leader := s.leader(); leader != nil && s.rng.IntN(2) == 0 {
		n = leader
	}
	duration := minFaultDuration + s.drawDuration(faultDurationRange)
	faults[s.rng.IntN(len(faults))](s, n, duration)
	s.after(s.drawDuration(maxFaultInterval), s.injectFault)
}

func crashWhileWriting(s *simulation, n *node, duration time.Duration) {
	n.crashPoint = noCrash + 1 + crashPoint(s.rng.IntN(int(crashPoints)))
	s.after(duration, n.restart)
}

func crashAll(s *simulation, _ *node, duration time.Duration) {
	for _, n := range s.activeNodes() {
		n.crash()
		s.after(duration, n.restart)
	}
}

func suspendNode(s *simulation, n *node, duration time.Duration) {
	n.suspend(duration, s.rng.IntN(2) == 0)
}

func isolate(s *simulation, n *node, duration time.Duration) {
	for _, other := range s.nodes {
		s.network.partitioned[link{n.member.Number, other.member.Number}] = true
		s.network.partitioned[link{other.member.Number, n.member.Number}] = true
	}
	s.after(duration, func() { clear(s.network.partitioned) })
}

func dropOutgoing(s *simulation, n *node, duration time.Duration) {
	for _, other := range s.nodes {
		s.network.partitioned[link{n.member.Number, other.member.Number}] = true
	}
	s.after(duration, func() { clear(s.network.partitioned) })
}

func loseMessages(s *simulation, _ *node, duration time.Duration) {
	s.network.lossRate = s.rng.Float64() * lossyMaxRate
	s.network.maxDelay = lossyMaxDelay
	s.after(duration, func() {
		s.network.lossRate = 0
		s.network.maxDelay = normalMaxDelay
	})
}

func fillDisk(s *simulation, n *node, duration time.Duration) {
	n.diskFull = true
	s.after(duration, func() {
		n.diskFull = false
		n.crash()
		n.restart()
	})
}

func slowDisk(s *simulation, n *node, duration time.Duration) {
	n.syncDelay = s.drawDuration(maxSyncDelay)
	s.after(duration, func() { n.syncDelay = 0 })
}

func (s *simulation) healFaults() {
	s.network.heal()
	for _, n := range s.activeNodes() {
		n.crashPoint = noCrash
		n.diskFull = false
		n.syncDelay = 0
		n.restart()
	}
}

// replaceVoter has a voter lose its disk and come back under a new number, as an operator would do
// it.
func (s *simulation) replaceVoter(n *node) {
	if s.replaced {
		return
	}
	s.replaced = true
	n.crash()
	n.diskLost = true
	replacement := newNode(s, uint64(len(s.nodes)+1))
	s.nodes = append(s.nodes, replacement)
	replacement.start(nil)
	s.every(replaceInterval, func() bool { return s.continueReplacement(n, replacement) })
}

// continueReplacement asks the leader for the next membership change. It returns false once there
// is none left.
func (s *simulation) continueReplacement(lost, replacement *node) bool {
	leader := s.leader()
	if leader == nil || s.now() > runDuration {
		return s.now() <= runDuration
	}
	added := false
	removed := true
	for _, member := range leader.consensus.Status().Members {
		added = added || member.Number == replacement.member.Number
		removed = removed && member.Number != lost.member.Number
	}
	leader.execute(func() {
		// A change that is not made is asked for again at the next step.
		switch {
		case !removed:
			_, _ = leader.consensus.ChangeMembership(lost.member, true)
		case !added:
			_, _ = leader.consensus.ChangeMembership(replacement.member, false)
		}
	})
	return !added || !removed
}
