package scenario

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"harrierhoist/internal/failover"
)

// Common says whether gateways decide in common where tasks are pushed, and what the processes between them are like.
type Coordination struct {
	// How is "none", as without any of it; "own", the decider on each gateway's own evidence alone; or "common".
	Mode             string  `toml:"how"`
	Voters           int     `toml:"voters"`     // in halls in turn
	DigestInterval   Span    `toml:"digest"`     // between two digests of a gateway
	DecisionInterval Span    `toml:"decide"`     // between two decisions of the leader
	CommitTime       [2]Span `toml:"commit"`     // from a decision until it is written, drawn
	Lease            Span    `toml:"lease"`      // on a table, from when the read was sent
	ReadWait         Span    `toml:"wait"`       // that a read waits for news
	ElectionTime     [2]Span `toml:"leaderless"` // from the loss of a leader to the next, drawn
	MessageLoss      float64 `toml:"loss"`       // part of the messages between processes that are lost
}

// The ways to decide where tasks are pushed.
const (
	CoordinationNone   = "none"
	CoordinationLocal  = "own"
	CoordinationShared = "common"
)

// commonUsual is off; its times are those of the program.
func defaultCoordination() Coordination {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return Coordination{
		Mode: CoordinationNone, Voters: 3, DigestInterval: ms(200), DecisionInterval: ms(100), CommitTime: [2]Span{ms(2), ms(20)}, Lease: ms(2000),
		ReadWait: ms(500), ElectionTime: [2]Span{ms(300), ms(900)},
	}
}

// wrong checks what the file says of it.
func (c *Coordination) check(say func(good bool, path, format string, args ...any)) {
	say(slices.Contains([]string{CoordinationNone, CoordinationLocal, CoordinationShared}, c.Mode), "common.how", "is %q; one of %q is allowed", c.Mode,
		[]string{CoordinationNone, CoordinationLocal, CoordinationShared})
	say(c.Voters == 1 || c.Voters == 3 || c.Voters == 5, "common.voters", "is %d; 1, 3 or 5 is allowed", c.Voters)
	for key, s := range map[string]Span{"digest": c.DigestInterval, "decide": c.DecisionInterval, "lease": c.Lease, "wait": c.ReadWait} {
		say(s.D() >= time.Millisecond, "common."+key, "is %v; 1ms at least is allowed", s.D())
	}
	for key, s := range map[string][2]Span{"commit": c.CommitTime, "leaderless": c.ElectionTime} {
		say(s[0] >= 0 && s[0] <= s[1], "common."+key, "is %v; the first is no more than the second", s)
	}
	say(c.MessageLoss >= 0 && c.MessageLoss < 1, "common.loss", "is %g; from 0 to less than 1 is allowed", c.MessageLoss)
}

// HallName is a hall's name where halls go by names.
func ZoneName(n int) string { return "hall-" + strconv.Itoa(n) }

// Terms are those of failover: what the file says, with this world's halls and what its servers bear.
func (s *Scenario) FailoverSettings() failover.Settings {
	t := s.Failover
	t.Enabled = true
	by := map[int][]string{}
	for hall, region := range s.ZoneRegions() {
		by[region] = append(by[region], ZoneName(hall))
	}
	for region := range max(len(s.Gateways.Regions), 1) {
		if len(by[region]) > 0 {
			t.Regions = append(t.Regions, failover.Region{Name: "region-" + strconv.Itoa(region), Zones: by[region]})
		}
	}
	if t.Capacity == 0 {
		t.Capacity = float64(s.Servers.Cores) / s.MeanWork() * s.meanUnits()
	}
	return t
}

// MeanWork is the mean work of a task, in seconds on a core of speed 1.
func (s *Scenario) MeanWork() float64 {
	sum, share := 0.0, 0.0
	for _, l := range s.Classes {
		sum, share = sum+l.Share*l.Work.D().Seconds(), share+l.Share
	}
	return sum / share
}

// meanUnits is the mean of a task's units: exponential ones, rounded, from 1 to three times the mean.
func (s *Scenario) meanUnits() float64 {
	mean := 1.0
	for k := 2.0; k <= 3*s.Load.MeanUnits; k++ {
		mean += math.Exp(-(k - 0.5) / s.Load.MeanUnits)
	}
	return mean
}

// failoverWrong tells what is wrong with the terms of failover.
func (s *Scenario) checkFailover(say func(good bool, path, format string, args ...any)) {
	say(len(s.Failover.Regions) == 0, "failover.regions", "is not for a world; gateways.regions is")
	if len(s.Classes) == 0 || s.Gateways.Zones > maxZones || s.Gateways.Zones < 1 {
		return
	}
	for _, err := range s.FailoverSettings().Check() {
		path, what, _ := strings.Cut(err.Error(), ": ")
		if s.Failover.Capacity != 0 || path != "failover.bears" { // what lanes are wrong for is told of the lanes
			say(false, path, "%s", what)
		}
	}
}
