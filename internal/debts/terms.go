// Package debts says who owes whom for tasks that ran on another's servers, and by which shares that is settled. It
// knows no sockets, no disk and no clock: the same totals and evidence in the same order give the same shares.
package debts

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
	On       bool      `toml:"on"`
	Partners []Partner `toml:"partner"`
	Rules    []Rule    `toml:"rule"`

	SettleOver   float64 `toml:"settle_over_s"`   // a debt is settled at this part of it a second: 1/e stands after it
	ShareMost    float64 `toml:"share_most"`      // part of a creditor's first pushes of pure tasks that is moved
	MovedMost    float64 `toml:"moved_most"`      // pushes a second between halls made to settle, in all
	LendMost     float64 `toml:"lend_most"`       // part of what a debtor's halls serve that they take on to settle
	LossMost     float64 `toml:"loss_most"`       // part of a partner's tasks that may be late or lost for it
	RoomLeast    float64 `toml:"room_least"`      // part of their strength that both sides' halls must have left
	WellLeast    float64 `toml:"well_least"`      // part of both sides' tasks in time before anything is moved
	Least        float64 `toml:"least"`           // units; a smaller net debt is left alone
	ForgiveAfter float64 `toml:"forgive_after_s"` // age at which what is left of a debt is forgiven; 0: never
}

// Partner brings halls and sends customers' tasks.
type Partner struct {
	Name  string   `toml:"name"`
	Halls []string `toml:"halls"` // by name; a partner may have none
	// Customers are 16 hex digits each, or two joined by '-': from the first to the last.
	Customers []string `toml:"customers"`
	Plans     []string `toml:"plans"`  // all of their customers that no partner names one by one
	Weight    float64  `toml:"weight"` // among creditors; 0: 1
}

// Rule is what differs for one pair of partners, whoever of them owes.
type Rule struct {
	Between      []string `toml:"between"`
	Settle       *bool    `toml:"settle"`
	ShareMost    *float64 `toml:"share_most"`
	ForgiveAfter *float64 `toml:"forgive_after_s"`
}

// Default gives the terms that stand where the file says nothing. Reasons and figures: docs/debts.md.
func Default() Terms {
	return Terms{SettleOver: 20, ShareMost: 0.5, MovedMost: 200, LendMost: 0.3, LossMost: 0.005, RoomLeast: 0.2,
		WellLeast: 0.9, Least: 5}
}

const (
	partnersMost = 64 // pairs grow with the square, and each is a name in every digest
	customerBits = 33 // of a customer's number, as clients send it
)

