package rulesimulation

import (
	"time"

	"harrierhoist/policy"
)

// These methods make a gateway the host of its decision module.
var _ policy.Host = (*gateway)(nil)

// Attempt has a server answer after 20 to 60 ms.
func (g *gateway) Attempt(id, server uint32, _ time.Duration) {
	request := g.inFlight[id]
	if request == nil {
		return
	}
	request.forwarded = true
	request.forwardedAt = g.sim.clock.Now()
	g.deliver(g.sim.between(20*time.Millisecond, 60*time.Millisecond), func() {
		request.billed = g.billedWeight(request)
		g.complete(id)
		g.module.HandleAttemptResult(g.sim.clock.Now(), policy.AttemptResult{
			RequestID:   id,
			Server:      server,
			Outcome:     policy.Answered,
			Latency:     40 * time.Millisecond,
			Final:       true,
			ActualUnits: request.billed,
		})
	})
}

// billedWeight is what an answered request weighs.
func (g *gateway) billedWeight(request *request) float64 {
	if g.sim.bug == BugWrongRule { // what the rule in force now would have it weigh
		inForce := g.sim.resolved[g.table.InForce(g.sim.clock.Now())]
		return inForce.Assign(request.customer, request.class, 0).Weight
	}
	return request.weight
}

// Cancel is not needed: servers always answer.
func (g *gateway) Cancel(uint32, int) {}

// Reject gives the final answer.
func (g *gateway) Reject(id uint32, _ time.Duration) { g.complete(id) }

// Terminate gives the final answer.
func (g *gateway) Terminate(id uint32) { g.complete(id) }

// Count calls the counter.
func (g *gateway) Count(name uint64, _ time.Duration, units float64) {
	sentAt := g.sim.clock.Now()
	if g.handlingCount { // what is carried over from one window to the next is no request's
		g.sim.charged[name] -= units
	}
	g.addUnits(name, units, func(count float64) {
		g.handlingCount = true
		defer func() { g.handlingCount = false }()
		now := g.sim.clock.Now()
		g.module.HandleCount(now, policy.CountResult{Name: name, Total: count, Latency: now - sentAt})
	})
}

// CheckHealth is never called: the settings have no health checks.
func (g *gateway) CheckHealth(uint32) {}

// SendPeer reaches nobody.
func (g *gateway) SendPeer(int, []byte) {}

// WatchEndpoints is not needed: the endpoint list stays.
func (g *gateway) WatchEndpoints() {}

// SetTimer calls the module later.
func (g *gateway) SetTimer(token uint64, delay time.Duration) {
	g.deliver(delay, func() { g.module.HandleTimer(g.sim.clock.Now(), token) })
}

// CancelTimer may be ignored: the module knows which timers it cancelled.
func (g *gateway) CancelTimer(uint64) {}

// Log drops the line.
func (g *gateway) Log(string) {}
