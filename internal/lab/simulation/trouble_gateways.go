package simulation

import (
	"time"
)

// kill ends gateways at once; they start again after the time.
type kill struct {
	part float64
	hit  []*gateway
}

func (t *kill) begin(e *engine) {
	for _, i := range e.some(len(e.gateways), t.part) {
		if g := e.gateways[i]; g.alive {
			g.kill()
			t.hit = append(t.hit, g)
		}
	}
}

func (t *kill) end(e *engine) {
	for _, g := range t.hit {
		e.again(g)
	}
}

// again starts a gateway anew; it was started once with the same settings, so that it can.
func (e *engine) again(g *gateway) {
	if err := g.start(e.fate.Uint64()); err != nil {
		panic(err)
	}
}

// rolling restarts gateways in turn.
type rolling struct {
	part       float64
	over, away time.Duration
}

func (t *rolling) begin(e *engine) {
	hit := e.some(len(e.gateways), t.part)
	for k, i := range hit {
		g := e.gateways[i]
		e.clock.After(time.Duration(float64(t.over)*float64(k)/float64(len(hit))), func() {
			if !g.alive {
				return
			}
			g.kill()
			e.clock.After(max(t.away, time.Millisecond), func() { e.again(g) })
		})
	}
}

func (t *rolling) end(*engine) {}

// crowd has a part of the tries come through one hall's gateways.
type crowd struct {
	hall int
	part float64
}

func (t *crowd) begin(e *engine) { e.crowded = t }
func (t *crowd) end(e *engine) {
	if e.crowded == t {
		e.crowded = nil
	}
}

// through draws a gateway for a try where one hall is crowded; nil: it goes its own way.
func (t *crowd) through(c *clients) *gateway {
	if t == nil || c.draw.Float64() >= t.part {
		return nil
	}
	halls := c.e.w.Gateways.Halls
	there := (len(c.e.gateways) - t.hall + halls - 1) / halls
	if there <= 0 {
		return nil
	}
	return c.e.gateways[c.draw.IntN(there)*halls+t.hall]
}

// blind has gateways that reach no server: what they send is lost on the way.
type blind struct {
	part float64
	hit  []*gateway
}

func (t *blind) begin(e *engine) {
	for _, i := range e.some(len(e.gateways), t.part) {
		t.hit = append(t.hit, e.gateways[i])
		e.gateways[i].blind = true
	}
}

func (t *blind) end(*engine) {
	for _, g := range t.hit {
		g.blind = false
	}
}

// standstill stops gateways' machines for a time: what comes waits.
type standstill struct {
	part float64
	long time.Duration
}

func (t *standstill) begin(e *engine) {
	for _, i := range e.some(len(e.gateways), t.part) {
		e.gateways[i].still = e.clock.Now() + t.long
		e.ledger.Still(e.clock.Now(), i, e.clock.Now()+t.long)
	}
}

func (t *standstill) end(*engine) {}

// listLost keeps discovery's news from gateways until it ends.
type listLost struct {
	part float64
	hit  []*gateway
}

func (t *listLost) begin(e *engine) {
	for _, i := range e.some(len(e.gateways), t.part) {
		t.hit = append(t.hit, e.gateways[i])
		e.gateways[i].deaf = true
	}
}

func (t *listLost) end(*engine) {
	for _, g := range t.hit {
		g.deaf = false
		held := g.held
		g.held = nil
		for _, l := range held {
			g.told(l)
		}
	}
}
