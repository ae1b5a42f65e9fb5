package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file is one server's actor, and how long tasks take there.

// warmUpFraction is the part of its full capacity that a server surely has at a time.
func (s *server) warmUpFraction(at time.Duration) float64 {
	if s.StartedAt <= 0 || s.settings.WarmUpTime <= 0 {
		return 1
	}
	grown := float64(at-s.StartedAt) / float64(s.settings.WarmUpTime)
	return min(1, s.settings.WarmUpStart+(1-s.settings.WarmUpStart)*max(grown, 0))
}

// slowStartAllows tells, by lot, whether a cold server may have a push from us now. The chance is what the time since we
// last asked brings, at its least warmth's part of what a warm one gets, and less for a task of more than the
// mean work. Nothing is saved up. It guards against pushing over a server that has just started, also by
// hundreds of gateways in one moment (docs/design.md). Harm: one with few tasks lets most of its part go.
func (s *server) slowStartAllows(request *requestState) bool {
	part, spare := s.warmUpFraction(s.now), s.settings.OverloadFactor/4*float64(s.settings.OverloadSpan)
	if part >= 1 {
		return true
	}
	brings := min(float64(s.now-s.lastConsidered), spare) / float64(s.balancer.attemptInterval())
	s.lastConsidered = s.now
	part *= min(brings, s.settings.OverloadFactor/float64(len(s.balancer.ready)))
	return s.random.Float64()*max(1, float64(request.expectedLatency(5))/max(s.balancer.meanWork, 1)) < part
}

// isFull tells that we have as many pushes out at a server as it answers us in the time that a push may
// take (Little's law), and our part of a few more. It guards against a queue that outlives its cause, in
// which all work is done and all of it late, whatever filled it. Under one push, as with many gateways, one
// server's answers tell too little; calm speaks then. Of servers whose rate is not known, with strange pushes
// out, no more are tried at once than leaves the others' part, and twice its chance spread.
func (s *server) isFull(strange int) bool {
	n := len(s.responses.samples)
	if n < minRateSamples {
		first := 2 * exploreAttempts / s.balancer.sharingGateways
		all := first * float64(len(s.balancer.ready))
		return float64(len(s.inFlight)) >= max(1, first) || float64(strange) >= all+2*math.Sqrt(all)
	}
	span := max(s.now-s.responses.newest(n-1), s.settings.ClockTick)
	bound := exploreAttempts/s.balancer.sharingGateways + queueFraction*float64(s.tightestObjective)*float64(n)/float64(span)
	return float64(len(s.inFlight)+1) > max(bound, 1)
}

// isEjectedFor tells whether a server is to be set aside for a lane, whatever the trouble looks like: fast errors and
// refused connects (which draw tasks, as few are out there), turning away, silence. It counts for its lane
// and for those not tried there, as others may be served. Harm: a good server is left alone for a while.
func (s *server) isEjectedFor(request *requestState) bool {
	own, told := s.health[request.Class], s.health[request.Class]
	for _, other := range s.health {
		if own == (classHealth{}) && max(other.lastSuccess, other.lastFailure) > max(told.lastSuccess, told.lastFailure) {
			told = other
		}
	}
	for _, o := range s.inFlight {
		if o.Class == request.Class && o.lastAttemptAt() >= own.lastSuccess && s.now-o.lastAttemptAt() > o.silenceTimeout() {
			return true
		}
	}
	turned, while := s.rejectedAt[s.classPlanIndex(request)], s.balancer.ejectionTime()
	return told.lastFailure > told.lastSuccess && s.now < told.lastFailure+while || turned > 0 && s.now < turned+while
}

// silenceTimeout is how long a push may have no answer before it counts as lost: the longer, the more units it has.
func (request *requestState) silenceTimeout() time.Duration {
	return max(silenceFactor*request.expectedLatency(9), minSilence)
}

// expectedLatency is a decile of the time that a task will take, by its units; 0 before any answer.
func (request *requestState) expectedLatency(n int) time.Duration {
	return time.Duration(max(request.Units, 1) * float64(decile(request.class.sortedUnitLatencies, n)))
}

// unitLatency is how long a unit takes, and decile is one of a lane's answer times; 0 before any answer.
func (r *classState) unitLatency() time.Duration        { return decile(r.sortedUnitLatencies, 5) }
func (r *classState) latencyDecile(n int) time.Duration { return decile(r.sortedLatencies, n) }

func decile(sorted []time.Duration, n int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)*n/10]
}

// loadScore is what the draw of two goes by: what we have out there for its size.
func (s *server) loadScore() float64 {
	full := float64(len(s.inFlight)) + 1
	if s.Zone != s.settings.MyZone {
		full += crossZonePenalty
	}
	return full / cmp.Or(max(s.Capacity, 0), 1) * (1 + s.slowdown)
}

func (s *server) startAttempt(n message) {
	request := n.request
	s.inFlight = append(s.inFlight, request)
	request.attempts = append(request.attempts, attempt{server: s, startedAt: s.now})
	s.host.Attempt(request.ID, s.Server, request.Deadline)
}

// handleResult takes a sample of an outcome and passes it on.
func (s *server) handleResult(n message) {
	p, request := n.result, n.request
	if i := slices.Index(s.inFlight, request); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	worse := 0
	switch p.Outcome {
	case Answered:
		s.failureScore, s.health[request.Class].lastSuccess, s.rejectedAt[s.classPlanIndex(request)] = 0, s.now, 0
		s.responses.add(rateSamples, s.now)
	case Rejected:
		worse, s.rejectedAt[s.classPlanIndex(request)] = 1, s.now
	case Errored, TimedOut, ConnectFailed, Reset, Cancelled:
		if p.Outcome != Cancelled || p.Latency > request.silenceTimeout() { // called off silent is as good as timed out
			worse, s.lastFailure = failureWeight, s.now
		}
	}
	if s.failureScore += worse; worse > 0 && s.failureScore >= s.balancer.ejectionThreshold() {
		s.health[request.Class].lastFailure = s.now
	}
	if sick := s.isEjectedFor(request); sick != s.ejected {
		s.ejected = sick
		s.host.Log(map[bool]string{true: "a server is set aside: it fails or is silent",
			false: "a server set aside is back"}[sick])
	}
	s.send(&s.balancer.actor, message{handle: s.balancer.recordResult, request: request, result: p})
	s.send(&s.lifecycle.actor, message{handle: s.lifecycle.followUp, request: request, result: p})
}
