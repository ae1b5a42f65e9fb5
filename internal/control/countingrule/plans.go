package countingrule

import (
	"slices"
	"strconv"
	"strings"

	"harrierhoist/policy"
)

// A rule's limits reach the decision module as plans of the rule's own, behind the settings' plans.
// No name in settings holds the separator, so no client can ask for such a plan.
const (
	planNameSeparator = "\x1f"
	rulePlanPrefix    = "rule" + planNameSeparator
	decimalBase       = 10 // of the version in a name
)

func rulePlanName(version uint64, plan string) string {
	return rulePlanPrefix + strconv.FormatUint(version, decimalBase) + planNameSeparator + plan
}

// WithRulePlans gives settings with the rules' own plans behind their plans, one for each rule and
// plan that has a rate. With rule 0 alone they are unchanged.
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

// limitFor decides which limit a plan has under the rule: the one that names it, else the one for
// every plan. It is false where there is neither: the plan keeps its own rate and burst.
func (r *Rule) limitFor(plan string) (Limit, bool) {
	if limit, ok := r.lastLimit(plan); ok {
		return limit, true
	}
	return r.lastLimit(everyPlan)
}

// lastLimit gives the last limit of a name, and false where there is none.
func (r *Rule) lastLimit(plan string) (Limit, bool) {
	for _, limit := range slices.Backward(r.Limits) {
		if limit.Plan == plan {
			return limit, true
		}
	}
	return Limit{}, false
}

// ClientSettings gives settings as clients may know them: the rules' own plans are retired there.
func ClientSettings(settings policy.Settings) policy.Settings {
	settings.Plans = slices.Clone(settings.Plans)
	for i := range settings.Plans {
		plan := &settings.Plans[i]
		plan.Retired = plan.Retired || strings.HasPrefix(plan.Name, rulePlanPrefix)
	}
	return settings
}
