// Package debts says who owes whom for tasks that ran on another's servers, and by which shares that is settled. It
// knows no sockets, no disk and no clock: the same totals and evidence in the same order give the same shares.
package settlement

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Terms are what the operators' file says of debts. Times are in seconds.
type Terms struct {
	On       bool       `toml:"on"`
	Partners []Partner  `toml:"partner"`
	Rules    []PairRule `toml:"rule"`

	SettleTimeConstant float64 `toml:"settle_over_s"`   // a debt is settled at this part of it a second: 1/e stands after it
	MaxShare           float64 `toml:"share_most"`      // part of a creditor's first pushes of pure tasks that is moved
	MaxMovedRate       float64 `toml:"moved_most"`      // pushes a second between halls made to settle, in all
	MaxLendFraction    float64 `toml:"lend_most"`       // part of what a debtor's halls serve that they take on to settle
	MaxLossFraction    float64 `toml:"loss_most"`       // part of a partner's tasks that may be late or lost for it
	MinHeadroom        float64 `toml:"room_least"`      // part of their strength that both sides' halls must have left
	MinOnTimeFraction  float64 `toml:"well_least"`      // part of both sides' tasks in time before anything is moved
	MinDebt            float64 `toml:"least"`           // units; a smaller net debt is left alone
	ForgiveAfter       float64 `toml:"forgive_after_s"` // age at which what is left of a debt is forgiven; 0: never
}

