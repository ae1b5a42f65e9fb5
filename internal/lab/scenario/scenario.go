// Package scenario decides what a scenario's file means: it reads the file, fills in defaults and
// refuses what is wrong. All packages of the laboratory and the command loadlab call it.
//
// A scenario has gateways, servers, traffic classes, plans, customers, a counter, discovery, a
// network, rules, and faults that strike. The file is TOML and strict: a key that is not known, or
// that contradicts another, is an error with its line and column, and all errors are reported at
// once. docs/lab.md explains the keys; defaults.toml has the defaults.
package scenario

import (
	"fmt"
	"time"

	"harrierhoist/internal/control/failover"
)

// Span is a time in the file, written with its unit: "250ms", "1m30s".
type Span time.Duration

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, such as \"250ms\"", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes a span.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D is the span as a duration.
func (s Span) D() time.Duration { return time.Duration(s) }

// Scenario is a complete file, with defaults for what it leaves out.
type Scenario struct {
	Name   string `toml:"name"`
	Seed   uint64 `toml:"seed"`   // of all random numbers; a run may override it
	Length Span   `toml:"length"` // in which requests are offered; a run goes on until they have ended

	Gateways     Gateways       `toml:"gateways"`
	Servers      Servers        `toml:"servers"`
	Classes      []TrafficClass `toml:"lane"`
	Plans        []Plan         `toml:"plan"`
	Load         Load           `toml:"load"`
	Clients      Clients        `toml:"clients"`
	Counter      Counter        `toml:"counter"`
	Discovery    Discovery      `toml:"discovery"`
	Network      Network        `toml:"network"`
	Rules        Rules          `toml:"rules"`
	Coordination Coordination   `toml:"common"`
	// Failover has no regions, as those are the gateways'; its capacity, at 0, is what the servers
	// are made to do.
	Failover failover.Settings `toml:"failover"`
	Faults   []Fault           `toml:"trouble"`
}

// Gateways are the machines under test.
type Gateways struct {
	Count int `toml:"count"`
	Zones int `toml:"halls"`
	// Regions are the zones of each region; none: all zones are in one.
	Regions [][]int `toml:"regions"`
	// Subset has a gateway use the part of the servers to which its attempts can keep connections
	// open, as on sockets.
	Subset bool `toml:"pool"`
	// MaxAttempts is the most attempts of a request.
	MaxAttempts int `toml:"pushes"`
}

// Servers are the back end. Each has cores that work on one request at a time, and a queue in front
// of them.
type Servers struct {
	Count          int        `toml:"count"`
	Cores          int        `toml:"cores"`
	QueueLimit     int        `toml:"queue"` // queued requests; more are rejected
	Speed          [2]float64 `toml:"speed"` // drawn for each server
	RackSize       int        `toml:"cell"`  // servers in a rack
	MaxConnections int        `toml:"connections"`
	IdleTimeout    Span       `toml:"idle"`      // a connection that is idle so long is closed
	HandshakeWork  Span       `toml:"handshake"` // work for a new connection
	WarmUpStart    float64    `toml:"cold_from"` // part of its speed that a server starts with
	WarmUpTime     Span       `toml:"warm_after"`
	ErrorRate      float64    `toml:"errors"` // part of the requests that fail at any time
	Cancellation   string     `toml:"stop"`   // which abandoned work ends early
}

// What work of an abandoned attempt a server ends early.
const (
	CancelNone   = "none"
	CancelQueued = "queued"
	CancelAll    = "all"
)

