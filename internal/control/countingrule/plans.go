package countingrule

import (
	"slices"
	"strconv"
	"strings"

	"harrierhoist/policy"
)

// A rule's limits reach the decision module as plans of the rule's own, behind the settings' plans. No name in settings
// holds the separator, so no client can ask for such a plan.
const (
	separator      = "\x1f"
	rulePlanPrefix = "rule" + separator
)

func rulePlanName(version uint64, plan string) string {
	return rulePlanPrefix + strconv.FormatUint(version, 10) + separator + plan
}

// WithRulePlans gives settings with the rules' own plans behind their plans, one for each rule and plan that has a
// rate. With rule 0 alone they are as they were.
func WithRulePlans(settings policy.Settings, rules []Rule) policy.Settings {
	plans := slices.Clone(settings.Plans)
	for _, rule := range rules {
		for _, plan := range settings.Plans {
			if plan.Rate <= 0 || rule.Version == 0 {
				continue
			}
			if limit, ok := rule.limitFor(plan.Name); ok {
				plan.Rate, plan.Burst = limit.Rate, limit.Burst
			}
			plan.Name = rulePlanName(rule.Version, plan.Name)
			plans = append(plans, plan)
		}
	}
	settings.Plans = plans
	return settings
}

// limitFor gives the last limit that names a plan; where none does, the last that names every plan.
func (r *Rule) limitFor(plan string) (found Limit, ok bool) {
	byName := false
	for _, limit := range r.Limits {
		switch {
		case limit.Plan == plan:
			found, ok, byName = limit, true, true
		case limit.Plan == everyPlan && !byName:
			found, ok = limit, true
		}
	}
	return found, ok
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
