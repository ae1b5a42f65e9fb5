package policy

import (
	"errors"
	"slices"
	"time"
)

// Effect is whether a request may run more than once.
type Effect uint8

// Effects of a second run.
const (
	Idempotent    Effect = iota // may run again
	Keyed                       // carries an idempotency key, by which a group of servers drops repeats
	NonIdempotent               // must never run twice
)

// Group is the set of servers that drop each other's repeats of a keyed request.
type Group uint8

// Groups of servers: all servers, the servers of a zone, the servers of a rack.
const (
	GroupAll Group = iota
	GroupZone
	GroupRack
)

// TrafficClass describes one kind of request.
type TrafficClass struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns the full weight
	Timeout          time.Duration // longest time that a client waits, over all its tries
	Weight           float64       // value of a served request
	LateFraction     float64       // fraction of the weight that an answer after the objective earns
	Effect           Effect
	Group            Group         // group that drops repeats of a keyed class
	DedupWindow      time.Duration // how long the group remembers a keyed request
	Stream           bool          // answers may be streams
	Retired          bool          // takes no new requests; kept for those in flight (AlignWith)
}

// Plan is the quota and price that a customer has bought. Its limits apply to each customer over
// all gateways together.
type Plan struct {
	Name            string
	Rate            float64 // units per second; 0: no quota of units
	Burst           float64 // units that may be used in a burst
	MaxInFlight     int     // limit on attempts in flight; 0: no limit
	CeilingRate     float64 // units per second that are never exceeded; 0: no ceiling
	CeilingBurst    float64 // units
	CeilingSlack    float64 // units by which a checker tolerates use beyond the ceiling; the module ignores it
	Price           float64 // factor of a request's weight; 0: 1
	OverQuotaWeight float64 // fraction of its weight that a request beyond the quota earns
	OverQuotaCost   float64 // fraction of its weight that a request beyond the quota costs
	Retired         bool    // takes no new requests; kept for those in flight (AlignWith)
}

// Settings configure a module at its start (New) and while it runs (Reconfigure).
type Settings struct {
	Gateways, GatewayIndex, GatewayZone int // number of gateways; index and zone of this one
	Zones                               int
	PollList                            bool          // the endpoint list is sent only on request
	MaxListAge                          time.Duration // maximum age of a polled list
	ClockTick                           time.Duration // maximum delay of a timer
	Classes                             []TrafficClass
	Plans                               []Plan
	HasCounter                          bool
	LateCountAfter                      time.Duration // the counter's answer to a call is late after this time
	ReportsUnits                        bool          // answers report the units that a request took
	MaxUnits                            float64       // maximum units of a request
	UsageSpan                           time.Duration // span of a usage report; 0: answers have no usage reports
	HasPeers, HasHealthChecks           bool          // the host supports messages to peers, or health checks
	CanCancel                           bool          // the host can cancel an attempt
	SendsRetryAfter                     bool          // rejections tell the client how long to wait before a retry
	MaxRetryAfter                       time.Duration
	AllowHedging                        bool          // a request may have several attempts in flight
	MaxAttempts                         int           // maximum attempts of a request
	ArrivalSlack                        time.Duration // largest difference between client timeouts that is ignored
	DrainGrace                          time.Duration // how long a draining server continues to serve
	WarmUpStart                         float64       // fraction of its capacity that a server has at its start
	WarmUpTime                          time.Duration // time from its start until a server has its full capacity
	OverloadFactor                      float64       // multiple of its capacity at which load stops a warming server
	OverloadSpan                        time.Duration // how long such a load lasts before it stops the server
	LoadReportFields                    []string      // names of the figures in a load report
	MailboxRate                         float64       // messages per second that a peer accepts
}

// ErrIncompleteSettings reports settings without a class that is not retired, without a plan, or
// without a gateway.
var ErrIncompleteSettings = errors.New(
	"a gateway needs at least one lane, one plan and its place among the gateways")

// Validate returns ErrIncompleteSettings if a module cannot run with the settings.
func (s *Settings) Validate() error {
	isActive := func(c TrafficClass) bool { return !c.Retired }
	if !slices.ContainsFunc(s.Classes, isActive) || len(s.Plans) == 0 || s.Gateways < 1 {
		return ErrIncompleteSettings
	}
	return nil
}
