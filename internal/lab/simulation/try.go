package simulation

import (
	"time"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/policy"
)

const (
	// clientDelay is the time from a client to its gateway.
	clientDelay = 500 * time.Microsecond
	// maxGatewayDraws bounds how often a client draws another gateway when one is dead or took its
	// last try.
	maxGatewayDraws = 4
	// deadGatewayShare is the probability that a client takes a dead gateway that it drew, as not
	// every client knows yet that it is dead.
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

// send sends a try through a gateway of the customer's set, other than the last one where there is
// another.
func (c *clients) send(request *request, number int, last *gateway) {
	engine := c.engine
	class := &engine.settings.Classes[request.class]
	deadline := request.startedAt + class.Timeout
	if engine.clock.Now() >= deadline {
		c.fail(request, request.lastAnswer)
		return
	}
	gateway := c.drawGateway(request.customer, last)
	c.lastTry++
	try := &try{
		id: c.lastTry, request: request, gateway: gateway, class: request.class, number: number, deadline: deadline,
		actualUnits: request.units,
	}
	engine.result.Tries++
	engine.clock.After(clientDelay, func() {
		if !gateway.alive {
			c.handleAnswer(try, connectionLost) // refused: it was not accepted
			return
		}
		engine.checker.RequestAccepted(invariants.Request{
			ID: try.id, Key: request.key, Customer: request.customer.id, Class: *class, Plan: request.customer.plan,
			Gateway: gateway.index, Units: request.declaredUnits, AcceptedAt: engine.clock.Now(), Deadline: deadline,
		})
		incarnation := gateway.incarnation
		gateway.run(incarnation, func() {
			if engine.clock.Now() >= deadline {
				// The gateway was paused: it reads the request after its client disconnected.
				engine.checker.RequestAnswered(deadline, try.id, true)
				return
			}
			gateway.accept(try)
		})
		engine.clock.At(deadline, func() { c.disconnect(try, incarnation) })
	})
}

// drawGateway draws the gateway for a customer's next try.
func (c *clients) drawGateway(who *customer, last *gateway) *gateway {
	gateways := c.engine.gateways
	draw := func() *gateway { return gateways[(who.firstGateway+c.random.IntN(who.gatewayCount))%len(gateways)] }
	g := draw()
	for range maxGatewayDraws {
		isChosen := g != last && (g.alive || c.random.Float64() < deadGatewayShare)
		if isChosen || who.gatewayCount == 1 {
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
func (c *clients) disconnect(try *try, incarnation int) {
	if try.done {
		return
	}
	e := c.engine
	try.gateway.run(incarnation, func() {
		if try.done {
			return
		}
		try.done = true
		delete(try.gateway.tries, try.requestID)
		try.gateway.policy.HandleDisconnect(e.clock.Now(), try.requestID)
		for _, a := range try.attempts {
			e.clock.After(0, func() { e.endAttempt(a, policy.Cancelled, 0) })
		}
	})
	c.fail(try.request, unanswered)
}

// handleAnswer takes the answer to a try.
func (c *clients) handleAnswer(try *try, got answer) {
	engine := c.engine
	request := try.request
	result := &engine.result
	if got != connectionLost {
		engine.checker.RequestAnswered(engine.clock.Now(), try.id, true)
	}
	switch got {
	case served:
		c.complete(try)
		return
	case rejected:
		result.RejectedTries++
	case terminated:
		result.TerminatedTries++
	case connectionLost:
		result.BrokenConnections++
	case unanswered: // no answer comes here
	}
	if request.done { // its gateway was paused: the client disconnected long ago
		return
	}
	request.lastAnswer = got
	if !c.canRetry(try, got) || try.number >= engine.scenario.Clients.Retries {
		if got == rejected {
			result.RejectedRequests++
		} else {
			c.fail(request, got)
		}
		request.done = true
		return
	}
	wait := engine.scenario.Clients.Backoff.D()
	if got == rejected && try.retryAfter > 0 && c.random.Float64() < engine.scenario.Clients.RetryAfterShare {
		wait = try.retryAfter
	}
	engine.clock.After(wait, func() { c.send(request, try.number+1, try.gateway) })
}

// complete ends a request that was served.
func (c *clients) complete(try *try) {
	engine := c.engine
	r := try.request
	result := &engine.result
	if engine.scenario.Load.DeclaredDeviation > 0 {
		engine.checker.UnitsSettled(try.id, r.units)
	}
	if r.done {
		return
	}
	r.done = true
	took := engine.clock.Now() - r.startedAt
	result.recordAnswerTime(r.class, took)
	class := &engine.settings.Classes[r.class]
	value := c.value(r)
	if took <= class.LatencyObjective {
		result.InTime++
	} else {
		result.Late++
		value *= class.LateFraction
	}
	if engine.checker.IsWithinQuota(try.id) {
		result.ServedValue += value
	}
}

// canRetry reports whether a client may send a request again after an answer: where it did not run,
// or may run again.
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
