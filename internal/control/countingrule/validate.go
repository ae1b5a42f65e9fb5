package countingrule

import (
	"fmt"
	"math/bits"
	"slices"
)

// Limits of a rule.
const (
	unitWeightPermille  = PermilleScale // a unit counts as one
	maxWeightPermille   = 100_000       // permille
	minMaskBits         = 5             // set bits of a mask: enough groups to sample
	limitUpperBound     = 1e12          // units a second for the rate, units for the burst
	maxRules            = 32            // in a file
	maxGroupedCustomers = 10_000        // in one rule: every process holds the table
)

// everyPlan in a limit stands for each plan that no other limit names.
const everyPlan = "*"

// What a key may be made of.
const (
	partCustomer = "customer"
	partGroup    = "group"
	partPlan     = "plan"
	partClass    = "lane"
)

// keyParts are what a key may be made of, in the order in which they are hashed.
var keyParts = [...]string{partCustomer, partGroup, partPlan, partClass}

// faultList collects what is wrong with a file, an error for each fault.
type faultList []error

func (f *faultList) add(format string, args ...any) { *f = append(*f, fmt.Errorf(format, args...)) }

// Check gives all that is wrong with the configuration: an error for each fault, with its key and
// what is allowed.
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
		return faults // nothing to try
	}
	return append(faults, c.Canary.validate()...)
}

// validate gives what is wrong with a rule by itself.
func (r *Rule) validate() []error {
	var faults faultList
	inKey := r.validateKey(&faults)
	r.validateGroups(&faults, inKey[partGroup])
	r.validateWeights(&faults)
	r.validateLimits(&faults, inKey[partCustomer] || inKey[partPlan])
	return faults
}

// validateKey gives the parts that are in the key.
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

// validateLimits checks the limits. byPlan is true where requests of one plan share a count with no
// other plan's.
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

// isLimit tells whether a value may be a rate or a burst. It is false for NaN, too.
func isValidLimit(value float64) bool { return value > 0 && value < limitUpperBound }
