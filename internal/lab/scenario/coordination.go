package scenario

import (
	"strconv"
	"strings"
	"time"

	"harrierhoist/internal/control/failover"
)

// Coordination says whether gateways decide together where attempts go, and what the processes
// between them are like.
type Coordination struct {
	Mode             string  `toml:"how"`
	Voters           int     `toml:"voters"`     // in the zones in turn
	DigestInterval   Span    `toml:"digest"`     // between two digests of a gateway
	DecisionInterval Span    `toml:"decide"`     // between two decisions of the leader
	CommitTime       [2]Span `toml:"commit"`     // from a decision until it is written, drawn between the two
	Lease            Span    `toml:"lease"`      // on a table, from when the read was sent
	ReadWait         Span    `toml:"wait"`       // of a read, for a later table
	ElectionTime     [2]Span `toml:"leaderless"` // from the loss of a leader to the next, drawn between the two
	MessageLoss      float64 `toml:"loss"`       // part of the messages between processes that are lost
}

// Modes of coordination.
const (
	CoordinationNone   = "none"   // the gateways share nothing
	CoordinationLocal  = "own"    // each gateway runs the controller of failover on its own observations
	CoordinationShared = "common" // the leader of the voters runs it
)

// minInterval is the shortest interval, lease or wait of coordination.
const minInterval = Span(time.Millisecond)

// maxVoters is the most voters of a scenario: an odd number, as each number of voters is.
const maxVoters = 5

func (o *Coordination) check(checker *checker) {
	checker.oneOf("common.how", o.Mode, CoordinationNone, CoordinationLocal, CoordinationShared)
	isOdd := o.Voters&1 == 1
	checker.check(
		isOdd && o.Voters >= 1 && o.Voters <= maxVoters,
		"common.voters",
		"is %d; 1, 3 or 5 is allowed",
		o.Voters,
	)
	for _, interval := range []struct {
		key string
		is  Span
	}{
		{"digest", o.DigestInterval},
		{"decide", o.DecisionInterval},
		{"lease", o.Lease},
		{"wait", o.ReadWait},
	} {
		checker.check(
			interval.is >= minInterval,
			"common."+interval.key,
			"is %v; 1ms at least is allowed",
			interval.is.D(),
		)
	}
	for _, bounds := range []struct {
		key string
		are [2]Span
	}{{"commit", o.CommitTime}, {"leaderless", o.ElectionTime}} {
		checker.check(bounds.are[0] >= 0 && bounds.are[0] <= bounds.are[1], "common."+bounds.key,
			"is %v; the first is no more than the second", bounds.are)
	}
	checker.check(
		o.MessageLoss >= 0 && o.MessageLoss < 1,
		"common.loss",
		"is %g; from 0 to less than 1 is allowed",
		o.MessageLoss,
	)
}

// ZoneName is the name of a zone where zones have names.
func ZoneName(n int) string { return "hall-" + strconv.Itoa(n) }

// FailoverSettings are the settings of failover: what the file says, with the scenario's regions
// and its servers' capacity.
func (s *Scenario) FailoverSettings() failover.Settings {
	settings := s.Failover
	settings.Enabled = true
	zonesOf := map[int][]string{}
	for zone, region := range s.ZoneRegions() {
		zonesOf[region] = append(zonesOf[region], ZoneName(zone))
	}
	for region := range max(len(s.Gateways.Regions), 1) {
		if zones := zonesOf[region]; len(zones) > 0 {
			settings.Regions = append(
				settings.Regions,
				failover.Region{Name: "region-" + strconv.Itoa(region), Zones: zones},
			)
		}
	}
	if settings.Capacity == 0 {
		settings.Capacity = float64(s.Servers.Cores) / s.meanWork() * s.meanUnits()
	}
	return settings
}

// checkFailover checks the settings of failover as they follow from the scenario.
func (s *Scenario) checkFailover(c *checker) {
	c.check(len(s.Failover.Regions) == 0, "failover.regions", "is not for a world; gateways.regions is")
	if len(s.Classes) == 0 || s.Gateways.Zones > maxZones || s.Gateways.Zones < 1 {
		return
	}
	for _, err := range s.FailoverSettings().Check() {
		key, message, _ := strings.Cut(err.Error(), ": ")
		followsFromClasses := key == "failover.bears" && s.Failover.Capacity == 0
		if !followsFromClasses { // else it is reported of the classes
			c.check(false, key, "%s", message)
		}
	}
}
