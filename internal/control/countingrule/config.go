// Package countingrule says which counter key a request is charged to, and with what weight: versioned rules, the
// replicated table that says which version is in force from which moment on, and which versions a process must assume
// while it cannot know. It is free of I/O and clocks: the same table, time and request give the same key.
package countingrule

import (
	"fmt"
	"slices"
)

// Config is the operators' configuration of counting rules, the table [counting] of their file.
type Config struct {
	// DesiredVersion is the version that is to be in force; 0 is the built-in rule, a count for each customer.
	DesiredVersion uint64       `toml:"try"`
	Rules          []Rule       `toml:"rule"` // the versions that the file knows; a version never changes its meaning
	Canary         CanaryConfig `toml:"canary"`
}

// Rule is one version of the counting rule. Version 0, which no file holds, is the built-in rule: a count for each
// customer.
type Rule struct {
	Version uint64   `toml:"version" cbor:"1,keyasint"` // from 1
	Key     []string `toml:"key" cbor:"2,keyasint"`     // what a count is one of: keyParts
	Groups  []Group  `toml:"group" cbor:"3,keyasint"`   // a customer in none of them is a group of its own
	// Mask makes groups in place of a list: customers whose numbers are alike in these bits.
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

// CanaryConfig says how a new rule is tried beside the one in force, and when it is refused. It is stored in the table
// under the keys of its cbor tags.
type CanaryConfig struct {
	SamplePermille  uint64 `toml:"sample" cbor:"Sample"`        // of the keys, evaluated by both rules
	CallsPermille   uint64 `toml:"calls" cbor:"Calls"`          // of all gateways' calls to the counter, spent on it
	DeadlineSeconds uint64 `toml:"deadline_s" cbor:"DeadlineS"` // what is undecided by then is refused
	// ErrorPermille is the chance that a harmful rule is taken, and that a harmless one is refused by its figures,
	// whenever they are examined.
	ErrorPermille uint64 `toml:"wrong" cbor:"WrongThousandths"`

	// The bounds, each a part of the units requested by a key, in the mean over keys.

	RejectedPermille  uint64 `toml:"rejected" cbor:"Rejected"` // admitted by the old rule alone
	AdmittedPermille  uint64 `toml:"let_in" cbor:"LetIn"`      // admitted by the new rule alone
	OverLimitPermille uint64 `toml:"beyond" cbor:"Beyond"`     // admitted by the new rule beyond its own limit

	DeviationPermille uint64 `toml:"leave" cbor:"Leave"`    // by which the admitted part may differ from its forecast
	WatchSeconds      uint64 `toml:"watch_s" cbor:"WatchS"` // after a switch in which a deviation rolls it back
	LeadMillis        uint64 `toml:"lead_ms" cbor:"LeadMS"` // from the entry to the switch, beside lease and waits
}
