package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// part sums a figure of the seconds from one to another.
func during(r *Result, from, to int, of func(Second) int) (n int) {
	for _, s := range r.Seconds[from:min(to, len(r.Seconds))] {
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
func TestEachTroubleShowsFromOutside(t *testing.T) {
	offered := func(s Second) int { return s.Offered }
	inTime := func(s Second) int { return s.InTime }
	failed := func(s Second) int { return s.Failed + s.Refused }
	type pair struct{ with, without *Result }
	fewerInTime := func(p pair) bool {
		return during(p.with, 3, 8, inTime) < during(p.without, 3, 8, inTime)*97/100
	}
	moreFailed := func(p pair) bool { return during(p.with, 3, 9, failed) > during(p.without, 3, 9, failed)+3 }
	stories := map[string]struct {
		trouble scenario.Trouble
		shows   func(p pair) bool
	}{
		"server_lost":   {scenario.Trouble{Part: 0.4}, fewerInTime},
		"server_errors": {scenario.Trouble{Part: 0.5, Size: 1}, moreFailed},
		"server_slow":   {scenario.Trouble{Part: 0.5, Size: 8}, fewerInTime},
		"lane_silent":   {scenario.Trouble{Part: 0.6, Lane: "paid-confirm"}, moreFailed},
		"deploy":        {scenario.Trouble{Part: 1}, func(p pair) bool { return p.with.Handshakes > p.without.Handshakes*5/4 }},
		"mass_change":   {scenario.Trouble{Part: 0.5}, moreFailed},
		"hall_lost":     {scenario.Trouble{Hall: 1}, fewerInTime},
		"hall_cut":      {scenario.Trouble{Hall: 1}, fewerInTime},
		"link_cut":      {scenario.Trouble{Hall: 1, To: 0}, fewerInTime},
		"blind":         {scenario.Trouble{Part: 0.4}, fewerInTime},
		// Who leads is felt where a plan is wanted: with a hall lost meanwhile, gateways go on pushing there.
		"leader_lost":  {scenario.Trouble{}, func(p pair) bool { return sum(p.with.PlanMs) > sum(p.without.PlanMs)+500 }},
		"answers_lost": {scenario.Trouble{Part: 0.3}, moreFailed},
		"resets":       {scenario.Trouble{Part: 0.3}, moreFailed},
		"counter_slow": {
			scenario.Trouble{Size: 100},
			func(p pair) bool { return p.with.CallsRefused > p.without.CallsRefused+20 },
		},
		"counter_silent":   {scenario.Trouble{}, func(p pair) bool { return p.with.Calls < p.without.Calls*9/10 }},
		"counter_refusing": {scenario.Trouble{}, func(p pair) bool { return p.with.CallsRefused > p.without.CallsRefused+20 }},
		"counter_empty":    {scenario.Trouble{}, func(p pair) bool { return p.with.Beyond > p.without.Beyond }},
		"counter_split":    {scenario.Trouble{}, func(p pair) bool { return p.with.Beyond > p.without.Beyond }},
		"burst": {scenario.Trouble{Size: 3}, func(p pair) bool {
			return during(p.with, 3, 7, offered) > 2*during(p.without, 3, 7, offered)
		}},
		"flood": {scenario.Trouble{Size: 8, Plan: "start"}, func(p pair) bool {
			return during(p.with, 3, 7, offered) > 2*during(p.without, 3, 7, offered)
		}},
		"kill": {scenario.Trouble{Part: 1}, func(p pair) bool {
			return during(p.with, 3, 7, inTime) < during(p.without, 3, 7, inTime)/5
		}},
		"rolling": {
			scenario.Trouble{Part: 1, Size: 2},
			func(p pair) bool { return p.with.Broken0 > p.without.Broken0+20 },
		},
		"crowd": {scenario.Trouble{Part: 0.9, Hall: 1}, func(p pair) bool {
			return p.with.Hottest > 1.25*p.without.Hottest
		}},
		"standstill": {scenario.Trouble{Part: 1}, func(p pair) bool {
			return during(p.with, 3, 7, inTime) < during(p.without, 3, 7, inTime)/5
		}},
		// Lists alone hurt nobody: with half of the servers gone meanwhile, those who do not hear of it go on pushing there.
		"list_lag":  {scenario.Trouble{Size: 20}, fewerInTime},
		"list_lost": {scenario.Trouble{Part: 1}, fewerInTime},
	}
	for _, kind := range scenario.KindNames() {
		s, has := stories[kind]
		if !has {
			t.Errorf("%s has no story", kind)
			continue
		}
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s.trouble.Kind, s.trouble.At, s.trouble.For = kind, span(3*time.Second), span(4*time.Second)
			var also []scenario.Trouble
			if kind == "list_lag" || kind == "list_lost" {
				also = append(also, scenario.Trouble{Kind: "mass_change", At: span(3500 * time.Millisecond), Part: 0.5})
			}
			if kind == "leader_lost" {
				also = append(also, scenario.Trouble{
					Kind: "hall_lost", At: span(3 * time.Second), For: span(4 * time.Second),
					Hall: 1,
				})
			}
			world := func(troubles ...scenario.Trouble) *scenario.World {
				w := small(troubles...)
				w.Load.Rate = 300
				if kind == "leader_lost" || kind == "crowd" { // a gateway as it is pushes to all halls
					w.Common.How = "common"
				}
				if kind == "counter_empty" || kind == "counter_split" { // counts matter to those near their limits
					for i := range w.Plans {
						w.Plans[i].Rate /= 3
					}
				}
				return w
			}
			without := play(t, world(also...), 5, baseline.Module)
			if p := (pair{play(t, world(append(also, s.trouble)...), 5, baseline.Module), without}); !s.shows(p) {
				t.Errorf("not seen: plan %v %v, in time %d with and %d without, failed or refused %d and %d, offered %d and %d, "+
					"beyond %.0f and %.0f, calls %d and %d",
					p.with.PlanMs, p.without.PlanMs, during(p.with, 3, 8, inTime), during(p.without, 3, 8, inTime),
					during(p.with, 3, 9, failed), during(p.without, 3, 9, failed),
					during(p.with, 3, 7, offered), during(p.without, 3, 7, offered), p.with.Beyond, p.without.Beyond, p.with.Calls,
					p.without.Calls)
			}
		})
	}
}

func TestOddWorldsPlay(t *testing.T) {
	for name, change := range map[string]func(w *scenario.World){
		"one gateway":           func(w *scenario.World) { w.Gateways.Count, w.Gateways.Halls = 1, 1 },
		"one server":            func(w *scenario.World) { w.Servers.Count = 1 },
		"no counter":            func(w *scenario.World) { w.Counter.Rate = 0 },
		"hardly any load":       func(w *scenario.World) { w.Load.Rate = 0.5 },
		"more halls than hands": func(w *scenario.World) { w.Gateways.Halls, w.Servers.Count = 8, 3 },
		"no time to warm":       func(w *scenario.World) { w.Servers.WarmAfter = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			w := small(scenario.Trouble{Kind: "deploy", At: span(2 * time.Second), For: span(2 * time.Second), Part: 0.5})
			change(w)
			r := play(t, w, 2, baseline.Module)
			if r.Offered == 0 || r.InTime == 0 {
				t.Errorf("%d offered, %d in time", r.Offered, r.InTime)
			}
		})
	}
}
