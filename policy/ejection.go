package policy

import "time"

// isEjectedFor reports whether the server is ejected for the request's class and plan. A server is
// ejected for a class while it leaves an attempt of the class unanswered (hasSilentAttempt), and
// for ejectionTime after a failure of the class that recordHealth counted. It is ejected for a
// class and plan for ejectionTime after it rejected a request of both. An answer to the class ends
// the ejection immediately; after a rejection, only an answer to the class and plan does.
//
// Failures of other classes do not count, as the server may still serve this one. If the server has
// neither answered nor failed the class, the latest record of any class counts.
func (s *server) isEjectedFor(request *requestState) bool {
	if s.hasSilentAttempt(request.Class) {
		return true
	}
	now := s.env.now
	ejectionTime := s.balancer.ejectionTime()
	health := s.healthFor(request.Class)
	isFailing := health.lastFailure > health.lastSuccess && health.lastFailure.isWithin(ejectionTime, now)
	return isFailing || s.rejectedAt[s.rejectionIndex(request)].isWithin(ejectionTime, now)
}

// hasSilentAttempt reports whether an attempt of the class has been in flight for longer than its
// silence timeout, and the server has answered no attempt of the class since that one started.
func (s *server) hasSilentAttempt(class int) bool {
	lastSuccess := time.Duration(s.health[class].lastSuccess)
	for _, request := range s.inFlight {
		startedAt := request.lastAttemptAt()
		if request.Class == class && startedAt >= lastSuccess && s.env.now-startedAt > request.silenceTimeout() {
			return true
		}
	}
	return false
}

// healthFor returns the class's record at the server, or the latest record of any class if the
// class has none.
func (s *server) healthFor(class int) classHealth {
	health := s.health[class]
	if health != (classHealth{}) {
		return health
	}
	for _, other := range s.health {
		if other.latest() > health.latest() {
			health = other
		}
	}
	return health
}

// silenceTimeout returns how long an attempt may go unanswered before it counts as lost. It grows
// with the request's units, as latencies do.
func (r *requestState) silenceTimeout() time.Duration {
	return max(silenceFactor*r.expectedLatency(silenceDecile), minSilenceTimeout)
}

// ejectionTime returns how long a server stays ejected after its latest failure.
func (b *balancer) ejectionTime() time.Duration {
	return max(minEjectionTime, time.Duration(ejectionAttemptIntervals*float64(b.attemptInterval())))
}

// ejectionThreshold returns the failure score at which a server is ejected. Normally one failure
// reaches it: healthy servers hardly ever fail, and one gateway among hundreds sees few failures of
// a bad server. While failures are widespread, as with malformed answers, it takes two in a row:
// otherwise every server would be ejected in turn and the rest overloaded.
func (b *balancer) ejectionThreshold() int {
	recent := recentFailureFactor * b.ejectionTime()
	failing := 0
	for _, s := range b.ready {
		if s.lastFailure.isWithin(recent, b.env.now) {
			failing++
		}
	}
	if float64(failing) <= max(maxIsolatedFailing, isolatedFraction*float64(len(b.ready))) {
		return failureWeight
	}
	return widespreadThreshold
}

// recordHealth records an attempt's result. A failure or rejection that brings the failure score to
// the ejection threshold counts as a failure of the request's class.
func (s *server) recordHealth(request *requestState, result *AttemptResult) {
	score := s.recordOutcome(request, result)
	s.failureScore += score
	if score > 0 && s.failureScore >= s.balancer.ejectionThreshold() {
		s.health[request.Class].lastFailure = eventTime(s.env.now)
	}
	s.logEjection(s.isEjectedFor(request))
}

// recordOutcome records when the server last answered, failed or rejected, and returns the result's
// failure score. A cancelled attempt counts as a failure only if its silence timeout has passed.
func (s *server) recordOutcome(request *requestState, result *AttemptResult) (score int) {
	now := eventTime(s.env.now)
	switch result.Outcome {
	case Answered:
		s.failureScore = 0
		s.health[request.Class].lastSuccess = now
		s.rejectedAt[s.rejectionIndex(request)] = 0
		s.answeredAt.add(rateSamples, s.env.now)
		return 0
	case Rejected:
		s.rejectedAt[s.rejectionIndex(request)] = now
		return rejectionWeight
	case Cancelled:
		if result.Latency <= request.silenceTimeout() {
			return 0
		}
		s.lastFailure = now
		return failureWeight
	case Errored, TimedOut, ConnectFailed, Reset:
		s.lastFailure = now
		return failureWeight
	case NotSent:
		return 0
	default:
		return 0
	}
}

// logEjection logs that the server was ejected or readmitted for the class and plan of the latest
// result. The expiry of an ejection is logged only with the next result.
func (s *server) logEjection(ejected bool) {
	switch {
	case ejected && !s.loggedEjected:
		s.env.host.Log("policy: server ejected")
	case !ejected && s.loggedEjected:
		s.env.host.Log("policy: server readmitted")
	}
	s.loggedEjected = ejected
}
