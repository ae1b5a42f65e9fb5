package simulation

import (
	"time"
)

type wake struct{ off bool }

// Reject is a final answer that makes trying again harmless.
func (g *gateway) Reject(task uint32, away time.Duration) {
	if t := g.tries[task]; t != nil {
		t.away = away
		if g.follower != nil {
			g.follower.turned(t)
		}
		g.final(t, rejected)
	}
}

// Terminate is a final answer that promises nothing.
func (g *gateway) Terminate(task uint32) {
	if t := g.tries[task]; t != nil {
		g.final(t, terminated)
	}
}

// Count calls the counter.
func (g *gateway) Count(name uint64, keep time.Duration, units float64) {
	g.e.counter.call(g, name, keep, units)
}

// CheckHealth is not played.
func (g *gateway) CheckHealth(uint32) {}

// SendPeer reaches nobody, as on sockets.
func (g *gateway) SendPeer(int, []byte) {}

// WatchEndpoints is not needed: discovery tells unasked.
func (g *gateway) WatchEndpoints() {}

// SetTimer calls Woke after a time.
func (g *gateway) SetTimer(token uint64, after time.Duration) {
	w := &wake{}
	g.wakes[token] = w
	life := g.life
	g.e.clock.After(after, func() {
		g.do(life, func() {
			if w.off {
				return
			}
			if g.wakes[token] == w {
				delete(g.wakes, token)
			}
			g.d.HandleTimer(g.e.clock.Now(), token)
		})
	})
}

// CancelTimer takes a wake back.
func (g *gateway) CancelTimer(token uint64) {
	if w := g.wakes[token]; w != nil {
		w.off = true
		delete(g.wakes, token)
	}
}

// Log is not kept.
func (g *gateway) Log(string) {}
