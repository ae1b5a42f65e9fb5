package policy

import "time"

// This file is the module's interface: what it is handed, and what it can ask of the gateway around it.
// Times are spans since the origin of the clock that all gateways share.

// Effect says whether a task may run again.
type Effect uint8

// The three kinds of effect.
const (
	Idempotent    Effect = iota // may run again
	Keyed                       // carries a mark by which a group of servers drops a repeat
	NonIdempotent               // must never run twice
)

// Group names the servers that drop each other's repeats of a receipted task.
type Group uint8

// The three sizes of group.
const (
	GroupAll Group = iota
	GroupZone
	GroupRack
)

// Outcome tells how a push, a call to the counter or a probe ended.
type Outcome uint8

// The outcomes that can be told.
const (
	Answered      Outcome = iota
	Errored               // the server answered with an error; it may have run
	Rejected              // turned away unseen
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // no connection; it never ran
	Reset                 // the connection broke; it may have run
	Cancelled             // called off; it may have run
	NotSent               // not sent at all
)

// EndpointState tells what the list says of a server.
type EndpointState uint8

// The stages of a listed server.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// ListKind tells what a list brings.
type ListKind uint8

// The kinds of list.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached // whole, as last held; may be old
	ListFailed // nothing came; the earlier list stands
)

// TrafficClass is a kind of task.
type TrafficClass struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns the full gain
	Timeout          time.Duration // the longest that a client waits, all of its tries together
	Weight           float64
	LateFraction     float64 // part of the gain that an answer after the soft limit earns
	Effect           Effect
	Group            Group
	DedupWindow      time.Duration // how long the group remembers a receipted task
	Stream           bool
	Retired          bool // takes no new task: it stands for those in hand (After)
}

// Plan is what a customer has bought; it holds for each customer, over all gateways together.
type Plan struct {
	Name            string
	Rate            float64 // units a second; 0: no such quota
	Burst           float64 // units that may be used at once
	MaxInFlight     int     // pushes out at once; 0: no such quota
	CeilingRate     float64 // units a second; 0: no ceiling
	CeilingBurst    float64
	CeilingSlack    float64
	Price           float64
	OverQuotaWeight float64
	OverQuotaCost   float64
	Retired         bool // takes no new task: it stands for those in hand (After)
}

// Settings is what a gateway is handed at its start.
type Settings struct {
	Gateways, MyIndex, MyZone int
	Zones                     int
	PollList                  bool          // the list comes only to those that ask
	MaxListAge                time.Duration // how old an asked-for list may grow
	ClockTick                 time.Duration
	Classes                   []TrafficClass
	Plans                     []Plan
	HasCounter                bool
	CountTimeout              time.Duration // a call to the counter ends after this
	ReportsUnits              bool          // answers tell the true units
	MaxUnits                  float64
	UsageSpan                 time.Duration // how long a time of use answers tell of; 0: they tell none
	Peers, HealthChecks       bool
	CanCancel                 bool
	RetryAfter                bool
	MaxRetryAfter             time.Duration
	AllowHedging              bool // a task may have two pushes out
	MaxAttempts               int  // pushes for a task
	ArrivalSlack              time.Duration
	DrainGrace                time.Duration
	WarmUpStart               float64
	WarmUpTime                time.Duration
	OverloadFactor            float64
	OverloadSpan              time.Duration
	LoadReportFields          []string // the names of the figures in a load report
	MailboxRate               float64
}

// Endpoint is a server as the list has it.
type Endpoint struct {
	Server    uint32
	State     EndpointState
	Capacity  float64       // size beside other servers; 0: not told
	StartedAt time.Duration // its latest start; 0: long ago
	Rack      int
	Zone      int
	Hardware  int
	// Owner is whose it is, where tasks may prefer its servers (Task.Prefer); 0: nobody's. Elective servers take only the
	// first pushes of pure tasks that prefer their owner.
	Owner    int
	Elective bool
}

// Request is what a client asks.
type Request struct {
	ID           uint32
	Class        int
	Plan         int
	Customer     uint64
	FirstGateway int // number of the first gateway of the customer's set
	GatewayCount int // number of gateways in it
	Units        float64
	Deadline     time.Duration // when the client gives this try up
	Repeat       bool
	PreferOwner  int // the owner whose servers the first push of a pure task goes to, if one there has room; 0: none
}

// AttemptResult tells how a push ended.
type AttemptResult struct {
	RequestID   uint32
	Attempt     int
	Server      uint32
	Outcome     Outcome
	Latency     time.Duration
	Final       bool    // the task has its final answer
	ActualUnits float64 // true units; 0: not told
	Usage       float64 // 1 + the part of its rate that the customer used of late, over all gateways; 0: not told
	LoadReport  []float32
}

// CountResult is the answer to a call to the counter.
type CountResult struct {
	Name    uint64
	Total   float64
	Latency time.Duration
	Outcome Outcome
}

// Host is what a gateway can ask for.
type Host interface {
	Attempt(task, server uint32, until time.Duration)
	Cancel(task uint32, number int)
	Reject(task uint32, retryAfter time.Duration)
	Terminate(task uint32)
	Count(name uint64, keep time.Duration, units float64)
	CheckHealth(server uint32)
	SendPeer(gateway int, words []byte) // below 0: all of them
	WatchEndpoints()                    // asks for the list and its changes
	SetTimer(token uint64, after time.Duration)
	CancelTimer(token uint64) // of a wake that is not needed any more; it may come all the same
	Log(line string)
}
