package rulesimulation

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/countingrule/canary"
	"harrierhoist/policy"
)

// When a simulated canary goes through its phases, from the simulation's start.
const (
	canaryStart     = 10 * time.Second
	canaryMeasured  = 40 * time.Second // requests accepted later count for the outcome
	canaryScheduled = 140 * time.Second
	canaryArrivals  = 240 * time.Second // requests come until then
	canaryEnd       = 250 * time.Second
)

// The sample of a simulated canary.
const (
	canaryCustomers      = 300
	canarySamplePermille = 300
	canaryCallsPermille  = 250
	canaryFlushInterval  = 250 * time.Millisecond
	canaryOwnCalls       = 12 // of a gateway for each request: as much as a sample of one key in 25 would have
)

// Forecast is what a canary forecast and what followed: parts of the sample's units that were
// admitted.
type Forecast struct {
	Before, Forecast, Observed float64
	Calls                      float64 // of the shadow evaluation, for each request that was accepted
}

// canarySimulation is a simulation with a shadow evaluation at each gateway.
type canarySimulation struct {
	*Simulation
	seed                uint64
	sample              *canary.Sample
	shadows             map[*gateway]*canary.Shadow
	accepted            float64    // requests
	requested, admitted [2]float64 // units of the sample by version
}

// RunForecast simulates a canary beside so many gateways with the decision module itself for two
// minutes, then switches to the rule. Its customers come through any of the gateways. Its error is
// that of canary.NewSample.
func RunForecast(seed uint64, gateways int, rule countingrule.Rule) (Forecast, error) {
	sample, err := canary.NewSample(countingrule.Rule{}, rule, seed, canarySamplePermille)
	if err != nil {
		return Forecast{}, err
	}
	settings := baseSettings()
	settings.Plans = []policy.Plan{{Name: "small", Rate: 0.5, Burst: 5}}
	settings.Gateways = gateways
	c := &canarySimulation{
		Simulation: newSimulation(seed, settings, []countingrule.Rule{rule}),
		seed:       seed,
		sample:     sample,
		shadows:    map[*gateway]*canary.Shadow{},
	}
	for _, g := range c.gateways {
		c.shadows[g] = canary.NewShadow(sample, c.resolved[0], c.resolved[1], c.settings, seed, canaryCallsPermille)
	}
	c.onAdmission = c.evaluate
	c.onCompletion = c.recordOutcome
	c.scheduleCustomers()
	c.clock.Every(canaryStart+time.Second, canaryFlushInterval, c.flush)
	c.clock.After(canaryStart, func() {
		c.table.Phase = countingrule.PhaseCanary
		c.table.ToVersion = 1
	})
	c.clock.After(canaryScheduled, func() {
		c.table.Phase = countingrule.PhaseScheduled
		c.table.SwitchAt = c.clock.Now() + switchLead
	})
	c.clock.AdvanceTo(epoch + canaryEnd)
	return c.forecast(), nil
}

// scheduleCustomers has each customer send requests at a rate of its own.
func (c *canarySimulation) scheduleCustomers() {
	rates := rand.New(rand.NewPCG(c.seed, 5))
	for customer := range uint64(canaryCustomers) {
		meanInterval := 2.5e9 / math.Exp(0.7*rates.NormFloat64())
		wait := func() time.Duration { return time.Duration(c.random.ExpFloat64() * meanInterval) }
		var arrive func()
		arrive = func() {
			if c.clock.Now() < epoch+canaryArrivals {
				c.acceptAnywhere(func() uint64 { return customer })
				c.clock.After(wait(), arrive)
			}
		}
		c.clock.After(wait(), arrive)
	}
}

// call makes the shadow evaluation's calls to the counter, and those that follow from their
// answers.
func (c *canarySimulation) call(g *gateway, calls []canary.Call) {
	for _, call := range calls {
		g.addUnits(call.Name, call.Units, func(count float64) {
			c.call(g, c.shadows[g].HandleCount(c.clock.Now(), call.ID, count, true))
		})
	}
}

// evaluate evaluates a request in the canary.
func (c *canarySimulation) evaluate(g *gateway, request *request) {
	c.accepted++
	if c.table.Phase != countingrule.PhaseCanary {
		return
	}
	c.shadows[g].AddBudget(canaryOwnCalls)
	c.call(g,
		c.shadows[g].HandleRequest(c.clock.Now(),
			canary.Request{Customer: request.customer, Class: request.class, Units: 1}))
}

// recordOutcome counts what became of a request of the sample.
func (c *canarySimulation) recordOutcome(_ *gateway, request *request) {
	if _, sampled := c.sample.Bucket(request.customer); !sampled || request.acceptedAt <= epoch+canaryMeasured {
		return
	}
	c.requested[request.assignment.Version]++
	if request.forwarded {
		c.admitted[request.assignment.Version]++
	}
}

// flush flushes the shadow evaluations, and tells whether the canary goes on.
func (c *canarySimulation) flush() (again bool) {
	for _, g := range c.gateways {
		c.call(g, c.shadows[g].Flush(c.clock.Now()))
	}
	return c.table.Phase == countingrule.PhaseCanary
}

// forecast compares what the canary observed with what followed.
func (c *canarySimulation) forecast() (f Forecast) {
	prefix := "canary\x1f" + canary.Fingerprint(c.seed) + "\x1f"
	observed := map[string]float64{}
	for _, g := range c.gateways {
		shadow := c.shadows[g]
		shadow.Report(func(name string, n uint64) { observed[strings.TrimPrefix(name, prefix)] += float64(n) })
		f.Calls += float64(shadow.CallCount()) / c.accepted
	}
	f.Before = c.admitted[0] / c.requested[0]
	f.Observed = c.admitted[1] / c.requested[1]
	f.Forecast = min(f.Before*(observed["both"]+observed["new"])/(observed["both"]+observed["old"]), 1)
	return f
}
