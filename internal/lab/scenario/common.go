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
type Common struct {
	// How is "none", as without any of it; "own", the decider on each gateway's own evidence alone; or "common".
	How        string  `toml:"how"`
	Voters     int     `toml:"voters"`     // in halls in turn
	Digest     Span    `toml:"digest"`     // between two digests of a gateway
	Decide     Span    `toml:"decide"`     // between two decisions of the leader
	Commit     [2]Span `toml:"commit"`     // from a decision until it is written, drawn
	Lease      Span    `toml:"lease"`      // on a table, from when the read was sent
	Wait       Span    `toml:"wait"`       // that a read waits for news
	Leaderless [2]Span `toml:"leaderless"` // from the loss of a leader to the next, drawn
	Loss       float64 `toml:"loss"`       // part of the messages between processes that are lost
}

// The ways to decide where tasks are pushed.
const (
	None = "none"
	Own  = "own"
	All  = "common"
)

// commonUsual is off; its times are those of the program.
func commonUsual() Common {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return Common{
		How: None, Voters: 3, Digest: ms(200), Decide: ms(100), Commit: [2]Span{ms(2), ms(20)}, Lease: ms(2000),
		Wait: ms(500), Leaderless: [2]Span{ms(300), ms(900)},
	}
}

// wrong checks what the file says of it.
func (c *Common) wrong(say func(good bool, path, format string, args ...any)) {
	say(slices.Contains([]string{None, Own, All}, c.How), "common.how", "is %q; one of %q is allowed", c.How,
		[]string{None, Own, All})
	say(c.Voters == 1 || c.Voters == 3 || c.Voters == 5, "common.voters", "is %d; 1, 3 or 5 is allowed", c.Voters)
	for key, s := range map[string]Span{"digest": c.Digest, "decide": c.Decide, "lease": c.Lease, "wait": c.Wait} {
		say(s.D() >= time.Millisecond, "common."+key, "is %v; 1ms at least is allowed", s.D())
	}
	for key, s := range map[string][2]Span{"commit": c.Commit, "leaderless": c.Leaderless} {
		say(s[0] >= 0 && s[0] <= s[1], "common."+key, "is %v; the first is no more than the second", s)
	}
	say(c.Loss >= 0 && c.Loss < 1, "common.loss", "is %g; from 0 to less than 1 is allowed", c.Loss)
}

// HallName is a hall's name where halls go by names.
func HallName(n int) string { return "hall-" + strconv.Itoa(n) }

// Terms are those of failover: what the file says, with this world's halls and what its servers bear.
func (w *World) Terms() failover.Settings {
	t := w.Failover
	t.Enabled = true
	by := map[int][]string{}
	for hall, region := range w.RegionOf() {
		by[region] = append(by[region], HallName(hall))
	}
	for region := range max(len(w.Gateways.Regions), 1) {
		if len(by[region]) > 0 {
			t.Regions = append(t.Regions, failover.Region{Name: "region-" + strconv.Itoa(region), Zones: by[region]})
		}
	}
	if t.Capacity == 0 {
		t.Capacity = float64(w.Servers.Cores) / w.MeanWork() * w.meanUnits()
	}
	return t
}

// MeanWork is the mean work of a task, in seconds on a core of speed 1.
func (w *World) MeanWork() float64 {
	sum, share := 0.0, 0.0
	for _, l := range w.Lanes {
		sum, share = sum+l.Share*l.Work.D().Seconds(), share+l.Share
	}
	return sum / share
}

// meanUnits is the mean of a task's units: exponential ones, rounded, from 1 to three times the mean.
func (w *World) meanUnits() float64 {
	mean := 1.0
	for k := 2.0; k <= 3*w.Load.Units; k++ {
		mean += math.Exp(-(k - 0.5) / w.Load.Units)
	}
	return mean
}

// failoverWrong tells what is wrong with the terms of failover.
func (w *World) failoverWrong(say func(good bool, path, format string, args ...any)) {
	say(len(w.Failover.Regions) == 0, "failover.regions", "is not for a world; gateways.regions is")
	if len(w.Lanes) == 0 || w.Gateways.Halls > hallsMost || w.Gateways.Halls < 1 {
		return
	}
	for _, err := range w.Terms().Check() {
		path, what, _ := strings.Cut(err.Error(), ": ")
		if w.Failover.Capacity != 0 || path != "failover.bears" { // what lanes are wrong for is told of the lanes
			say(false, path, "%s", what)
		}
	}
}
