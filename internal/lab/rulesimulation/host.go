package rulesimulation

import (
	"time"

	"harrierhoist/policy"
)

// Attempt has a server answer after 20 to 60 ms.
func (g *gateway) Attempt(id, server uint32, _ time.Duration) {
	request := g.inFlight[id]
	if request == nil {
		return
	}
	request.forwarded, request.forwardedAt = true, g.now
	g.deliver(g.between(20*time.Millisecond, 60*time.Millisecond), func() {
		weight := request.weight
		if g.bug == BugWrongRule { // what the rule in force now would have it weigh
			weight = g.resolved[g.table.InForce(g.now)].Assign(request.customer, request.class, 0).Weight
		}
		request.billed = weight
		g.complete(id)
		g.module.HandleAttemptResult(g.now, policy.AttemptResult{RequestID: id, Server: server, Outcome: policy.Answered,
			Latency: 40 * time.Millisecond, Final: true,
			ActualUnits: weight})
	})
}

// Cancel is not needed: servers always answer.
func (g *gateway) Cancel(uint32, int) {}

// Reject is a final answer.
func (g *gateway) Reject(id uint32, _ time.Duration) { g.complete(id) }

// Terminate is one.
func (g *gateway) Terminate(id uint32) { g.complete(id) }

// Count calls the counter.
func (g *gateway) Count(name uint64, _ time.Duration, units float64) {
	at := g.now
	if g.handlingCount { // what a window carries over to the next is no task's
		g.charged[name] -= units
	}
	g.addUnits(name, units, func(count float64) {
		g.handlingCount = true
		defer func() { g.handlingCount = false }()
		g.module.HandleCount(g.now, policy.CountResult{Name: name, Total: count, Latency: g.now - at})
	})
}

// CheckHealth is not asked for.
func (g *gateway) CheckHealth(uint32) {}

// SendPeer reaches nobody.
func (g *gateway) SendPeer(int, []byte) {}

// WatchEndpoints is not needed: the list stands.
func (g *gateway) WatchEndpoints() {}

// SetTimer wakes the module later.
func (g *gateway) SetTimer(token uint64, delay time.Duration) {
	g.deliver(delay, func() { g.module.HandleTimer(g.now, token) })
}

// CancelTimer need not be heeded.
func (g *gateway) CancelTimer(uint64) {}

// Log is not kept.
func (g *gateway) Log(string) {}
