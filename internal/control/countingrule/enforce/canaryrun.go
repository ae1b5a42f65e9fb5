package enforce

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/countingrule/canary"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// canaryRun is the shadow evaluation that this process does for a canary. It is guarded by
// Enforcer.mu.
type canaryRun struct {
	shadow          *canary.Shadow // nil if no canary is running
	seed            uint64         // seed of the canary that shadow evaluates
	uncreditedCalls uint64         // decision module's calls that shadow's budget does not include yet
}

// hasShadowEvaluation reports whether the new rule is evaluated alongside the old one in a phase.
func hasShadowEvaluation(phase countingrule.Phase) bool {
	return phase == countingrule.PhaseCanary || phase == countingrule.PhaseScheduled
}

// update starts or ends the canary according to the table.
func (c *canaryRun) update(rules *ruleSet) {
	table := &rules.table
	old, next := rules.rulesAroundSwitch()
	if !hasShadowEvaluation(table.Phase) || old == nil {
		c.shadow = nil
		return
	}
	if c.shadow != nil && c.seed == table.SampleSeed {
		return
	}
	sample, err := canary.NewSample(old.Rule, next.Rule, table.SampleSeed, table.Canary.SamplePermille)
	if err != nil { // the controller refuses such a rule and stores the reason in the table
		c.shadow = nil
		return
	}
	c.shadow = canary.NewShadow(sample, old, next, rules.settings, table.SampleSeed, table.Canary.CallsPermille)
	c.seed = table.SampleSeed
}

// reconfigure continues a running canary under new settings. It ends the canary if one of its rules
// can no longer be resolved.
func (c *canaryRun) reconfigure(rules *ruleSet) {
	old, next := rules.rulesAroundSwitch()
	if c.shadow == nil || old == nil {
		c.shadow = nil
		return
	}
	c.shadow.Reconfigure(old, next, rules.settings)
}

// addBudget credits the decision module's calls since the last credit to the shadow evaluation.
func (c *canaryRun) addBudget() {
	c.shadow.AddBudget(c.uncreditedCalls)
	c.uncreditedCalls = 0
}

// flush returns the counter calls for pending units. Units are pending until a later request of
// their key sends them, or until flush does.
func (c *canaryRun) flush(now time.Duration) []canary.Call {
	if c.shadow == nil {
		return nil
	}
	c.addBudget()
	return c.shadow.Flush(now)
}

// handleRequest evaluates a request if its customer is sampled. It returns the counter calls to
// make for it.
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

// recordActual records the actual outcome of a sampled request, unless the canary has ended since.
func (c *canaryRun) recordActual(version uint64, units float64, forwarded bool) {
	if c.shadow != nil {
		c.shadow.RecordActual(version, units, forwarded)
	}
}

// report passes the canary's observations to add.
func (c *canaryRun) report(add func(name string, n uint64)) {
	if c.shadow != nil {
		c.shadow.Report(add)
	}
}

// sendCanaryCalls sends the canary's calls to the counter. Answers that arrive after the end of the
// canary cause no further calls. mu must be held.
func (e *Enforcer) sendCanaryCalls(calls []canary.Call) {
	shadow := e.canary.shadow
	for _, call := range calls {
		e.dispatcher.CallCounter(call.Name, call.Units, call.TTL, func(count float64, outcome policy.Outcome) {
			e.mu.Lock()
			defer e.mu.Unlock()
			followUps := shadow.HandleCount(e.dispatcher.Now(), call.ID, count, outcome == policy.Answered)
			if shadow == e.canary.shadow {
				e.sendCanaryCalls(followUps)
			}
		})
	}
}
