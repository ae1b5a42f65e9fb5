package frame

import "time"

// The codes of events; beside them the format's own names.
const (
	EventStart         = 10  // spawn
	EventStop          = 20  // retire
	EventStreamStart   = 30  // first
	EventDisconnect    = 40  // lapsed
	EventAddressee     = 50  // to
	EventAttemptResult = 60  // response
	EventPeerMessage   = 70  // inbox
	EventRequest       = 80  // submit
	EventHealthCheck   = 90  // probe_result
	EventCount         = 100 // ledger_reply
	EventEndpoints     = 110 // view
	EventTimer         = 120 // timer
)

// The codes of the states of an endpoint.
const (
	StateReady    = 2
	StateDraining = 3
)

// The codes of the kinds of endpoint list.
const (
	ListDelta  = 0
	ListFull   = 1
	ListCached = 2
)

// Event is one record of a batch.
type Event struct {
	Offset  int // of the record, in bytes from the start of the frame
	Message Message
}

// Message is what an event tells: one of the types below.
type Message interface {
	// Code is the record's code.
	Code() uint8
}

// Addressee names the instance that the events behind it are for.
type Addressee struct {
	Instance uint32
}

// Start starts an instance.
type Start struct {
	Seed     uint64
	Settings []byte // a line for each
}

// Stop ends an instance.
type Stop struct{}

// StreamStart tells that a streamed answer has started.
type StreamStart struct {
	RequestID uint32
	Elapsed   time.Duration // since the attempt began
	Attempt   uint16
	Server    uint32
}

// Disconnect tells that the client of a request has gone.
type Disconnect struct {
	RequestID uint32
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	RequestID    uint32
	Attempt      uint16
	Server       uint32
	Outcome      uint8
	Elapsed      time.Duration // since the attempt began
	Final        bool          // the request has its final answer
	UsagePercent uint16        // 1 + the customer's use in percent of its rate; 0: not reported
	ActualUnits  uint16        // 0: not reported
	LoadReport   []float32
}

// PeerMessage is a message of another instance.
type PeerMessage struct {
	From  uint32
	Bytes []byte
}

// Request is a request of a client.
type Request struct {
	ID           uint32
	Options      uint8 // bits; OptionRepeat is one
	Plan         uint32
	Deadline     time.Duration // on the simulator's clock
	Customer     uint64
	FirstGateway float32
	Class        uint8
	GatewayCount float32
	Units        float32
}

// OptionRepeat marks a request that its client sends again.
const OptionRepeat = 2

// HealthCheck is the result of a health check.
type HealthCheck struct {
	Server     uint32
	Outcome    uint8
	Elapsed    time.Duration // since the health check began
	LoadReport []float32
}

// Count is the counter's reply to one call.
type Count struct {
	Total   float32
	Elapsed time.Duration // since the call
	Name    uint64
	Outcome uint8
}

// Endpoint is a server of the endpoint list.
type Endpoint struct {
	State     uint8 // StateReady, StateDraining; any other is a removal
	Server    uint32
	Capacity  float32
	StartedAt time.Duration // on the simulator's clock
	Rack      uint16
	Zone      uint16
	Hardware  uint16
}

// Endpoints brings the endpoint list, or what changed of it.
type Endpoints struct {
	Generation uint64
	Kind       uint8 // ListDelta, ListFull, ListCached; any other is a failure
	Endpoints  []Endpoint
}

// Timer tells that a timer is due.
type Timer struct {
	Token uint64
}

// Code is EventAddressee.
func (Addressee) Code() uint8 { return EventAddressee }

// Code is EventStart.
func (Start) Code() uint8 { return EventStart }

// Code is EventStop.
func (Stop) Code() uint8 { return EventStop }

// Code is EventStreamStart.
func (StreamStart) Code() uint8 { return EventStreamStart }

// Code is EventDisconnect.
func (Disconnect) Code() uint8 { return EventDisconnect }

// Code is EventAttemptResult.
func (AttemptResult) Code() uint8 { return EventAttemptResult }

// Code is EventPeerMessage.
func (PeerMessage) Code() uint8 { return EventPeerMessage }

// Code is EventRequest.
func (Request) Code() uint8 { return EventRequest }

// Code is EventHealthCheck.
func (HealthCheck) Code() uint8 { return EventHealthCheck }

// Code is EventCount.
func (Count) Code() uint8 { return EventCount }

// Code is EventEndpoints.
func (Endpoints) Code() uint8 { return EventEndpoints }

// Code is EventTimer.
func (Timer) Code() uint8 { return EventTimer }