// Partner brings halls and sends customers' tasks.
type Partner struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"halls"` // by name; a partner may have none
	// Customers are 16 hex digits each, or two joined by '-': from the first to the last.
	Customers []string `toml:"customers"`
	Plans     []string `toml:"plans"`  // all of their customers that no partner names one by one
	Weight    float64  `toml:"weight"` // among creditors; 0: 1
}

// PairRule is what differs for one pair of partners, whoever of them owes.
type PairRule struct {
	Between      []string `toml:"between"`
	Settle       *bool    `toml:"settle"`
	MaxShare     *float64 `toml:"share_most"`
	ForgiveAfter *float64 `toml:"forgive_after_s"`
}

// DefaultTerms gives the terms that stand where the file says nothing. Reasons and figures: docs/debts.md.
func DefaultTerms() Terms {
	return Terms{SettleTimeConstant: 20, MaxShare: 0.5, MaxMovedRate: 200, MaxLendFraction: 0.3, MaxLossFraction: 0.005, MinHeadroom: 0.2,
		MinOnTimeFraction: 0.9, MinDebt: 5}
}

const (
	maxPartners  = 64 // pairs grow with the square, and each is a name in every digest
	customerBits = 33 // of a customer's number, as clients send it
)

var partnerNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// Check gives all that is wrong with the terms, each with its key and what is allowed. Terms that are off are not read.
func (terms Terms) Check() []error {
	if !terms.On {
		return nil
	}
	var faults []error
	refuse := func(key, constraint string, value any) {
		faults = append(faults, fmt.Errorf("%s: %s, not %v", key, constraint, value))
	}
	checkRange := func(key string, value, from, to float64) {
		if !(value >= from && value <= to) {
			refuse(key, fmt.Sprintf("from %v to %v", from, to), value)
		}
	}
	checkRange("settle_over_s", terms.SettleTimeConstant, 5, 86400)
	checkRange("share_most", terms.MaxShare, 0, 0.9)
	checkRange("moved_most", terms.MaxMovedRate, 0, 1e6)
	checkRange("lend_most", terms.MaxLendFraction, 0, 1)
	checkRange("loss_most", terms.MaxLossFraction, 0.0001, 0.1)
	checkRange("room_least", terms.MinHeadroom, 0.05, 0.9)
	checkRange("well_least", terms.MinOnTimeFraction, 0.5, 1)
	checkRange("least", terms.MinDebt, 0.001, 1e9)
	if terms.ForgiveAfter != 0 {
		checkRange("forgive_after_s", terms.ForgiveAfter, 60, 1e9)
	}
	if n := len(terms.Partners); n < 2 || n > maxPartners {
		refuse("partner", fmt.Sprintf("from 2 to %d of them", maxPartners), n)
	}
	firstKeys := map[string]string{}
	checkUnique := func(kind, name, key string) {
		if was, ok := firstKeys[kind+name]; ok {
			refuse(key, fmt.Sprintf("a %s stands once; %s has it too", strings.TrimSpace(kind), was), name)
		}
		firstKeys[kind+name] = key
	}
	for i, p := range terms.Partners {
		key := fmt.Sprintf("partner.%d.", i)
		if !partnerNamePattern.MatchString(p.Name) {
			refuse(key+"name", "1 to 64 letters, digits, '_', '.' and '-', the first a letter or digit", strconv.Quote(p.Name))
		}
		checkUnique("name ", p.Name, key+"name")
		for _, h := range p.Zones {
			checkUnique("hall ", h, key+"halls")
		}
		for _, n := range p.Plans {
			checkUnique("plan ", n, key+"plans")
		}
		if p.Weight != 0 {
			checkRange(key+"weight", p.Weight, 0.01, 100)
		}
		if len(p.Zones)+len(p.Customers)+len(p.Plans) == 0 {
			refuse(key+"halls", "halls, customers or plans are wanted", "none")
		}
	}
	ranges, bad := terms.customerRanges()
	faults = append(faults, bad...)
	for i := 1; i < len(ranges); i++ {
		if ranges[i].first <= ranges[i-1].last {
			refuse(fmt.Sprintf("partner.%d.customers", ranges[i].partner-1), "a customer stands once",
				fmt.Sprintf("%016x of partner.%d too", ranges[i].first, ranges[i-1].partner-1))
		}
	}
	for i, r := range terms.Rules {
		key := fmt.Sprintf("rule.%d.", i)
		if len(r.Between) != 2 || r.Between[0] == r.Between[1] {
			refuse(key+"between", "two partners are wanted", r.Between)
			continue
		}
		for _, name := range r.Between {
			if firstKeys["name "+name] == "" {
				refuse(key+"between", "a partner of this file is wanted", strconv.Quote(name))
			}
		}
		checkUnique("rule between ", strings.Join(slices.Sorted(slices.Values(r.Between)), " and "), key+"between")
		if r.MaxShare != nil {
			checkRange(key+"share_most", *r.MaxShare, 0, 0.9)
		}
		if r.ForgiveAfter != nil && *r.ForgiveAfter != 0 {
			checkRange(key+"forgive_after_s", *r.ForgiveAfter, 60, 1e9)
		}
	}
	return faults
}

// pairTerms gives what holds between two partners.
func (terms Terms) pairTerms(a, b string) (settle bool, maxShare, forgiveAfter float64) {
	settle, maxShare, forgiveAfter = true, terms.MaxShare, terms.ForgiveAfter
	for _, r := range terms.Rules {
		if len(r.Between) == 2 && slices.Contains(r.Between, a) && slices.Contains(r.Between, b) {
			if r.Settle != nil {
				settle = *r.Settle
			}
			if r.MaxShare != nil {
				maxShare = *r.MaxShare
			}
			if r.ForgiveAfter != nil {
				forgiveAfter = *r.ForgiveAfter
			}
		}
	}
	return settle, maxShare, forgiveAfter
}

// creditorWeights are those of the partners by name.
func (terms Terms) creditorWeights() map[string]float64 {
	all := map[string]float64{}
	for _, p := range terms.Partners {
		all[p.Name] = cmp.Or(p.Weight, 1)
	}
	return all
}

// customerRange is a run of customers of one partner, both ends in it.
type customerRange struct {
	first, last uint64
	partner     int // from 1
}

// customerRanges gives the customers named, in order, and what of them cannot be read.
func (terms Terms) customerRanges() (all []customerRange, faults []error) {
	for i, p := range terms.Partners {
		for _, text := range p.Customers {
			from, to, isRange := strings.Cut(text, "-")
			if !isRange {
				to = from
			}
			firstValue, firstErr := strconv.ParseUint(from, 16, 64)
			lastValue, lastErr := strconv.ParseUint(to, 16, 64)
			if firstErr != nil || lastErr != nil || len(from) != 16 || len(to) != 16 || firstValue > lastValue || lastValue >= 1<<customerBits {
				faults = append(faults, fmt.Errorf("partner.%d.customers: 16 hex digits below %016x, or two such joined by '-', "+
					"the smaller first, not %q", i, uint64(1)<<customerBits, text))
				continue
			}
			all = append(all, customerRange{firstValue, lastValue, i + 1})
		}
	}
	slices.SortFunc(all, func(a, b customerRange) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.last, b.last))
	})
	return all, faults
}

// Thousandths turns units into whole thousandths, the nearest; what is no sum of units is none.
func Thousandths(units float64) uint64 {
	if !(units > 0) || math.IsInf(units, 1) {
		return 0
	}
	return uint64(math.Round(min(units, 1e12) * 1000))
}
