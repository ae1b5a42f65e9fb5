// Package counting says under which count of the counter a task falls, and with what weight: rules in versions, the
// table that says which one is in force from which moment on, and what a process goes by that cannot know. It is free
// of I/O and clocks: the same table, time and task give the same count.
package counting

import (
	"fmt"
	"math/bits"
	"slices"
)

// Terms are the operators' own for counting rules, the file's table [counting].
type Terms struct {
	Try    uint64 `toml:"try"`  // the version that is to be in force; 0: today's rule
	Rules  []Rule `toml:"rule"` // the versions that the file knows; a version never changes its meaning
	Canary Trial  `toml:"canary"`
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
	Lane        string `toml:"lane" cbor:"1,keyasint"`
	Thousandths uint64 `toml:"thousandths" cbor:"2,keyasint"` // 1 to 100,000
}

// Limit is the quota of a count.
type Limit struct {
	Plan  string  `toml:"plan" cbor:"1,keyasint"`  // "*": every plan
	Rate  float64 `toml:"rate" cbor:"2,keyasint"`  // weighted units a second
	Burst float64 `toml:"burst" cbor:"3,keyasint"` // weighted units that may be used at once
}

// Trial is how a new rule is tried and when it is not taken.
type Trial struct {
	Sample    uint64 `toml:"sample" cbor:"Sample"`        // thousandths of the keys that are played
	Calls     uint64 `toml:"calls" cbor:"Calls"`          // thousandths of the fleet's calls to the counter that may be spent
	DeadlineS uint64 `toml:"deadline_s" cbor:"DeadlineS"` // seconds; what is undecided by then is refused
	// WrongThousandths is the chance, in thousandths, that a harmful rule is taken, and that a harmless one is
	// refused by its figures, whenever they are looked at.
	WrongThousandths uint64 `toml:"wrong" cbor:"WrongThousandths"`
	// The bounds, each in thousandths of the units asked by a key, in the mean over keys.
	Rejected uint64 `toml:"rejected" cbor:"Rejected"` // let in by the old rule alone
	LetIn    uint64 `toml:"let_in" cbor:"LetIn"`      // let in by the new rule alone
	Beyond   uint64 `toml:"beyond" cbor:"Beyond"`     // let in by the new rule beyond its own limit
	Leave    uint64 `toml:"leave" cbor:"Leave"`       // thousandths that the part let in may differ from what was foretold
	WatchS   uint64 `toml:"watch_s" cbor:"WatchS"`    // seconds after an activation in which that undoes it
	LeadMS   uint64 `toml:"lead_ms" cbor:"LeadMS"`    // from the entry to the edge, beside lease and waits
}

const (
	weightOne    = 1000    // thousandths: a unit counts as one
	weightMost   = 100_000 // a hundredfold: more is a slip of the pen
	maskLeast    = 5       // bits of a mask: fewer than 32 groups cannot be sampled
	sampleMost   = 80      // thousandths: more cannot be played within callsMost
	callsTimes   = 3       // a played task asks the counter 4 times, the module 1.3 times for any task
	callsMost    = 250     // thousandths: a quarter of the fleet's calls is the most that a trial is worth
	deadlineLow  = 120     // seconds: shorter, the keys cannot be looked at one after the other
	deadlineHigh = 86_400  // a day
	wrongMost    = 200     // thousandths: more is no test
	boundMost    = 500     // thousandths
	leadMost     = 600_000 // milliseconds
	rulesMost    = 32      // in a file and in the table: a version long gone is taken out
	groupsMost   = 10_000  // customers named in one rule: the table is held by every process
)

// parts are what a key may be made of, in the order in which they are hashed.
var parts = []string{"customer", "group", "plan", "lane"}

