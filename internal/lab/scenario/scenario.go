// Package world reads the description of a world that the laboratory plays: gateways, servers, lanes, plans,
// customers, the counter, discovery, the network, the rules, and the troubles that strike. The file is TOML and
// strict: a key that is not known, or that contradicts another, is an error with its line and column, and all
// errors are told at once. docs/lab.md explains every key.
package scenario

import (
	"fmt"
	"time"

	"harrierhoist/internal/failover"
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

// World is a whole file, with what it leaves out filled in.
type Scenario struct {
	Name   string `toml:"name"`
	Seed   uint64 `toml:"seed"`   // of all chance; a run may override it
	Length Span   `toml:"length"` // in which tasks are offered; answers are waited for after it

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
	// Failover names no regions, as they are the gateways'; bears, at 0, is what servers are made to.
	Failover failover.Settings `toml:"failover"`
	Faults   []Fault           `toml:"trouble"`
}

// Gateways are the machines under test.
type Gateways struct {
	Count int `toml:"count"`
	Zones int `toml:"halls"`
	// Regions are the halls of each region; none: all halls are of one.
	Regions [][]int `toml:"regions"`
	// Pool has a gateway push to the part of the servers that its pushes can keep open, as on sockets.
	Subset bool `toml:"pool"`
	// Pushes is the most pushes of a task.
	MaxAttempts int `toml:"pushes"`
}

// Servers are the back end. Each has cores that work on one task at a time and a queue before them.
type Servers struct {
	Count          int        `toml:"count"`
	Cores          int        `toml:"cores"`
	QueueLimit     int        `toml:"queue"` // tasks that wait; more are turned away
	Speed          [2]float64 `toml:"speed"` // drawn for each
	RackSize       int        `toml:"cell"`  // servers in a cell
	MaxConnections int        `toml:"connections"`
	IdleTimeout    Span       `toml:"idle"`      // a connection that rests so long is closed
	HandshakeWork  Span       `toml:"handshake"` // work for a new connection
	WarmUpStart    float64    `toml:"cold_from"` // part of its speed that a server starts with
	WarmUpTime     Span       `toml:"warm_after"`
	ErrorRate      float64    `toml:"errors"` // part of the tasks that fail at any time
	Cancellation   string     `toml:"stop"`   // which given-up work stops: "none", "queued" or "all"
}

// Lane is a kind of task.
type TrafficClass struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`
	Work             Span    `toml:"work"`   // mean, on one core of speed 1
	Distribution     string  `toml:"spread"` // "exponential", "lognormal" or "fixed"
	CV               float64 `toml:"cv"`     // of a lognormal: deviation over mean
	LatencyObjective Span    `toml:"soft_limit"`
	Timeout          Span    `toml:"patience"`
	Weight           float64 `toml:"gain"`
	LateFraction     float64 `toml:"late"`   // part of the gain after the soft limit
	Effect           string  `toml:"effect"` // "pure", "receipted" or "effectful"
	Group            string  `toml:"group"`  // of a receipted lane: "all", "hall" or "cell"
	DedupWindow      Span    `toml:"window"`
}

// Plan is what customers have bought.
type Plan struct {
	Name          string  `toml:"name"`
	Share         float64 `toml:"share"` // of the tasks
	Customers     int     `toml:"customers"`
	Rate          float64 `toml:"rate"` // units a second; 0: no quota
	Burst         float64 `toml:"burst"`
	CeilingRate   float64 `toml:"ceiling_rate"`
	CeilingBurst  float64 `toml:"ceiling_burst"`
	CeilingSlack  float64 `toml:"ceiling_slack"`
	Price         float64 `toml:"price"`
	OverQuotaCost float64 `toml:"over_cost"` // part of its gain that a task beyond quota costs
	// Spread is the part of the gateways that its customers come through, drawn for each; the load's where it is not set.
	GatewayShare [2]float64 `toml:"spread"`
}

// Load is what customers ask, whether answers come or not.
type Load struct {
	Rate              float64    `toml:"rate"` // tasks a second, first tries, over all gateways
	Skew              float64    `toml:"skew"` // of customers' sizes within a plan: 0 alike; the n-th is n^-skew
	MeanUnits         float64    `toml:"units"`
	DeclaredDeviation float64    `toml:"told"`   // deviation of the units told from the true ones, over the true; 0: told exactly
	GatewayShare      [2]float64 `toml:"spread"` // part of the gateways that a customer comes through, drawn for each
	OneTimeShare      float64    `toml:"once"`   // part of the tasks that are of customers seen once
	Swing             float64    `toml:"swing"`  // the rate swings by this part, over 20 s
}

// Clients send the tasks of customers.
type Clients struct {
	Retries         int     `toml:"retries"` // further tries, each through another gateway of the set
	Backoff         Span    `toml:"backoff"`
	RetryAfterShare float64 `toml:"honour"` // part that stays away as long as it is told
	MarkRepeats     bool    `toml:"marks"`  // repeats are marked
	Notice          Span    `toml:"notice"` // until a dead gateway gets nothing more
}

// Counter is what all gateways count with. A rate of 0 means that there is none.
type Counter struct {
	Rate        float64 `toml:"rate"` // calls a second
	MaxWait     Span    `toml:"queue"`
	ServiceTime Span    `toml:"takes"` // besides waiting
	Timeout     Span    `toml:"limit"` // a call with no answer by then ends
}

// Discovery tells each gateway of changes after a lag.
type Discovery struct {
	Lag [2]Span `toml:"lag"`
}

// Network lies between all of them.
type Network struct {
	SameZone       Span    `toml:"same"`  // one way, in a hall
	CrossZone      Span    `toml:"cross"` // between halls
	CrossRegion    Span    `toml:"far"`   // between regions; 0: as between halls
	Jitter         float64 `toml:"jitter"`
	ConnectTimeout Span    `toml:"connect"` // a connection not up by then is none
}

// Rules are the figures of the five rules.
type Rules struct {
	DrainGrace       Span    `toml:"drain_grace"`
	AnswerSlack      Span    `toml:"answer_slack"`
	OverloadFactor   float64 `toml:"fall_multiple"` // a cold server sent more than so many times its capacity falls
	OverloadSpan     Span    `toml:"tip_after"`     // over this time
	OverloadDowntime Span    `toml:"fall"`          // and is down so long
}

// Trouble is one thing that goes wrong, by name (docs/lab.md lists them). Part and Size mean what its kind says.
type Fault struct {
	Kind      string  `toml:"kind" json:"Kind"`
	Start     Span    `toml:"at" json:"At"`
	Duration  Span    `toml:"for" json:"For"`
	Fraction  float64 `toml:"part" json:"Part"`
	Magnitude float64 `toml:"size" json:"Size"`
	Class     string  `toml:"lane" json:"Lane"`
	Plan      string  `toml:"plan" json:"Plan"`
	Zone      int     `toml:"hall" json:"Hall"`
	OtherZone int     `toml:"to" json:"To"` // the other hall of a link
}
