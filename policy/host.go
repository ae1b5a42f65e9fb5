package policy

import "time"

// The module and the gateway around it exchange the types below. A time.Duration is a point in
// time, as the duration since the origin of the clock that all gateways share, unless its name
// denotes a span, such as a latency or a TTL.

// Outcome is the result of an attempt, a call to the counter or a health check.
type Outcome uint8

// Outcomes of attempts, calls to the counter and health checks.
const (
	Answered      Outcome = iota
	Errored               // answered with an error; it may have run
	Rejected              // rejected by the server before any of it ran
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // no connection; it never ran
	Reset                 // the connection broke; it may have run
	Cancelled             // cancelled by the gateway; it may have run
	NotSent               // the gateway sent no byte of it
)

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// States of a server in the endpoint list.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// ListKind specifies which endpoints a list contains.
type ListKind uint8

// Kinds of endpoint lists.
const (
	ListDelta  ListKind = iota // changed endpoints only
	ListFull                   // all endpoints; servers that are not listed are removed
	ListCached                 // all endpoints of a cached list, which may be out of date
	ListFailed                 // none; the previous list remains valid
)

// Endpoint is a server's entry in the endpoint list.
type Endpoint struct {
	Server    uint32
	State     EndpointState
	Capacity  float64       // relative to other servers; 0: unknown
	StartedAt time.Duration // time of its latest start; 0: long ago
	Rack      int
	Zone      int
	Hardware  int // index of its hardware model
	// Owner identifies the owner of the server for requests that prefer an owner
	// (Request.PreferredOwner); 0: no owner.
	Owner int
	// Elective servers get only first attempts of idempotent requests that prefer their owner.
	Elective bool
}

// Presence is whether the client of a request is connected, as far as the gateway knows.
type Presence uint8

// Presences of a client.
const (
	ClientConnected    Presence = iota
	ClientDisconnected          // the gateway is about to report it (Gateway.HandleDisconnect)
	ClientUnknown               // earlier answers on its connection will show it
	ClientUnverifiable          // no earlier answer is outstanding; only the request's own answer will show it
)

// Request is a request of a client.
type Request struct {
	ID           uint32 // unique among requests without a final answer
	Class        int    // index in Settings.Classes
	Plan         int    // index in Settings.Plans
	Customer     uint64
	FirstGateway int // index of the first gateway that serves the customer
	GatewayCount int // number of gateways that serve the customer
	Units        float64
	Deadline     time.Duration // time at which the client abandons this try
	Repeat       bool          // the client has sent this request before
	// PreferredOwner is the owner whose servers get the first attempt of an idempotent request, if
	// one of them has capacity; 0: none.
	PreferredOwner int
	// Presence returns the presence of the client; nil: it is always connected. It must not deliver an
	// event to the module.
	Presence func() Presence
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	RequestID   uint32
	Attempt     int // index of the attempt in the request, from 0
	Server      uint32
	Outcome     Outcome
	Latency     time.Duration
	Final       bool      // the request has its final answer
	ActualUnits float64   // units that the request took; 0: unknown
	Usage       float64   // 1 + the fraction of its rate that the customer used at all gateways; 0: unknown
	LoadReport  []float32 // figures named by Settings.LoadReportFields
}

// CountResult is the counter's answer to a call, or the call's failure.
type CountResult struct {
	Name    uint64
	Total   float64
	Latency time.Duration
	Outcome Outcome
}

// Host is the interface through which a module acts on the gateway around it. A method must not
// deliver an event to the module before it returns.
type Host interface {
	// Attempt sends a request to a server. The host ends the attempt at the time until.
	Attempt(requestID, server uint32, until time.Duration)
	// Cancel cancels an attempt, given by its index from 0. The host still reports its result.
	Cancel(requestID uint32, attempt int)
	// Reject sends the final answer that tells the client that a retry is harmless. retryAfter is
	// how long the client should wait before it; 0: not specified.
	Reject(requestID uint32, retryAfter time.Duration)
	// Terminate sends the final answer that leaves open whether the request ran.
	Terminate(requestID uint32)
	// Count adds units to the counter's total for a name and reads the total. The counter keeps the
	// name for ttl.
	Count(name uint64, ttl time.Duration, units float64)
	// CheckHealth sends a health check to a server.
	CheckHealth(server uint32)
	// SendPeer sends a message to another gateway, or to all if gateway is negative.
	SendPeer(gateway int, text []byte)
	// WatchEndpoints requests the endpoint list and its changes.
	WatchEndpoints()
	// SetTimer starts a timer. When it is due, the host calls Gateway.HandleTimer with the token.
	SetTimer(token uint64, after time.Duration)
	// CancelTimer cancels a timer, which may fire nevertheless.
	CancelTimer(token uint64)
	// Log writes a line to the gateway's log.
	Log(line string)
}
