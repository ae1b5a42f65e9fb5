package rulesimulation

import (
	"math"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/countingrule"
	"harrierhoist/policy"
)

// Forecast is what a canary foretold and what followed: parts of the sample's units let in.
type Forecast struct {
	Before, Forecast, Observed float64
	Calls                      float64 // of the play, a task of the fleet
}

// RunForecast plays a canary beside so many gateways with the module itself for two minutes, then switches to the rule.
// Its 300 customers come through any of them.
func RunForecast(seed uint64, gateways int, rule countingrule.Rule) (forecast Forecast, err error) {
	settings := baseSettings()
	settings.Plans = []policy.Plan{{Name: "small", Rate: 0.5, Burst: 5}}
	settings.Gateways = gateways
	s := newSimulation(seed, settings, []countingrule.Rule{rule})
	sample, err := canary.NewSample(countingrule.Rule{}, rule, seed, 300)
	if err != nil {
		return forecast, err
	}
	const customers = 300
	rates := rand.New(rand.NewPCG(seed, 5))
	var requested, admitted [2]float64
	observed := map[string]uint64{}
	shadows, accepted := map[*gateway]*canary.Shadow{}, 0.0
	var perform func(*gateway, []canary.Call)
	perform = func(g *gateway, calls []canary.Call) {
		for _, call := range calls {
			g.addUnits(call.Name, call.Units, func(count float64) { perform(g, shadows[g].HandleCount(g.now, call.ID, count, true)) })
		}
	}
	for _, g := range s.gateways {
		shadows[g] = canary.NewShadow(sample, s.resolved[0], s.resolved[1], s.settings, seed, 250)
	}
	s.onAdmission = func(g *gateway, request *request) {
		accepted++
		if s.table.Phase == countingrule.PhaseCanary {
			shadows[g].AddBudget(12) // as much as a sample of one key in 25 would have
			perform(g, shadows[g].HandleRequest(g.now, canary.Request{Customer: request.customer, Class: request.class, Units: 1}))
		}
	}
	s.onCompletion = func(_ *gateway, request *request) {
		if bucket, ok := sample.Bucket(request.customer); ok && bucket >= 0 && request.acceptedAt > time.Hour+40*time.Second {
			requested[request.assignment.Version]++
			if request.forwarded {
				admitted[request.assignment.Version]++
			}
		}
	}
	for customer := range uint64(customers) {
		meanInterval := 2.5e9 / math.Exp(0.7*rates.NormFloat64())
		var arrive func()
		arrive = func() {
			if s.now < time.Hour+240*time.Second {
				s.gateways[s.random.IntN(len(s.gateways))].accept(customer, s.random.IntN(2))
				s.after(time.Duration(s.random.ExpFloat64()*meanInterval), arrive)
			}
		}
		s.after(time.Duration(s.random.ExpFloat64()*meanInterval), arrive)
	}
	var flush func()
	flush = func() {
		for _, g := range s.gateways {
			perform(g, shadows[g].Flush(s.now))
		}
		if s.table.Phase == countingrule.PhaseCanary {
			s.after(250*time.Millisecond, flush)
		}
	}
	s.after(11*time.Second, flush)
	s.after(10*time.Second, func() { s.table.Phase, s.table.To = countingrule.PhaseCanary, 1 })
	s.after(140*time.Second, func() { s.table.Phase, s.table.SwitchAt = countingrule.PhaseScheduled, s.now+switchLead })
	s.run(time.Hour + 250*time.Second)
	for _, shadow := range shadows {
		shadow.Report(func(name string, count uint64) {
			observed[name[len("canary\x1f")+len(canary.Fingerprint(seed))+1:]] += count
		})
		forecast.Calls += float64(shadow.CallCount()) / accepted
	}
	byOldRule, byNewRule := float64(observed["both"]+observed["old"]), float64(observed["both"]+observed["new"])
	forecast.Before, forecast.Observed = admitted[0]/requested[0], admitted[1]/requested[1]
	forecast.Forecast = min(forecast.Before*byNewRule/byOldRule, 1)
	return forecast, nil
}
