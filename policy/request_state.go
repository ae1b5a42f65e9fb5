package policy

import (
	"slices"
	"time"
)

// classState is a traffic class and what was learned of it.
type classState struct {
	TrafficClass
	firstTimeouts []time.Duration // by plan: what clients give a first try
	latencies     latencies       // of answers
	unitLatencies latencies       // of answers, for each unit
}

// requestState is a request that has no final answer yet, or has an attempt in flight.
type requestState struct {
	Request
	objectiveAt   time.Duration // when its latency objective ends
	class         *classState
	customer      *customerState
	attempts      []attempt
	awaitsCount   bool  // at admission
	admitted      bool  // its units are taken from the customer's bucket
	claimedWindow int64 // in whose count its attempt stands, where the plan limits those in flight
	streaming     bool  // a streamed answer has started
	awaitedServer bool  // it waits, or has waited, for a server
	completed     bool  // the final answer is given
}

// lifecycle decides what follows an attempt: a retry or the final answer.
type lifecycle struct {
	mailbox
	env       *environment
	admission *admission
	balancer  *balancer
	requests  map[uint32]*requestState // those of Gateway
}

// attempt is a request sent to one server.
type attempt struct {
	server    *server
	startedAt time.Duration
	state     attemptState
}

func (r *requestState) lastAttemptAt() time.Duration { return r.attempts[len(r.attempts)-1].startedAt }

func (r *requestState) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, attempt.isInFlight)
}

// hasArrived reports whether an attempt may have come complete to a server.
func (r *requestState) hasArrived() bool {
	return slices.ContainsFunc(r.attempts, attempt.mayHaveArrived)
}

// hasTried reports whether the request had an attempt at a server.
func (r *requestState) hasTried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// firstThatMayHaveRun returns the first attempt that is not proven never to have run; nil: there is
// none.
func (r *requestState) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun() {
			return &r.attempts[i]
		}
	}
	return nil
}

// IsAdmitted reports whether a request that is not over yet was admitted. It changes nothing. A
// host that is to reject a request learns from it why: the customer's quota, or too little
// capacity.
func (g *Gateway) IsAdmitted(requestID uint32) bool {
	request := g.requests[requestID]
	return request != nil && request.admitted
}

// RetryDeadline returns when the dedup window of a keyed request ends, if an attempt before its
// latest may have run; else 0. It changes nothing. A host can hold back an attempt that was asked
// for in time and whose first byte would leave too late.
func (g *Gateway) RetryDeadline(requestID uint32) time.Duration {
	request := g.requests[requestID]
	if request == nil || request.class.Effect != Keyed || len(request.attempts) == 0 {
		return 0
	}
	earlier := request.attempts[:len(request.attempts)-1]
	ran := slices.IndexFunc(earlier, attempt.mayHaveRun)
	if ran < 0 {
		return 0
	}
	return earlier[ran].startedAt + request.class.DedupWindow
}
