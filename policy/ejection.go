package policy

import "time"

// This file is the ejection of failing servers.

// isEjectedFor reports whether a server gets no requests of this one's class, whatever the trouble looks
// like: fast errors and refused connections (which draw requests, as few are in flight there), rejections,
// silence. Its class's own record counts; where the class was not tried there, the latest of another's, as
// others may be served. Cost: a good server is left alone for a while.
func (s *server) isEjectedFor(request *requestState) bool {
	own, now := s.health[request.Class], s.env.now
	for _, other := range s.inFlight {
		at := other.lastAttemptAt()
		if other.Class == request.Class && at >= own.lastSuccess && now-at > other.silenceTimeout() {
			return true
		}
	}
	health, rejected := s.healthFor(request.Class), s.rejectedAt[s.rejectionIndex(request)]
	pause := s.balancer.ejectionTime()
	return health.lastFailure > health.lastSuccess && now < health.lastFailure+pause ||
		rejected > 0 && now < rejected+pause
}

// healthFor is a class's own record at the server, or else the latest of all classes'.
func (s *server) healthFor(class int) classHealth {
	health := s.health[class]
	if health != (classHealth{}) {
		return health
	}
	for _, other := range s.health {
		if max(other.lastSuccess, other.lastFailure) > max(health.lastSuccess, health.lastFailure) {
			health = other
		}
	}
	return health
}

// silenceTimeout is how long an attempt may have no answer before it counts as lost: the longer, the more
// units it has.
func (r *requestState) silenceTimeout() time.Duration {
	return max(silenceFactor*r.expectedLatency(9), minSilence)
}

// ejectionTime is how long a server stays ejected after its latest failure.
func (b *balancer) ejectionTime() time.Duration {
	return max(minEjection, time.Duration(ejectionAttempts*float64(b.attemptInterval())))
}

// ejectionThreshold is the failure score at which a server is ejected. One failure does: healthy servers
// hardly ever fail, and hundreds of gateways see no more. Two in a row where failures strike everywhere, as
// malformed answers do: by one each would be ejected in turn, and the rest overrun. Cost: a bad one gets an
// attempt more.
func (b *balancer) ejectionThreshold() int {
	suspected, recent := 0, 2*b.ejectionTime()
	for _, s := range b.ready {
		if s.lastFailure > 0 && b.env.now < s.lastFailure+recent {
			suspected++
		}
	}
	if float64(suspected) <= max(minSuspected, suspectedFraction*float64(len(b.ready))) {
		return failureWeight
	}
	return 2 * failureWeight
}

// recordHealth takes an attempt's result into the server's record, and logs where that ejects the server for
// the request's class and plan, or readmits it.
func (s *server) recordHealth(request *requestState, result *AttemptResult) {
	score := 0
	switch result.Outcome {
	case Answered:
		s.failureScore, s.health[request.Class].lastSuccess = 0, s.env.now
		s.rejectedAt[s.rejectionIndex(request)] = 0
		s.responses.add(rateSamples, s.env.now)
	case Rejected:
		score, s.rejectedAt[s.rejectionIndex(request)] = 1, s.env.now
	case Errored, TimedOut, ConnectFailed, Reset, Cancelled:
		// One that was cancelled after silence is as good as timed out.
		if result.Outcome != Cancelled || result.Latency > request.silenceTimeout() {
			score, s.lastFailure = failureWeight, s.env.now
		}
	}
	if s.failureScore += score; score > 0 && s.failureScore >= s.balancer.ejectionThreshold() {
		s.health[request.Class].lastFailure = s.env.now
	}
	ejected := s.isEjectedFor(request)
	switch {
	case ejected && !s.ejected:
		s.env.host.Log("policy: server ejected")
	case !ejected && s.ejected:
		s.env.host.Log("policy: server readmitted")
	}
	s.ejected = ejected
}
