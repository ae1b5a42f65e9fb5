package countingrule

import (
	"fmt"
	"math/bits"
	"slices"
)

// Bounds of a rule's values.
const (
	unitWeightPermille  = PermilleScale // one weighted unit per unit
	maxWeightPermille   = 100_000       // 100 weighted units per unit
	minMaskBits         = 5             // set bits; fewer bits form too few groups to sample
	limitUpperBound     = 1e12          // exclusive, of a rate in units per second and of a burst in units
	maxRules            = 32            // rules in a file
	maxGroupedCustomers = 10_000        // customers listed in a rule; every process stores the table
)

// everyPlan in a limit means all plans that no other limit names.
const everyPlan = "*"

// The parts that a key may consist of.
const (
	partCustomer = "customer"
	partGroup    = "group"
	partPlan     = "plan"
	partClass    = "lane"
)

// keyParts lists the parts that a key may consist of, in the order in which they are hashed.
var keyParts = [...]string{partCustomer, partGroup, partPlan, partClass}

// faultList collects one error for each fault in a file.
type faultList []error

func (f *faultList) add(format string, args ...any) { *f = append(*f, fmt.Errorf(format, args...)) }

// Check returns an error for each fault in the configuration. The error names the key in the file
// and the allowed values.
func (c *Config) Check() []error {
	var faults faultList
	if len(c.Rules) > maxRules {
		faults.add("counting.rule must be at most %d rules, not %d", maxRules, len(c.Rules))
	}
	versions := map[uint64]bool{0: true}
	for i, rule := range c.Rules {
		prefix := fmt.Sprintf("counting.rule.%d.", i+1)
		if versions[rule.Version] {
			faults.add("%sversion must be 1 or more and no other rule's, not %d", prefix, rule.Version)
		}
		versions[rule.Version] = true
		for _, fault := range rule.validate() {
			faults.add("%s%w", prefix, fault)
		}
	}
	if !versions[c.DesiredVersion] {
		faults.add("counting.try must be 0 or the version of a rule in the file, not %d", c.DesiredVersion)
	}
	if len(c.Rules) == 0 && c.Canary == (CanaryConfig{}) {
		return faults // no rules, so no trials to configure
	}
	return append(faults, c.Canary.validate()...)
}

// validate returns an error for each fault in the rule that does not depend on other rules.
func (r *Rule) validate() []error {
	var faults faultList
	inKey := r.validateKey(&faults)
	r.validateGroups(&faults, inKey[partGroup])
	r.validateWeights(&faults)
	r.validateLimits(&faults, inKey[partCustomer] || inKey[partPlan])
	return faults
}

// validateKey checks the key and returns the set of its parts.
func (r *Rule) validateKey(faults *faultList) (inKey map[string]bool) {
	inKey = map[string]bool{}
	for _, part := range r.Key {
		if !slices.Contains(keyParts[:], part) || inKey[part] {
			faults.add("key must be customer, group, plan and lane, each at most once, not %q", part)
		}
		inKey[part] = true
	}
	if !inKey[partCustomer] && !inKey[partGroup] {
		faults.add("key must hold customer or group: what all customers share cannot be tried on a part of them")
	}
	return inKey
}

// validateGroups checks the groups and the mask. keyHasGroup says whether the key contains the
// group.
func (r *Rule) validateGroups(faults *faultList, keyHasGroup bool) {
	if keyHasGroup != (len(r.Groups) > 0 || r.Mask != 0) {
		faults.add("key must hold group where there are groups or a mask, and only there")
	}
	if len(r.Groups) > 0 && r.Mask != 0 {
		faults.add("mask must be left out where groups are listed")
	}
	if r.Mask != 0 && bits.OnesCount64(r.Mask) < minMaskBits {
		faults.add("mask must have %d bits or more, not %#x", minMaskBits, r.Mask)
	}
	names := map[string]bool{}
	customers := map[uint64]bool{}
	for _, group := range r.Groups {
		if group.Name == "" || names[group.Name] || len(group.Customers) == 0 {
			faults.add("group must have a name that no other has and a customer, not %q", group.Name)
		}
		names[group.Name] = true
		for _, customer := range group.Customers {
			if customers[customer] {
				faults.add("group %q must hold no customer of another, or twice: %d", group.Name, customer)
			}
			customers[customer] = true
		}
	}
	if len(customers) > maxGroupedCustomers {
		faults.add("group must hold at most %d customers in all, not %d", maxGroupedCustomers, len(customers))
	}
}

// validateWeights checks the weights of traffic classes.
func (r *Rule) validateWeights(faults *faultList) {
	classes := map[string]bool{}
	for _, weight := range r.Weights {
		isNamedOnce := weight.Class != "" && !classes[weight.Class]
		isInRange := weight.Permille >= 1 && weight.Permille <= maxWeightPermille
		if !isNamedOnce || !isInRange {
			faults.add("weight must name a lane once, with thousandths from 1 to %d, not %q with %d", maxWeightPermille,
				weight.Class, weight.Permille)
		}
		classes[weight.Class] = true
	}
}

// validateLimits checks the limits. countsPerPlan is true if requests of different plans never
// share a count. If it is false, the rule must have one limit for all plans.
func (r *Rule) validateLimits(faults *faultList, countsPerPlan bool) {
	plans := map[string]bool{}
	for _, limit := range r.Limits {
		isNamedOnce := limit.Plan != "" && !plans[limit.Plan]
		if !isNamedOnce || !isValidLimit(limit.Rate) || !isValidLimit(limit.Burst) {
			faults.add("limit must name a plan once (or \"*\"), with rate and burst above 0, not %q with %v and %v",
				limit.Plan, limit.Rate, limit.Burst)
		}
		plans[limit.Plan] = true
	}
	if !countsPerPlan && (len(plans) != 1 || !plans[everyPlan]) {
		faults.add("limit must be one, for plan \"*\", where tasks of several plans share a count")
	}
}

// isValidLimit reports whether a value is a valid rate or burst. It returns false for NaN.
func isValidLimit(value float64) bool { return value > 0 && value < limitUpperBound }
