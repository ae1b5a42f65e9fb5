package simulation

import (
	"time"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/policy"
)

type try struct {
	id       uint64
	request  *request
	gateway  *gateway
	lane     int
	number   int
	local    uint32
	cost     float64
	expires  time.Duration
	attempts []*attempt
	over     bool
	away     time.Duration
}

// verdict is what a client gets.
type verdict int

const (
	served verdict = iota
	rejected
	terminated
	died       // the connection broke: its gateway died
	unanswered // none came in time
)

// send sends a try through a gateway of the customer's set, if it can be another than the last.
func (c *clients) send(r *request, number int, last *gateway) {
	e := c.e
	lane := &e.site.Classes[r.lane]
	expires := r.began + lane.Timeout
	if e.clock.Now() >= expires {
		c.lost(r, r.last)
		return
	}
	who := r.customer
	g := e.gateways[(who.first+c.draw.IntN(who.width))%len(e.gateways)]
	for range 4 { // dead ones are noticed by and by, and the one tried last is left out where others are
		if g != last && (g.alive || c.draw.Float64() < 0.3) || who.width == 1 {
			break
		}
		g = e.gateways[(who.first+c.draw.IntN(who.width))%len(e.gateways)]
	}
	if through := e.crowded.through(c); through != nil {
		g = through
	}
	c.nextTry++
	t := &try{id: c.nextTry, request: r, gateway: g, lane: r.lane, number: number, expires: expires, cost: r.units}
	e.result.Tries++
	e.clock.After(500*time.Microsecond, func() {
		if !g.alive {
			c.answered(t, died) // refused: it was not taken
			return
		}
		e.ledger.Taken(invariants.Task{
			ID: t.id, Key: r.key, Customer: who.id, Lane: *lane, Plan: who.plan, Gateway: g.n,
			Units: r.told,
			Taken: e.clock.Now(), Expires: expires,
		})
		life := g.life
		g.do(life, func() {
			if e.clock.Now() >= expires {
				// Its client has gone: it was read too late to answer.
				e.ledger.Final(expires, t.id, true)
				return
			}
			g.take(t)
		})
		e.clock.At(expires, func() { c.gone(t, life) })
	})
}

// gone tells a gateway that a client waits no more.
func (c *clients) gone(t *try, life int) {
	if t.over {
		return
	}
	t.gateway.do(life, func() {
		if t.over {
			return
		}
		t.over = true
		delete(t.gateway.tries, t.local)
		t.gateway.d.HandleDisconnect(c.e.clock.Now(), t.local)
		for _, a := range t.attempts {
			c.e.clock.After(0, func() { c.e.outcome(a, policy.Cancelled, 0) })
		}
	})
	c.lost(t.request, unanswered)
}

// answered takes the answer to a try.
func (c *clients) answered(t *try, what verdict) {
	e, r := c.e, t.request
	if what != died {
		e.ledger.Final(e.clock.Now(), t.id, true)
	}
	res := &e.result
	switch what {
	case served:
		if e.w.Load.Told > 0 {
			e.ledger.Settled(t.id, r.units)
		}
		if r.ended {
			return
		}
		r.ended = true
		took := e.clock.Now() - r.began
		res.took(r.lane, took)
		lane := &e.site.Classes[r.lane]
		gain := 0.0
		if took <= lane.LatencyObjective {
			res.InTime++
			gain = c.gain(r)
		} else {
			res.Late++
			gain = c.gain(r) * lane.LateFraction
		}
		if e.ledger.Inside(t.id) {
			res.GainServed += gain
		}
		return
	case rejected:
		res.Rejected++
	case terminated:
		res.Terminated++
	case died:
		res.Broken0++
	}
	if r.ended { // its gateway stood still: the client went long ago
		return
	}
	lane := &e.site.Classes[r.lane]
	r.last = what
	unsent := what == rejected || what == died && len(t.attempts) == 0
	may := unsent || lane.Effect == policy.Idempotent || lane.Effect == policy.Keyed && lane.Group == policy.GroupAll &&
		e.clock.Now() < r.began+lane.DedupWindow
	if !may || t.number >= e.w.Clients.Retries {
		if what == rejected {
			res.Refused++
		} else {
			c.lost(r, what)
		}
		r.ended = true
		return
	}
	wait := e.w.Clients.Backoff.D()
	if what == rejected && t.away > 0 && c.draw.Float64() < e.w.Clients.Honour {
		wait = max(t.away, 0)
	}
	e.clock.After(wait, func() { c.send(r, t.number+1, t.gateway) })
}

// lost ends a request that failed, by what its last try got.
func (c *clients) lost(r *request, last verdict) {
	if r.ended {
		return
	}
	r.ended = true
	res := &c.e.result
	res.Failed++
	switch last {
	case rejected:
		res.Ends.Between++
	case terminated:
		res.Ends.Terminated++
	case died:
		res.Ends.Died++
	default:
		res.Ends.Out++
	}
}
