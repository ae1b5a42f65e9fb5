package simulation

import (
	"time"
)

type timer struct{ cancelled bool }

// Reject is a final answer that makes trying again harmless.
func (g *gateway) Reject(task uint32, away time.Duration) {
	if t := g.tries[task]; t != nil {
		t.retryAfter = away
		if g.follower != nil {
			g.follower.recordRejection(t)
		}
		g.answer(t, rejected)
	}
}

// Terminate is a final answer that promises nothing.
func (g *gateway) Terminate(task uint32) {
	if t := g.tries[task]; t != nil {
		g.answer(t, terminated)
	}
}

// Count calls the counter.
func (g *gateway) Count(name uint64, keep time.Duration, units float64) {
	g.engine.counter.call(g, name, keep, units)
}

// CheckHealth is not played.
func (g *gateway) CheckHealth(uint32) {}

// SendPeer reaches nobody, as on sockets.
func (g *gateway) SendPeer(int, []byte) {}

// WatchEndpoints is not needed: discovery tells unasked.
func (g *gateway) WatchEndpoints() {}

// SetTimer calls Woke after a time.
func (g *gateway) SetTimer(token uint64, after time.Duration) {
	w := &timer{}
	g.timers[token] = w
	life := g.incarnation
	g.engine.clock.After(after, func() {
		g.run(life, func() {
			if w.cancelled {
				return
			}
			if g.timers[token] == w {
				delete(g.timers, token)
			}
			g.policy.HandleTimer(g.engine.clock.Now(), token)
		})
	})
}

// CancelTimer takes a wake back.
func (g *gateway) CancelTimer(token uint64) {
	if w := g.timers[token]; w != nil {
		w.cancelled = true
		delete(g.timers, token)
	}
}

// Log is not kept.
func (g *gateway) Log(string) {}
