package policy

import "time"

// This file is the module's interface: what it is handed, and what it can ask of the gateway around it.
// Times are spans since the origin of the clock that all gateways share.

// Effect says whether a task may run again.
type Effect uint8

// The three kinds of effect.
const (
	Pure      Effect = iota // may run again
	Receipted               // carries a mark by which a group of servers drops a repeat
	Effectful               // must never run twice
)

// Group names the servers that drop each other's repeats of a receipted task.
type Group uint8

// The three sizes of group.
const (
	GroupAll Group = iota
	GroupHall
	GroupCell
)

// Outcome tells how a push, a call to the counter or a probe ended.
type Outcome uint8

// The outcomes that can be told.
const (
	Answered  Outcome = iota
	Errored           // the server answered with an error; it may have run
	Full              // turned away unseen
	TimedOut          // no answer in time; it may have run
	NoConnect         // no connection; it never ran
	Reset             // the connection broke; it may have run
	Cancelled         // called off; it may have run
	Moot              // not sent at all
)

// Stage tells what the list says of a server.
type Stage uint8

// The stages of a listed server.
const (
	Gone Stage = iota
	Ready
	Draining
)

// ListKind tells what a list brings.
type ListKind uint8

// The kinds of list.
const (
	ListChanges ListKind = iota
	ListWhole
	ListCached // whole, as last held; may be old
	ListFailed // nothing came; the earlier list stands
)

// Lane is a kind of task.
type Lane struct {
	Name      string
	SoftLimit time.Duration // an answer within it earns the full gain
	Patience  time.Duration // the longest that a client waits, all of its tries together
	Gain      float64
	LateShare float64 // part of the gain that an answer after the soft limit earns
	Effect    Effect
	Group     Group
	Window    time.Duration // how long the group remembers a receipted task
	Stream    bool
	Closed    bool // takes no new task: it stands for those in hand (After)
}

// Plan is what a customer has bought; it holds for each customer, over all gateways together.
type Plan struct {
	Name         string
	Rate         float64 // units a second; 0: no such quota
	Burst        float64 // units that may be used at once
	AtOnce       int     // pushes out at once; 0: no such quota
	CeilingRate  float64 // units a second; 0: no ceiling
	CeilingBurst float64
	CeilingSlack float64
	Price        float64
	OverGain     float64
	OverCost     float64
	Closed       bool // takes no new task: it stands for those in hand (After)
}

// Deployment is what a gateway is handed at its start.
type Deployment struct {
	Gateways, Me, MyHall int
	Halls                int
	AskForList           bool          // the list comes only to those that ask
	MustAskIn            time.Duration // how old an asked-for list may grow
	Tick                 time.Duration
	Lanes                []Lane
	Plans                []Plan
	HasCounter           bool
	CountLimit           time.Duration // a call to the counter ends after this
	Settles              bool          // answers tell the true units
	MostUnits            float64
	Meter                time.Duration // how long a time of use answers tell of; 0: they tell none
	Peers, Probes        bool
	Cancelling           bool
	RetryAfter           bool
	MaxRetryAfter        time.Duration
	TwoAtOnce            bool // a task may have two pushes out
	PushLimit            int  // pushes for a task
	AnswerSlack          time.Duration
	DrainGrace           time.Duration
	ColdFrom             float64
	WarmAfter            time.Duration
	FallMultiple         float64
	TipAfter             time.Duration
	Reports              []string // the names of the figures in a load report
	InboxPerS            float64
}

// Listed is a server as the list has it.
type Listed struct {
	Server uint32
	Stage  Stage
	Power  float64       // size beside other servers; 0: not told
	Since  time.Duration // its latest start; 0: long ago
	Cell   int
	Hall   int
	Kind   int
	// Owner is whose it is, where tasks may prefer its servers (Task.Prefer); 0: nobody's. Elective servers take only the
	// first pushes of pure tasks that prefer their owner.
	Owner    int
	Elective bool
}

// Task is what a client asks.
type Task struct {
	ID       uint32
	Lane     int
	Plan     int
	Customer uint64
	First    int // number of the first gateway of the customer's set
	Width    int // number of gateways in it
	Units    float64
	Expires  time.Duration // when the client gives this try up
	Repeat   bool
	Prefer   int // the owner whose servers the first push of a pure task goes to, if one there has room; 0: none
}

// Push tells how a push ended.
type Push struct {
	Task    uint32
	Number  int
	Server  uint32
	Outcome Outcome
	Took    time.Duration
	Done    bool    // the task has its final answer
	Billed  float64 // true units; 0: not told
	Use     float64 // 1 + the part of its rate that the customer used of late, over all gateways; 0: not told
	Report  []float32
}

// Tally is the answer to a call to the counter.
type Tally struct {
	Name    uint64
	Total   float64
	Took    time.Duration
	Outcome Outcome
}

// Host is what a gateway can ask for.
type Host interface {
	Push(task, server uint32, until time.Duration)
	Cancel(task uint32, number int)
	Reject(task uint32, away time.Duration)
	Terminate(task uint32)
	Count(name uint64, keep time.Duration, units float64)
	Probe(server uint32)
	Tell(gateway int, words []byte) // below 0: all of them
	Watch()                         // asks for the list and its changes
	Wake(token uint64, after time.Duration)
	Forget(token uint64) // of a wake that is not needed any more; it may come all the same
	Log(line string)
}
