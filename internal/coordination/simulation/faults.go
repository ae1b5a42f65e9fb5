package simulation

import (
	"time"
)

// injectFault draws the faults of a run.
func (s *simulation) injectFault() {
	if s.now >= faultsUntil {
		s.healFaults()
		return
	}
	n := s.randomNode()
	if leader := s.leader(); leader != nil && s.rng.IntN(2) == 0 {
		n = leader
	}
	span := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(1500*time.Millisecond)))
	switch s.rng.IntN(10) {
	case 0, 1:
		n.crashPoint = 1 + s.rng.IntN(crashPoints)
		s.after(span, func() { n.restart() })
	case 2: // all at once
		for _, n := range s.activeNodes() {
			n.crash()
			s.after(span, func() { n.restart() })
		}
	case 3:
		n.suspend(span, s.rng.IntN(2) == 0)
	case 4: // both ways
		for _, o := range s.nodes {
			s.partitioned[[2]uint64{n.member.Number, o.member.Number}] = true
			s.partitioned[[2]uint64{o.member.Number, n.member.Number}] = true
		}
		s.after(span, func() { clear(s.partitioned) })
	case 5: // one way
		for _, o := range s.nodes {
			s.partitioned[[2]uint64{n.member.Number, o.member.Number}] = true
		}
		s.after(span, func() { clear(s.partitioned) })
	case 6:
		s.lossRate, s.maxDelay = s.rng.Float64()*0.4, 100*time.Millisecond
		s.after(span, func() { s.lossRate, s.maxDelay = 0, 2*time.Millisecond })
	case 7:
		n.diskFull = true
		s.after(span, func() { n.diskFull = false; n.crash(); n.restart() })
	case 8:
		n.syncDelay = time.Duration(s.rng.Int64N(int64(400 * time.Millisecond)))
		s.after(span, func() { n.syncDelay = 0 })
	case 9:
		s.replaceVoter(n)
	}
	s.after(time.Duration(s.rng.Int64N(int64(800*time.Millisecond))), s.injectFault)
}

func (s *simulation) healFaults() {
	clear(s.partitioned)
	s.lossRate, s.maxDelay = 0, 2*time.Millisecond
	for _, n := range s.activeNodes() {
		n.crashPoint, n.diskFull, n.syncDelay = 0, false, 0
		n.restart()
	}
}

// replaceVoter has a voter lose its disk and come back under a new number, as an operator would do it.
func (s *simulation) replaceVoter(n *node) {
	if s.replaced {
		return
	}
	s.replaced = true
	n.crash()
	n.diskLost = true
	fresh := newNode(s, uint64(len(s.nodes)+1))
	s.nodes = append(s.nodes, fresh)
	fresh.start(nil)
	s.every(300*time.Millisecond, func() bool {
		leader := s.leader()
		if leader == nil || s.now > runDuration {
			return s.now <= runDuration
		}
		there, gone := false, true
		for _, m := range leader.consensus.Status().Members {
			there, gone = there || m.Number == fresh.member.Number, gone && m.Number != n.member.Number
		}
		leader.execute(func() {
			switch {
			case !gone:
				_, _ = leader.consensus.ChangeMembership(n.member, true) // asked again until it is so
			case !there:
				_, _ = leader.consensus.ChangeMembership(fresh.member, false)
			}
		})
		return !there || !gone
	})
}
