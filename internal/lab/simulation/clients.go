package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// firstOneTimeCustomer is the number after which customers that are seen once are numbered, so
	// that they have numbers above all others.
	firstOneTimeCustomer = 1 << 32
	// swingPeriod is the period of the load's swing, in seconds.
	swingPeriod = 20
	// minDeclaredUnits is the least that a request declares.
	minDeclaredUnits = 0.1
	// minArrivalRate keeps the time to the next request finite where a fault stops all load, in
	// requests a second.
	minArrivalRate = 1e-6
)

// clients send the requests of customers in an open loop, whether answers come or not, and retry
// through other gateways.
type clients struct {
	engine              *engine
	random              *rand.Rand
	plans               []planCustomers
	cumulativeShares    []float64 // of the classes
	lastKey             uint64
	lastTry             uint64
	lastOneTimeCustomer uint64
}

// planCustomers are the customers of a plan.
type planCustomers struct {
	share           float64 // of the requests
	customers       []*customer
	cumulativeSizes []float64
}

// customer is a customer, with the token bucket that a perfect count of its first tries leaves.
type customer struct {
	id                         uint64
	plan                       int
	firstGateway, gatewayCount int
	tokens                     float64
	refilledAt                 time.Duration
}

// request is what a customer asks for; its tries go through different gateways.
type request struct {
	customer      *customer
	key           uint64
	class         int
	work          time.Duration
	units         float64 // true ones
	declaredUnits float64
	startedAt     time.Duration
	isDue         bool // a perfect count would admit it
	done          bool
	lastAnswer    answer // of the latest try that ended
}

// newClients draws the customers of all plans.
func newClients(engine *engine, random *rand.Rand) *clients {
	clients := &clients{engine: engine, random: random, lastOneTimeCustomer: firstOneTimeCustomer}
	id := uint64(1)
	for i, plan := range engine.scenario.Plans {
		p := planCustomers{share: plan.Share}
		sum := 0.0
		for n := range plan.Customers {
			p.customers = append(p.customers, clients.newCustomer(id, i))
			sum += math.Pow(float64(n+1), -engine.scenario.Load.Skew)
			p.cumulativeSizes = append(p.cumulativeSizes, sum)
			id++
		}
		clients.plans = append(clients.plans, p)
	}
	sum := 0.0
	for _, class := range engine.scenario.Classes {
		sum += class.Share
		clients.cumulativeShares = append(clients.cumulativeShares, sum)
	}
	return clients
}

// newCustomer draws the gateways that a customer comes through.
func (c *clients) newCustomer(id uint64, plan int) *customer {
	e := c.engine
	n := len(c.engine.gateways)
	share := e.scenario.Load.GatewayShare
	if own := e.scenario.Plans[plan].GatewayShare; own[1] > 0 {
		share = own
	}
	drawn := share[0] + (share[1]-share[0])*c.random.Float64()
	return &customer{
		id:           id,
		plan:         plan,
		firstGateway: c.random.IntN(n),
		gatewayCount: min(max(int(math.Round(drawn*float64(n))), 1), n),
		tokens:       e.scenario.Plans[plan].Burst,
		refilledAt:   e.clock.Now(),
	}
}

// scheduleArrival draws the time of the next request by the rate that holds now; arrivals do not
// wait for answers.
func (c *clients) scheduleArrival() {
	engine := c.engine
	present := 0.0
	usual := 0.0
	for i, p := range c.plans {
		present += p.share * engine.faults.planLoadFactors[i]
		usual += p.share
	}
	rate := engine.scenario.Load.Rate * engine.faults.loadFactor * present / usual
	if engine.scenario.Load.Swing > 0 {
		rate *= 1 + engine.scenario.Load.Swing*math.Sin(2*math.Pi*(engine.clock.Now()-origin).Seconds()/swingPeriod)
	}
	pause := engine.arrivalRandom.ExpFloat64() / max(rate, minArrivalRate)
	next := engine.clock.Now() + time.Duration(pause*float64(time.Second))
	if next >= origin+engine.scenario.Length.D() {
		return
	}
	engine.clock.At(next, func() {
		c.arrive()
		c.scheduleArrival()
	})
}

// arrive draws a request and sends its first try.
func (c *clients) arrive() {
	result := &c.engine.result
	r := c.drawRequest()
	r.isDue = c.engine.isDue(r)
	result.Offered++
	if r.isDue {
		result.Due++
		result.DueValue += c.value(r)
	}
	c.send(r, 0, nil)
}

// drawRequest draws a request. The order of the draws decides what all later ones are.
func (c *clients) drawRequest() *request {
	engine := c.engine
	load := &engine.scenario.Load
	random := engine.arrivalRandom
	plan := c.drawPlan()
	p := &c.plans[plan]
	who := p.customers[drawIndex(random, p.cumulativeSizes)]
	if load.OneTimeShare > 0 && random.Float64() < load.OneTimeShare {
		c.lastOneTimeCustomer++
		who = c.newCustomer(c.lastOneTimeCustomer, plan)
	}
	class := min(drawIndex(random, c.cumulativeShares), len(c.cumulativeShares)-1)
	maxUnits := load.MaxUnits()
	units := min(max(math.Round(load.MeanUnits*random.ExpFloat64()), 1), maxUnits)
	r := &request{customer: who, class: class, units: units, declaredUnits: units, startedAt: engine.clock.Now()}
	if s := load.DeclaredDeviation; s > 0 {
		r.declaredUnits = min(max(units*math.Exp(s*random.NormFloat64()-s*s/2), minDeclaredUnits), maxUnits)
	}
	r.work = engine.scenario.Classes[class].DrawWork(random)
	c.lastKey++
	r.key = c.lastKey
	return r
}

// drawPlan draws a plan by the load that each has now.
func (c *clients) drawPlan() int {
	factors := c.engine.faults.planLoadFactors
	sum := 0.0
	for i, p := range c.plans {
		sum += p.share * factors[i]
	}
	at := c.engine.arrivalRandom.Float64() * sum
	plan := 0
	for plan < len(c.plans)-1 && at >= c.plans[plan].share*factors[plan] {
		at -= c.plans[plan].share * factors[plan]
		plan++
	}
	return plan
}

// drawIndex draws an index by cumulative weights.
func drawIndex(random *rand.Rand, cumulative []float64) int {
	return sort.SearchFloat64s(cumulative, random.Float64()*cumulative[len(cumulative)-1])
}

// isDue reports whether a perfect count admits a request, and takes its units.
func (e *engine) isDue(r *request) bool {
	plan := &e.scenario.Plans[r.customer.plan]
	who := r.customer
	if plan.Rate <= 0 {
		return true
	}
	who.tokens = min(who.tokens+plan.Rate*(e.clock.Now()-who.refilledAt).Seconds(), plan.Burst)
	who.refilledAt = e.clock.Now()
	if who.tokens < r.units {
		return false
	}
	who.tokens -= r.units
	return true
}

// value is what a request counts when it is answered within its latency objective: weight times
// price times units.
func (c *clients) value(r *request) float64 {
	return c.engine.scenario.Classes[r.class].Weight * c.engine.scenario.Plans[r.customer.plan].Price * r.units
}
