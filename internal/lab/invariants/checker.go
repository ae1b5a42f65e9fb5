// Package invariants checks the five rules from what servers, clients and discovery observed.
// Packages simulation, emulation and load report to it, never a gateway.
//
// Each violation has its time, its rule, and the request, gateway, server and customer concerned.
package invariants

import (
	"fmt"
	"time"

	"harrierhoist/policy"
)

const (
	// maxDescribedViolations is how many violations of a rule are kept; all are counted.
	maxDescribedViolations = 20
	// requestRetention is how long after its deadline a request is remembered, as its effect may
	// come late.
	requestRetention = 20 * time.Second
)

// Limits are the numbers that the rules name.
type Limits struct {
	AnswerSlack, DrainGrace time.Duration
	Plans                   []policy.Plan
}

// Request is a request as its client sent it to one gateway. Key is the same for all tries of a
// request; 0: none.
type Request struct {
	ID, Key, Customer    uint64
	Class                policy.TrafficClass
	Plan, Gateway        int
	Units                float64
	AcceptedAt, Deadline time.Duration
}

// requestState is what happened to a request.
type requestState struct {
	Request
	answers     int
	gatewayDied bool // while it had the request
	forwarded   bool
	withinQuota bool // the customer had its units when it was first forwarded
	runs        int
}

// notification is of a server that a gateway was notified of.
type notification struct {
	gateway int
	server  uint32
}

// pause is a time in which a gateway's machine was paused.
type pause struct{ from, until time.Duration }

// Checker takes observations in the order of time. It is not safe for concurrent use.
type Checker struct {
	limits       Limits
	requests     map[uint64]*requestState
	queue        []uint64 // requests in the order in which they were accepted
	unreadySince map[notification]time.Duration
	keyedEffects map[uint64]time.Duration // by key, when the effect first happened
	buckets      map[uint64]*bucket       // by customer
	pauses       map[int]pause            // the latest of each gateway
	now          time.Duration

	// Violations are the first few of each rule; Counts counts all.
	Violations []Violation
	Counts     [RuleCount]int
	// ForwardedUnits are the units of requests that were forwarded, OverQuotaUnits those beyond
	// their customers' quotas.
	ForwardedUnits, OverQuotaUnits float64
	// OverQuotaPenalty is the value of the requests that were forwarded beyond quotas, times what
	// their plans say that costs.
	OverQuotaPenalty float64
}

// New makes a checker without observations.
func New(limits Limits) *Checker {
	return &Checker{
		limits: limits, requests: map[uint64]*requestState{}, unreadySince: map[notification]time.Duration{},
		keyedEffects: map[uint64]time.Duration{}, buckets: map[uint64]*bucket{}, pauses: map[int]pause{},
	}
}

// violated records a violation at the present time.
func (c *Checker) violated(v Violation) {
	v.At = c.now
	c.Counts[v.Rule]++
	if c.Counts[v.Rule] <= maxDescribedViolations {
		c.Violations = append(c.Violations, v)
	}
}

// RequestAccepted observes that a gateway's machine has accepted a complete request.
func (c *Checker) RequestAccepted(r Request) {
	c.now = r.AcceptedAt
	c.requests[r.ID] = &requestState{Request: r}
	c.queue = append(c.queue, r.ID)
	for len(c.queue) > 0 {
		oldest := c.requests[c.queue[0]]
		if c.now < oldest.Deadline+requestRetention {
			break
		}
		c.expire(oldest)
		delete(c.requests, oldest.ID)
		c.queue = c.queue[1:]
	}
}

// GatewayPaused observes that a gateway's machine is paused until a time. A request whose deadline
// is within the pause is not owed an answer.
func (c *Checker) GatewayPaused(at time.Duration, gateway int, until time.Duration) {
	c.now = at
	c.pauses[gateway] = pause{at, until}
}

// isExcused reports whether a request's deadline was while its gateway was paused, or a moment
// after.
func (c *Checker) isExcused(r *requestState) bool {
	p, wasPaused := c.pauses[r.Gateway]
	return wasPaused && r.Deadline >= p.from && r.Deadline <= p.until+c.limits.AnswerSlack
}

// expire checks a request whose deadline has passed.
func (c *Checker) expire(r *requestState) {
	if r.answers == 0 && !r.gatewayDied && !c.isExcused(r) {
		c.violated(Violation{
			Rule:     RequestLost,
			Request:  r.ID,
			Gateway:  r.Gateway,
			Customer: r.Customer,
			Description: fmt.Sprintf(
				"taken at %.3fs, no answer by %.3fs",
				r.AcceptedAt.Seconds(),
				r.Deadline.Seconds(),
			),
		})
	}
}

// RequestAnswered observes that a client has got an answer. authentic is false if it has a value
// that no server made for this request.
func (c *Checker) RequestAnswered(now time.Duration, id uint64, authentic bool) {
	c.now = now
	request := c.requests[id]
	if request == nil {
		return
	}
	request.answers++
	var description string
	switch {
	case request.answers > 1:
		description = fmt.Sprintf("answer number %d", request.answers)
	case !authentic:
		description = "served with what no server made for it"
	case now > request.Deadline+c.limits.AnswerSlack && !c.isExcused(request):
		description = fmt.Sprintf("answered %.3fs after its time", (now - request.Deadline).Seconds())
	default:
		return
	}
	c.violated(Violation{
		Rule:        RequestLost,
		Request:     request.ID,
		Gateway:     request.Gateway,
		Customer:    request.Customer,
		Description: description,
	})
}

// GatewayDied observes that a gateway died: the requests that it had are no longer owed an answer.
func (c *Checker) GatewayDied(at time.Duration, gateway int) {
	c.now = at
	for _, id := range c.queue {
		if r := c.requests[id]; r.Gateway == gateway && r.answers == 0 {
			r.gatewayDied = true
		}
	}
	for n := range c.unreadySince {
		if n.gateway == gateway {
			delete(c.unreadySince, n) // its next incarnation is notified anew
		}
	}
}

// Finish checks all requests whose deadline has passed, and forgets the others.
func (c *Checker) Finish(at time.Duration) {
	c.now = at
	for _, id := range c.queue {
		if r := c.requests[id]; at >= r.Deadline {
			c.expire(r)
		}
	}
	c.queue = nil
	clear(c.requests)
}
