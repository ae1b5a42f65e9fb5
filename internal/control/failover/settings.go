package failover

import (
	"cmp"
	"fmt"
	"time"
)

// Settings is the [failover] section of the operator's file. Numbers that are left out (0) get
// their defaults, except Capacity, which has none.
type Settings struct {
	Enabled bool     `toml:"on"`
	Regions []Region `toml:"regions"`
	// Capacity is the rate that one ready, warm server of power 1 can take, in units a second.
	// CapacityByZone overrides it by zone.
	Capacity       float64            `toml:"bears"`
	CapacityByZone map[string]float64 `toml:"bears_by"`
	// MaxUtilisation is the maximum part of a zone's capacity that plans use, 0.3 to 0.95.
	MaxUtilisation float64 `toml:"utilisation_most"`
	// HoldDownSeconds is the minimum time between two moves of a zone's requests, 2 to 600 s.
	// Requests move away from a failing zone regardless of it.
	HoldDownSeconds float64 `toml:"least_stay_s"`
	// RecoveryStep is the part of a zone's requests that returns to it, or to a nearer zone, in one
	// move, 0.05 to 1.
	RecoveryStep float64 `toml:"step"`
	// MinMove is the smallest part of a zone's requests that is worth moving, 0.01 to 0.3.
	MinMove float64 `toml:"worth"`
	// AgreementShare is the part of a zone's gateways that must agree that a zone fails, 0.51 to
	// 0.95.
	AgreementShare float64 `toml:"ill_part"`
	// MinGateways is the number of gateways of a zone that must report for their observations to
	// count, 2 to 1000.
	MinGateways int `toml:"gateways_least"`
	// ProbeShare is the part of a zone's requests that probe the zone while it is avoided, 0.002 to
	// 0.1.
	ProbeShare float64 `toml:"trial"`
}

// Region is a group of zones. Each zone belongs to exactly one region.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"halls"`
}

// Defaults of Settings, in the units of its fields.
const (
	defaultMaxUtilisation  = 0.8
	defaultHoldDownSeconds = 10.0
	defaultRecoveryStep    = 0.25
	defaultMinMove         = 0.05
	defaultAgreementShare  = 0.6
	defaultMinGateways     = 2
	defaultProbeShare      = 0.02
)

// Bounds of Settings, in the units of its fields. A server capacity outside its bounds is assumed
// to be a typing error.
const (
	lowestCapacity, highestCapacity               = 0.001, 1e9
	lowestMaxUtilisation, highestMaxUtilisation   = 0.3, 0.95
	lowestHoldDownSeconds, highestHoldDownSeconds = 2, 600
	lowestRecoveryStep, highestRecoveryStep       = 0.05, 1
	lowestMinMove, highestMinMove                 = 0.01, 0.3
	lowestAgreementShare, highestAgreementShare   = 0.51, 0.95
	lowestMinGateways, highestMinGateways         = 2, 1000
	lowestProbeShare, highestProbeShare           = 0.002, 0.1
)

// WithDefaults returns the settings with defaults for the numbers that are left out.
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

// Zones returns the zones of all regions, in the order of the file.
func (s Settings) Zones() (zones []string) {
	for _, region := range s.Regions {
		zones = append(zones, region.Zones...)
	}
	return zones
}

// holdDown returns HoldDownSeconds as a duration.
func (s Settings) holdDown() time.Duration {
	return time.Duration(s.HoldDownSeconds * float64(time.Second))
}

// capacity returns the rate that a server of power 1 in a zone can take, in units a second.
func (s Settings) capacity(zone string) float64 { return cmp.Or(s.CapacityByZone[zone], s.Capacity) }

// SettingError is an invalid setting in the operator's file: its key, the expected value in words,
// and the value found.
type SettingError struct {
	Key      string
	Expected string
	Found    any
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("failover.%s: %s is wanted, not %v", e.Key, e.Expected, e.Found)
}

// Check returns a *SettingError for each invalid setting. It returns none if failover is not
// enabled.
func (s Settings) Check() []error {
	if !s.Enabled {
		return nil
	}
	s = s.WithDefaults()
	var check settingsChecker
	zones := check.checkRegions(s.Regions)
	check.checkRange("bears", s.Capacity, lowestCapacity, highestCapacity)
	for _, zone := range sortedKeys(s.CapacityByZone) {
		if !zones[zone] {
			check.addError("bears_by", "a hall of a region", fmt.Sprintf("%q", zone))
		}
		check.checkRange("bears_by."+zone, s.CapacityByZone[zone], lowestCapacity, highestCapacity)
	}
	check.checkRange("utilisation_most", s.MaxUtilisation, lowestMaxUtilisation, highestMaxUtilisation)
	check.checkRange("least_stay_s", s.HoldDownSeconds, lowestHoldDownSeconds, highestHoldDownSeconds)
	check.checkRange("step", s.RecoveryStep, lowestRecoveryStep, highestRecoveryStep)
	check.checkRange("worth", s.MinMove, lowestMinMove, highestMinMove)
	check.checkRange("ill_part", s.AgreementShare, lowestAgreementShare, highestAgreementShare)
	check.checkRange("gateways_least", float64(s.MinGateways), lowestMinGateways, highestMinGateways)
	check.checkRange("trial", s.ProbeShare, lowestProbeShare, highestProbeShare)
	return check.errs
}

// settingsChecker collects the errors of Settings.Check.
type settingsChecker struct{ errs []error }

func (c *settingsChecker) addError(key, expected string, found any) {
	c.errs = append(c.errs, &SettingError{Key: key, Expected: expected, Found: found})
}

// checkRange checks that a number lies between two bounds, inclusive. NaN does not.
func (c *settingsChecker) checkRange(key string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		c.addError(key, fmt.Sprintf("a number from %v to %v", minimum, maximum), value)
	}
}

// checkRegions checks that regions and zones have unique names, and returns the set of zones.
func (c *settingsChecker) checkRegions(regions []Region) (zones map[string]bool) {
	if len(regions) == 0 {
		c.addError("regions", "at least one region with a name and its halls", "none")
	}
	names := map[string]bool{}
	zones = map[string]bool{}
	for i, region := range regions {
		if region.Name == "" || names[region.Name] {
			c.addError(fmt.Sprintf("regions[%d].name", i), "a name of its own", fmt.Sprintf("%q", region.Name))
		}
		names[region.Name] = true
		if len(region.Zones) == 0 {
			c.addError(fmt.Sprintf("regions[%d].halls", i), "the names of its halls", "none")
		}
		for _, zone := range region.Zones {
			if zone == "" || zones[zone] {
				key := fmt.Sprintf("regions[%d].halls", i)
				c.addError(key, "halls that stand in one region, once", fmt.Sprintf("%q", zone))
			}
			zones[zone] = true
		}
	}
	return zones
}
