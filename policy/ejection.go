package policy

import "time"

// isEjectedFor decides whether a server gets no requests of this one's class: while an attempt is
// silent, or for ejectionTime after a failure that recordHealth noted or a rejection of the class
// and plan; an answer ends it at once. The class's own record counts; where the class was not tried
// there, the latest of another's, as others may be served.
func (s *server) isEjectedFor(request *requestState) bool {
	if s.isSilentFor(request.Class) {
		return true
	}
	now := s.env.now
	span := s.balancer.ejectionTime()
	health := s.healthFor(request.Class)
	isFailing := health.lastFailure > health.lastSuccess && health.lastFailure.isWithin(span, now)
	return isFailing || s.rejectedAt[s.rejectionIndex(request)].isWithin(span, now)
}

// isSilentFor reports whether an attempt of a class at the server has had no answer for its silence
// timeout, and no other of the class has had one since.
func (s *server) isSilentFor(class int) bool {
	lastSuccess := time.Duration(s.health[class].lastSuccess)
	for _, request := range s.inFlight {
		at := request.lastAttemptAt()
		if request.Class == class && at >= lastSuccess && s.env.now-at > request.silenceTimeout() {
			return true
		}
	}
	return false
}

// healthFor is a class's own record at the server, or else the latest of all classes'.
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

// silenceTimeout is how long an attempt may have no answer before it counts as lost: the longer,
// the more units it has, as latencies grow with the units.
func (r *requestState) silenceTimeout() time.Duration {
	return max(silenceFactor*r.expectedLatency(silenceDecile), minSilence)
}

// ejectionTime is how long a server stays ejected after its latest failure.
func (b *balancer) ejectionTime() time.Duration {
	return max(minEjection, time.Duration(ejectionAttempts*float64(b.attemptInterval())))
}

// ejectionThreshold is the failure score at which a server is ejected: that of one failure, as
// healthy servers hardly ever fail, and one gateway of hundreds sees few failures of a bad one.
// Where failures strike everywhere, as malformed answers do, it is that of two in a row: else each
// server would be ejected in turn, and the rest overloaded.
func (b *balancer) ejectionThreshold() int {
	span := suspectedSpans * b.ejectionTime()
	suspected := 0
	for _, s := range b.ready {
		if s.lastFailure.isWithin(span, b.env.now) {
			suspected++
		}
	}
	if float64(suspected) <= max(minSuspected, suspectedFraction*float64(len(b.ready))) {
		return failureWeight
	}
	return widespreadThreshold
}

// recordHealth takes an attempt's result into the server's record. A score that reaches the
// threshold counts as a failure of the request's class.
func (s *server) recordHealth(request *requestState, result *AttemptResult) {
	score := s.recordOutcome(request, result)
	s.failureScore += score
	if score > 0 && s.failureScore >= s.balancer.ejectionThreshold() {
		s.health[request.Class].lastFailure = eventTime(s.env.now)
	}
	s.logEjection(s.isEjectedFor(request))
}

// recordOutcome notes when the server last answered, failed or rejected, and returns the failure
// score of the result. A cancelled attempt says something of its server only after silence.
func (s *server) recordOutcome(request *requestState, result *AttemptResult) (score int) {
	now := eventTime(s.env.now)
	switch result.Outcome {
	case Answered:
		s.failureScore = 0
		s.health[request.Class].lastSuccess = now
		s.rejectedAt[s.rejectionIndex(request)] = 0
		s.responses.add(rateSamples, s.env.now)
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

// logEjection logs whether the server is ejected for the latest result's class and plan, where that
// differs from the last line. A span that just ends writes no line: the next result does.
func (s *server) logEjection(ejected bool) {
	switch {
	case ejected && !s.ejected:
		s.env.host.Log("policy: server ejected")
	case !ejected && s.ejected:
		s.env.host.Log("policy: server readmitted")
	}
	s.ejected = ejected
}
