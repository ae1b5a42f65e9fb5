// Package countingrule decides which counter key a request is charged to, and with what weight: it
// holds the versioned rules, the replicated table that names the version in force, and the versions
// that a process must assume while it cannot know. Package enforce calls it for each request,
// package canary for each trial. It is free of I/O and clocks: the same table, time and request
// give the same key.
package countingrule

import (
	"fmt"
	"slices"
)

// Config is the operators' configuration of counting rules, the table [counting] of their file.
type Config struct {
	// DesiredVersion is the version that is to be in force; 0 is the built-in rule, a count for
	// each customer.
	DesiredVersion uint64       `toml:"try"`
	Rules          []Rule       `toml:"rule"` // a version never changes its meaning
	Canary         CanaryConfig `toml:"canary"`
}

// Rule is one version of the counting rule. Version 0, which no file holds, is the built-in rule: a
// count for each customer.
type Rule struct {
	Version uint64   `toml:"version" cbor:"1,keyasint"` // from 1
	Key     []string `toml:"key" cbor:"2,keyasint"`     // parts that a request's key is made of: keyParts
	Groups  []Group  `toml:"group" cbor:"3,keyasint"`   // a customer in none of them is a group of its own
	// Mask makes groups in place of a list: customers whose numbers agree in these bits share a
	// count.
	Mask    uint64   `toml:"mask" cbor:"4,keyasint"`
	Weights []Weight `toml:"weight" cbor:"5,keyasint"` // a class that is not named weighs unitWeight
	Limits  []Limit  `toml:"limit" cbor:"6,keyasint"`  // a plan that is not named keeps its own rate and burst
}

// Equal tells whether two rules mean the same.
func (r Rule) Equal(other Rule) bool { return fmt.Sprintf("%v", r) == fmt.Sprintf("%v", other) }

// IsPerCustomer tells whether each of the rule's counts is one customer's.
func (r Rule) IsPerCustomer() bool { return r.Version == 0 || slices.Contains(r.Key, partCustomer) }

// Group is a group of customers that share a count.
type Group struct {
	Name      string   `toml:"name" cbor:"1,keyasint"`
	Customers []uint64 `toml:"customers" cbor:"2,keyasint"`
}

// Weight is what a unit of a class's requests counts.
type Weight struct {
	Class    string `toml:"lane" cbor:"1,keyasint"`
	Permille uint64 `toml:"thousandths" cbor:"2,keyasint"` // 1 to maxWeight
}

// Limit is the quota of a count.
type Limit struct {
	Plan  string  `toml:"plan" cbor:"1,keyasint"`  // everyPlan, or a plan's name
	Rate  float64 `toml:"rate" cbor:"2,keyasint"`  // weighted units a second
	Burst float64 `toml:"burst" cbor:"3,keyasint"` // weighted units that may be used at once
}
