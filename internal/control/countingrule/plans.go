package countingrule

import (
	"slices"
	"strconv"
	"strings"

	"harrierhoist/policy"
)

// The limits of a rule are passed to the decision module as additional plans, appended to those of
// the settings. No plan name in the settings contains the separator, so no client can request a
// rule's plan.
const (
	planNameSeparator = "\x1f"
	rulePlanPrefix    = "rule" + planNameSeparator
	decimalBase       = 10 // base of the version in a plan's name
)

// rulePlanName returns the name of the plan that a rule's version adds for a plan of the settings.
func rulePlanName(version uint64, plan string) string {
	return rulePlanPrefix + strconv.FormatUint(version, decimalBase) + planNameSeparator + plan
}

// WithRulePlans returns the settings with the rules' plans appended: one for each pair of a rule
// and a plan that has a rate. Rule 0 adds none. The settings that were passed in are not modified.
func WithRulePlans(settings policy.Settings, rules []Rule) policy.Settings {
	plans := slices.Clone(settings.Plans)
	for _, rule := range rules {
		for _, plan := range settings.Plans {
			if plan.Rate <= 0 || rule.Version == 0 {
				continue
			}
			if limit, ok := rule.limitFor(plan.Name); ok {
				plan.Rate = limit.Rate
				plan.Burst = limit.Burst
			}
			plan.Name = rulePlanName(rule.Version, plan.Name)
			plans = append(plans, plan)
		}
	}
	settings.Plans = plans
	return settings
}

// limitFor returns the limit of a plan under the rule: the one that names the plan, else the one
// for everyPlan. It returns false if there is neither; the plan then keeps its own rate and burst.
func (r *Rule) limitFor(plan string) (Limit, bool) {
	if limit, ok := r.lastLimit(plan); ok {
		return limit, true
	}
	return r.lastLimit(everyPlan)
}

// lastLimit returns the last limit that names a plan, and false if there is none.
func (r *Rule) lastLimit(plan string) (Limit, bool) {
	for _, limit := range slices.Backward(r.Limits) {
		if limit.Plan == plan {
			return limit, true
		}
	}
	return Limit{}, false
}

// ClientSettings returns the settings that clients may see, in which the rules' plans are retired.
func ClientSettings(settings policy.Settings) policy.Settings {
	settings.Plans = slices.Clone(settings.Plans)
	for i := range settings.Plans {
		plan := &settings.Plans[i]
		plan.Retired = plan.Retired || strings.HasPrefix(plan.Name, rulePlanPrefix)
	}
	return settings
}
