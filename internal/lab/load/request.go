package load

import (
	"math/rand/v2"
	"sort"
	"time"

	"harrierhoist/internal/lab/scenario"
)

const (
	maxUnitsOfMean = 3  // the most units of a request, as a multiple of their mean
	randomStream   = 21 // the random stream that requests are drawn from
	idBitsOfRun    = 32 // the low bits of a request's ID, which count; the seed is above them
	roundingHalf   = 0.5
)

// request is one to be sent.
type request struct {
	id, customer uint64
	class, plan  int // indexes in the scenario
	units        float64
	due          time.Duration // since the start
	gateway      string        // its address
}

// generator draws requests as a scenario describes them: a Poisson process at the driver's rate.
type generator struct {
	spec        *scenario.Scenario
	gateways    []string
	rate        float64
	classShares []float64 // sums of the shares up to each class
	planShares  float64   // sum
	random      *rand.Rand
	lastID      uint64
	due         time.Duration // of the last request
}

func newGenerator(d *Driver) *generator {
	g := &generator{
		spec: d.Scenario, gateways: d.Gateways, rate: d.Rate,
		random: rand.New(rand.NewPCG(d.Seed, randomStream)), lastID: d.Seed << idBitsOfRun,
	}
	sum := 0.0
	for _, class := range g.spec.Classes {
		sum += class.Share
		g.classShares = append(g.classShares, sum)
	}
	for _, plan := range g.spec.Plans {
		g.planShares += plan.Share
	}
	return g
}

// next draws a request. The order of draws is time, plan, class, customer, units, gateway.
func (g *generator) next() request {
	g.due += time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
	g.lastID++
	plan, customersBefore := g.planAt(g.random.Float64() * g.planShares)
	class := sort.SearchFloat64s(g.classShares, g.random.Float64()*g.classShares[len(g.classShares)-1])
	mean := g.spec.Load.MeanUnits
	return request{
		id: g.lastID, due: g.due, plan: plan, class: min(class, len(g.spec.Classes)-1),
		customer: customersBefore + uint64(g.random.IntN(g.spec.Plans[plan].Customers)) + 1,
		units:    min(max(float64(int(mean*g.random.ExpFloat64()+roundingHalf)), 1), maxUnitsOfMean*mean),
		gateway:  g.gateways[g.random.IntN(len(g.gateways))],
	}
}

// planAt returns the plan at a point of the sum of shares, and how many customers the plans before
// it have.
func (g *generator) planAt(point float64) (plan int, customersBefore uint64) {
	for plan < len(g.spec.Plans)-1 && point >= g.spec.Plans[plan].Share {
		point -= g.spec.Plans[plan].Share
		customersBefore += uint64(g.spec.Plans[plan].Customers)
		plan++
	}
	return plan, customersBefore
}
