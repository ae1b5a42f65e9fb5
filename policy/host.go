package policy

import "time"

// The module and the gateway around it exchange the types below. Times are spans since the origin
// of the clock that all gateways share, unless their names are those of spans.

// Outcome is how an attempt, a call to the counter or a health check ended.
type Outcome uint8

// The outcomes.
const (
	Answered      Outcome = iota
	Errored               // answered with an error; it may have run
	Rejected              // by the server, before any of it ran
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // no connection; it never ran
	Reset                 // the connection broke; it may have run
	Cancelled             // given up by the gateway; it may have run
	NotSent               // no byte of it left the gateway
)

// EndpointState is what the endpoint list says of a server.
type EndpointState uint8

// The states.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// ListKind is what an endpoint list contains.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = iota // what has changed
	ListFull                   // all endpoints: what it leaves out is removed
	ListCached                 // all endpoints, as last held; it may be old
	ListFailed                 // nothing: the earlier list remains valid
)

// Endpoint is a server as the endpoint list has it.
type Endpoint struct {
	Server    uint32
	State     EndpointState
	Capacity  float64       // relative to other servers; 0: not known
	StartedAt time.Duration // its latest start; 0: long ago
	Rack      int
	Zone      int
	Hardware  int
	// Owner is whose it is, where requests may prefer its servers (Request.PreferOwner); 0:
	// nobody's. Elective servers take only the first attempts of idempotent requests that prefer
	// their owner.
	Owner    int
	Elective bool
}

// Request is what a client asks.
type Request struct {
	ID           uint32 // unique among requests without a final answer
	Class        int    // index in Settings.Classes
	Plan         int    // index in Settings.Plans
	Customer     uint64
	FirstGateway int // of those that serve the customer
	GatewayCount int // how many serve it
	Units        float64
	Deadline     time.Duration // when the client abandons this try
	Repeat       bool          // the client has tried before
	// PreferOwner is the owner whose servers the first attempt of an idempotent request goes to, if
	// one of them has capacity; 0: none.
	PreferOwner int
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	RequestID   uint32
	Attempt     int // of the request, counted from 0
	Server      uint32
	Outcome     Outcome
	Latency     time.Duration
	Final       bool    // the request has its final answer
	ActualUnits float64 // that the request took; 0: not known
	Usage       float64 // 1 + the part of its rate that the customer used, over all gateways; 0: not known
	LoadReport  []float32
}

// CountResult is the counter's answer to a call, or how the call failed.
type CountResult struct {
	Name    uint64
	Total   float64
	Latency time.Duration
	Outcome Outcome
}

// Host is what a module can ask of the gateway around it. No method may hand the module an event
// before it returns.
type Host interface {
	// Attempt sends a request to a server. It ends by itself at the time until.
	Attempt(requestID, server uint32, until time.Duration)
	// Cancel gives up an attempt, counted from 0. Its result comes all the same.
	Cancel(requestID uint32, attempt int)
	// Reject gives the final answer that makes trying again harmless, after the given span (0:
	// none).
	Reject(requestID uint32, retryAfter time.Duration)
	// Terminate gives the final answer that does not say whether the request ran.
	Terminate(requestID uint32)
	// Count adds units to a name at the counter, which keeps it for the span ttl, and reads the
	// total.
	Count(name uint64, ttl time.Duration, units float64)
	CheckHealth(server uint32)
	// SendPeer sends a message to a gateway; below 0: to all.
	SendPeer(gateway int, text []byte)
	// WatchEndpoints asks for the endpoint list and its changes.
	WatchEndpoints()
	SetTimer(token uint64, after time.Duration)
	// CancelTimer takes back a timer that is not needed any more. It may come all the same.
	CancelTimer(token uint64)
	Log(line string)
}
