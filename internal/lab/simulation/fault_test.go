package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// comparison is a run with a fault from faultStart to second 7 beside the same run without it.
type comparison struct{ with, without *Result }

func offered(s Second) int { return s.Offered }

func inTime(s Second) int { return s.InTime }

func failed(s Second) int { return s.Failed + s.Rejected }

func fewerInTime(c comparison) bool {
	return sumSeconds(c.with, 8, inTime) < sumSeconds(c.without, 8, inTime)*97/100
}

func moreFailed(c comparison) bool {
	return sumSeconds(c.with, 9, failed) > sumSeconds(c.without, 9, failed)+3
}

func hardlyAnyInTime(c comparison) bool {
	return sumSeconds(c.with, 7, inTime) < sumSeconds(c.without, 7, inTime)/5
}

func moreThanTwiceOffered(c comparison) bool {
	return sumSeconds(c.with, 7, offered) > 2*sumSeconds(c.without, 7, offered)
}

func moreOverQuota(c comparison) bool { return c.with.OverQuotaUnits > c.without.OverQuotaUnits }

func moreCallsRejected(c comparison) bool {
	return c.with.RejectedCounterCalls > c.without.RejectedCounterCalls+20
}

// visibleFaults has a fault of each kind, and what clients, servers or the counter see of it.
var visibleFaults = map[string]struct {
	fault     scenario.Fault
	isVisible func(c comparison) bool
}{
	"server_lost":   {scenario.Fault{Fraction: 0.4}, fewerInTime},
	"server_errors": {scenario.Fault{Fraction: 0.5, Magnitude: 1}, moreFailed},
	"server_slow":   {scenario.Fault{Fraction: 0.5, Magnitude: 8}, fewerInTime},
	"lane_silent":   {scenario.Fault{Fraction: 0.6, Class: "paid-confirm"}, moreFailed},
	"deploy": {
		scenario.Fault{Fraction: 1},
		func(c comparison) bool { return c.with.Handshakes > c.without.Handshakes*5/4 },
	},
	"mass_change": {scenario.Fault{Fraction: 0.5}, moreFailed},
	"hall_lost":   {scenario.Fault{Zone: 1}, fewerInTime},
	"hall_cut":    {scenario.Fault{Zone: 1}, fewerInTime},
	"link_cut":    {scenario.Fault{Zone: 1, OtherZone: 0}, fewerInTime},
	"blind":       {scenario.Fault{Fraction: 0.4}, fewerInTime},
	"leader_lost": {
		scenario.Fault{},
		func(c comparison) bool { return sum(c.with.FailoverMs) > sum(c.without.FailoverMs)+500 },
	},
	"answers_lost": {scenario.Fault{Fraction: 0.3}, moreFailed},
	"resets":       {scenario.Fault{Fraction: 0.3}, moreFailed},
	"counter_slow": {scenario.Fault{Magnitude: 100}, moreCallsRejected},
	"counter_silent": {
		scenario.Fault{},
		func(c comparison) bool { return c.with.CounterCalls < c.without.CounterCalls*9/10 },
	},
	"counter_refusing": {scenario.Fault{}, moreCallsRejected},
	"counter_empty":    {scenario.Fault{}, moreOverQuota},
	"counter_split":    {scenario.Fault{}, moreOverQuota},
	"burst":            {scenario.Fault{Magnitude: 3}, moreThanTwiceOffered},
	"flood":            {scenario.Fault{Magnitude: 8, Plan: "start"}, moreThanTwiceOffered},
	"kill":             {scenario.Fault{Fraction: 1}, hardlyAnyInTime},
	"rolling": {
		scenario.Fault{Fraction: 1, Magnitude: 2},
		func(c comparison) bool { return c.with.BrokenConnections > c.without.BrokenConnections+20 },
	},
	"crowd": {
		scenario.Fault{Fraction: 0.9, Zone: 1},
		func(c comparison) bool { return c.with.PeakUtilisation > 1.25*c.without.PeakUtilisation },
	},
	"standstill": {scenario.Fault{Fraction: 1}, hardlyAnyInTime},
	"list_lag":   {scenario.Fault{Magnitude: 20}, fewerInTime},
	"list_lost":  {scenario.Fault{Fraction: 1}, fewerInTime},
}

// companionFaults are in both runs of a comparison, for faults that show only beside another one.
func companionFaults(kind string) []scenario.Fault {
	switch kind {
	case "list_lag", "list_lost": // half of the servers are replaced: who is not notified goes on sending to the old ones
		return []scenario.Fault{{Kind: "mass_change", Start: span(3500 * time.Millisecond), Fraction: 0.5}}
	case "leader_lost": // a zone is lost: without a plan, gateways go on sending attempts there
		return []scenario.Fault{zoneLossFault(1, 3*time.Second, 4*time.Second)}
	}
	return nil
}

// comparisonScenario is the scenario in which a kind of fault is compared.
func comparisonScenario(kind string, faults ...scenario.Fault) *scenario.Scenario {
	spec := smallScenario(faults...)
	spec.Load.Rate = 300
	switch kind {
	case "leader_lost", "crowd": // without coordination, gateways send attempts to all zones
		spec.Coordination.Mode = scenario.CoordinationShared
	case "counter_empty", "counter_split": // counts matter to customers near their limits
		for i := range spec.Plans {
			spec.Plans[i].Rate /= 3
		}
	}
	return spec
}

func TestFaults_eachIsVisibleFromOutside(t *testing.T) {
	for _, kind := range scenario.FaultKindNames() {
		visible, known := visibleFaults[kind]
		if !known {
			t.Errorf("nothing says what is visible of %s", kind)
			continue
		}
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := visible.fault
			f.Kind, f.Start, f.Duration = kind, span(faultStart*time.Second), span(4*time.Second)
			companions := companionFaults(kind)
			c := comparison{
				with:    mustRun(t, comparisonScenario(kind, append(companions, f)...), 5, baseline.Module),
				without: mustRun(t, comparisonScenario(kind, companions...), 5, baseline.Module),
			}
			if !visible.isVisible(c) {
				t.Errorf("not visible: with %s, without %s", c.with.summary(), c.without.summary())
			}
		})
	}
}
