package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file is one server: its attempts, and how many it may have.

func (s *server) startAttempt(request *requestState) {
	s.inFlight = append(s.inFlight, request)
	request.attempts = append(request.attempts, attempt{server: s, startedAt: s.env.now})
	s.env.host.Attempt(request.ID, s.Server, request.Deadline)
}

// handleResult takes an attempt's result and passes it on.
func (s *server) handleResult(m *attemptEnded) {
	if i := slices.Index(s.inFlight, m.request); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	s.recordHealth(m.request, &m.result)
	s.env.send(s.balancer, m)
	s.env.send(s.lifecycle, m)
}

// isFull reports whether we have as many attempts in flight at a server as it answers us in the time that one
// may take (Little's law), and our part of a few more. It guards against a queue that outlives its cause, in
// which all work is done and all of it late, whatever filled it. With a bound under one attempt, as with many
// gateways, one server's answers tell too little; shedding speaks then. Of servers whose rate is not known,
// with so many exploring attempts in flight at them, no more are tried at once than leaves the other
// gateways' part, and twice its standard deviation.
func (s *server) isFull(exploring int) bool {
	n, inFlight, sharing := len(s.responses.samples), float64(len(s.inFlight)), s.balancer.sharingGateways
	if n < minRateSamples {
		first := 2 * exploreAttempts / sharing
		all := first * float64(len(s.balancer.ready))
		return inFlight >= max(1, first) || float64(exploring) >= all+2*math.Sqrt(all)
	}
	span := max(s.env.now-s.responses.newest(n-1), s.env.settings.ClockTick)
	queue := queueFraction * float64(s.env.tightestObjective) * float64(n) / float64(span)
	return inFlight+1 > max(exploreAttempts/sharing+queue, 1)
}

// loadScore is what the draw of two goes by: what we have in flight there for its capacity.
func (s *server) loadScore() float64 {
	load := float64(len(s.inFlight)) + 1
	if s.Zone != s.env.settings.MyZone {
		load += crossZonePenalty
	}
	return load / cmp.Or(max(s.Capacity, 0), 1) * (1 + s.slowdown)
}

// expectedLatency is a decile of the time that a request will take, by its units; 0 before any answer.
func (r *requestState) expectedLatency(decile int) time.Duration {
	return time.Duration(max(r.Units, 1) * float64(r.class.unitLatencies.decile(decile)))
}
