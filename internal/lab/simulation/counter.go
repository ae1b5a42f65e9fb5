package simulation

import (
	"time"

	"harrierhoist/policy"
)

// counter is one line of calls, each of which takes a time; it may be split in two.
type counter struct {
	engine        *engine
	freeAt        [2]time.Duration // when each half has done what it took
	totals        [2]map[uint64]total
	slowdown      float64
	silent        bool
	rejecting     bool
	split         bool
	calls         int
	rejectedCalls int
}

type total struct {
	units     float64
	expiresAt time.Duration
}

func newCounter(e *engine) *counter {
	return &counter{engine: e, slowdown: 1, totals: [2]map[uint64]total{{}, {}}}
}

// half is the counter that a gateway reaches.
func (c *counter) half(g *gateway) int {
	if c.split && g.index >= len(c.engine.gateways)/2 {
		return 1
	}
	return 0
}

// call takes a gateway's call. On sockets no call ends by time, however late its total: nor does one here, but
// where the counter is silent, whose connection is given up in the time that one may take to come up.
func (c *counter) call(g *gateway, name uint64, keep time.Duration, units float64) {
	e := c.engine
	began, life := e.clock.Now(), g.incarnation
	c.calls++
	tell := func(after time.Duration, units float64, how policy.Outcome) {
		e.clock.After(after, func() {
			g.run(life, func() {
				if f := g.follower; f != nil {
					f.recorder.AddCounterCall(how != policy.Answered || e.clock.Now()-began > e.scenario.Counter.Timeout.D())
				}
				g.policy.HandleCount(e.clock.Now(), policy.CountResult{Name: name, Total: units, Latency: e.clock.Now() - began, Outcome: how})
			})
		})
	}
	hop := e.scenario.Network.SameZone.D()
	if c.rejecting {
		c.rejectedCalls++
		tell(2*hop, 0, policy.Rejected)
		return
	}
	h := c.half(g)
	takes := time.Duration(float64(time.Second) / c.engine.scenario.Counter.Rate * c.slowdown)
	wait := max(c.freeAt[h]-e.clock.Now(), 0)
	if wait > e.scenario.Counter.MaxWait.D() {
		c.rejectedCalls++
		tell(2*hop, 0, policy.Rejected)
		return
	}
	c.freeAt[h] = max(c.freeAt[h], e.clock.Now()) + takes
	t := c.totals[h][name]
	if t.expiresAt <= e.clock.Now() {
		t = total{expiresAt: e.clock.Now() + keep}
	}
	t.units += units
	c.totals[h][name] = t
	if c.silent {
		tell(e.scenario.Network.ConnectTimeout.D(), 0, policy.TimedOut)
		return
	}
	tell(2*hop+wait+takes+time.Duration(float64(e.scenario.Counter.ServiceTime.D())*c.slowdown), t.units, policy.Answered)
}
