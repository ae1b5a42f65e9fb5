package simulation

import (
	"maps"
	"time"

	"harrierhoist/policy"
)

// counter takes calls one after the other. A fault may split it in two, each half for half of the
// gateways.
type counter struct {
	engine        *engine
	freeAt        [2]time.Duration // when each half has done all calls that it took
	totals        [2]map[uint64]total
	slowdown      float64 // factor on the time of a call
	silent        bool    // it counts calls and answers none
	rejecting     bool
	isSplit       bool
	calls         int
	rejectedCalls int
}

// total is the count of one window.
type total struct {
	units     float64
	expiresAt time.Duration
}

// counterCall is a call of a gateway.
type counterCall struct {
	gateway     *gateway
	incarnation int // of the gateway
	name        uint64
	startedAt   time.Duration
}

func newCounter(e *engine) *counter {
	return &counter{engine: e, slowdown: 1, totals: [2]map[uint64]total{{}, {}}}
}

// half is the half of the counter that a gateway reaches.
func (c *counter) half(g *gateway) int {
	if c.isSplit && g.index >= len(c.engine.gateways)/2 {
		return 1
	}
	return 0
}

// split gives the second half of the gateways a counter of their own, with the same totals.
func (c *counter) split() {
	c.isSplit = true
	c.totals[1] = maps.Clone(c.totals[0])
}

// reset makes the counter forget all totals.
func (c *counter) reset() { c.totals = [2]map[uint64]total{{}, {}} }

// call takes a gateway's call. As on sockets, a late answer is an answer: a call times out only
// where the counter is silent, after the time that its connection may take to come up.
func (c *counter) call(g *gateway, name uint64, ttl time.Duration, units float64) {
	engine := c.engine
	now := engine.clock.Now()
	settings := &engine.scenario.Counter
	call := &counterCall{gateway: g, incarnation: g.incarnation, name: name, startedAt: now}
	c.calls++
	roundTrip := waysOfRoundTrip * engine.scenario.Network.SameZone.D()
	half := c.half(g)
	wait := max(c.freeAt[half]-now, 0)
	if c.rejecting || wait > settings.MaxWait.D() {
		c.rejectedCalls++
		engine.answerCall(call, roundTrip, 0, policy.Rejected)
		return
	}
	serviceTime := time.Duration(float64(time.Second) / settings.Rate * c.slowdown)
	c.freeAt[half] = max(c.freeAt[half], now) + serviceTime
	t := c.totals[half][name]
	if t.expiresAt <= now {
		t = total{expiresAt: now + ttl}
	}
	t.units += units
	c.totals[half][name] = t
	if c.silent {
		engine.answerCall(call, engine.scenario.Network.ConnectTimeout.D(), 0, policy.TimedOut)
		return
	}
	latency := time.Duration(float64(settings.ServiceTime.D()) * c.slowdown)
	engine.answerCall(call, roundTrip+wait+serviceTime+latency, t.units, policy.Answered)
}

// answerCall ends a call after a time.
func (e *engine) answerCall(call *counterCall, after time.Duration, units float64, outcome policy.Outcome) {
	g := call.gateway
	e.clock.After(after, func() {
		g.run(call.incarnation, func() {
			latency := e.clock.Now() - call.startedAt
			if g.follower != nil {
				g.follower.recorder.AddCounterCall(
					outcome != policy.Answered || latency > e.scenario.Counter.Timeout.D(),
				)
			}
			g.policy.HandleCount(e.clock.Now(), policy.CountResult{
				Name: call.name, Total: units, Latency: latency, Outcome: outcome,
			})
		})
	})
}
