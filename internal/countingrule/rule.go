// Package counting says under which count of the counter a task falls, and with what weight: rules in versions, the
// table that says which one is in force from which moment on, and what a process goes by that cannot know. It is free
// of I/O and clocks: the same table, time and task give the same count.
package countingrule

import (
	"fmt"
	"math/bits"
	"slices"
)

// Config are the operators' own for counting rules, the file's table [counting].
type Config struct {
	DesiredVersion uint64       `toml:"try"`  // the version that is to be in force; 0: today's rule
	Rules          []Rule       `toml:"rule"` // the versions that the file knows; a version never changes its meaning
	Canary         CanaryConfig `toml:"canary"`
}

// Rule is one version. Version 0, which no file holds, is today's rule: a count for each customer.
type Rule struct {
	Version uint64   `toml:"version" cbor:"1,keyasint"` // from 1
	Key     []string `toml:"key" cbor:"2,keyasint"`     // what a count is one of: "customer", "group", "plan", "lane"
	Groups  []Group  `toml:"group" cbor:"3,keyasint"`   // a customer in none of them is a group of its own
	// Mask makes groups in place of a list: customers alike in these bits of their numbers.
	Mask    uint64   `toml:"mask" cbor:"4,keyasint"`
	Weights []Weight `toml:"weight" cbor:"5,keyasint"` // a lane that is not named weighs 1000
	Limits  []Limit  `toml:"limit" cbor:"6,keyasint"`  // a plan that is not named keeps its own rate and burst
}

// Group is a group of customers.
type Group struct {
	Name      string   `toml:"name" cbor:"1,keyasint"`
	Customers []uint64 `toml:"customers" cbor:"2,keyasint"`
}

// Weight is what a unit of a lane's tasks counts.
type Weight struct {
	Class    string `toml:"lane" cbor:"1,keyasint"`
	Permille uint64 `toml:"thousandths" cbor:"2,keyasint"` // 1 to 100,000
}

// Limit is the quota of a count.
type Limit struct {
	Plan  string  `toml:"plan" cbor:"1,keyasint"`  // "*": every plan
	Rate  float64 `toml:"rate" cbor:"2,keyasint"`  // weighted units a second
	Burst float64 `toml:"burst" cbor:"3,keyasint"` // weighted units that may be used at once
}

// CanaryConfig is how a new rule is tried and when it is not taken.
type CanaryConfig struct {
	SamplePermille  uint64 `toml:"sample" cbor:"Sample"`        // thousandths of the keys that are played
	CallsPermille   uint64 `toml:"calls" cbor:"Calls"`          // thousandths of the fleet's calls to the counter that may be spent
	DeadlineSeconds uint64 `toml:"deadline_s" cbor:"DeadlineS"` // seconds; what is undecided by then is refused
	// ErrorPermille is the chance, in thousandths, that a harmful rule is taken, and that a harmless one is
	// refused by its figures, whenever they are looked at.
	ErrorPermille uint64 `toml:"wrong" cbor:"WrongThousandths"`
	// The bounds, each in thousandths of the units asked by a key, in the mean over keys.
	RejectedPermille  uint64 `toml:"rejected" cbor:"Rejected"` // let in by the old rule alone
	AdmittedPermille  uint64 `toml:"let_in" cbor:"LetIn"`      // let in by the new rule alone
	OverLimitPermille uint64 `toml:"beyond" cbor:"Beyond"`     // let in by the new rule beyond its own limit
	DeviationPermille uint64 `toml:"leave" cbor:"Leave"`       // thousandths that the part let in may differ from what was foretold
	WatchSeconds      uint64 `toml:"watch_s" cbor:"WatchS"`    // seconds after an activation in which that undoes it
	LeadMillis        uint64 `toml:"lead_ms" cbor:"LeadMS"`    // from the entry to the edge, beside lease and waits
}

const (
	unitWeight          = 1000    // thousandths: a unit counts as one
	maxWeight           = 100_000 // a hundredfold: more is a slip of the pen
	minMaskBits         = 5       // bits of a mask: fewer than 32 groups cannot be sampled
	maxSample           = 80      // thousandths: more cannot be played within callsMost
	callsPerSample      = 3       // a played task asks the counter 4 times, the module 1.3 times for any task
	maxCalls            = 250     // thousandths: a quarter of the fleet's calls is the most that a trial is worth
	minDeadline         = 120     // seconds: shorter, the keys cannot be looked at one after the other
	maxDeadline         = 86_400  // a day
	maxError            = 200     // thousandths: more is no test
	maxBound            = 500     // thousandths
	maxLead             = 600_000 // milliseconds
	maxRules            = 32      // in a file and in the table: a version long gone is taken out
	maxGroupedCustomers = 10_000  // customers named in one rule: the table is held by every process
)

// keyParts are what a key may be made of, in the order in which they are hashed.
var keyParts = []string{"customer", "group", "plan", "lane"}

