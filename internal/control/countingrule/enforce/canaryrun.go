package enforce

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/countingrule/canary"
	"harrierhoist/internal/gateway/dispatch"
)

// canaryRun is this process's part of a canary, while there is one. The enforcer's lock guards it.
type canaryRun struct {
	shadow          *canary.Shadow // nil: no canary runs
	seed            uint64         // of the shadow evaluation
	uncreditedCalls uint64         // of the decision module, not yet in the budget
}

// isEvaluated decides whether a phase of the table has its new rule evaluated beside the old one.
func hasShadowEvaluation(phase countingrule.Phase) bool {
	return phase == countingrule.PhaseCanary || phase == countingrule.PhaseScheduled
}

// update begins and ends the canary as the table says.
func (c *canaryRun) update(rules *ruleSet) {
	table := &rules.table
	old, next := rules.rulesAroundSwitch()
	if !hasShadowEvaluation(table.Phase) || old == nil {
		c.shadow = nil
		return
	}
	if c.shadow != nil && c.seed == table.Seed {
		return
	}
	sample, err := canary.NewSample(old.Rule, next.Rule, table.Seed, table.Canary.SamplePermille)
	if err != nil { // the controller refuses such a rule, and says why in the table
		c.shadow = nil
		return
	}
	c.shadow = canary.NewShadow(sample, old, next, rules.settings, table.Seed, table.Canary.CallsPermille)
	c.seed = table.Seed
}

// reconfigure continues the canary, where there is one, under other settings.
func (c *canaryRun) reconfigure(rules *ruleSet) {
	old, next := rules.rulesAroundSwitch()
	if c.shadow == nil || old == nil {
		c.shadow = nil
		return
	}
	c.shadow.Reconfigure(old, next, rules.settings)
}

// addBudget lets the shadow evaluation earn its share of the calls made since it last did.
func (c *canaryRun) addBudget() {
	c.shadow.AddBudget(c.uncreditedCalls)
	c.uncreditedCalls = 0
}

// flush gives the calls for units that no later request added.
func (c *canaryRun) flush(now time.Duration) []canary.Call {
	if c.shadow == nil {
		return nil
	}
	c.addBudget()
	return c.shadow.Flush(now)
}

// handleRequest evaluates a request, if it is sampled, and gives the calls to be made for it.
func (c *canaryRun) handleRequest(
	now time.Duration, request *dispatch.RequestSpec,
) (calls []canary.Call, sampled bool) {
	if c.shadow == nil || !c.shadow.IsSampled(request.Customer) {
		return nil, false
	}
	c.addBudget()
	return c.shadow.HandleRequest(now, canary.Request{
		Customer: request.Customer,
		Class:    request.Class,
		Plan:     request.Plan,
		Units:    request.Units,
	}), true
}

// recordActual counts the actual outcome of a request that was sampled. The canary may have ended
// meanwhile.
func (c *canaryRun) recordActual(version uint64, units float64, forwarded bool) {
	if c.shadow != nil {
		c.shadow.RecordActual(version, units, forwarded)
	}
}

// report gives the canary's observations.
func (c *canaryRun) report(add func(name string, n uint64)) {
	if c.shadow != nil {
		c.shadow.Report(add)
	}
}
