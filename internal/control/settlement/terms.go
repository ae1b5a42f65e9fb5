// Package settlement evens out the debts between partners. A partner owes another for each request
// that ran on the other's servers. The package decides which share of a creditor's requests goes to
// the servers of a debtor. The leading voter runs the Controller; gateways act on the State through
// package account.
//
// The package does no I/O and reads no clock: the same totals and observations in the same order
// produce the same shares.
package settlement

import (
	"cmp"
	"regexp"
	"slices"
)

// Terms are the settlement terms from the operators' file. Fractions are from 0 to 1.
type Terms struct {
	On       bool       `toml:"on"`
	Partners []Partner  `toml:"partner"`
	Rules    []PairRule `toml:"rule"`

	// SettleTimeConstant is in seconds. The rate of settlement per second is the debt divided by
	// this constant, so that 1/e of the debt is left after that time.
	SettleTimeConstant float64 `toml:"settle_over_s"`
	// MaxShare is the maximum fraction of a creditor's first attempts of idempotent requests that
	// settlement moves.
	MaxShare float64 `toml:"share_most"`
	// MaxMovedRate is the maximum rate, in attempts per second over all pairs, at which settlement
	// moves attempts to another zone.
	MaxMovedRate float64 `toml:"moved_most"`
	// MaxLendFraction is the maximum load that a debtor's zones take on for settlement, as a
	// fraction of the units that they serve.
	MaxLendFraction float64 `toml:"lend_most"`
	// MaxLossFraction is the maximum fraction of a partner's requests that settlement may make late
	// or lose.
	MaxLossFraction float64 `toml:"loss_most"`
	// MinHeadroom is the fraction of their capacity that the zones of both partners must have to
	// spare.
	MinHeadroom float64 `toml:"room_least"`
	// MinOnTimeFraction is the fraction of each partner's requests that must be on time before
	// settlement moves any.
	MinOnTimeFraction float64 `toml:"well_least"`
	// MinDebt is in units. Smaller net debts are not settled.
	MinDebt float64 `toml:"least"`
	// ForgiveAfter is the age in seconds at which a debt is forgiven; 0 means never.
	ForgiveAfter float64 `toml:"forgive_after_s"`
}

// Partner is a party to settlements. It owns zones, customers or both.
type Partner struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"halls"` // names; may be empty
	// Customers are customer numbers of 16 hex digits, or ranges of two numbers joined by '-' with
	// both ends included.
	Customers []string `toml:"customers"`
	Plans     []string `toml:"plans"`  // plans whose customers belong to the partner unless a partner lists them
	Weight    float64  `toml:"weight"` // weight relative to other creditors; 0 means 1
}

// PairRule overrides terms for one pair of partners, regardless of which is the debtor. A nil field
// leaves the general term in force.
type PairRule struct {
	PartnerNames []string `toml:"between"` // names of the two partners
	Settle       *bool    `toml:"settle"`
	MaxShare     *float64 `toml:"share_most"`
	ForgiveAfter *float64 `toml:"forgive_after_s"`
}

// Default values of the fields of Terms, in the units of the fields.
const (
	defaultSettleTimeConstant = 20
	defaultMaxShare           = 0.5
	defaultMaxMovedRate       = 200
	defaultMaxLendFraction    = 0.3
	defaultMaxLossFraction    = 0.005
	defaultMinHeadroom        = 0.2
	defaultMinOnTimeFraction  = 0.9
	defaultMinDebt            = 5
	defaultWeight             = 1
)

// DefaultTerms returns the values of settings that the operators' file omits.
func DefaultTerms() Terms {
	return Terms{
		SettleTimeConstant: defaultSettleTimeConstant,
		MaxShare:           defaultMaxShare,
		MaxMovedRate:       defaultMaxMovedRate,
		MaxLendFraction:    defaultMaxLendFraction,
		MaxLossFraction:    defaultMaxLossFraction,
		MinHeadroom:        defaultMinHeadroom,
		MinOnTimeFraction:  defaultMinOnTimeFraction,
		MinDebt:            defaultMinDebt,
	}
}

const (
	minPartners     = 2
	maxPartners     = 64 // the number of pairs grows with its square, and each pair adds a count to digests
	partnersPerRule = 2
)

var partnerNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// pairTerms are the terms that apply to two partners, regardless of which is the debtor.
type pairTerms struct {
	settlesDebts bool
	maxShare     float64 // maximum fraction of the creditor's first attempts of idempotent requests
	forgiveAfter float64 // seconds; 0 means never
}

// forgives reports whether debts are forgiven once they reach forgivenessAge.
func (p pairTerms) forgives() bool { return p.forgiveAfter > 0 }

// forgivenessAge returns the age at which debts are forgiven, in ms, the unit of State.Clock. 0
// means never.
func (p pairTerms) forgivenessAge() uint64 { return uint64(p.forgiveAfter * millisPerSecond) }

// termsFor returns the terms that apply to a pair: the general terms, overridden by the rule for
// the pair if there is one.
func (t Terms) termsFor(pair Pair) pairTerms {
	terms := pairTerms{settlesDebts: true, maxShare: t.MaxShare, forgiveAfter: t.ForgiveAfter}
	for _, rule := range t.Rules {
		if !rule.appliesTo(pair) {
			continue
		}
		if rule.Settle != nil {
			terms.settlesDebts = *rule.Settle
		}
		if rule.MaxShare != nil {
			terms.maxShare = *rule.MaxShare
		}
		if rule.ForgiveAfter != nil {
			terms.forgiveAfter = *rule.ForgiveAfter
		}
	}
	return terms
}

// appliesTo reports whether the rule names both partners of a pair, in either order.
func (r PairRule) appliesTo(pair Pair) bool {
	return len(r.PartnerNames) == partnersPerRule &&
		slices.Contains(r.PartnerNames, pair.Debtor) && slices.Contains(r.PartnerNames, pair.Creditor)
}

// creditorWeights returns the weight of each partner by name.
func (t Terms) creditorWeights() map[string]float64 {
	weights := map[string]float64{}
	for _, p := range t.Partners {
		weights[p.Name] = cmp.Or(p.Weight, defaultWeight)
	}
	return weights
}
