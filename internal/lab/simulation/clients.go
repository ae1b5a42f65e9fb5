package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// clients send the tasks of customers, whether answers come or not, and try again through other gateways.
type clients struct {
	engine              *engine
	random              *rand.Rand
	plans               []planCustomers
	cumulativeShares    []float64 // running sums of their shares
	lastKey             uint64
	lastTry             uint64
	lastOneTimeCustomer uint64
}

// planned are the customers of a plan.
type planCustomers struct {
	share           float64
	customers       []*customer
	cumulativeSizes []float64 // running sums
}

type customer struct {
	id                         uint64
	plan                       int
	firstGateway, gatewayCount int
	tokens                     float64 // what a perfect count of first tries leaves in the store
	refilledAt                 time.Duration
}

// request is what a customer wants; its tries go through different gateways.
type request struct {
	customer      *customer
	key           uint64
	class         int
	work          time.Duration
	units         float64 // true
	declaredUnits float64
	startedAt     time.Duration
	isDue         bool // a perfect count would let it in
	done          bool
	lastAnswer    answer // of the latest try that ended
}

func newClients(e *engine, setup *rand.Rand) *clients {
	c := &clients{engine: e, random: setup}
	id := uint64(1)
	for i, p := range e.scenario.Plans {
		pl := planCustomers{share: p.Share}
		sum := 0.0
		for n := range p.Customers {
			pl.customers = append(pl.customers, c.newCustomer(id, i))
			sum += math.Pow(float64(n+1), -e.scenario.Load.Skew)
			pl.cumulativeSizes = append(pl.cumulativeSizes, sum)
			id++
		}
		c.plans = append(c.plans, pl)
	}
	sum := 0.0
	for _, l := range e.scenario.Classes {
		sum += l.Share
		c.cumulativeShares = append(c.cumulativeShares, sum)
	}
	c.lastOneTimeCustomer = 1 << 32
	return c
}

func (c *clients) newCustomer(id uint64, plan int) *customer {
	e, n := c.engine, len(c.engine.gateways)
	parts := e.scenario.Load.GatewayShare
	if own := e.scenario.Plans[plan].GatewayShare; own[1] > 0 {
		parts = own
	}
	spread := parts[0] + (parts[1]-parts[0])*c.random.Float64()
	return &customer{
		id: id, plan: plan, firstGateway: c.random.IntN(n), gatewayCount: min(max(int(math.Round(spread*float64(n))), 1), n),
		tokens: e.scenario.Plans[plan].Burst, refilledAt: e.clock.Now(),
	}
}

// offer sets the next arrival: they come by chance at the rate that holds now, and do not wait for answers.
func (c *clients) scheduleArrival() {
	e := c.engine
	share, whole := 0.0, 0.0
	for i, p := range c.plans {
		share += p.share * e.planLoadFactors[i]
		whole += p.share
	}
	rate := e.scenario.Load.Rate * e.loadFactor * share / whole
	if e.scenario.Load.Swing > 0 {
		rate *= 1 + e.scenario.Load.Swing*math.Sin(2*math.Pi*(e.clock.Now()-origin).Seconds()/20)
	}
	next := e.clock.Now() + time.Duration(e.arrivalRandom.ExpFloat64()/max(rate, 1e-6)*float64(time.Second))
	if next >= origin+e.scenario.Length.D() {
		return
	}
	e.clock.At(next, func() {
		c.arrive()
		c.scheduleArrival()
	})
}

// ask makes a request.
func (c *clients) arrive() {
	e := c.engine
	share := 0.0
	for i, p := range c.plans {
		share += p.share * e.planLoadFactors[i]
	}
	at, plan := e.arrivalRandom.Float64()*share, 0
	for plan < len(c.plans)-1 && at >= c.plans[plan].share*e.planLoadFactors[plan] {
		at -= c.plans[plan].share * e.planLoadFactors[plan]
		plan++
	}
	p := &c.plans[plan]
	who := p.customers[sort.SearchFloat64s(p.cumulativeSizes, e.arrivalRandom.Float64()*p.cumulativeSizes[len(p.cumulativeSizes)-1])]
	if e.scenario.Load.OneTimeShare > 0 && e.arrivalRandom.Float64() < e.scenario.Load.OneTimeShare {
		c.lastOneTimeCustomer++
		who = c.newCustomer(c.lastOneTimeCustomer, plan)
	}
	lane := sort.SearchFloat64s(c.cumulativeShares, e.arrivalRandom.Float64()*c.cumulativeShares[len(c.cumulativeShares)-1])
	units := min(max(math.Round(e.scenario.Load.MeanUnits*e.arrivalRandom.ExpFloat64()), 1), 3*e.scenario.Load.MeanUnits)
	r := &request{customer: who, class: min(lane, len(c.cumulativeShares)-1), units: units, declaredUnits: units, startedAt: e.clock.Now()}
	if e.scenario.Load.DeclaredDeviation > 0 {
		s := e.scenario.Load.DeclaredDeviation
		r.declaredUnits = min(max(units*math.Exp(s*e.arrivalRandom.NormFloat64()-s*s/2), 0.1), 3*e.scenario.Load.MeanUnits)
	}
	r.work = e.drawWork(r.class)
	c.lastKey++
	r.key = c.lastKey
	plans := &e.scenario.Plans[plan]
	if plans.Rate <= 0 {
		r.isDue = true
	} else {
		who.tokens = min(who.tokens+plans.Rate*(e.clock.Now()-who.refilledAt).Seconds(), plans.Burst)
		who.refilledAt = e.clock.Now()
		if r.isDue = who.tokens >= units; r.isDue {
			who.tokens -= units
		}
	}
	res := &e.result
	res.Offered++
	if r.isDue {
		res.Due++
		res.DueValue += c.value(r)
	}
	c.send(r, 0, nil)
}

// gain is what a request is worth when it is answered in time.
func (c *clients) value(r *request) float64 {
	return c.engine.scenario.Classes[r.class].Weight * c.engine.scenario.Plans[r.customer.plan].Price * r.units
}
