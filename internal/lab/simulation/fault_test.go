package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// part sums a figure of the seconds from one to another.
func sumSeconds(r *Result, from, to int, of func(Second) int) (n int) {
	for _, s := range r.Timeline[from:min(to, len(r.Timeline))] {
		n += of(s)
	}
	return n
}

func sum(all []int) (n int) {
	for _, one := range all {
		n += one
	}
	return n
}

// TestEachTroubleShowsFromOutside plays a world with a trouble from second 3 to 7 and without it, and looks at what
// clients, servers and the counter saw.
func TestFaults_eachIsVisibleFromOutside(t *testing.T) {
	offered := func(s Second) int { return s.Offered }
	inTime := func(s Second) int { return s.InTime }
	failed := func(s Second) int { return s.Failed + s.Rejected }
	type pair struct{ with, without *Result }
	fewerInTime := func(p pair) bool {
		return sumSeconds(p.with, 3, 8, inTime) < sumSeconds(p.without, 3, 8, inTime)*97/100
	}
	moreFailed := func(p pair) bool { return sumSeconds(p.with, 3, 9, failed) > sumSeconds(p.without, 3, 9, failed)+3 }
	stories := map[string]struct {
		trouble scenario.Fault
		shows   func(p pair) bool
	}{
		"server_lost":   {scenario.Fault{Fraction: 0.4}, fewerInTime},
		"server_errors": {scenario.Fault{Fraction: 0.5, Magnitude: 1}, moreFailed},
		"server_slow":   {scenario.Fault{Fraction: 0.5, Magnitude: 8}, fewerInTime},
		"lane_silent":   {scenario.Fault{Fraction: 0.6, Class: "paid-confirm"}, moreFailed},
		"deploy":        {scenario.Fault{Fraction: 1}, func(p pair) bool { return p.with.Handshakes > p.without.Handshakes*5/4 }},
		"mass_change":   {scenario.Fault{Fraction: 0.5}, moreFailed},
		"hall_lost":     {scenario.Fault{Zone: 1}, fewerInTime},
		"hall_cut":      {scenario.Fault{Zone: 1}, fewerInTime},
		"link_cut":      {scenario.Fault{Zone: 1, OtherZone: 0}, fewerInTime},
		"blind":         {scenario.Fault{Fraction: 0.4}, fewerInTime},
		// Who leads is felt where a plan is wanted: with a hall lost meanwhile, gateways go on pushing there.
		"leader_lost":  {scenario.Fault{}, func(p pair) bool { return sum(p.with.FailoverMs) > sum(p.without.FailoverMs)+500 }},
		"answers_lost": {scenario.Fault{Fraction: 0.3}, moreFailed},
		"resets":       {scenario.Fault{Fraction: 0.3}, moreFailed},
		"counter_slow": {
			scenario.Fault{Magnitude: 100},
			func(p pair) bool { return p.with.RejectedCounterCalls > p.without.RejectedCounterCalls+20 },
		},
		"counter_silent":   {scenario.Fault{}, func(p pair) bool { return p.with.CounterCalls < p.without.CounterCalls*9/10 }},
		"counter_refusing": {scenario.Fault{}, func(p pair) bool { return p.with.RejectedCounterCalls > p.without.RejectedCounterCalls+20 }},
		"counter_empty":    {scenario.Fault{}, func(p pair) bool { return p.with.OverQuotaUnits > p.without.OverQuotaUnits }},
		"counter_split":    {scenario.Fault{}, func(p pair) bool { return p.with.OverQuotaUnits > p.without.OverQuotaUnits }},
		"burst": {scenario.Fault{Magnitude: 3}, func(p pair) bool {
			return sumSeconds(p.with, 3, 7, offered) > 2*sumSeconds(p.without, 3, 7, offered)
		}},
		"flood": {scenario.Fault{Magnitude: 8, Plan: "start"}, func(p pair) bool {
			return sumSeconds(p.with, 3, 7, offered) > 2*sumSeconds(p.without, 3, 7, offered)
		}},
		"kill": {scenario.Fault{Fraction: 1}, func(p pair) bool {
			return sumSeconds(p.with, 3, 7, inTime) < sumSeconds(p.without, 3, 7, inTime)/5
		}},
		"rolling": {
			scenario.Fault{Fraction: 1, Magnitude: 2},
			func(p pair) bool { return p.with.BrokenConnections > p.without.BrokenConnections+20 },
		},
		"crowd": {scenario.Fault{Fraction: 0.9, Zone: 1}, func(p pair) bool {
			return p.with.PeakUtilisation > 1.25*p.without.PeakUtilisation
		}},
		"standstill": {scenario.Fault{Fraction: 1}, func(p pair) bool {
			return sumSeconds(p.with, 3, 7, inTime) < sumSeconds(p.without, 3, 7, inTime)/5
		}},
		// Lists alone hurt nobody: with half of the servers gone meanwhile, those who do not hear of it go on pushing there.
		"list_lag":  {scenario.Fault{Magnitude: 20}, fewerInTime},
		"list_lost": {scenario.Fault{Fraction: 1}, fewerInTime},
	}
	for _, kind := range scenario.FaultKindNames() {
		s, has := stories[kind]
		if !has {
			t.Errorf("%s has no story", kind)
			continue
		}
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s.trouble.Kind, s.trouble.Start, s.trouble.Duration = kind, span(3*time.Second), span(4*time.Second)
			var also []scenario.Fault
			if kind == "list_lag" || kind == "list_lost" {
				also = append(also, scenario.Fault{Kind: "mass_change", Start: span(3500 * time.Millisecond), Fraction: 0.5})
			}
			if kind == "leader_lost" {
				also = append(also, scenario.Fault{
					Kind: "hall_lost", Start: span(3 * time.Second), Duration: span(4 * time.Second),
					Zone: 1,
				})
			}
			world := func(troubles ...scenario.Fault) *scenario.Scenario {
				spec := smallScenario(troubles...)
				spec.Load.Rate = 300
				if kind == "leader_lost" || kind == "crowd" { // a gateway as it is pushes to all halls
					spec.Coordination.Mode = "common"
				}
				if kind == "counter_empty" || kind == "counter_split" { // counts matter to those near their limits
					for i := range spec.Plans {
						spec.Plans[i].Rate /= 3
					}
				}
				return spec
			}
			without := mustRun(t, world(also...), 5, baseline.Module)
			if p := (pair{mustRun(t, world(append(also, s.trouble)...), 5, baseline.Module), without}); !s.shows(p) {
				t.Errorf("not seen: plan %v %v, in time %d with and %d without, failed or refused %d and %d, offered %d and %d, "+
					"beyond %.0f and %.0f, calls %d and %d",
					p.with.FailoverMs, p.without.FailoverMs, sumSeconds(p.with, 3, 8, inTime), sumSeconds(p.without, 3, 8, inTime),
					sumSeconds(p.with, 3, 9, failed), sumSeconds(p.without, 3, 9, failed),
					sumSeconds(p.with, 3, 7, offered), sumSeconds(p.without, 3, 7, offered), p.with.OverQuotaUnits, p.without.OverQuotaUnits, p.with.CounterCalls,
					p.without.CounterCalls)
			}
		})
	}
}

func TestRun_unusualScenarios(t *testing.T) {
	for name, change := range map[string]func(spec *scenario.Scenario){
		"one gateway":           func(spec *scenario.Scenario) { spec.Gateways.Count, spec.Gateways.Zones = 1, 1 },
		"one server":            func(spec *scenario.Scenario) { spec.Servers.Count = 1 },
		"no counter":            func(spec *scenario.Scenario) { spec.Counter.Rate = 0 },
		"hardly any load":       func(spec *scenario.Scenario) { spec.Load.Rate = 0.5 },
		"more halls than hands": func(spec *scenario.Scenario) { spec.Gateways.Zones, spec.Servers.Count = 8, 3 },
		"no time to warm":       func(spec *scenario.Scenario) { spec.Servers.WarmUpTime = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			spec := smallScenario(scenario.Fault{Kind: "deploy", Start: span(2 * time.Second), Duration: span(2 * time.Second), Fraction: 0.5})
			change(spec)
			r := mustRun(t, spec, 2, baseline.Module)
			if r.Offered == 0 || r.InTime == 0 {
				t.Errorf("%d offered, %d in time", r.Offered, r.InTime)
			}
		})
	}
}
