package policy

import (
	"errors"
	"slices"
	"time"
)

// Effect says whether a request may run more than once.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // may run again
	Keyed                       // carries an idempotency key by which a group of servers drops a repeat
	NonIdempotent               // must never run twice
)

// Group names the servers that drop each other's repeats of a keyed request.
type Group uint8

// The groups: all servers, those of a zone, those of a rack.
const (
	GroupAll Group = iota
	GroupZone
	GroupRack
)

// TrafficClass is a kind of request.
type TrafficClass struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns the full weight
	Timeout          time.Duration // the longest that a client waits, all of its tries together
	Weight           float64       // what a served request counts
	LateFraction     float64       // of the weight: what an answer after the objective earns
	Effect           Effect
	Group            Group         // of a keyed class
	DedupWindow      time.Duration // how long the group remembers a keyed request
	Stream           bool          // answers may be streams
	Retired          bool          // takes no new request, and is kept for those in flight (AlignWith)
}

// Plan is what a customer has bought. It holds for each customer, over all gateways together.
type Plan struct {
	Name            string
	Rate            float64 // units a second; 0: no such quota
	Burst           float64 // units that may be used at once
	MaxInFlight     int     // attempts in flight at once; 0: no such quota
	CeilingRate     float64 // units a second that are never passed; 0: no ceiling
	CeilingBurst    float64 // units
	CeilingSlack    float64 // units
	Price           float64 // factor of a request's weight; 0: 1
	OverQuotaWeight float64 // part of its weight that a request beyond the quota earns
	OverQuotaCost   float64 // part of its weight that a request beyond the quota costs
	Retired         bool    // takes no new request, and is kept for those in flight (AlignWith)
}

// Settings are what a module starts with, and what Reconfigure hands to a running one.
type Settings struct {
	Gateways, MyIndex, MyZone int // how many gateways there are, and which one this is
	Zones                     int
	PollList                  bool          // the endpoint list comes only when asked for
	MaxListAge                time.Duration // how old a polled list may grow
	ClockTick                 time.Duration // timers may be late by this
	Classes                   []TrafficClass
	Plans                     []Plan
	HasCounter                bool
	CountTimeout              time.Duration // of a call to the counter
	ReportsUnits              bool          // answers tell the units that a request took
	MaxUnits                  float64       // of a request
	UsageSpan                 time.Duration // which answers' usage reports cover; 0: there are none
	Peers, HealthChecks       bool          // what the host offers
	CanCancel                 bool          // the host can cancel an attempt
	RetryAfter                bool          // rejections tell when to come again
	MaxRetryAfter             time.Duration
	AllowHedging              bool          // two attempts of a request may be in flight at once
	MaxAttempts               int           // of a request
	ArrivalSlack              time.Duration // differences of clients' timeouts up to it mean nothing
	DrainGrace                time.Duration // how long a draining server goes on serving
	WarmUpStart               float64       // part of its capacity that a server has at its start
	WarmUpTime                time.Duration // after which it has all
	OverloadFactor            float64       // times its capacity, over OverloadSpan: stops a warming server
	OverloadSpan              time.Duration
	LoadReportFields          []string // names of the figures in a load report
	MailboxRate               float64  // messages a second that a peer takes
}

// ErrIncompleteSettings says that settings lack a class that is not retired, a plan or a gateway.
var ErrIncompleteSettings = errors.New(
	"a gateway needs at least one lane, one plan and its place among the gateways")

// Validate returns ErrIncompleteSettings where settings cannot be used at all.
func (s *Settings) Validate() error {
	open := func(c TrafficClass) bool { return !c.Retired }
	if !slices.ContainsFunc(s.Classes, open) || len(s.Plans) == 0 || s.Gateways < 1 {
		return ErrIncompleteSettings
	}
	return nil
}
