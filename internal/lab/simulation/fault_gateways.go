package simulation

import (
	"time"
)

// kill ends gateways at once; they start again after the time.
type gatewayKill struct {
	fraction float64
	affected []*gateway
}

func (t *gatewayKill) begin(e *engine) {
	for _, i := range e.pick(len(e.gateways), t.fraction) {
		if g := e.gateways[i]; g.alive {
			g.kill()
			t.affected = append(t.affected, g)
		}
	}
}

func (t *gatewayKill) end(e *engine) {
	for _, g := range t.affected {
		e.restartGateway(g)
	}
}

// again starts a gateway anew; it was started once with the same settings, so that it can.
func (e *engine) restartGateway(g *gateway) {
	if err := g.start(e.faultRandom.Uint64()); err != nil {
		panic(err)
	}
}

// rolling restarts gateways in turn.
type rollingRestart struct {
	fraction           float64
	duration, downtime time.Duration
}

func (t *rollingRestart) begin(e *engine) {
	hit := e.pick(len(e.gateways), t.fraction)
	for k, i := range hit {
		g := e.gateways[i]
		e.clock.After(time.Duration(float64(t.duration)*float64(k)/float64(len(hit))), func() {
			if !g.alive {
				return
			}
			g.kill()
			e.clock.After(max(t.downtime, time.Millisecond), func() { e.restartGateway(g) })
		})
	}
}

func (t *rollingRestart) end(*engine) {}

// crowd has a part of the tries come through one hall's gateways.
type hotspot struct {
	zone     int
	fraction float64
}

func (t *hotspot) begin(e *engine) { e.hotspot = t }
func (t *hotspot) end(e *engine) {
	if e.hotspot == t {
		e.hotspot = nil
	}
}

// through draws a gateway for a try where one hall is crowded; nil: it goes its own way.
func (t *hotspot) drawGateway(c *clients) *gateway {
	if t == nil || c.random.Float64() >= t.fraction {
		return nil
	}
	halls := c.engine.scenario.Gateways.Zones
	there := (len(c.engine.gateways) - t.zone + halls - 1) / halls
	if there <= 0 {
		return nil
	}
	return c.engine.gateways[c.random.IntN(there)*halls+t.zone]
}

// blind has gateways that reach no server: what they send is lost on the way.
type gatewayIsolation struct {
	fraction float64
	affected []*gateway
}

func (t *gatewayIsolation) begin(e *engine) {
	for _, i := range e.pick(len(e.gateways), t.fraction) {
		t.affected = append(t.affected, e.gateways[i])
		e.gateways[i].isolated = true
	}
}

func (t *gatewayIsolation) end(*engine) {
	for _, g := range t.affected {
		g.isolated = false
	}
}

// standstill stops gateways' machines for a time: what comes waits.
type gatewayPause struct {
	fraction float64
	duration time.Duration
}

func (t *gatewayPause) begin(e *engine) {
	for _, i := range e.pick(len(e.gateways), t.fraction) {
		e.gateways[i].pausedUntil = e.clock.Now() + t.duration
		e.checker.GatewayPaused(e.clock.Now(), i, e.clock.Now()+t.duration)
	}
}

func (t *gatewayPause) end(*engine) {}

// listLost keeps discovery's news from gateways until it ends.
type discoveryLoss struct {
	fraction float64
	affected []*gateway
}

func (t *discoveryLoss) begin(e *engine) {
	for _, i := range e.pick(len(e.gateways), t.fraction) {
		t.affected = append(t.affected, e.gateways[i])
		e.gateways[i].discoveryLost = true
	}
}

func (t *discoveryLoss) end(*engine) {
	for _, g := range t.affected {
		g.discoveryLost = false
		held := g.missedChanges
		g.missedChanges = nil
		for _, l := range held {
			g.notify(l)
		}
	}
}
