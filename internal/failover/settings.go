// Package failover decides in which halls the tasks that come in at a hall are pushed, by what all gateways saw. It is
// free of I/O, clocks and chance: the same events give the same plans. docs/failover.md weighs it against other ways.
package failover

import (
	"cmp"
	"fmt"
	"time"
)

// Settings is what an operator's file says under [failover]. What is left out (0) is as its default says.
type Settings struct {
	Enabled bool     `toml:"on"`
	Regions []Region `toml:"regions"`
	// Capacity is how many units a second one ready, warm server of power 1 bears; BearsBy says otherwise for a hall.
	Capacity       float64            `toml:"bears"`
	CapacityByZone map[string]float64 `toml:"bears_by"`
	// MaxUtilisation is the part of what a hall bears that is planned there at most: 0.3 to 0.95.
	MaxUtilisation float64 `toml:"utilisation_most"`
	// HoldDownSeconds is the seconds between two moves of a hall's tasks, 2 to 600. To flee from a hall needs no stay.
	HoldDownSeconds float64 `toml:"least_stay_s"`
	// RecoveryStep is the part of a hall's tasks that comes back to it, or nearer, in one move: 0.05 to 1.
	RecoveryStep float64 `toml:"step"`
	// MinMove is the part of a hall's tasks that a move must be worth: 0.01 to 0.3.
	MinMove float64 `toml:"worth"`
	// AgreementShare is the part of a hall's gateways that must agree on an ill: 0.51 to 0.95.
	AgreementShare float64 `toml:"ill_part"`
	// MinGateways is the least number of gateways in a hall whose word counts: 2 to 1000.
	MinGateways int `toml:"gateways_least"`
	// ProbeShare is the part of a hall's tasks that goes on trying a hall that is avoided: 0.002 to 0.1.
	ProbeShare float64 `toml:"trial"`
}

// Region is a group of halls. Every hall is in one.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"halls"`
}

// The defaults of Terms.
const (
	defaultMaxUtilisation = 0.8  // leaves a fifth for what moves while plans change, and for gateways that hear of none
	defaultHoldDown       = 10.0 // seconds: several of the longest soft limits, so that a move shows before the next
	defaultRecoveryStep   = 0.25 // a hall that fails again on its way back has taken a quarter
	defaultMinMove        = 0.05 // demand measured over a second swings by less
	defaultAgreementShare = 0.6  // more than half: of two gateways both
	defaultMinGateways    = 2    // one gateway's word moves nothing
	defaultProbeShare     = 0.02 // what calm days are allowed to push elsewhere
)

// WithDefaults gives the terms with defaults for what is left out.
func (s Settings) WithDefaults() Settings {
	s.MaxUtilisation = cmp.Or(s.MaxUtilisation, defaultMaxUtilisation)
	s.HoldDownSeconds = cmp.Or(s.HoldDownSeconds, defaultHoldDown)
	s.RecoveryStep = cmp.Or(s.RecoveryStep, defaultRecoveryStep)
	s.MinMove = cmp.Or(s.MinMove, defaultMinMove)
	s.AgreementShare = cmp.Or(s.AgreementShare, defaultAgreementShare)
	s.MinGateways = cmp.Or(s.MinGateways, defaultMinGateways)
	s.ProbeShare = cmp.Or(s.ProbeShare, defaultProbeShare)
	return s
}

// Check gives all that is wrong with the terms: the key, what is allowed and what stands there. Off, nothing is.
func (s Settings) Check() (wrong []error) {
	if !s.Enabled {
		return nil
	}
	s = s.WithDefaults()
	say := func(key, allowed string, got any) {
		wrong = append(wrong, fmt.Errorf("failover.%s: %s is wanted, not %v", key, allowed, got))
	}
	within := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			say(key, fmt.Sprintf("a number from %v to %v", least, most), v)
		}
	}
	if len(s.Regions) == 0 {
		say("regions", "at least one region with a name and its halls", "none")
	}
	regions, halls := map[string]bool{}, map[string]bool{}
	for i, r := range s.Regions {
		if r.Name == "" || regions[r.Name] {
			say(fmt.Sprintf("regions[%d].name", i), "a name of its own", fmt.Sprintf("%q", r.Name))
		}
		regions[r.Name] = true
		if len(r.Zones) == 0 {
			say(fmt.Sprintf("regions[%d].halls", i), "the names of its halls", "none")
		}
		for _, zone := range r.Zones {
			if zone == "" || halls[zone] {
				say(fmt.Sprintf("regions[%d].halls", i), "halls that stand in one region, once", fmt.Sprintf("%q", zone))
			}
			halls[zone] = true
		}
	}
	within("bears", s.Capacity, minCapacity, maxCapacity)
	for _, zone := range sortedKeys(s.CapacityByZone) {
		if !halls[zone] {
			say("bears_by", "a hall of a region", fmt.Sprintf("%q", zone))
		}
		within("bears_by."+zone, s.CapacityByZone[zone], minCapacity, maxCapacity)
	}
	within("utilisation_most", s.MaxUtilisation, 0.3, 0.95)
	within("least_stay_s", s.HoldDownSeconds, 2, 600)
	within("step", s.RecoveryStep, 0.05, 1)
	within("worth", s.MinMove, 0.01, 0.3)
	within("ill_part", s.AgreementShare, 0.51, 0.95)
	within("gateways_least", float64(s.MinGateways), 2, 1000)
	within("trial", s.ProbeShare, 0.002, 0.1)
	return wrong
}

// What a server may be said to bear, in units a second: what lies outside is a slip.
const (
	minCapacity = 0.001
	maxCapacity = 1e9
)

// Zones are the halls of all regions, in the file's order.
func (s Settings) Zones() (all []string) {
	for _, r := range s.Regions {
		all = append(all, r.Zones...)
	}
	return all
}

func (s Settings) holdDown() time.Duration {
	return time.Duration(s.HoldDownSeconds * float64(time.Second))
}

// capacity is what a server of power 1 in a hall bears.
func (s Settings) capacity(zone string) float64 { return cmp.Or(s.CapacityByZone[zone], s.Capacity) }