// Check gives all that is wrong with the terms, each with key and what is allowed.
func (t *Terms) Check() (faults []error) {
	fault := func(key, form string, args ...any) {
		faults = append(faults, fmt.Errorf("counting."+key+" "+form, args...))
	}
	within := func(key string, v, least, most uint64) {
		if v < least || v > most {
			fault(key, "must be from %d to %d, not %d", least, most, v)
		}
	}
	if len(t.Rules) > rulesMost {
		fault("rule", "must be at most %d rules, not %d", rulesMost, len(t.Rules))
	}
	seen := map[uint64]bool{0: true}
	for i, r := range t.Rules {
		at := fmt.Sprintf("rule.%d.", i+1)
		if seen[r.Version] {
			fault(at+"version", "must be 1 or more and no other rule's, not %d", r.Version)
		}
		seen[r.Version] = true
		for _, e := range r.check() {
			faults = append(faults, fmt.Errorf("counting.%s%w", at, e))
		}
	}
	if !seen[t.Try] {
		fault("try", "must be 0 or the version of a rule in the file, not %d", t.Try)
	}
	c := &t.Canary
	if len(t.Rules) == 0 && *c == (Trial{}) {
		return faults // nothing to try
	}
	within("canary.sample", c.Sample, 1, sampleMost)
	within("canary.calls", c.Calls, 1, callsMost)
	if c.Calls < callsTimes*c.Sample {
		fault("canary.calls",
			"must be %d times canary.sample or more, %d, not %d: else tasks are played"+
				" without a total and no rule is taken", callsTimes, callsTimes*c.Sample, c.Calls)
	}
	within("canary.deadline_s", c.DeadlineS, deadlineLow, deadlineHigh)
	within("canary.wrong", c.WrongThousandths, 1, wrongMost)
	within("canary.rejected", c.Rejected, 1, boundMost)
	within("canary.let_in", c.LetIn, 1, boundMost)
	within("canary.beyond", c.Beyond, 1, boundMost)
	within("canary.leave", c.Leave, 1, boundMost)
	within("canary.watch_s", c.WatchS, 1, deadlineHigh)
	within("canary.lead_ms", c.LeadMS, 0, leadMost)
	return faults
}

// check gives what is wrong with a rule by itself.
func (r *Rule) check() (faults []error) {
	fault := func(form string, args ...any) { faults = append(faults, fmt.Errorf(form, args...)) }
	has := map[string]bool{}
	for _, k := range r.Key {
		if !slices.Contains(parts, k) || has[k] {
			fault("key must be customer, group, plan and lane, each at most once, not %q", k)
		}
		has[k] = true
	}
	if !has["customer"] && !has["group"] {
		fault("key must hold customer or group: what all customers share cannot be tried on a part of them")
	}
	if has["group"] != (len(r.Groups) > 0 || r.Mask != 0) {
		fault("key must hold group where there are groups or a mask, and only there")
	}
	if len(r.Groups) > 0 && r.Mask != 0 {
		fault("mask must be left out where groups are listed")
	}
	if r.Mask != 0 && bits.OnesCount64(r.Mask) < maskLeast {
		fault("mask must have %d bits or more, not %#x", maskLeast, r.Mask)
	}
	names, customers := map[string]bool{}, map[uint64]bool{}
	for _, g := range r.Groups {
		if g.Name == "" || names[g.Name] || len(g.Customers) == 0 {
			fault("group must have a name that no other has and a customer, not %q", g.Name)
		}
		names[g.Name] = true
		for _, c := range g.Customers {
			if customers[c] {
				fault("group %q must hold no customer of another, or twice: %d", g.Name, c)
			}
			customers[c] = true
		}
	}
	if len(customers) > groupsMost {
		fault("group must hold at most %d customers in all, not %d", groupsMost, len(customers))
	}
	lanes, plans := map[string]bool{}, map[string]bool{}
	for _, w := range r.Weights {
		if w.Lane == "" || lanes[w.Lane] || w.Thousandths < 1 || w.Thousandths > weightMost {
			fault("weight must name a lane once, with thousandths from 1 to %d, not %q with %d", weightMost, w.Lane,
				w.Thousandths)
		}
		lanes[w.Lane] = true
	}
	for _, l := range r.Limits {
		if l.Plan == "" || plans[l.Plan] || !(l.Rate > 0 && l.Rate < 1e12) || !(l.Burst > 0 && l.Burst < 1e12) {
			fault("limit must name a plan once (or \"*\"), with rate and burst above 0, not %q with %v and %v", l.Plan,
				l.Rate, l.Burst)
		}
		plans[l.Plan] = true
	}
	if !has["customer"] && !has["plan"] && !(len(plans) == 1 && plans["*"]) {
		fault("limit must be one, for plan \"*\", where tasks of several plans share a count")
	}
	return faults
}

// Same tells whether two rules mean the same.
func (r Rule) Same(o Rule) bool { return fmt.Sprintf("%v", r) == fmt.Sprintf("%v", o) }
