// Package countingrule decides which counter key a request is charged to, and with what weight. It
// defines the versioned rules and the replicated table that names the version in force. While a
// process cannot be certain of that version, the package lists the candidates. Package enforce
// applies the rules to requests; package canary evaluates new rules in trials.
//
// The package does no I/O and reads no clock: the same table, time and request always map to the
// same key.
package countingrule

import (
	"fmt"
	"slices"
)

// Config is the counting section of the operators' configuration file.
type Config struct {
	// DesiredVersion is the version that operators want in force. 0 is the built-in rule, which
	// counts each customer separately.
	DesiredVersion uint64       `toml:"try"`
	Rules          []Rule       `toml:"rule"` // the rule of a version must not change
	Canary         CanaryConfig `toml:"canary"`
}

// versions returns the versions that may come into force by this configuration: rule 0, the one that
// operators want, and all that it defines. It may contain a version more than once.
func (c *Config) versions() []uint64 {
	versions := []uint64{0, c.DesiredVersion}
	for _, rule := range c.Rules {
		versions = append(versions, rule.Version)
	}
	return versions
}

// Rule is one version of the counting rule. The built-in rule is version 0, which a file cannot
// define. It counts each customer separately.
type Rule struct {
	Version uint64   `toml:"version" cbor:"1,keyasint"` // from 1
	Key     []string `toml:"key" cbor:"2,keyasint"`     // parts of a request's key, from keyParts
	Groups  []Group  `toml:"group" cbor:"3,keyasint"`   // a customer in no group forms its own
	// Mask forms groups without a list: customers whose numbers agree in the bits of the mask share
	// a count. 0 means no mask.
	Mask    uint64   `toml:"mask" cbor:"4,keyasint"`
	Weights []Weight `toml:"weight" cbor:"5,keyasint"` // a class that is not listed has unitWeightPermille
	Limits  []Limit  `toml:"limit" cbor:"6,keyasint"`  // a plan that is not listed keeps its own rate and burst
}

// Equal reports whether two rules have the same version and content. Nil and empty lists are equal.
func (r Rule) Equal(other Rule) bool { return fmt.Sprintf("%v", r) == fmt.Sprintf("%v", other) }

// IsPerCustomer reports whether no two customers share a count under the rule.
func (r Rule) IsPerCustomer() bool { return r.Version == 0 || slices.Contains(r.Key, partCustomer) }

// Group is a group of customers that share a count.
type Group struct {
	Name      string   `toml:"name" cbor:"1,keyasint"`
	Customers []uint64 `toml:"customers" cbor:"2,keyasint"`
}

// Weight sets how much one unit of a class's requests adds to a count.
type Weight struct {
	Class    string `toml:"lane" cbor:"1,keyasint"`
	Permille uint64 `toml:"thousandths" cbor:"2,keyasint"` // from 1 to maxWeightPermille
}

// Limit is the rate and burst of a rule's counts for a plan.
type Limit struct {
	Plan  string  `toml:"plan" cbor:"1,keyasint"`  // plan's name, or everyPlan
	Rate  float64 `toml:"rate" cbor:"2,keyasint"`  // weighted units per second
	Burst float64 `toml:"burst" cbor:"3,keyasint"` // weighted units that a full token bucket holds
}
