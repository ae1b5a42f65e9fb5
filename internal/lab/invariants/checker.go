// Package ledger checks the five rules from what servers, clients and discovery saw. It is never told what a
// gateway says of itself. It names the task, the times and the rule of each breach.
package invariants

import (
	"fmt"
	"time"

	"harrierhoist/policy"
)

// Rule is one of the five.
type Rule int

// The rules.
const (
	RequestLost      Rule = iota // a task that a gateway took has no final answer in time, or two, or one that no server made
	EffectRepeated               // an effect happened twice
	DrainViolated                // a push left for a server after its grace, counted from when the gateway was told
	WarmUpOverloaded             // a cold server was pushed over
	CeilingExceeded              // a customer's units passed its ceiling and the slack
	ruleCount
)

// Rules is their number.
const RuleCount = int(ruleCount)

func (r Rule) String() string {
	return [...]string{"no task lost", "no effect twice", "drains kept", "no cold server pushed over", "ceilings kept"}[r]
}

// Breach is one broken rule.
type Violation struct {
	Rule        Rule          `json:"Rule"`
	At          time.Duration `json:"At"`
	Request     uint64        `json:"Task"`    // 0: of no one task
	Gateway     int           `json:"Gateway"` // -1: of no one gateway
	Server      uint32        `json:"Server"`
	Customer    uint64        `json:"Customer"`
	Description string        `json:"What"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: task %d, gateway %d, server %d, customer %d: %s", v.Rule, v.At.Seconds(), v.Request, v.Gateway,
		v.Server, v.Customer, v.Description)
}

// Limits are the figures that the rules name.
type Limits struct {
	AnswerSlack, DrainGrace time.Duration
	Plans                   []policy.Plan
}

// Task is a try as its client sent it. Key is common to a request's tries; 0: none.
type Request struct {
	ID, Key, Customer    uint64
	Class                policy.TrafficClass
	Plan, Gateway        int
	Units                float64
	AcceptedAt, Deadline time.Duration
}

type requestState struct {
	Request
	answers     int
	gatewayDied bool // its gateway died with it
	forwarded   bool
	withinQuota bool // its units stood in the store when it was first sent on
	runs        int
}

// told is a server that a gateway knows to want nothing more.
type notification struct {
	gateway int
	server  uint32
}

// store is what a customer has left, truly.
type bucket struct {
	tokens, ceilingTokens float64
	refilledAt            time.Duration
}

// Ledger takes what is seen, in the order of time.
type Checker struct {
	limits       Limits
	requests     map[uint64]*requestState
	queue        []uint64 // by the time they were taken
	unreadySince map[notification]time.Duration
	keyedEffects map[uint64]time.Duration // when a receipted effect first happened
	buckets      map[uint64]*bucket
	pauses       map[int][2]time.Duration // when a gateway's machine stood still last
	now          time.Duration

	// Breaches are the first few of each rule; Counts has them all.
	Violations []Violation
	Counts     [RuleCount]int
	// Units that were sent on, and those of them beyond their customers' stores.
	ForwardedUnits, OverQuotaUnits float64
	// BeyondGain is the gain of the tasks sent on beyond, times what their plans say that costs.
	OverQuotaPenalty float64
}

// breachesKept is how many breaches of a rule are kept with their words.
const maxDescribedViolations = 20

// memory is how long after its end a task is remembered: an effect may come late.
const requestRetention = 20 * time.Second

// New makes an empty ledger.
func New(limits Limits) *Checker {
	return &Checker{
		limits: limits, requests: map[uint64]*requestState{}, unreadySince: map[notification]time.Duration{},
		keyedEffects: map[uint64]time.Duration{}, buckets: map[uint64]*bucket{},
		pauses: map[int][2]time.Duration{},
	}
}

func (c *Checker) record(v Violation) {
	v.At = c.now
	if c.Counts[v.Rule]++; c.Counts[v.Rule] <= maxDescribedViolations {
		c.Violations = append(c.Violations, v)
	}
}

// Broken tells whether any rule is.
func (c *Checker) HasViolations() bool { return c.Counts != [RuleCount]int{} }

// Taken tells that a gateway's machine has taken a whole task.
func (c *Checker) RequestAccepted(t Request) {
	c.now = t.AcceptedAt
	c.requests[t.ID] = &requestState{Request: t}
	c.queue = append(c.queue, t.ID)
	for len(c.queue) > 0 {
		e := c.requests[c.queue[0]]
		if c.now < e.Deadline+requestRetention {
			break
		}
		c.expire(e)
		delete(c.requests, e.ID)
		c.queue = c.queue[1:]
	}
}

// Still tells that a gateway's machine stands still until a time. A task whose time ends then is not owed an answer.
func (c *Checker) GatewayPaused(at time.Duration, gateway int, until time.Duration) {
	c.now = at
	c.pauses[gateway] = [2]time.Duration{at, until}
}

// excused tells whether a task's time ended while its gateway's machine stood still, or a moment after.
func (c *Checker) isExcused(e *requestState) bool {
	s, stood := c.pauses[e.Gateway]
	return stood && e.Deadline >= s[0] && e.Deadline <= s[1]+c.limits.AnswerSlack
}

// close checks a task whose time is over.
func (c *Checker) expire(e *requestState) {
	if e.answers == 0 && !e.gatewayDied && !c.isExcused(e) {
		c.record(Violation{
			Rule: RequestLost, Request: e.ID, Gateway: e.Gateway, Customer: e.Customer,
			Description: fmt.Sprintf("taken at %.3fs, no answer by %.3fs", e.AcceptedAt.Seconds(), e.Deadline.Seconds()),
		})
	}
}

// Final tells that a client has got an answer; made says whether a value in it is one that a server made for this
// task.
func (c *Checker) RequestAnswered(at time.Duration, task uint64, made bool) {
	c.now = at
	e := c.requests[task]
	if e == nil {
		return
	}
	e.answers++
	say := func(what string) {
		c.record(Violation{Rule: RequestLost, Request: e.ID, Gateway: e.Gateway, Customer: e.Customer, Description: what})
	}
	switch {
	case e.answers > 1:
		say(fmt.Sprintf("answer number %d", e.answers))
	case !made:
		say("served with what no server made for it")
	case at > e.Deadline+c.limits.AnswerSlack && !c.isExcused(e):
		say(fmt.Sprintf("answered %.3fs after its time", (at - e.Deadline).Seconds()))
	}
}

// Died tells that a gateway died: what it held is no longer owed.
func (c *Checker) GatewayDied(at time.Duration, gateway int) {
	c.now = at
	for _, id := range c.queue {
		if e := c.requests[id]; e.Gateway == gateway && e.answers == 0 {
			e.gatewayDied = true
		}
	}
	for t := range c.unreadySince {
		if t.gateway == gateway {
			delete(c.unreadySince, t) // its next life is told anew
		}
	}
}

// Told tells that a gateway was told a server's stage.
func (c *Checker) EndpointNotified(at time.Duration, gateway int, server uint32, stage policy.EndpointState) {
	c.now = at
	t := notification{gateway, server}
	if stage == policy.Ready {
		delete(c.unreadySince, t)
	} else if _, known := c.unreadySince[t]; !known {
		c.unreadySince[t] = at
	}
}

// Pushed tells that a push left a gateway's machine for a server.
func (c *Checker) AttemptSent(at time.Duration, gateway int, server uint32, task uint64) {
	c.now = at
	if since, away := c.unreadySince[notification{gateway, server}]; away && at > since+c.limits.DrainGrace {
		c.record(Violation{
			Rule: DrainViolated, Request: task, Gateway: gateway, Server: server,
			Description: fmt.Sprintf("pushed %.3fs after it was told", (at - since).Seconds()),
		})
	}
	e := c.requests[task]
	if e == nil || e.forwarded {
		return
	}
	e.forwarded = true
	c.spend(e)
}

// spend takes a task's units from its customer's store and ceiling.
func (c *Checker) spend(e *requestState) {
	p := &c.limits.Plans[e.Plan]
	s := c.buckets[e.Customer]
	if s == nil {
		s = &bucket{tokens: p.Burst, ceilingTokens: p.CeilingBurst, refilledAt: c.now}
		c.buckets[e.Customer] = s
	}
	passed := (c.now - s.refilledAt).Seconds()
	s.refilledAt = c.now
	s.tokens = min(s.tokens+p.Rate*passed, p.Burst)
	s.ceilingTokens = min(s.ceilingTokens+p.CeilingRate*passed, p.CeilingBurst)
	c.ForwardedUnits += e.Units
	e.withinQuota = p.Rate <= 0 || s.tokens >= e.Units
	if !e.withinQuota {
		c.OverQuotaUnits += e.Units
		c.OverQuotaPenalty += e.Class.Weight * p.Price * e.Units * p.OverQuotaCost
	} else if p.Rate > 0 {
		s.tokens -= e.Units
	}
	if p.CeilingRate > 0 {
		if s.ceilingTokens -= e.Units; s.ceilingTokens < -p.CeilingSlack {
			c.record(Violation{
				Rule: CeilingExceeded, Request: e.ID, Gateway: e.Gateway, Customer: e.Customer,
				Description: fmt.Sprintf("%.1f units beyond the ceiling, %.1f are allowed", -s.ceilingTokens, p.CeilingSlack),
			})
		}
	}
}

// Settled gives back to a customer's store what a task was told to cost more than it did.
func (c *Checker) UnitsSettled(task uint64, units float64) {
	if e := c.requests[task]; e != nil && e.withinQuota {
		if s := c.buckets[e.Customer]; s != nil {
			s.tokens += e.Units - units
		}
	}
}

// Inside tells whether a task's units stood in the store when it was first sent on.
func (c *Checker) IsWithinQuota(task uint64) bool {
	e := c.requests[task]
	return e != nil && e.withinQuota
}

// Ran tells that a server began a task's work, and so its effect.
func (c *Checker) EffectRan(at time.Duration, server uint32, task uint64) {
	c.now = at
	e := c.requests[task]
	if e == nil {
		return
	}
	e.runs++
	switch e.Class.Effect {
	case policy.NonIdempotent:
		if e.runs > 1 {
			c.record(Violation{
				Rule: EffectRepeated, Request: e.ID, Gateway: e.Gateway, Server: server, Customer: e.Customer,
				Description: fmt.Sprintf("run %d of an effectful task", e.runs),
			})
		}
	case policy.Keyed:
		if first, done := c.keyedEffects[e.Key]; done {
			c.record(Violation{
				Rule: EffectRepeated, Request: e.ID, Gateway: e.Gateway, Server: server, Customer: e.Customer,
				Description: fmt.Sprintf("its receipt ran before, at %.3fs", first.Seconds()),
			})
		} else {
			c.keyedEffects[e.Key] = at
		}
	}
}

// Fell tells that a server fell over while it was cold.
func (c *Checker) ServerOverloaded(at time.Duration, server uint32, sent, capacity float64) {
	c.now = at
	c.record(Violation{
		Rule: WarmUpOverloaded, Gateway: -1, Server: server,
		Description: fmt.Sprintf("sent %.2f core-seconds a second, %.2f is its capacity now", sent, capacity),
	})
}

// Finish closes all tasks whose time is over.
func (c *Checker) Finish(at time.Duration) {
	c.now = at
	for _, id := range c.queue {
		if e := c.requests[id]; at >= e.Deadline {
			c.expire(e)
		}
	}
	c.queue = nil
	clear(c.requests)
}
