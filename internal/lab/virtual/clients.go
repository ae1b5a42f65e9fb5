package virtual

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"harrierhoist/internal/lab/ledger"
	"harrierhoist/policy"
)

// clients send the tasks of customers, whether answers come or not, and try again through other gateways.
type clients struct {
	e         *engine
	draw      *rand.Rand
	plans     []planned
	lanes     []float64 // running sums of their shares
	nextKey   uint64
	nextTry   uint64
	strangers uint64
}

// planned are the customers of a plan.
type planned struct {
	share     float64
	customers []*customer
	sizes     []float64 // running sums
}

type customer struct {
	id           uint64
	plan         int
	first, width int
	left         float64 // what a perfect count of first tries leaves in the store
	at           time.Duration
}

// request is what a customer wants; its tries go through different gateways.
type request struct {
	customer *customer
	key      uint64
	lane     int
	work     time.Duration
	units    float64 // true
	told     float64
	began    time.Duration
	due      bool // a perfect count would let it in
	ended    bool
}

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
	died // the connection broke: its gateway died
)

func newClients(e *engine, setup *rand.Rand) *clients {
	c := &clients{e: e, draw: setup}
	id := uint64(1)
	for i, p := range e.w.Plans {
		pl := planned{share: p.Share}
		sum := 0.0
		for n := range p.Customers {
			pl.customers = append(pl.customers, c.newCustomer(id, i))
			sum += math.Pow(float64(n+1), -e.w.Load.Skew)
			pl.sizes = append(pl.sizes, sum)
			id++
		}
		c.plans = append(c.plans, pl)
	}
	sum := 0.0
	for _, l := range e.w.Lanes {
		sum += l.Share
		c.lanes = append(c.lanes, sum)
	}
	c.strangers = 1 << 32
	return c
}

func (c *clients) newCustomer(id uint64, plan int) *customer {
	e, n := c.e, len(c.e.gateways)
	parts := e.w.Load.Spread
	if own := e.w.Plans[plan].Spread; own[1] > 0 {
		parts = own
	}
	spread := parts[0] + (parts[1]-parts[0])*c.draw.Float64()
	return &customer{id: id, plan: plan, first: c.draw.IntN(n), width: min(max(int(math.Round(spread*float64(n))), 1), n),
		left: e.w.Plans[plan].Burst, at: e.now}
}

// offer sets the next arrival: they come by chance at the rate that holds now, and do not wait for answers.
func (c *clients) offer() {
	e := c.e
	share, whole := 0.0, 0.0
	for i, p := range c.plans {
		share += p.share * e.planTimes[i]
		whole += p.share
	}
	rate := e.w.Load.Rate * e.loadTimes * share / whole
	if e.w.Load.Swing > 0 {
		rate *= 1 + e.w.Load.Swing*math.Sin(2*math.Pi*(e.now-origin).Seconds()/20)
	}
	next := e.now + time.Duration(e.arrivals.ExpFloat64()/max(rate, 1e-6)*float64(time.Second))
	if next >= origin+e.w.Length.D() {
		return
	}
	e.at(next, func() {
		c.ask()
		c.offer()
	})
}