// Check gives all that is wrong with the terms, each with key and what is allowed.
func (c *Config) Check() (faults []error) {
	report := func(key, format string, args ...any) {
		faults = append(faults, fmt.Errorf("counting."+key+" "+format, args...))
	}
	checkRange := func(key string, value, low, high uint64) {
		if value < low || value > high {
			report(key, "must be from %d to %d, not %d", low, high, value)
		}
	}
	if len(c.Rules) > maxRules {
		report("rule", "must be at most %d rules, not %d", maxRules, len(c.Rules))
	}
	versions := map[uint64]bool{0: true}
	for i, rule := range c.Rules {
		prefix := fmt.Sprintf("rule.%d.", i+1)
		if versions[rule.Version] {
			report(prefix+"version", "must be 1 or more and no other rule's, not %d", rule.Version)
		}
		versions[rule.Version] = true
		for _, fault := range rule.validate() {
			faults = append(faults, fmt.Errorf("counting.%s%w", prefix, fault))
		}
	}
	if !versions[c.DesiredVersion] {
		report("try", "must be 0 or the version of a rule in the file, not %d", c.DesiredVersion)
	}
	canary := &c.Canary
	if len(c.Rules) == 0 && *canary == (CanaryConfig{}) {
		return faults // nothing to try
	}
	checkRange("canary.sample", canary.SamplePermille, 1, maxSample)
	checkRange("canary.calls", canary.CallsPermille, 1, maxCalls)
	if canary.CallsPermille < callsPerSample*canary.SamplePermille {
		report("canary.calls",
			"must be %d times canary.sample or more, %d, not %d: else tasks are played"+
				" without a total and no rule is taken", callsPerSample, callsPerSample*canary.SamplePermille, canary.CallsPermille)
	}
	checkRange("canary.deadline_s", canary.DeadlineSeconds, minDeadline, maxDeadline)
	checkRange("canary.wrong", canary.ErrorPermille, 1, maxError)
	checkRange("canary.rejected", canary.RejectedPermille, 1, maxBound)
	checkRange("canary.let_in", canary.AdmittedPermille, 1, maxBound)
	checkRange("canary.beyond", canary.OverLimitPermille, 1, maxBound)
	checkRange("canary.leave", canary.DeviationPermille, 1, maxBound)
	checkRange("canary.watch_s", canary.WatchSeconds, 1, maxDeadline)
	checkRange("canary.lead_ms", canary.LeadMillis, 0, maxLead)
	return faults
}

// validate gives what is wrong with a rule by itself.
func (r *Rule) validate() (faults []error) {
	report := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	inKey := map[string]bool{}
	for _, part := range r.Key {
		if !slices.Contains(keyParts, part) || inKey[part] {
			report("key must be customer, group, plan and lane, each at most once, not %q", part)
		}
		inKey[part] = true
	}
	if !inKey["customer"] && !inKey["group"] {
		report("key must hold customer or group: what all customers share cannot be tried on a part of them")
	}
	if inKey["group"] != (len(r.Groups) > 0 || r.Mask != 0) {
		report("key must hold group where there are groups or a mask, and only there")
	}
	if len(r.Groups) > 0 && r.Mask != 0 {
		report("mask must be left out where groups are listed")
	}
	if r.Mask != 0 && bits.OnesCount64(r.Mask) < minMaskBits {
		report("mask must have %d bits or more, not %#x", minMaskBits, r.Mask)
	}
	names, customers := map[string]bool{}, map[uint64]bool{}
	for _, group := range r.Groups {
		if group.Name == "" || names[group.Name] || len(group.Customers) == 0 {
			report("group must have a name that no other has and a customer, not %q", group.Name)
		}
		names[group.Name] = true
		for _, customer := range group.Customers {
			if customers[customer] {
				report("group %q must hold no customer of another, or twice: %d", group.Name, customer)
			}
			customers[customer] = true
		}
	}
	if len(customers) > maxGroupedCustomers {
		report("group must hold at most %d customers in all, not %d", maxGroupedCustomers, len(customers))
	}
	classes, plans := map[string]bool{}, map[string]bool{}
	for _, classWeight := range r.Weights {
		if classWeight.Class == "" || classes[classWeight.Class] || classWeight.Permille < 1 || classWeight.Permille > maxWeight {
			report("weight must name a lane once, with thousandths from 1 to %d, not %q with %d", maxWeight, classWeight.Class,
				classWeight.Permille)
		}
		classes[classWeight.Class] = true
	}
	for _, limit := range r.Limits {
		if limit.Plan == "" || plans[limit.Plan] || !(limit.Rate > 0 && limit.Rate < 1e12) || !(limit.Burst > 0 && limit.Burst < 1e12) {
			report("limit must name a plan once (or \"*\"), with rate and burst above 0, not %q with %v and %v", limit.Plan,
				limit.Rate, limit.Burst)
		}
		plans[limit.Plan] = true
	}
	if !inKey["customer"] && !inKey["plan"] && !(len(plans) == 1 && plans["*"]) {
		report("limit must be one, for plan \"*\", where tasks of several plans share a count")
	}
	return faults
}

// Equal tells whether two rules mean the same.
func (rule Rule) Equal(other Rule) bool { return fmt.Sprintf("%v", rule) == fmt.Sprintf("%v", other) }
