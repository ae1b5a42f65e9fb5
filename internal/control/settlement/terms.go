// Package settlement evens out what partners owe each other for requests that ran on another partner's servers. It
// reads the ledger of debts from the replicated log's totals, nets it, ages it, and decides which share of a creditor's
// requests a debtor's servers are to take so that the debt falls.
//
// It does no I/O and reads no clock: the same totals and observations in the same order give the same shares.
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

	// SettleTimeConstant is in seconds: each second that part of a debt is settled, and 1/e of it is left after it.
	SettleTimeConstant float64 `toml:"settle_over_s"`
	// MaxShare is the fraction of a creditor's first attempts of idempotent requests that may be moved.
	MaxShare float64 `toml:"share_most"`
	// MaxMovedRate is in attempts per second, over all pairs: attempts that change zone for settlement.
	MaxMovedRate float64 `toml:"moved_most"`
	// MaxLendFraction is the fraction of what a debtor's zones serve that they may take on for settlement.
	MaxLendFraction float64 `toml:"lend_most"`
	// MaxLossFraction is the fraction of a partner's requests that settlement may make late or lose.
	MaxLossFraction float64 `toml:"loss_most"`
	// MinHeadroom is the fraction of their capacity that the zones of both sides must have left.
	MinHeadroom float64 `toml:"room_least"`
	// MinOnTimeFraction is the fraction of both sides' requests that must be on time before anything is moved.
	MinOnTimeFraction float64 `toml:"well_least"`
	// MinDebt is in units: a smaller net debt is not settled.
	MinDebt float64 `toml:"least"`
	// ForgiveAfter is in seconds: the age at which what is left of a debt is forgiven; 0 means never.
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

// PairRule is what differs from the terms for one pair of partners, whichever of them is the debtor. Fields that are nil
// leave the terms as they are.
type PairRule struct {
	Between      []string `toml:"between"` // two partners' names
	Settle       *bool    `toml:"settle"`
	MaxShare     *float64 `toml:"share_most"`
	ForgiveAfter *float64 `toml:"forgive_after_s"`
}

// DefaultTerms returns the terms that hold where the file does not set them. Reasons and figures: docs/debts.md.
func DefaultTerms() Terms {
	return Terms{
		SettleTimeConstant: 20,
		MaxShare:           0.5,
		MaxMovedRate:       200,
		MaxLendFraction:    0.3,
		MaxLossFraction:    0.005,
		MinHeadroom:        0.2,
		MinOnTimeFraction:  0.9,
		MinDebt:            5,
	}
}

// maxPartners bounds the pairs: they grow with its square, and each is a name in every digest.
const maxPartners = 64

var partnerNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// pairTerms returns what holds between two partners, in either order.
func (t Terms) pairTerms(a, b string) (settle bool, maxShare, forgiveAfter float64) {
	settle, maxShare, forgiveAfter = true, t.MaxShare, t.ForgiveAfter
	for _, rule := range t.Rules {
		if len(rule.Between) != 2 || !slices.Contains(rule.Between, a) || !slices.Contains(rule.Between, b) {
			continue
		}
		if rule.Settle != nil {
			settle = *rule.Settle
		}
		if rule.MaxShare != nil {
			maxShare = *rule.MaxShare
		}
		if rule.ForgiveAfter != nil {
			forgiveAfter = *rule.ForgiveAfter
		}
	}
	return settle, maxShare, forgiveAfter
}

// creditorWeights returns the partners' weights by name.
func (t Terms) creditorWeights() map[string]float64 {
	weights := map[string]float64{}
	for _, p := range t.Partners {
		weights[p.Name] = cmp.Or(p.Weight, 1)
	}
	return weights
}
