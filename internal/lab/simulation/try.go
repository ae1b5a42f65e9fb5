package simulation

import (
	"time"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/policy"
)

type try struct {
	id          uint64
	request     *request
	gateway     *gateway
	class       int
	number      int
	requestID   uint32
	actualUnits float64
	deadline    time.Duration
	attempts    []*attempt
	done        bool
	retryAfter  time.Duration
}

// verdict is what a client gets.
type answer int

const (
	served answer = iota
	rejected
	terminated
	connectionLost // the connection broke: its gateway died
	unanswered     // none came in time
)

// send sends a try through a gateway of the customer's set, if it can be another than the last.
func (c *clients) send(r *request, number int, last *gateway) {
	e := c.engine
	lane := &e.settings.Classes[r.class]
	expires := r.startedAt + lane.Timeout
	if e.clock.Now() >= expires {
		c.fail(r, r.lastAnswer)
		return
	}
	who := r.customer
	g := e.gateways[(who.firstGateway+c.random.IntN(who.gatewayCount))%len(e.gateways)]
	for range 4 { // dead ones are noticed by and by, and the one tried last is left out where others are
		if g != last && (g.alive || c.random.Float64() < 0.3) || who.gatewayCount == 1 {
			break
		}
		g = e.gateways[(who.firstGateway+c.random.IntN(who.gatewayCount))%len(e.gateways)]
	}
	if through := e.hotspot.drawGateway(c); through != nil {
		g = through
	}
	c.lastTry++
	t := &try{id: c.lastTry, request: r, gateway: g, class: r.class, number: number, deadline: expires, actualUnits: r.units}
	e.result.Tries++
	e.clock.After(500*time.Microsecond, func() {
		if !g.alive {
			c.handleAnswer(t, connectionLost) // refused: it was not taken
			return
		}
		e.checker.RequestAccepted(invariants.Request{
			ID: t.id, Key: r.key, Customer: who.id, Class: *lane, Plan: who.plan, Gateway: g.index,
			Units:      r.declaredUnits,
			AcceptedAt: e.clock.Now(), Deadline: expires,
		})
		life := g.incarnation
		g.run(life, func() {
			if e.clock.Now() >= expires {
				// Its client has gone: it was read too late to answer.
				e.checker.RequestAnswered(expires, t.id, true)
				return
			}
			g.accept(t)
		})
		e.clock.At(expires, func() { c.disconnect(t, life) })
	})
}

// gone tells a gateway that a client waits no more.
func (c *clients) disconnect(t *try, life int) {
	if t.done {
		return
	}
	t.gateway.run(life, func() {
		if t.done {
			return
		}
		t.done = true
		delete(t.gateway.tries, t.requestID)
		t.gateway.policy.HandleDisconnect(c.engine.clock.Now(), t.requestID)
		for _, a := range t.attempts {
			c.engine.clock.After(0, func() { c.engine.endAttempt(a, policy.Cancelled, 0) })
		}
	})
	c.fail(t.request, unanswered)
}

// answered takes the answer to a try.
func (c *clients) handleAnswer(t *try, what answer) {
	e, r := c.engine, t.request
	if what != connectionLost {
		e.checker.RequestAnswered(e.clock.Now(), t.id, true)
	}
	res := &e.result
	switch what {
	case served:
		if e.scenario.Load.DeclaredDeviation > 0 {
			e.checker.UnitsSettled(t.id, r.units)
		}
		if r.done {
			return
		}
		r.done = true
		took := e.clock.Now() - r.startedAt
		res.recordAnswerTime(r.class, took)
		lane := &e.settings.Classes[r.class]
		gain := 0.0
		if took <= lane.LatencyObjective {
			res.InTime++
			gain = c.value(r)
		} else {
			res.Late++
			gain = c.value(r) * lane.LateFraction
		}
		if e.checker.IsWithinQuota(t.id) {
			res.ServedValue += gain
		}
		return
	case rejected:
		res.RejectedTries++
	case terminated:
		res.TerminatedTries++
	case connectionLost:
		res.BrokenConnections++
	}
	if r.done { // its gateway stood still: the client went long ago
		return
	}
	lane := &e.settings.Classes[r.class]
	r.lastAnswer = what
	unsent := what == rejected || what == connectionLost && len(t.attempts) == 0
	may := unsent || lane.Effect == policy.Idempotent || lane.Effect == policy.Keyed && lane.Group == policy.GroupAll &&
		e.clock.Now() < r.startedAt+lane.DedupWindow
	if !may || t.number >= e.scenario.Clients.Retries {
		if what == rejected {
			res.RejectedRequests++
		} else {
			c.fail(r, what)
		}
		r.done = true
		return
	}
	wait := e.scenario.Clients.Backoff.D()
	if what == rejected && t.retryAfter > 0 && c.random.Float64() < e.scenario.Clients.RetryAfterShare {
		wait = max(t.retryAfter, 0)
	}
	e.clock.After(wait, func() { c.send(r, t.number+1, t.gateway) })
}

// lost ends a request that failed, by what its last try got.
func (c *clients) fail(r *request, last answer) {
	if r.done {
		return
	}
	r.done = true
	res := &c.engine.result
	res.Failed++
	switch last {
	case rejected:
		res.FailureCauses.BetweenTries++
	case terminated:
		res.FailureCauses.Terminated++
	case connectionLost:
		res.FailureCauses.WithGateway++
	default:
		res.FailureCauses.InFlight++
	}
}
