package failover

import (
	"cmp"
	"fmt"
	"time"
)

// Settings is what an operator's file says under [failover]. A value that is left out (0) gets its
// default.
type Settings struct {
	Enabled bool     `toml:"on"`
	Regions []Region `toml:"regions"`
	// Capacity is how many units a second one ready, warm server of power 1 can take;
	// CapacityByZone overrides it for a zone.
	Capacity       float64            `toml:"bears"`
	CapacityByZone map[string]float64 `toml:"bears_by"`
	// MaxUtilisation is the part of a zone's capacity that is planned there at most: 0.3 to 0.95.
	MaxUtilisation float64 `toml:"utilisation_most"`
	// HoldDownSeconds is the least time between two moves of a zone's requests, 2 to 600 s. A
	// failing zone is left without regard to it.
	HoldDownSeconds float64 `toml:"least_stay_s"`
	// RecoveryStep is the part of a zone's requests that returns to it, or to a nearer zone, in one
	// move: 0.05 to 1.
	RecoveryStep float64 `toml:"step"`
	// MinMove is the part of a zone's requests that makes a move worth while: 0.01 to 0.3.
	MinMove float64 `toml:"worth"`
	// AgreementShare is the part of a zone's gateways that must agree that a zone fails: 0.51 to
	// 0.95.
	AgreementShare float64 `toml:"ill_part"`
	// MinGateways is how many gateways of a zone must report for their observations to count: 2 to
	// 1000.
	MinGateways int `toml:"gateways_least"`
	// ProbeShare is the part of a zone's requests that goes on probing their own zone while it is
	// avoided: 0.002 to 0.1.
	ProbeShare float64 `toml:"trial"`
}

// Region is a group of zones. Every zone is in one.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"halls"`
}

// The defaults of Settings, in the units of its fields.
const (
	defaultMaxUtilisation  = 0.8
	defaultHoldDownSeconds = 10.0
	defaultRecoveryStep    = 0.25
	defaultMinMove         = 0.05
	defaultAgreementShare  = 0.6
	defaultMinGateways     = 2
	defaultProbeShare      = 0.02
)

// Bounds of the settings, in the units of its fields. A server's capacity outside of its bounds is
// taken for a typing error.
const (
	minCapacity, maxCapacity               = 0.001, 1e9
	minMaxUtilisation, maxMaxUtilisation   = 0.3, 0.95
	minHoldDownSeconds, maxHoldDownSeconds = 2, 600
	minRecoveryStep, maxRecoveryStep       = 0.05, 1
	minMinMove, maxMinMove                 = 0.01, 0.3
	minAgreementShare, maxAgreementShare   = 0.51, 0.95
	minMinGateways, maxMinGateways         = 2, 1000
	minProbeShare, maxProbeShare           = 0.002, 0.1
)

// WithDefaults gives the settings with defaults for what is left out.
func (s Settings) WithDefaults() Settings {
	s.MaxUtilisation = cmp.Or(s.MaxUtilisation, defaultMaxUtilisation)
	s.HoldDownSeconds = cmp.Or(s.HoldDownSeconds, defaultHoldDownSeconds)
	s.RecoveryStep = cmp.Or(s.RecoveryStep, defaultRecoveryStep)
	s.MinMove = cmp.Or(s.MinMove, defaultMinMove)
	s.AgreementShare = cmp.Or(s.AgreementShare, defaultAgreementShare)
	s.MinGateways = cmp.Or(s.MinGateways, defaultMinGateways)
	s.ProbeShare = cmp.Or(s.ProbeShare, defaultProbeShare)
	return s
}

// Zones are the zones of all regions, in the file's order.
func (s Settings) Zones() (zones []string) {
	for _, region := range s.Regions {
		zones = append(zones, region.Zones...)
	}
	return zones
}

// holdDown is the least time between two moves of a zone's requests.
func (s Settings) holdDown() time.Duration {
	return time.Duration(s.HoldDownSeconds * float64(time.Second))
}

// capacity is what a server of power 1 in a zone can take, in units a second.
func (s Settings) capacity(zone string) float64 { return cmp.Or(s.CapacityByZone[zone], s.Capacity) }

// SettingError is one thing that is wrong in the operator's file: the key, what is expected, and
// what was found.
type SettingError struct {
	Key      string
	Expected string
	Found    any
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("failover.%s: %s is wanted, not %v", e.Key, e.Expected, e.Found)
}

// Check gives all that is wrong with the settings, a *SettingError each. Settings that are not
// enabled are never wrong.
func (s Settings) Check() []error {
	if !s.Enabled {
		return nil
	}
	s = s.WithDefaults()
	var check checker
	zones := check.regions(s.Regions)
	check.within("bears", s.Capacity, minCapacity, maxCapacity)
	for _, zone := range sortedKeys(s.CapacityByZone) {
		if !zones[zone] {
			check.refuse("bears_by", "a hall of a region", fmt.Sprintf("%q", zone))
		}
		check.within("bears_by."+zone, s.CapacityByZone[zone], minCapacity, maxCapacity)
	}
	check.within("utilisation_most", s.MaxUtilisation, minMaxUtilisation, maxMaxUtilisation)
	check.within("least_stay_s", s.HoldDownSeconds, minHoldDownSeconds, maxHoldDownSeconds)
	check.within("step", s.RecoveryStep, minRecoveryStep, maxRecoveryStep)
	check.within("worth", s.MinMove, minMinMove, maxMinMove)
	check.within("ill_part", s.AgreementShare, minAgreementShare, maxAgreementShare)
	check.within("gateways_least", float64(s.MinGateways), minMinGateways, maxMinGateways)
	check.within("trial", s.ProbeShare, minProbeShare, maxProbeShare)
	return check.errs
}

// checker collects what is wrong with settings.
type checker struct{ errs []error }

func (c *checker) refuse(key, expected string, found any) {
	c.errs = append(c.errs, &SettingError{Key: key, Expected: expected, Found: found})
}

// within checks that a number lies between two bounds; NaN does not.
func (c *checker) within(key string, value, least, most float64) {
	if !(value >= least && value <= most) {
		c.refuse(key, fmt.Sprintf("a number from %v to %v", least, most), value)
	}
}

// regions checks that regions and zones have names of their own, and gives the zones.
func (c *checker) regions(regions []Region) (zones map[string]bool) {
	if len(regions) == 0 {
		c.refuse("regions", "at least one region with a name and its halls", "none")
	}
	names := map[string]bool{}
	zones = map[string]bool{}
	for i, region := range regions {
		if region.Name == "" || names[region.Name] {
			c.refuse(fmt.Sprintf("regions[%d].name", i), "a name of its own", fmt.Sprintf("%q", region.Name))
		}
		names[region.Name] = true
		if len(region.Zones) == 0 {
			c.refuse(fmt.Sprintf("regions[%d].halls", i), "the names of its halls", "none")
		}
		for _, zone := range region.Zones {
			if zone == "" || zones[zone] {
				key := fmt.Sprintf("regions[%d].halls", i)
				c.refuse(key, "halls that stand in one region, once", fmt.Sprintf("%q", zone))
			}
			zones[zone] = true
		}
	}
	return zones
}