// ask makes a request.
func (c *clients) ask() {
	e := c.e
	share := 0.0
	for i, p := range c.plans {
		share += p.share * e.planTimes[i]
	}
	at, plan := e.arrivals.Float64()*share, 0
	for plan < len(c.plans)-1 && at >= c.plans[plan].share*e.planTimes[plan] {
		at -= c.plans[plan].share * e.planTimes[plan]
		plan++
	}
	p := &c.plans[plan]
	who := p.customers[sort.SearchFloat64s(p.sizes, e.arrivals.Float64()*p.sizes[len(p.sizes)-1])]
	if e.w.Load.Once > 0 && e.arrivals.Float64() < e.w.Load.Once {
		c.strangers++
		who = c.newCustomer(c.strangers, plan)
	}
	lane := sort.SearchFloat64s(c.lanes, e.arrivals.Float64()*c.lanes[len(c.lanes)-1])
	units := min(max(math.Round(e.w.Load.Units*e.arrivals.ExpFloat64()), 1), 3*e.w.Load.Units)
	r := &request{customer: who, lane: min(lane, len(c.lanes)-1), units: units, told: units, began: e.now}
	if e.w.Load.Told > 0 {
		s := e.w.Load.Told
		r.told = min(max(units*math.Exp(s*e.arrivals.NormFloat64()-s*s/2), 0.1), 3*e.w.Load.Units)
	}
	r.work = e.draw(r.lane)
	c.nextKey++
	r.key = c.nextKey
	plans := &e.w.Plans[plan]
	if plans.Rate <= 0 {
		r.due = true
	} else {
		who.left = min(who.left+plans.Rate*(e.now-who.at).Seconds(), plans.Burst)
		who.at = e.now
		if r.due = who.left >= units; r.due {
			who.left -= units
		}
	}
	res := &e.result
	res.Offered++
	if r.due {
		res.Due++
		res.GainDue += c.gain(r)
	}
	c.send(r, 0, nil)
}

// gain is what a request is worth when it is answered in time.
func (c *clients) gain(r *request) float64 {
	return c.e.w.Lanes[r.lane].Gain * c.e.w.Plans[r.customer.plan].Price * r.units
}

// send sends a try through a gateway of the customer's set, if it can be another than the last.
func (c *clients) send(r *request, number int, last *gateway) {
	e := c.e
	lane := &e.site.Lanes[r.lane]
	expires := r.began + lane.Patience
	if e.now >= expires {
		c.lost(r)
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
	c.nextTry++
	t := &try{id: c.nextTry, request: r, gateway: g, lane: r.lane, number: number, expires: expires, cost: r.units}
	e.result.Tries++
	e.after(500*time.Microsecond, func() {
		if !g.alive {
			c.answered(t, died) // refused: it was not taken
			return
		}
		e.ledger.Taken(ledger.Task{ID: t.id, Key: r.key, Customer: who.id, Lane: *lane, Plan: who.plan, Gateway: g.n, Units: r.told,
			Taken: e.now, Expires: expires})
		life := g.life
		g.do(life, func() {
			if e.now >= expires {
				// Its client has gone: it was read too late to answer.
				e.ledger.Final(expires, t.id, true)
				return
			}
			g.take(t)
		})
		e.at(expires, func() { c.gone(t, life) })
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
		t.gateway.d.Lapsed(c.e.now, t.local)
		for _, a := range t.attempts {
			c.e.after(0, func() { c.e.outcome(a, policy.Cancelled, 0) })
		}
	})
	c.lost(t.request)
}

// answered takes the answer to a try.
func (c *clients) answered(t *try, what verdict) {
	e, r := c.e, t.request
	if what != died {
		e.ledger.Final(e.now, t.id, true)
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
		took := e.now - r.began
		res.took(r.lane, took)
		lane := &e.site.Lanes[r.lane]
		gain := 0.0
		if took <= lane.SoftLimit {
			res.InTime++
			gain = c.gain(r)
		} else {
			res.Late++
			gain = c.gain(r) * lane.LateShare
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
	lane := &e.site.Lanes[r.lane]
	unsent := what == rejected || what == died && len(t.attempts) == 0
	may := unsent || lane.Effect == policy.Pure || lane.Effect == policy.Receipted && lane.Group == policy.GroupAll &&
		e.now < r.began+lane.Window
	if !may || t.number >= e.w.Clients.Retries {
		if what == rejected {
			res.Refused++
		} else {
			res.Failed++
		}
		r.ended = true
		return
	}
	wait := e.w.Clients.Backoff.D()
	if what == rejected && t.away > 0 && c.draw.Float64() < e.w.Clients.Honour {
		wait = max(t.away, 0)
	}
	e.after(wait, func() { c.send(r, t.number+1, t.gateway) })
}

// lost ends a request that ran out of time.
func (c *clients) lost(r *request) {
	if !r.ended {
		r.ended = true
		c.e.result.Failed++
	}
}
