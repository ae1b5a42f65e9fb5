package policy

import (
	"slices"
	"time"
)

// This file is what the module remembers: tasks, customers, servers, the latest samples, and the notes that pass
// between its parts. It decides nothing.

// ring keeps the last few samples of a thing.
type ring[T any] struct {
	samples []T
	next    int
}

func (l *ring[T]) add(size int, v T) {
	if len(l.samples) < size {
		l.samples = append(l.samples, v)
		return
	}
	l.samples[l.next] = v
	l.next = (l.next + 1) % size
}

// newest gives the n-th sample from the newest, counted from 0.
func (l *ring[T]) newest(n int) T { return l.samples[(l.next-1-n+2*len(l.samples))%len(l.samples)] }

// actor is an actor with its inbox.
type actor struct{ mailbox []message }

type message struct {
	handle     func(message) // the handler at the part that gets it
	request    *requestState
	result     AttemptResult
	count      CountResult
	units      float64
	retryAfter time.Duration
	endpoints  []Endpoint
	kind       ListKind
}

// IsAdmitted tells whether the quota desk has let a task in that is not over yet. It changes nothing: a host that is told to
// reject a task can ask why, the customer's quota or too little room.
func (g *Gateway) IsAdmitted(task uint32) bool {
	request := g.requests[task]
	return request != nil && request.admitted
}

// RetryDeadline tells when the time ends in which a receipted task may be repeated that has a push out, or ended, that
// may have run, before its latest; 0: it never does. It changes nothing: a host can hold back a push that was asked
// for in time and comes to its first byte too late.
func (g *Gateway) RetryDeadline(task uint32) time.Duration {
	request := g.requests[task]
	if request == nil || request.class.Effect != Keyed || len(request.attempts) == 0 {
		return 0
	}
	earlier := request.attempts[:len(request.attempts)-1]
	if ran := slices.IndexFunc(earlier, func(s attempt) bool { return !s.neverRan }); ran >= 0 {
		return earlier[ran].startedAt + request.class.DedupWindow
	}
	return 0
}

// classState is a lane as the module reads it.
type classState struct {
	TrafficClass
	firstTimeouts       []time.Duration     // by plan: what its clients give a first try
	latencies           ring[time.Duration] // answer times
	sortedLatencies     []time.Duration     // the same in order
	unitLatencies       ring[time.Duration] // answer times a unit
	sortedUnitLatencies []time.Duration     // the same in order
}

type requestState struct {
	Request
	objectiveAt   time.Duration // when the soft limit ends
	class         *classState
	customer      *customerState
	attempts      []attempt
	awaitsCount   bool  // waits at the quota desk
	admitted      bool  // its units stand in the book
	claimedWindow int64 // the window in whose count its push stands, where the plan limits those; 0: in none
	streaming     bool  // a streamed answer has started
	awaitedServer bool  // waits, or has waited, for a server
	completed     bool  // the final answer is given
}

type attempt struct {
	server       *server
	startedAt    time.Duration
	ended        bool
	neverRan     bool // ended, and proven never to have run
	neverArrived bool // and never to have come whole to a server
}

func (request *requestState) lastAttemptAt() time.Duration {
	return request.attempts[len(request.attempts)-1].startedAt
}

func (request *requestState) hasAttemptInFlight() bool {
	return slices.ContainsFunc(request.attempts, func(s attempt) bool { return !s.ended })
}

// customerState is what the desk knows of a customer.
type customerState struct {
	id                uint64
	plan              *Plan
	gateways          float64
	windowLength      time.Duration   // of its windows
	windowOffset      time.Duration   // of their starts
	inFlight          int             // tasks cleared and not yet over
	samples           [2]countSample  // the latest at this window's total, and at the one's before
	available         float64         // units that the store is believed to hold, reckoned at the time filled
	uncounted         float64         // units that we sent on and that no total has shown yet
	assumedByOthers   float64         // units that others are only assumed to have used since the latest look
	pending           []pendingCharge // from answers, for the next check
	initializedWindow int64           // the latest window that we opened
	quotaEpoch        int             // counts the changes of its quota: a total of an earlier one says nothing
	ceilingAvailable  float64         // units that this gateway's own share of the ceiling holds
	usageReports      float64         // how often its use was told, up to useMost
	usage             float64         // part of its rate that it used, by the latest of these
	demandInFlight    float64         // pushes of all gateways that its first tries here would keep out
	blockedUntil      time.Duration   // until when the limit on pushes out is taken to be reached
	refilledAt        time.Duration
}

// countSample is a total read and what the customer's store of units could hold then.
type countSample struct {
	window       int64
	at           time.Duration
	total, level float64
}

type pendingCharge struct {
	units float64
	at    time.Duration
}

// counterCall is a call that is out; answers come in order for a name.
type counterCall struct {
	request    *requestState // nil where no task waits for the answer
	customer   *customerState
	window     int64
	charges    []pendingCharge
	units      float64
	quotaEpoch int // of the book then
}

// latencySample is the part of its soft limit that a push took, and until when that tells of now: queues pass.
type latencySample struct {
	validUntil        time.Duration
	objectiveFraction float64
}

type responseSample struct {
	at          time.Duration
	warmServers float64 // servers, for each gateway that shared one
}

type classHealth struct{ lastSuccess, lastFailure time.Duration }

// server is one server's actor.
type server struct {
	*Gateway
	actor
	Endpoint
	inFlight       []*requestState
	health         []classHealth   // by lane
	rejectedAt     []time.Duration // by lane and plan: when one was turned away, with none answered since
	slowdown       float64         // how much longer than others it takes, as a part
	failureScore   int             // failures since the latest answer
	lastFailure    time.Duration
	responses      ring[time.Duration]
	lastConsidered time.Duration // when we last asked whether it may have a push, while it is cold
	ejected        bool          // logged as set aside
}
