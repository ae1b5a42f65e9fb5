package simulation

import (
	"time"

	"harrierhoist/policy"
)

// counter is one line of calls, each of which takes a time; it may be split in two.
type counter struct {
	e       *engine
	free    [2]time.Duration // when each half has done what it took
	totals  [2]map[uint64]total
	slow    float64
	silent  bool
	refuses bool
	split   bool
	calls   int
	refused int
}

type total struct {
	units float64
	until time.Duration
}

func newCounter(e *engine) *counter {
	return &counter{e: e, slow: 1, totals: [2]map[uint64]total{{}, {}}}
}

// half is the counter that a gateway reaches.
func (c *counter) half(g *gateway) int {
	if c.split && g.n >= len(c.e.gateways)/2 {
		return 1
	}
	return 0
}

// call takes a gateway's call. On sockets no call ends by time, however late its total: nor does one here, but
// where the counter is silent, whose connection is given up in the time that one may take to come up.
func (c *counter) call(g *gateway, name uint64, keep time.Duration, units float64) {
	e := c.e
	began, life := e.clock.Now(), g.life
	c.calls++
	tell := func(after time.Duration, units float64, how policy.Outcome) {
		e.clock.After(after, func() {
			g.do(life, func() {
				if f := g.follower; f != nil {
					f.w.AddCounterCall(how != policy.Answered || e.clock.Now()-began > e.w.Counter.Limit.D())
				}
				g.d.HandleCount(e.clock.Now(), policy.CountResult{Name: name, Total: units, Latency: e.clock.Now() - began, Outcome: how})
			})
		})
	}
	hop := e.w.Network.Same.D()
	if c.refuses {
		c.refused++
		tell(2*hop, 0, policy.Rejected)
		return
	}
	h := c.half(g)
	takes := time.Duration(float64(time.Second) / c.e.w.Counter.Rate * c.slow)
	wait := max(c.free[h]-e.clock.Now(), 0)
	if wait > e.w.Counter.Queue.D() {
		c.refused++
		tell(2*hop, 0, policy.Rejected)
		return
	}
	c.free[h] = max(c.free[h], e.clock.Now()) + takes
	t := c.totals[h][name]
	if t.until <= e.clock.Now() {
		t = total{until: e.clock.Now() + keep}
	}
	t.units += units
	c.totals[h][name] = t
	if c.silent {
		tell(e.w.Network.Connect.D(), 0, policy.TimedOut)
		return
	}
	tell(2*hop+wait+takes+time.Duration(float64(e.w.Counter.Takes.D())*c.slow), t.units, policy.Answered)
}
