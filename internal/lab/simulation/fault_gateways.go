package simulation

import (
	"fmt"
	"time"

	"harrierhoist/internal/lab/scenario"
)

// pickGateways draws a fraction of the gateways.
func (e *engine) pickGateways(fraction float64) []*gateway {
	var picked []*gateway
	for _, i := range e.pick(len(e.gateways), fraction) {
		picked = append(picked, e.gateways[i])
	}
	return picked
}

// gatewayKill kills gateways at once; they start again at its end.
type gatewayKill struct {
	fraction float64
	affected []*gateway
}

func (f *gatewayKill) begin(e *engine) {
	for _, g := range e.pickGateways(f.fraction) {
		if g.alive {
			g.kill()
			f.affected = append(f.affected, g)
		}
	}
}

func (f *gatewayKill) end(e *engine) {
	for _, g := range f.affected {
		e.restartGateway(g)
	}
}

// restartGateway starts a gateway again.
func (e *engine) restartGateway(g *gateway) {
	if err := g.start(e.faultRandom.Uint64()); err != nil {
		// It started before with the same settings: a policy that refuses them now is broken, and
		// so is the run.
		panic(fmt.Errorf("gateway %d did not start again: %w", g.index, err))
	}
}

// minDowntime is the least time for which a gateway is down in a rolling restart.
const minDowntime = time.Millisecond

// rollingRestart restarts gateways in turn.
type rollingRestart struct {
	fraction           float64
	duration, downtime time.Duration
}

func newRollingRestart(f scenario.Fault) fault {
	return &rollingRestart{fraction: f.Fraction, duration: f.Duration.D(), downtime: secondsOf(f.Magnitude)}
}

func (f *rollingRestart) begin(e *engine) {
	picked := e.pickGateways(f.fraction)
	for n, g := range picked {
		e.clock.After(turnOf(n, len(picked), f.duration), func() {
			if !g.alive {
				return
			}
			g.kill()
			e.clock.After(max(f.downtime, minDowntime), func() { e.restartGateway(g) })
		})
	}
}

func (f *rollingRestart) end(*engine) {}

// turnOf is when the n-th of so many comes where they take turns over a time.
func turnOf(n, count int, over time.Duration) time.Duration {
	return time.Duration(float64(over) * float64(n) / float64(count))
}

// hotspot has a fraction of the tries come in through the gateways of one zone.
type hotspot struct {
	zone     int
	fraction float64
}

func (f *hotspot) begin(e *engine) { e.faults.hotspot = f }

func (f *hotspot) end(e *engine) {
	if e.faults.hotspot == f {
		e.faults.hotspot = nil
	}
}

// drawGateway draws the gateway of a try that comes in through the zone; nil: this one does not.
// The receiver may be nil.
func (f *hotspot) drawGateway(c *clients) *gateway {
	if f == nil || c.random.Float64() >= f.fraction {
		return nil
	}
	zones := c.engine.scenario.Gateways.Zones
	inZone := (len(c.engine.gateways) - f.zone + zones - 1) / zones
	if inZone <= 0 {
		return nil
	}
	return c.engine.gateways[c.random.IntN(inZone)*zones+f.zone]
}

// gatewayIsolation has gateways reach no server: what they send is lost on the way.
type gatewayIsolation struct {
	fraction float64
	affected []*gateway
}

func (f *gatewayIsolation) begin(e *engine) {
	f.affected = e.pickGateways(f.fraction)
	for _, g := range f.affected {
		g.isolated = true
	}
}

func (f *gatewayIsolation) end(*engine) {
	for _, g := range f.affected {
		g.isolated = false
	}
}

// gatewayPause pauses gateways' machines: what happens to them waits.
type gatewayPause struct {
	fraction float64
	duration time.Duration
}

func (f *gatewayPause) begin(e *engine) {
	now := e.clock.Now()
	for _, g := range e.pickGateways(f.fraction) {
		g.pausedUntil = now + f.duration
		e.checker.GatewayPaused(now, g.index, now+f.duration)
	}
}

func (f *gatewayPause) end(*engine) {}

// discoveryLoss keeps the notifications of discovery from gateways until it ends.
type discoveryLoss struct {
	fraction float64
	affected []*gateway
}

func (f *discoveryLoss) begin(e *engine) {
	f.affected = e.pickGateways(f.fraction)
	for _, g := range f.affected {
		g.discoveryLost = true
	}
}

func (f *discoveryLoss) end(*engine) {
	for _, g := range f.affected {
		g.discoveryLost = false
		missed := g.missedChanges
		g.missedChanges = nil
		for _, endpoint := range missed {
			g.notify(endpoint)
		}
	}
}

// leaderLoss kills the voter that leads; it starts again with its table, and without the
// observations of others.
type leaderLoss struct{ affected *voter }

func (f *leaderLoss) begin(e *engine) {
	if e.coordinator != nil && e.coordinator.leader != nil {
		f.affected = e.coordinator.leader
		f.affected.dead = true
		f.affected.waitingReads = nil
	}
}

func (f *leaderLoss) end(*engine) {
	if f.affected != nil {
		f.affected.start()
	}
}
