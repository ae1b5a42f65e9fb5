package simulation

import "time"

// The methods of policy.Host; Attempt and Cancel are in attempt.go.

// timer is a timer of the policy.
type timer struct{ cancelled bool }

// Reject answers a request that may be retried.
func (g *gateway) Reject(requestID uint32, retryAfter time.Duration) {
	if t := g.tries[requestID]; t != nil {
		t.retryAfter = retryAfter
		if g.follower != nil {
			g.follower.recordRejection(t)
		}
		g.finishTry(t, rejected)
	}
}

// Terminate answers a request that may have run.
func (g *gateway) Terminate(requestID uint32) {
	if t := g.tries[requestID]; t != nil {
		g.finishTry(t, terminated)
	}
}

// Count calls the counter.
func (g *gateway) Count(name uint64, ttl time.Duration, units float64) {
	g.engine.counter.call(g, name, ttl, units)
}

// CheckHealth is not simulated.
func (g *gateway) CheckHealth(uint32) {}

// SendPeer does nothing, as in the gateway on sockets.
func (g *gateway) SendPeer(int, []byte) {}

// WatchEndpoints does nothing: discovery notifies each gateway of each change.
func (g *gateway) WatchEndpoints() {}

// SetTimer calls HandleTimer after a time.
func (g *gateway) SetTimer(token uint64, after time.Duration) {
	t := &timer{}
	g.timers[token] = t
	incarnation := g.incarnation
	g.engine.clock.After(after, func() {
		g.run(incarnation, func() {
			if t.cancelled {
				return
			}
			if g.timers[token] == t {
				delete(g.timers, token)
			}
			g.policy.HandleTimer(g.engine.clock.Now(), token)
		})
	})
}

// CancelTimer cancels a timer that has not fired.
func (g *gateway) CancelTimer(token uint64) {
	if t := g.timers[token]; t != nil {
		t.cancelled = true
		delete(g.timers, token)
	}
}

// Log drops the line.
func (g *gateway) Log(string) {}
