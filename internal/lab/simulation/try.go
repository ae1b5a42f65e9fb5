package simulation

import (
	"time"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/policy"
)

const (
	// clientDelay is the time from a client to its gateway.
	clientDelay = 500 * time.Microsecond
	// maxGatewayDraws bounds how often a client draws another gateway when one is dead or was tried last.
	maxGatewayDraws = 4
	// deadGatewayShare is the probability that a client takes a dead gateway it drew: their death is noticed by and by.
	deadGatewayShare = 0.3
)

// try is a request as sent through one gateway.
type try struct {
	id          uint64
	request     *request
	gateway     *gateway
	class       int
	number      int    // within the request, from 0
	requestID   uint32 // by which the gateway calls it
	actualUnits float64
	deadline    time.Duration
	attempts    []*attempt
	done        bool
	retryAfter  time.Duration // from the answer; 0: none
}

// answer is what a client gets for a try.
type answer int

const (
	served answer = iota
	rejected
	terminated
	connectionLost // its gateway died
	unanswered     // no answer by the deadline
)

// send sends a try through a gateway of the customer's set, other than the last one where there is another.
func (c *clients) send(r *request, number int, last *gateway) {
	e := c.engine
	class := &e.settings.Classes[r.class]
	deadline := r.startedAt + class.Timeout
	if e.clock.Now() >= deadline {
		c.fail(r, r.lastAnswer)
		return
	}
	g := c.drawGateway(r.customer, last)
	c.lastTry++
	t := &try{id: c.lastTry, request: r, gateway: g, class: r.class, number: number, deadline: deadline, actualUnits: r.units}
	e.result.Tries++
	e.clock.After(clientDelay, func() {
		if !g.alive {
			c.handleAnswer(t, connectionLost) // refused: it was not accepted
			return
		}
		e.checker.RequestAccepted(invariants.Request{
			ID: t.id, Key: r.key, Customer: r.customer.id, Class: *class, Plan: r.customer.plan, Gateway: g.index,
			Units: r.declaredUnits, AcceptedAt: e.clock.Now(), Deadline: deadline,
		})
		incarnation := g.incarnation
		g.run(incarnation, func() {
			if e.clock.Now() >= deadline {
				// The gateway was paused: it reads the request after its client disconnected.
				e.checker.RequestAnswered(deadline, t.id, true)
				return
			}
			g.accept(t)
		})
		e.clock.At(deadline, func() { c.disconnect(t, incarnation) })
	})
}

// drawGateway draws the gateway for a customer's next try.
func (c *clients) drawGateway(who *customer, last *gateway) *gateway {
	gateways := c.engine.gateways
	draw := func() *gateway { return gateways[(who.firstGateway+c.random.IntN(who.gatewayCount))%len(gateways)] }
	g := draw()
	for range maxGatewayDraws {
		if g != last && (g.alive || c.random.Float64() < deadGatewayShare) || who.gatewayCount == 1 {
			break
		}
		g = draw()
	}
	if crowded := c.engine.faults.hotspot.drawGateway(c); crowded != nil {
		g = crowded
	}
	return g
}

// disconnect ends a try at its deadline if it has no answer: its client waits no longer.
func (c *clients) disconnect(t *try, incarnation int) {
	if t.done {
		return
	}
	e := c.engine
	t.gateway.run(incarnation, func() {
		if t.done {
			return
		}
		t.done = true
		delete(t.gateway.tries, t.requestID)
		t.gateway.policy.HandleDisconnect(e.clock.Now(), t.requestID)
		for _, a := range t.attempts {
			e.clock.After(0, func() { e.endAttempt(a, policy.Cancelled, 0) })
		}
	})
	c.fail(t.request, unanswered)
}

// handleAnswer takes the answer to a try.
func (c *clients) handleAnswer(t *try, got answer) {
	e, r, result := c.engine, t.request, &c.engine.result
	if got != connectionLost {
		e.checker.RequestAnswered(e.clock.Now(), t.id, true)
	}
	switch got {
	case served:
		c.complete(t)
		return
	case rejected:
		result.RejectedTries++
	case terminated:
		result.TerminatedTries++
	case connectionLost:
		result.BrokenConnections++
	}
	if r.done { // its gateway was paused: the client disconnected long ago
		return
	}
	r.lastAnswer = got
	if !c.canRetry(t, got) || t.number >= e.scenario.Clients.Retries {
		if got == rejected {
			result.RejectedRequests++
		} else {
			c.fail(r, got)
		}
		r.done = true
		return
	}
	wait := e.scenario.Clients.Backoff.D()
	if got == rejected && t.retryAfter > 0 && c.random.Float64() < e.scenario.Clients.RetryAfterShare {
		wait = t.retryAfter
	}
	e.clock.After(wait, func() { c.send(r, t.number+1, t.gateway) })
}

// complete ends a request that was served.
func (c *clients) complete(t *try) {
	e, r, result := c.engine, t.request, &c.engine.result
	if e.scenario.Load.DeclaredDeviation > 0 {
		e.checker.UnitsSettled(t.id, r.units)
	}
	if r.done {
		return
	}
	r.done = true
	took := e.clock.Now() - r.startedAt
	result.recordAnswerTime(r.class, took)
	class := &e.settings.Classes[r.class]
	value := c.value(r)
	if took <= class.LatencyObjective {
		result.InTime++
	} else {
		result.Late++
		value *= class.LateFraction
	}
	if e.checker.IsWithinQuota(t.id) {
		result.ServedValue += value
	}
}

// canRetry reports whether a client may send a request again after an answer: where it did not run, or may run again.
func (c *clients) canRetry(t *try, got answer) bool {
	class := &c.engine.settings.Classes[t.class]
	switch {
	case got == rejected || got == connectionLost && len(t.attempts) == 0:
		return true
	case class.Effect == policy.Keyed && class.Group == policy.GroupAll:
		return c.engine.clock.Now() < t.request.startedAt+class.DedupWindow
	}
	return class.Effect == policy.Idempotent
}

// fail ends a request that failed, by the answer to its last try.
func (c *clients) fail(r *request, last answer) {
	if r.done {
		return
	}
	r.done = true
	result := &c.engine.result
	result.Failed++
	switch last {
	case rejected:
		result.FailureCauses.BetweenTries++
	case terminated:
		result.FailureCauses.Terminated++
	case connectionLost:
		result.FailureCauses.WithGateway++
	default:
		result.FailureCauses.InFlight++
	}
}
