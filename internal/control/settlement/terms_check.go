package settlement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Allowed ranges of the fields of Terms, in the units of the fields.
const (
	lowestSettleTimeConstant  = 5
	highestSettleTimeConstant = 86400 // a day
	highestShare              = 0.9
	highestMovedRate          = 1e6
	lowestLossFraction        = 0.0001
	highestLossFraction       = 0.1
	lowestHeadroom            = 0.05
	highestHeadroom           = 0.9
	lowestOnTimeFraction      = 0.5
	lowestMinDebt             = 0.001 // one thousandth of a unit, the smallest amount that is counted
	highestMinDebt            = 1e9
	lowestForgiveAfter        = 60
	highestForgiveAfter       = 1e9
	lowestWeight              = 0.01
	highestWeight             = 100
)

// Check returns an error for each invalid setting, with its key, the allowed values and the value
// found. Terms that are off are not checked.
func (t Terms) Check() []error {
	if !t.On {
		return nil
	}
	c := termsChecker{firstKeys: map[string]string{}}
	c.checkLimits(t)
	if n := len(t.Partners); n < minPartners || n > maxPartners {
		c.addError("partner", fmt.Sprintf("from %d to %d of them", minPartners, maxPartners), n)
	}
	for i, p := range t.Partners {
		c.checkPartner(fmt.Sprintf("partner.%d.", i), p)
	}
	c.checkCustomers(t)
	for i, rule := range t.Rules {
		c.checkRule(fmt.Sprintf("rule.%d.", i), rule)
	}
	return c.errs
}

// Kinds of names that must be unique in the file. They are part of error messages.
const (
	partnerKind = "name"
	zoneKind    = "hall"
	planKind    = "plan"
	ruleKind    = "rule between"
)

// termsChecker collects the errors that Check returns.
type termsChecker struct {
	errs      []error
	firstKeys map[string]string // first key that uses a name, by kind and name
}

func (c *termsChecker) addError(key, constraint string, value any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s, not %v", key, constraint, value))
}

// checkRange adds an error if a value is outside a range, both ends included, or NaN.
func (c *termsChecker) checkRange(key string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		c.addError(key, fmt.Sprintf("from %v to %v", lowest, highest), value)
	}
}

func (c *termsChecker) checkUnique(kind, name, key string) {
	if first, ok := c.firstKeys[kind+" "+name]; ok {
		c.addError(key, fmt.Sprintf("a %s stands once; %s has it too", kind, first), name)
	}
	c.firstKeys[kind+" "+name] = key
}

func (c *termsChecker) checkLimits(t Terms) {
	c.checkRange("settle_over_s", t.SettleTimeConstant, lowestSettleTimeConstant, highestSettleTimeConstant)
	c.checkRange("share_most", t.MaxShare, 0, highestShare)
	c.checkRange("moved_most", t.MaxMovedRate, 0, highestMovedRate)
	c.checkRange("lend_most", t.MaxLendFraction, 0, 1)
	c.checkRange("loss_most", t.MaxLossFraction, lowestLossFraction, highestLossFraction)
	c.checkRange("room_least", t.MinHeadroom, lowestHeadroom, highestHeadroom)
	c.checkRange("well_least", t.MinOnTimeFraction, lowestOnTimeFraction, 1)
	c.checkRange("least", t.MinDebt, lowestMinDebt, highestMinDebt)
	c.checkForgiveAfter("forgive_after_s", t.ForgiveAfter)
}

func (c *termsChecker) checkForgiveAfter(key string, seconds float64) {
	if seconds != 0 {
		c.checkRange(key, seconds, lowestForgiveAfter, highestForgiveAfter)
	}
}

func (c *termsChecker) checkPartner(key string, partner Partner) {
	if !partnerNamePattern.MatchString(partner.Name) {
		const allowed = "1 to 64 letters, digits, '_', '.' and '-', the first a letter or digit"
		c.addError(key+"name", allowed, strconv.Quote(partner.Name))
	}
	c.checkUnique(partnerKind, partner.Name, key+"name")
	for _, zone := range partner.Zones {
		c.checkUnique(zoneKind, zone, key+"halls")
	}
	for _, plan := range partner.Plans {
		c.checkUnique(planKind, plan, key+"plans")
	}
	if partner.Weight != 0 {
		c.checkRange(key+"weight", partner.Weight, lowestWeight, highestWeight)
	}
	if len(partner.Zones)+len(partner.Customers)+len(partner.Plans) == 0 {
		c.addError(key+"halls", "halls, customers or plans are wanted", "none")
	}
}

func (c *termsChecker) checkCustomers(t Terms) {
	ranges, errs := t.customerRanges()
	c.errs = append(c.errs, errs...)
	for i := 1; i < len(ranges); i++ {
		if ranges[i].first <= ranges[i-1].last {
			c.addError(fmt.Sprintf("partner.%d.customers", ranges[i].partner-1), "a customer stands once",
				fmt.Sprintf("%016x of partner.%d too", ranges[i].first, ranges[i-1].partner-1))
		}
	}
}

func (c *termsChecker) checkRule(key string, rule PairRule) {
	if len(rule.PartnerNames) != partnersPerRule || rule.PartnerNames[0] == rule.PartnerNames[1] {
		c.addError(key+"between", "two partners are wanted", rule.PartnerNames)
		return
	}
	for _, name := range rule.PartnerNames {
		if c.firstKeys[partnerKind+" "+name] == "" {
			c.addError(key+"between", "a partner of this file is wanted", strconv.Quote(name))
		}
	}
	c.checkUnique(ruleKind, strings.Join(slices.Sorted(slices.Values(rule.PartnerNames)), " and "), key+"between")
	if rule.MaxShare != nil {
		c.checkRange(key+"share_most", *rule.MaxShare, 0, highestShare)
	}
	if rule.ForgiveAfter != nil {
		c.checkForgiveAfter(key+"forgive_after_s", *rule.ForgiveAfter)
	}
}
