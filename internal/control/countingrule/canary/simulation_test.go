package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/policy"
)

// simulation runs three processes in virtual time, with a counter, the leader's controller and
// random customers.
type simulation struct {
	controller   *Controller
	table        statemachine.Table
	shadows      []*Shadow
	counter      fakeCounter
	random       *rand.Rand
	now          time.Duration
	leadingSince time.Duration
	demand       []float64 // requests per second, by customer
	nextArrival  []time.Duration
	settings     policy.Settings
	failureRate  float64           // fraction of requests that fail after the switch although the rule admits them
	missedSums   map[string]uint64 // sums received by an earlier leader and not by the current one
}

func canaryConfig() countingrule.CanaryConfig {
	return countingrule.CanaryConfig{
		SamplePermille: 400, CallsPermille: 250, DeadlineSeconds: 120, ErrorPermille: 50,
		RejectedBoundPermille: 50, AdmittedBoundPermille: 100, OverLimitBoundPermille: 100,
		MaxDeviationPermille: 100, WatchSeconds: 120,
	}
}

// configFor returns a configuration that names one rule as the desired one.
func configFor(rule countingrule.Rule) *countingrule.Config {
	return &countingrule.Config{
		DesiredVersion: rule.Version, Rules: []countingrule.Rule{rule},
		Canary: canaryConfig(),
	}
}

// newController returns a controller with a fixed configuration and a lease of two seconds.
func newController(config *countingrule.Config, origin time.Duration) *Controller {
	return New(func() *countingrule.Config { return config }, 2*time.Second, time.Second, origin)
}

func newSimulation(rule countingrule.Rule, seed uint64) *simulation {
	settings := testSettings()
	settings.Gateways = 3
	settings.Plans = []policy.Plan{{Name: "small", Rate: 0.5, Burst: 3}}
	s := &simulation{
		controller:   newController(configFor(rule), time.Duration(seed%977)*time.Second),
		counter:      fakeCounter{},
		random:       rand.New(rand.NewPCG(seed, 3)),
		now:          time.Hour,
		leadingSince: time.Hour,
		settings:     countingrule.WithRulePlans(settings, []countingrule.Rule{rule}),
	}
	for range 1200 { // most customers are well below their plan's rate, some are near it, some far above
		s.demand = append(s.demand, 0.25*math.Exp(0.7*s.random.NormFloat64()))
		s.nextArrival = append(s.nextArrival, s.now+time.Duration(s.random.ExpFloat64()*4e9))
	}
	return s
}

func (s *simulation) tableValue() countingrule.Table {
	table, err := countingrule.Decode(s.table.Value)
	if err != nil {
		panic(err) // cannot happen: the controller encoded it
	}
	return table
}

// sums returns the sums of the observations that the leader has received.
func (s *simulation) sums() map[string]uint64 {
	received := reportedCounts(s.shadows...)
	for name := range received {
		received[name] -= min(s.missedSums[name], received[name])
	}
	return received
}

// decide calls the controller, stores a new table value and starts the shadow evaluations when a
// trial begins.
func (s *simulation) decide() {
	value, write := s.controller.Decide(s.now, coordination.ControllerInput{
		Sums: s.sums(), LeadingSince: s.leadingSince,
		Table: func(string) statemachine.Table { return s.table },
	})
	if !write {
		return
	}
	previous := s.tableValue()
	s.table = statemachine.Table{Epoch: s.table.Epoch + 1, Value: value}
	if s.tableValue().Phase == countingrule.PhaseCanary && previous.Phase != countingrule.PhaseCanary {
		s.startShadows()
	}
}

// startShadows starts a shadow evaluation in each process.
func (s *simulation) startShadows() {
	table := s.tableValue()
	resolved := func(version uint64) *countingrule.Resolved {
		rule, _ := table.Rule(version)
		r, err := countingrule.Resolve(rule, s.settings)
		if err != nil {
			panic(err) // cannot happen with the simulation's rules
		}
		return r
	}
	old, next := resolved(table.FromVersion), resolved(table.ToVersion)
	sample, err := NewSample(old.Rule, next.Rule, table.SampleSeed, canaryConfig().SamplePermille)
	if err != nil {
		panic(err) // cannot happen: the controller has made the same sample
	}
	for range 3 {
		s.shadows = append(s.shadows, NewShadow(sample, old, next, s.settings, table.SampleSeed, 250))
	}
}

