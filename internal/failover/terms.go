// Package failover decides in which halls the tasks that come in at a hall are pushed, by what all gateways saw. It is
// free of I/O, clocks and chance: the same events give the same plans. docs/failover.md weighs it against other ways.
package failover

import (
	"cmp"
	"fmt"
	"time"
)

// Terms is what an operator's file says under [failover]. What is left out (0) is as its default says.
type Terms struct {
	On      bool     `toml:"on"`
	Regions []Region `toml:"regions"`
	// Bears is how many units a second one ready, warm server of power 1 bears; BearsBy says otherwise for a hall.
	Bears   float64            `toml:"bears"`
	BearsBy map[string]float64 `toml:"bears_by"`
	// UtilisationMost is the part of what a hall bears that is planned there at most: 0.3 to 0.95.
	UtilisationMost float64 `toml:"utilisation_most"`
	// LeastStay is the seconds between two moves of a hall's tasks, 2 to 600. To flee from a hall needs no stay.
	LeastStay float64 `toml:"least_stay_s"`
	// Step is the part of a hall's tasks that comes back to it, or nearer, in one move: 0.05 to 1.
	Step float64 `toml:"step"`
	// Worth is the part of a hall's tasks that a move must be worth: 0.01 to 0.3.
	Worth float64 `toml:"worth"`
	// IllPart is the part of a hall's gateways that must agree on an ill: 0.51 to 0.95.
	IllPart float64 `toml:"ill_part"`
	// GatewaysLeast is the least number of gateways in a hall whose word counts: 2 to 1000.
	GatewaysLeast int `toml:"gateways_least"`
	// Trial is the part of a hall's tasks that goes on trying a hall that is avoided: 0.002 to 0.1.
	Trial float64 `toml:"trial"`
}

// Region is a group of halls. Every hall is in one.
type Region struct {
	Name  string   `toml:"name"`
	Halls []string `toml:"halls"`
}

// The defaults of Terms.
const (
	utilisationMost = 0.8  // leaves a fifth for what moves while plans change, and for gateways that hear of none
	leastStay       = 10.0 // seconds: several of the longest soft limits, so that a move shows before the next
	step            = 0.25 // a hall that fails again on its way back has taken a quarter
	worth           = 0.05 // demand measured over a second swings by less
	illPart         = 0.6  // more than half: of two gateways both
	gatewaysLeast   = 2    // one gateway's word moves nothing
	trial           = 0.02 // what calm days are allowed to push elsewhere
)

// Filled gives the terms with defaults for what is left out.
func (t Terms) Filled() Terms {
	t.UtilisationMost = cmp.Or(t.UtilisationMost, utilisationMost)
	t.LeastStay = cmp.Or(t.LeastStay, leastStay)
	t.Step = cmp.Or(t.Step, step)
	t.Worth = cmp.Or(t.Worth, worth)
	t.IllPart = cmp.Or(t.IllPart, illPart)
	t.GatewaysLeast = cmp.Or(t.GatewaysLeast, gatewaysLeast)
	t.Trial = cmp.Or(t.Trial, trial)
	return t
}

// Check gives all that is wrong with the terms: the key, what is allowed and what stands there. Off, nothing is.
func (t Terms) Check() (wrong []error) {
	if !t.On {
		return nil
	}
	t = t.Filled()
	say := func(key, allowed string, got any) {
		wrong = append(wrong, fmt.Errorf("failover.%s: %s is wanted, not %v", key, allowed, got))
	}
	within := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			say(key, fmt.Sprintf("a number from %v to %v", least, most), v)
		}
	}
	if len(t.Regions) == 0 {
		say("regions", "at least one region with a name and its halls", "none")
	}
	regions, halls := map[string]bool{}, map[string]bool{}
	for i, r := range t.Regions {
		if r.Name == "" || regions[r.Name] {
			say(fmt.Sprintf("regions[%d].name", i), "a name of its own", fmt.Sprintf("%q", r.Name))
		}
		regions[r.Name] = true
		if len(r.Halls) == 0 {
			say(fmt.Sprintf("regions[%d].halls", i), "the names of its halls", "none")
		}
		for _, h := range r.Halls {
			if h == "" || halls[h] {
				say(fmt.Sprintf("regions[%d].halls", i), "halls that stand in one region, once", fmt.Sprintf("%q", h))
			}
			halls[h] = true
		}
	}
	within("bears", t.Bears, bearsLeast, bearsMost)
	for _, h := range sorted(t.BearsBy) {
		if !halls[h] {
			say("bears_by", "a hall of a region", fmt.Sprintf("%q", h))
		}
		within("bears_by."+h, t.BearsBy[h], bearsLeast, bearsMost)
	}
	within("utilisation_most", t.UtilisationMost, 0.3, 0.95)
	within("least_stay_s", t.LeastStay, 2, 600)
	within("step", t.Step, 0.05, 1)
	within("worth", t.Worth, 0.01, 0.3)
	within("ill_part", t.IllPart, 0.51, 0.95)
	within("gateways_least", float64(t.GatewaysLeast), 2, 1000)
	within("trial", t.Trial, 0.002, 0.1)
	return wrong
}

// What a server may be said to bear, in units a second: what lies outside is a slip.
const (
	bearsLeast = 0.001
	bearsMost  = 1e9
)

// Halls are the halls of all regions, in the file's order.
func (t Terms) Halls() (all []string) {
	for _, r := range t.Regions {
		all = append(all, r.Halls...)
	}
	return all
}

func (t Terms) stay() time.Duration { return time.Duration(t.LeastStay * float64(time.Second)) }

// bears is what a server of power 1 in a hall bears.
func (t Terms) bears(hall string) float64 { return cmp.Or(t.BearsBy[hall], t.Bears) }
