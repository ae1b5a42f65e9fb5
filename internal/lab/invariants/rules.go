package invariants

import (
	"fmt"
	"time"
)

// Rule is one of the five rules.
type Rule int

// The rules.
const (
	// RequestLost: a request that a gateway accepted has no answer in time, or two, or one that no
	// server made.
	RequestLost Rule = iota
	// EffectRepeated: the effect of a request happened twice though it must not.
	EffectRepeated
	// DrainViolated: an attempt left for a server after the drain grace, which counts from the
	// gateway's notification.
	DrainViolated
	// WarmUpOverloaded: a server that was warming up was overloaded.
	WarmUpOverloaded
	// CeilingExceeded: a customer's units exceeded its ceiling and the slack.
	CeilingExceeded
	ruleCount
)

// RuleCount is the number of rules.
const RuleCount = int(ruleCount)

// ruleNames are the names of the rules. Kept results have them.
var ruleNames = [RuleCount]string{
	RequestLost:      "no task lost",
	EffectRepeated:   "no effect twice",
	DrainViolated:    "drains kept",
	WarmUpOverloaded: "no cold server pushed over",
	CeilingExceeded:  "ceilings kept",
}

func (r Rule) String() string { return ruleNames[r] }

// noGateway is the gateway of a violation that concerns no one gateway.
const noGateway = -1

// Violation is one case in which a rule was violated.
type Violation struct {
	Rule        Rule          `json:"Rule"`
	At          time.Duration `json:"At"`
	Request     uint64        `json:"Task"`    // 0: of no one request
	Gateway     int           `json:"Gateway"` // -1: of no one gateway
	Server      uint32        `json:"Server"`
	Customer    uint64        `json:"Customer"`
	Description string        `json:"What"`
}

// String is the violation on one line, as kept results have it.
func (v Violation) String() string {
	return fmt.Sprintf(
		"%s at %.3fs: task %d, gateway %d, server %d, customer %d: %s",
		v.Rule,
		v.At.Seconds(),
		v.Request,
		v.Gateway,
		v.Server,
		v.Customer,
		v.Description,
	)
}
