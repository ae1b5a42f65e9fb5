package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// startAttempt sends a request to the server and records the attempt.
func (s *server) startAttempt(request *requestState) {
	s.inFlight = append(s.inFlight, request)
	request.attempts = append(request.attempts, attempt{
		server: s, zone: s.Zone, rack: s.Rack, startedAt: s.env.now, serverStartedAt: s.StartedAt,
	})
	s.env.host.Attempt(request.ID, s.Server, request.Deadline)
}

// handleResult records the result of an attempt at the server and passes it on to the balancer and
// the lifecycle. The result of an attempt at an earlier process says nothing about the present one.
func (s *server) handleResult(m *attemptEnded) {
	index := slices.Index(s.inFlight, m.request)
	if index >= 0 {
		s.inFlight = slices.Delete(s.inFlight, index, index+1)
	}
	if !m.request.attempts[m.result.Attempt].isAtEarlierProcess() {
		s.recordHealth(m.request, &m.result)
	}
	s.env.send(s.balancer, m)
	s.env.send(s.lifecycle, m)
}

// isFull reports whether the server can take no further attempt of this gateway. The limit is the
// number of attempts that the server answers in the permitted queueing time (Little's law), plus
// this gateway's share of headroomAttempts. A server of unknown rate has a fixed limit, and
// exploratoryAttempts, the attempts in flight at all such servers, is limited as well. This
// prevents a queue that outlives its cause, in which every request is served too late.
func (s *server) isFull(exploratoryAttempts int) bool {
	inFlight := float64(len(s.inFlight))
	sharing := s.balancer.sharingGateways
	if !s.hasKnownRate() {
		return inFlight >= max(1, unknownRateAttempts/sharing) ||
			s.balancer.isExploratoryLimitReached(exploratoryAttempts)
	}
	count := len(s.answeredAt.samples)
	span := max(s.env.now-s.answeredAt.newest(count-1), s.env.settings.ClockTick)
	queue := queueFraction * float64(s.env.tightestObjective) * float64(count) / float64(span)
	// One attempt may always be in flight: an estimated limit below one is too uncertain, and load
	// shedding covers that case.
	return inFlight+1 > max(headroomAttempts/sharing+queue, 1)
}

// hasKnownRate reports whether the server has answered often enough to estimate its rate.
func (s *server) hasKnownRate() bool { return len(s.answeredAt.samples) >= minRateSamples }

// isExploratoryLimitReached reports whether exploratoryAttempts has reached this gateway's share of
// unknownRateAttempts, summed over the ready servers, plus exploratoryDeviations standard
// deviations.
func (b *balancer) isExploratoryLimitReached(exploratoryAttempts int) bool {
	share := unknownRateAttempts / b.sharingGateways * float64(len(b.ready))
	return float64(exploratoryAttempts) >= share+exploratoryDeviations*math.Sqrt(share)
}

// loadScore returns the score by which pickServer compares servers; lower is better. It is this
// gateway's attempts in flight relative to the server's capacity, and it is higher for a server in
// another zone or one that is slower than others.
func (s *server) loadScore() float64 {
	load := float64(len(s.inFlight)) + 1
	if s.Zone != s.env.settings.GatewayZone {
		load += crossZonePenalty
	}
	return load / cmp.Or(max(s.Capacity, 0), 1) * (1 + s.slowdown)
}

// expectedLatency returns the given decile of the latency expected for the request, in proportion
// to its units. It returns 0 before the first answer of its class.
func (r *requestState) expectedLatency(decile int) time.Duration {
	return time.Duration(max(r.Units, 1) * float64(r.class.unitLatencies.decile(decile)))
}
