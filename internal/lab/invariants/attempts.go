package invariants

import (
	"fmt"
	"time"

	"harrierhoist/policy"
)

// EndpointNotified observes that a gateway was notified of a server's state.
func (c *Checker) EndpointNotified(at time.Duration, gateway int, server uint32, state policy.EndpointState) {
	c.now = at
	n := notification{gateway, server}
	if state == policy.Ready {
		delete(c.unreadySince, n)
	} else if _, known := c.unreadySince[n]; !known {
		c.unreadySince[n] = at
	}
}

// AttemptSent observes that an attempt left a gateway's machine for a server.
func (c *Checker) AttemptSent(at time.Duration, gateway int, server uint32, id uint64) {
	c.now = at
	if since, unready := c.unreadySince[notification{gateway, server}]; unready && at > since+c.limits.DrainGrace {
		c.violated(Violation{
			Rule: DrainViolated, Request: id, Gateway: gateway, Server: server,
			Description: fmt.Sprintf("pushed %.3fs after it was told", (at - since).Seconds()),
		})
	}
	r := c.requests[id]
	if r == nil || r.forwarded {
		return
	}
	r.forwarded = true
	c.spend(r)
}

// EffectRan observes that a server began a request, and so its effect.
func (c *Checker) EffectRan(now time.Duration, server uint32, id uint64) {
	c.now = now
	request := c.requests[id]
	if request == nil {
		return
	}
	request.runs++
	repeated := Violation{
		Rule: EffectRepeated, Request: request.ID, Gateway: request.Gateway, Server: server, Customer: request.Customer,
	}
	switch request.Class.Effect {
	case policy.NonIdempotent:
		if request.runs > 1 {
			repeated.Description = fmt.Sprintf("run %d of an effectful task", request.runs)
			c.violated(repeated)
		}
	case policy.Keyed:
		if first, done := c.keyedEffects[request.Key]; done {
			repeated.Description = fmt.Sprintf("its receipt ran before, at %.3fs", first.Seconds())
			c.violated(repeated)
		} else {
			c.keyedEffects[request.Key] = now
		}
	case policy.Idempotent: // may run any number of times
	}
}

// ServerOverloaded observes that a server failed of overload while it was warming up. Work and
// capacity are in seconds on a core of speed 1 in a second.
func (c *Checker) ServerOverloaded(at time.Duration, server uint32, work, capacity float64) {
	c.now = at
	c.violated(Violation{
		Rule: WarmUpOverloaded, Gateway: noGateway, Server: server,
		Description: fmt.Sprintf("sent %.2f core-seconds a second, %.2f is its capacity now", work, capacity),
	})
}
