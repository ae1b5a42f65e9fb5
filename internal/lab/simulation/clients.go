package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
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
	last     verdict // of the latest try that ended
}

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
	return &customer{
		id: id, plan: plan, first: c.draw.IntN(n), width: min(max(int(math.Round(spread*float64(n))), 1), n),
		left: e.w.Plans[plan].Burst, at: e.clock.Now(),
	}
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
		rate *= 1 + e.w.Load.Swing*math.Sin(2*math.Pi*(e.clock.Now()-origin).Seconds()/20)
	}
	next := e.clock.Now() + time.Duration(e.arrivals.ExpFloat64()/max(rate, 1e-6)*float64(time.Second))
	if next >= origin+e.w.Length.D() {
		return
	}
	e.clock.At(next, func() {
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
	r := &request{customer: who, lane: min(lane, len(c.lanes)-1), units: units, told: units, began: e.clock.Now()}
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
		who.left = min(who.left+plans.Rate*(e.clock.Now()-who.at).Seconds(), plans.Burst)
		who.at = e.clock.Now()
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
