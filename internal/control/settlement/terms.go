// Package settlement decides which share of a creditor's requests a debtor's servers are to take,
// so that what partners owe each other for requests that ran on another partner's servers evens
// out. The leading voter calls its Controller; gateways read its State by way of package account.
//
// It does no I/O and reads no clock: the same totals and observations in the same order give the
// same shares.
package settlement

import (
	"cmp"
	"regexp"
	"slices"
)

// Terms are the settlement terms of the operators' file. Fractions are from 0 to 1.
type Terms struct {
	On       bool       `toml:"on"`
	Partners []Partner  `toml:"partner"`
	Rules    []PairRule `toml:"rule"`

	// SettleTimeConstant is in seconds: each second this part of a debt is settled, so that 1/e of
	// it is left after that time.
	SettleTimeConstant float64 `toml:"settle_over_s"`
	// MaxShare is the fraction of a creditor's first attempts of idempotent requests that may be
	// moved.
	MaxShare float64 `toml:"share_most"`
	// MaxMovedRate is in attempts per second, over all pairs: attempts that change zone for
	// settlement.
	MaxMovedRate float64 `toml:"moved_most"`
	// MaxLendFraction is the fraction of what a debtor's zones serve that they may take on for
	// settlement.
	MaxLendFraction float64 `toml:"lend_most"`
	// MaxLossFraction is the fraction of a partner's requests that settlement may make late or
	// lose.
	MaxLossFraction float64 `toml:"loss_most"`
	// MinHeadroom is the fraction of their capacity that the zones of both sides must have left.
	MinHeadroom float64 `toml:"room_least"`
	// MinOnTimeFraction is the fraction of both sides' requests that must be on time before
	// anything is moved.
	MinOnTimeFraction float64 `toml:"well_least"`
	// MinDebt is in units: a smaller net debt is not settled.
	MinDebt float64 `toml:"least"`
	// ForgiveAfter is in seconds: the age at which what is left of a debt is forgiven; 0 means
	// never.
	ForgiveAfter float64 `toml:"forgive_after_s"`
}

// Partner owns zones and sends customers' requests.
type Partner struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"halls"` // by name; may be empty
	// Customers are numbers of 16 hex digits, or ranges of two joined by '-', both ends included.
	Customers []string `toml:"customers"`
	Plans     []string `toml:"plans"`  // all customers of these plans whom no partner names one by one
	Weight    float64  `toml:"weight"` // among creditors; 0 means 1
}

// PairRule is what differs from the terms for one pair of partners, whichever of them is the
// debtor. Fields that are nil leave the terms as they are.
type PairRule struct {
	Between      []string `toml:"between"` // two partners' names
	Settle       *bool    `toml:"settle"`
	MaxShare     *float64 `toml:"share_most"`
	ForgiveAfter *float64 `toml:"forgive_after_s"`
}

// Defaults of the terms, in the units of their fields.
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

// DefaultTerms returns the terms that hold where the file does not set them.
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
	maxPartners     = 64 // pairs grow with its square, and each is a name in every digest
	partnersPerRule = 2
)

var partnerNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// pairTerms are the terms between two partners, whichever of them is the debtor.
type pairTerms struct {
	settles      bool
	maxShare     float64 // fraction of the creditor's first attempts of idempotent requests
	forgiveAfter float64 // seconds; 0 means never
}

// forgives reports whether debts are ever forgiven.
func (p pairTerms) forgives() bool { return p.forgiveAfter > 0 }

// forgivenessAge returns the age at which debts are forgiven, in ms as on State.Clock.
func (p pairTerms) forgivenessAge() uint64 { return uint64(p.forgiveAfter * millisPerSecond) }

// between decides which terms hold between two partners: those of the rule for them, else the
// general ones.
func (t Terms) between(pair Pair) pairTerms {
	terms := pairTerms{settles: true, maxShare: t.MaxShare, forgiveAfter: t.ForgiveAfter}
	for _, rule := range t.Rules {
		if !rule.isBetween(pair) {
			continue
		}
		if rule.Settle != nil {
			terms.settles = *rule.Settle
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

// isBetween reports whether a rule is for a pair, in either order.
func (r PairRule) isBetween(pair Pair) bool {
	return len(r.Between) == partnersPerRule &&
		slices.Contains(r.Between, pair.Debtor) && slices.Contains(r.Between, pair.Creditor)
}

// creditorWeights returns the partners' weights by name.
func (t Terms) creditorWeights() map[string]float64 {
	weights := map[string]float64{}
	for _, p := range t.Partners {
		weights[p.Name] = cmp.Or(p.Weight, defaultWeight)
	}
	return weights
}