var partnerName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// Check gives all that is wrong with the terms, each with its key and what is allowed. Terms that are off are not read.
func (t Terms) Check() []error {
	if !t.On {
		return nil
	}
	var wrong []error
	say := func(key, allowed string, is any) {
		wrong = append(wrong, fmt.Errorf("%s: %s, not %v", key, allowed, is))
	}
	within := func(key string, is, from, to float64) {
		if !(is >= from && is <= to) {
			say(key, fmt.Sprintf("from %v to %v", from, to), is)
		}
	}
	within("settle_over_s", t.SettleOver, 5, 86400)
	within("share_most", t.ShareMost, 0, 0.9)
	within("moved_most", t.MovedMost, 0, 1e6)
	within("lend_most", t.LendMost, 0, 1)
	within("loss_most", t.LossMost, 0.0001, 0.1)
	within("room_least", t.RoomLeast, 0.05, 0.9)
	within("well_least", t.WellLeast, 0.5, 1)
	within("least", t.Least, 0.001, 1e9)
	if t.ForgiveAfter != 0 {
		within("forgive_after_s", t.ForgiveAfter, 60, 1e9)
	}
	if n := len(t.Partners); n < 2 || n > partnersMost {
		say("partner", fmt.Sprintf("from 2 to %d of them", partnersMost), n)
	}
	once := map[string]string{}
	taken := func(kind, name, key string) {
		if was, ok := once[kind+name]; ok {
			say(key, fmt.Sprintf("a %s stands once; %s has it too", strings.TrimSpace(kind), was), name)
		}
		once[kind+name] = key
	}
	for i, p := range t.Partners {
		key := fmt.Sprintf("partner.%d.", i)
		if !partnerName.MatchString(p.Name) {
			say(key+"name", "1 to 64 letters, digits, '_', '.' and '-', the first a letter or digit", strconv.Quote(p.Name))
		}
		taken("name ", p.Name, key+"name")
		for _, h := range p.Halls {
			taken("hall ", h, key+"halls")
		}
		for _, n := range p.Plans {
			taken("plan ", n, key+"plans")
		}
		if p.Weight != 0 {
			within(key+"weight", p.Weight, 0.01, 100)
		}
		if len(p.Halls)+len(p.Customers)+len(p.Plans) == 0 {
			say(key+"halls", "halls, customers or plans are wanted", "none")
		}
	}
	spans, bad := t.spans()
	wrong = append(wrong, bad...)
	for i := 1; i < len(spans); i++ {
		if spans[i].from <= spans[i-1].to {
			say(fmt.Sprintf("partner.%d.customers", spans[i].partner-1), "a customer stands once",
				fmt.Sprintf("%016x of partner.%d too", spans[i].from, spans[i-1].partner-1))
		}
	}
	for i, r := range t.Rules {
		key := fmt.Sprintf("rule.%d.", i)
		if len(r.Between) != 2 || r.Between[0] == r.Between[1] {
			say(key+"between", "two partners are wanted", r.Between)
			continue
		}
		for _, name := range r.Between {
			if once["name "+name] == "" {
				say(key+"between", "a partner of this file is wanted", strconv.Quote(name))
			}
		}
		taken("rule between ", strings.Join(slices.Sorted(slices.Values(r.Between)), " and "), key+"between")
		if r.ShareMost != nil {
			within(key+"share_most", *r.ShareMost, 0, 0.9)
		}
		if r.ForgiveAfter != nil && *r.ForgiveAfter != 0 {
			within(key+"forgive_after_s", *r.ForgiveAfter, 60, 1e9)
		}
	}
	return wrong
}

// rule gives what holds between two partners.
func (t Terms) rule(a, b string) (settle bool, shareMost, forgiveAfter float64) {
	settle, shareMost, forgiveAfter = true, t.ShareMost, t.ForgiveAfter
	for _, r := range t.Rules {
		if len(r.Between) == 2 && slices.Contains(r.Between, a) && slices.Contains(r.Between, b) {
			if r.Settle != nil {
				settle = *r.Settle
			}
			if r.ShareMost != nil {
				shareMost = *r.ShareMost
			}
			if r.ForgiveAfter != nil {
				forgiveAfter = *r.ForgiveAfter
			}
		}
	}
	return settle, shareMost, forgiveAfter
}

// weights are those of the partners by name.
func (t Terms) weights() map[string]float64 {
	all := map[string]float64{}
	for _, p := range t.Partners {
		all[p.Name] = cmp.Or(p.Weight, 1)
	}
	return all
}

// span is a run of customers of one partner, both ends in it.
type span struct {
	from, to uint64
	partner  int // from 1
}

// spans gives the customers named, in order, and what of them cannot be read.
func (t Terms) spans() (all []span, wrong []error) {
	for i, p := range t.Partners {
		for _, text := range p.Customers {
			from, to, run := strings.Cut(text, "-")
			if !run {
				to = from
			}
			a, errA := strconv.ParseUint(from, 16, 64)
			b, errB := strconv.ParseUint(to, 16, 64)
			if errA != nil || errB != nil || len(from) != 16 || len(to) != 16 || a > b || b >= 1<<customerBits {
				wrong = append(wrong, fmt.Errorf("partner.%d.customers: 16 hex digits below %016x, or two such joined by '-', "+
					"the smaller first, not %q", i, uint64(1)<<customerBits, text))
				continue
			}
			all = append(all, span{a, b, i + 1})
		}
	}
	slices.SortFunc(all, func(a, b span) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	return all, wrong
}

// Thousandths turns units into whole thousandths, the nearest; what is no sum of units is none.
func Thousandths(units float64) uint64 {
	if !(units > 0) || math.IsInf(units, 1) {
		return 0
	}
	return uint64(math.Round(min(units, 1e12) * 1000))
}
