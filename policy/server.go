package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// startAttempt sends a request to the server.
func (s *server) startAttempt(request *requestState) {
	s.inFlight = append(s.inFlight, request)
	request.attempts = append(request.attempts, attempt{server: s, startedAt: s.env.now})
	s.env.host.Attempt(request.ID, s.Server, request.Deadline)
}

// handleResult takes an attempt's result and passes it on.
func (s *server) handleResult(m *attemptEnded) {
	at := slices.Index(s.inFlight, m.request)
	if at >= 0 {
		s.inFlight = slices.Delete(s.inFlight, at, at+1)
	}
	s.recordHealth(m.request, &m.result)
	s.env.send(s.balancer, m)
	s.env.send(s.lifecycle, m)
}

// isFull decides whether a server has as many attempts of this gateway in flight as it answers in
// the time that one may queue (Little's law), and a part of a few more. exploring is how many
// attempts are in flight at servers of unknown rate.
// Prevents a queue that outlives its cause, in which all work is done too late.
func (s *server) isFull(exploring int) bool {
	inFlight := float64(len(s.inFlight))
	sharing := s.balancer.sharingGateways
	if !s.hasKnownRate() {
		return inFlight >= max(1, firstAttempts/sharing) || s.balancer.exploresEnough(exploring)
	}
	n := len(s.responses.samples)
	span := max(s.env.now-s.responses.newest(n-1), s.env.settings.ClockTick)
	queue := queueFraction * float64(s.env.tightestObjective) * float64(n) / float64(span)
	// With a bound under one attempt the answers tell too little, and shedding decides.
	return inFlight+1 > max(exploreAttempts/sharing+queue, 1)
}

// hasKnownRate reports whether enough answers of the server are kept to tell its rate.
func (s *server) hasKnownRate() bool { return len(s.responses.samples) >= minRateSamples }

// exploresEnough decides whether this gateway has its part of all gateways' first attempts in
// flight at servers of unknown rate, and a margin for chance.
func (b *balancer) exploresEnough(exploring int) bool {
	share := firstAttempts / b.sharingGateways * float64(len(b.ready))
	return float64(exploring) >= share+exploreDeviations*math.Sqrt(share)
}

// loadScore is what two drawn servers are compared by: this gateway's attempts in flight for the
// server's capacity, more for one in another zone or one slower than others. Lower is better.
func (s *server) loadScore() float64 {
	load := float64(len(s.inFlight)) + 1
	if s.Zone != s.env.settings.MyZone {
		load += crossZonePenalty
	}
	return load / cmp.Or(max(s.Capacity, 0), 1) * (1 + s.slowdown)
}

// expectedLatency is a decile of the time that a request will take, by its units; 0 before any
// answer.
func (r *requestState) expectedLatency(decile int) time.Duration {
	return time.Duration(max(r.Units, 1) * float64(r.class.unitLatencies.decile(decile)))
}