// advance simulates until a time is reached or stop returns true.
func (s *simulation) advance(until time.Duration, stop func() bool) {
	for ; s.now < until && !stop(); s.now += 250 * time.Millisecond {
		if s.now%time.Second == 0 {
			s.decide()
		}
		table := s.tableValue()
		for _, shadow := range s.shadows {
			shadow.AddBudget(600)
			s.counter.answerCalls(shadow, s.now, shadow.Flush(s.now))
		}
		for customer := range s.demand {
			if len(s.shadows) == 0 || !s.shadows[0].IsSampled(uint64(customer)) {
				continue
			}
			for s.nextArrival[customer] < s.now {
				s.nextArrival[customer] += time.Duration(s.random.ExpFloat64() / s.demand[customer] * 1e9)
				s.handleArrival(customer, &table)
			}
		}
	}
}

// handleArrival sends a sampled customer's request to a random process. The decision of the shadow
// evaluation is used as the actual decision.
func (s *simulation) handleArrival(customer int, table *countingrule.Table) {
	shadow := s.shadows[s.random.IntN(len(s.shadows))]
	counts := shadow.observations.counts
	byOld := func() uint64 { return counts[nameBoth] + counts[nameOldOnly] }
	byNew := func() uint64 { return counts[nameBoth] + counts[nameNewOnly] }
	oldBefore, newBefore := byOld(), byNew()
	request := Request{Customer: uint64(customer), Class: s.random.IntN(2), Units: 1}
	s.counter.answerCalls(shadow, s.now, shadow.HandleRequest(s.now, request))
	version := table.InForce(s.now + s.controller.ClockOrigin)
	if version != table.ToVersion {
		shadow.RecordActual(version, 1, byOld() > oldBefore)
		return
	}
	shadow.RecordActual(version, 1, byNew() > newBefore && s.random.Float64() >= s.failureRate)
}

func (s *simulation) hasVerdict() bool {
	return s.table.Epoch > 0 && s.tableValue().Phase != countingrule.PhaseCanary
}

func neverStop() bool { return false }

// ruleWithScaledLimits returns a rule that multiplies the plan's rate and burst by a factor.
func ruleWithScaledLimits(factor float64) countingrule.Rule {
	return countingrule.Rule{
		Version: 1, Key: []string{"customer"},
		Limits: []countingrule.Limit{{Plan: "small", Rate: 0.5 * factor, Burst: 3 * factor}},
	}
}

// ruleWithPairedCustomers returns a rule under which each pair of customers shares a count.
func ruleWithPairedCustomers(rate float64) countingrule.Rule {
	rule := countingrule.Rule{
		Version: 1, Key: []string{"group"},
		Limits: []countingrule.Limit{{Plan: "*", Rate: rate, Burst: 6 * rate}},
	}
	for i := range uint64(600) {
		rule.Groups = append(rule.Groups, countingrule.Group{Name: fmt.Sprint(i), Customers: []uint64{2 * i, 2*i + 1}})
	}
	return rule
}

// ruleWithWeightedClass returns a rule with another weight for the units of one class.
func ruleWithWeightedClass(permille uint64) countingrule.Rule {
	return countingrule.Rule{
		Version: 1, Key: []string{"customer"},
		Weights: []countingrule.Weight{{Class: "pay", Permille: permille}},
	}
}

// candidateRules are the simulated rules by the name that the flag -only takes.
var candidateRules = map[string]countingrule.Rule{
	"as it is": ruleWithScaledLimits(1), "5% more": ruleWithScaledLimits(1.05), "5% less": ruleWithScaledLimits(0.95),
	"10% less": ruleWithScaledLimits(0.9), "pairs": ruleWithPairedCustomers(1), "pay 1.05": ruleWithWeightedClass(1050),
	"40% less": ruleWithScaledLimits(0.6), "half": ruleWithScaledLimits(0.5), "triple": ruleWithScaledLimits(3),
	"poor pairs": ruleWithPairedCustomers(0.5),
	"pay 2.5":    ruleWithWeightedClass(2500), "pay free": ruleWithWeightedClass(1),
	"25% less": ruleWithScaledLimits(0.75), "30% less": ruleWithScaledLimits(0.7),
}
