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
	scenario.ServerLoss:     {scenario.Fault{Fraction: 0.4}, fewerInTime},
	scenario.ServerErrors:   {scenario.Fault{Fraction: 0.5, Magnitude: 1}, moreFailed},
	scenario.ServerSlowdown: {scenario.Fault{Fraction: 0.5, Magnitude: 8}, fewerInTime},
	scenario.ClassSilence:   {scenario.Fault{Fraction: 0.6, Class: "paid-confirm"}, moreFailed},
	scenario.RollingDeploy: {
		scenario.Fault{Fraction: 1},
		func(c comparison) bool { return c.with.Handshakes > c.without.Handshakes*5/4 },
	},
	scenario.MassReplacement:  {scenario.Fault{Fraction: 0.5}, moreFailed},
	scenario.ZoneLoss:         {scenario.Fault{Zone: 1}, fewerInTime},
	scenario.ZoneIsolation:    {scenario.Fault{Zone: 1}, fewerInTime},
	scenario.LinkCut:          {scenario.Fault{Zone: 1, OtherZone: 0}, fewerInTime},
	scenario.GatewayIsolation: {scenario.Fault{Fraction: 0.4}, fewerInTime},
	scenario.LeaderLoss: {
		scenario.Fault{},
		func(c comparison) bool { return sum(c.with.FailoverMs) > sum(c.without.FailoverMs)+500 },
	},
	scenario.AnswerLoss:       {scenario.Fault{Fraction: 0.3}, moreFailed},
	scenario.ConnectionResets: {scenario.Fault{Fraction: 0.3}, moreFailed},
	scenario.CounterSlowdown:  {scenario.Fault{Magnitude: 100}, moreCallsRejected},
	scenario.CounterSilence: {
		scenario.Fault{},
		func(c comparison) bool { return c.with.CounterCalls < c.without.CounterCalls*9/10 },
	},
	scenario.CounterRejection: {scenario.Fault{}, moreCallsRejected},
	scenario.CounterReset:     {scenario.Fault{}, moreOverQuota},
	scenario.CounterSplit:     {scenario.Fault{}, moreOverQuota},
	scenario.LoadBurst:        {scenario.Fault{Magnitude: 3}, moreThanTwiceOffered},
	scenario.PlanFlood:        {scenario.Fault{Magnitude: 8, Plan: "start"}, moreThanTwiceOffered},
	scenario.GatewayKill:      {scenario.Fault{Fraction: 1}, hardlyAnyInTime},
	scenario.RollingRestart: {
		scenario.Fault{Fraction: 1, Magnitude: 2},
		func(c comparison) bool { return c.with.BrokenConnections > c.without.BrokenConnections+20 },
	},
	scenario.Hotspot: {
		scenario.Fault{Fraction: 0.9, Zone: 1},
		func(c comparison) bool { return c.with.PeakUtilisation > 1.25*c.without.PeakUtilisation },
	},
	scenario.GatewayPause:  {scenario.Fault{Fraction: 1}, hardlyAnyInTime},
	scenario.DiscoveryLag:  {scenario.Fault{Magnitude: 20}, fewerInTime},
	scenario.DiscoveryLoss: {scenario.Fault{Fraction: 1}, fewerInTime},
}

// companionFaults are in both runs of a comparison, for a fault that shows only beside another.
func companionFaults(kind string) []scenario.Fault {
	switch kind {
	case scenario.DiscoveryLag, scenario.DiscoveryLoss:
		// Half of the servers are replaced: gateways that are not notified go on sending to the old
		// ones.
		return []scenario.Fault{{Kind: scenario.MassReplacement, Start: span(3500 * time.Millisecond), Fraction: 0.5}}
	case scenario.LeaderLoss: // a zone is lost: without a plan, gateways go on sending attempts there
		return []scenario.Fault{zoneLossFault(1, 3*time.Second, 4*time.Second)}
	}
	return nil
}

// comparisonScenario is the scenario in which a kind of fault is compared.
func comparisonScenario(kind string, faults ...scenario.Fault) *scenario.Scenario {
	spec := smallScenario(faults...)
	spec.Load.Rate = 300
	switch kind {
	case scenario.LeaderLoss, scenario.Hotspot: // without coordination, gateways send attempts to all zones
		spec.Coordination.Mode = scenario.CoordinationShared
	case scenario.CounterReset, scenario.CounterSplit: // counts matter to customers near their limits
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
			t.Errorf("no row says what is visible of %s", kind)
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
