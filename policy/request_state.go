package policy

import (
	"slices"
	"time"
)

// classState is a traffic class with the timeouts and latencies observed for it.
type classState struct {
	TrafficClass
	firstTimeouts []time.Duration // by plan: timeout that clients set for a first try
	latencies     latencies       // latencies of answers
	unitLatencies latencies       // latencies of answers per unit
}

// requestState is a request without a final answer, or with an attempt in flight.
type requestState struct {
	Request
	objectiveAt   time.Duration // end of its latency objective
	class         *classState
	customer      *customerState
	attempts      []attempt
	awaitsCount   bool  // admission waits for the counter's answer
	admitted      bool  // its units are taken from the customer's bucket
	claimedWindow int64 // window whose count of attempts in flight includes this request; noWindow: none
	streaming     bool  // a streamed answer has started
	awaitedServer bool  // it waits or has waited for a server with capacity
	awaitedClient bool  // a server had capacity for it while the presence of its client was unknown
	completed     bool  // it has its final answer, or its client has disconnected
}

// lifecycle decides what follows an attempt: a retry or the final answer.
type lifecycle struct {
	mailbox
	env       *environment
	admission *admission
	balancer  *balancer
	requests  map[uint32]*requestState // Gateway.requests
}

// attempt is a request sent to one server.
type attempt struct {
	server     *server
	zone, rack int // of the server when the attempt started; a list may have moved it since
	startedAt  time.Duration
	state      attemptState
	// serverStartedAt is Endpoint.StartedAt of the server when the attempt started.
	serverStartedAt time.Duration
}

// presence returns the presence of the request's client.
func (r *requestState) presence() Presence {
	if r.Presence == nil {
		return ClientConnected
	}
	return r.Presence()
}

// isAtEarlierProcess reports whether the server has restarted since the attempt started.
func (a attempt) isAtEarlierProcess() bool { return a.serverStartedAt != a.server.StartedAt }

func (r *requestState) lastAttemptAt() time.Duration { return r.attempts[len(r.attempts)-1].startedAt }

func (r *requestState) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, attempt.isInFlight)
}

// hasArrived reports whether a server may have received the whole request.
func (r *requestState) hasArrived() bool {
	return slices.ContainsFunc(r.attempts, attempt.mayHaveArrived)
}

// hasTried reports whether the request had an attempt at a server.
func (r *requestState) hasTried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// firstThatMayHaveRun returns the first attempt that may have run, or nil if there is none.
func (r *requestState) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun() {
			return &r.attempts[i]
		}
	}
	return nil
}

// IsAdmitted reports whether a request without a final answer was admitted. It changes no state. A
// host that is asked to reject a request can call it to learn the reason: the customer's quota if
// the request was not admitted, or a lack of capacity if it was.
func (g *Gateway) IsAdmitted(requestID uint32) bool {
	request := g.requests[requestID]
	return request != nil && request.admitted
}

// RetryDeadline returns the end of a keyed request's dedup window if any attempt except the latest
// may have run, and 0 otherwise. It changes no state. A host can use it to withhold an attempt
// that was requested in time but whose first byte would be sent too late.
func (g *Gateway) RetryDeadline(requestID uint32) time.Duration {
	request := g.requests[requestID]
	if request == nil || request.class.Effect != Keyed || len(request.attempts) == 0 {
		return 0
	}
	earlier := request.attempts[:len(request.attempts)-1]
	firstRun := slices.IndexFunc(earlier, attempt.mayHaveRun)
	if firstRun < 0 {
		return 0
	}
	return earlier[firstRun].startedAt + request.class.DedupWindow
}