// TrafficClass is a kind of request.
type TrafficClass struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`  // of the requests
	Work             Span    `toml:"work"`   // mean, on one core of speed 1
	Distribution     string  `toml:"spread"` // of the work
	CV               float64 `toml:"cv"`     // of a lognormal: deviation over mean
	LatencyObjective Span    `toml:"soft_limit"`
	Timeout          Span    `toml:"patience"`
	Weight           float64 `toml:"gain"`
	LateFraction     float64 `toml:"late"` // part of the weight after the latency objective
	Effect           string  `toml:"effect"`
	Group            string  `toml:"group"`  // of a keyed class
	DedupWindow      Span    `toml:"window"` // of a keyed class
}

// Distributions of the work of requests.
const (
	DistributionExponential = "exponential"
	DistributionLognormal   = "lognormal"
	DistributionFixed       = "fixed"
)

// Effects of requests.
const (
	EffectIdempotent    = "pure"
	EffectKeyed         = "receipted"
	EffectNonIdempotent = "effectful"
)

// Groups of servers that share the memory of idempotency keys.
const (
	GroupAll  = "all"
	GroupZone = "hall"
	GroupRack = "cell"
)

// Plan is what customers have bought.
type Plan struct {
	Name          string  `toml:"name"`
	Share         float64 `toml:"share"` // of the requests
	Customers     int     `toml:"customers"`
	Rate          float64 `toml:"rate"` // units a second; 0: no quota
	Burst         float64 `toml:"burst"`
	CeilingRate   float64 `toml:"ceiling_rate"`
	CeilingBurst  float64 `toml:"ceiling_burst"`
	CeilingSlack  float64 `toml:"ceiling_slack"`
	Price         float64 `toml:"price"`
	OverQuotaCost float64 `toml:"over_cost"` // part of its value that a request beyond quota costs
	// GatewayShare is the part of the gateways that its customers come through, drawn for each; 0:
	// the load's.
	GatewayShare [2]float64 `toml:"spread"`
}

// Load is what customers ask, whether answers come or not.
type Load struct {
	Rate              float64    `toml:"rate"` // requests a second over all gateways, retries not counted
	Skew              float64    `toml:"skew"` // of customers' sizes within a plan: the n-th is n^-skew; 0: all alike
	MeanUnits         float64    `toml:"units"`
	DeclaredDeviation float64    `toml:"told"`   // deviation of declared units from true ones, over the true; 0: exact
	GatewayShare      [2]float64 `toml:"spread"` // part of the gateways that a customer comes through, drawn for each
	OneTimeShare      float64    `toml:"once"`   // part of the requests that are of customers seen once
	Swing             float64    `toml:"swing"`  // the rate swings by this part, over 20 s
}

// Clients send the requests of customers.
type Clients struct {
	Retries         int     `toml:"retries"` // each through another gateway of the set
	Backoff         Span    `toml:"backoff"`
	RetryAfterShare float64 `toml:"honour"` // part that waits as long as Retry-After says
	MarkRepeats     bool    `toml:"marks"`
}

// Counter is the counter that all gateways share. A rate of 0 means that there is none.
type Counter struct {
	Rate        float64 `toml:"rate"`  // calls a second
	MaxWait     Span    `toml:"queue"` // calls that would wait longer are rejected
	ServiceTime Span    `toml:"takes"` // besides waiting
	Timeout     Span    `toml:"limit"` // a call without an answer by then has failed
}

// Discovery notifies each gateway of changes after a lag.
type Discovery struct {
	Lag [2]Span `toml:"lag"` // drawn between the two
}

// Network is between customers, gateways, servers, counter and discovery.
type Network struct {
	SameZone       Span    `toml:"same"`    // delay, one way
	CrossZone      Span    `toml:"cross"`   // delay between zones
	CrossRegion    Span    `toml:"far"`     // delay between regions; 0: as between zones
	Jitter         float64 `toml:"jitter"`  // part of the delay
	ConnectTimeout Span    `toml:"connect"` // a connection that is not up by then has failed
}

// Rules are the numbers of the five rules that package invariants checks.
type Rules struct {
	DrainGrace  Span `toml:"drain_grace"`
	AnswerSlack Span `toml:"answer_slack"`
	// A server that is warming up fails for OverloadDowntime if the work sent to it over
	// OverloadSpan is more than its capacity times OverloadFactor.
	OverloadFactor   float64 `toml:"fall_multiple"`
	OverloadSpan     Span    `toml:"tip_after"`
	OverloadDowntime Span    `toml:"fall"`
}

// Fault is one thing that goes wrong. Fraction and Magnitude mean what its kind says.
type Fault struct {
	Kind      string  `toml:"kind" json:"Kind"`
	Start     Span    `toml:"at" json:"At"`
	Duration  Span    `toml:"for" json:"For"`
	Fraction  float64 `toml:"part" json:"Part"`
	Magnitude float64 `toml:"size" json:"Size"`
	Class     string  `toml:"lane" json:"Lane"`
	Plan      string  `toml:"plan" json:"Plan"`
	Zone      int     `toml:"hall" json:"Hall"`
	OtherZone int     `toml:"to" json:"To"` // the other zone of a link
}
