package faultinjection

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// failoverTerms has two regions of three halls. Clients ask for some 160 units a second in each hall, of which 4 servers bear
// 400: 320 are planned there at most, so a hall bears another's tasks besides its own, and no third's.
const failoverTerms = `[failover]
on = true
bears = 100
least_stay_s = 2
step = 0.5
[[failover.regions]]
name = "north"
halls = ["hall-a", "hall-b"]
[[failover.regions]]
name = "south"
halls = ["hall-c"]
`

const (
	requestRate       = 40   // tasks a second of each gateway, of two units in the mean
	zoneCapacity      = 400  // units a second of a hall, by the terms
	minLocalFraction  = 0.98 // of tasks are pushed in their own hall on calm days
	minMovedFraction  = 0.8  // at least, of a lost hall's: the rest tries it
	minServedFraction = 0.6  // at least, of what clients ask, is pushed elsewhere once a plan has moved a hall: what tries it is not
	loadWindowSeconds = 3    // seconds over which a hall's load is looked at: over one, chance alone passes by a quarter
	minSample         = 20   // pushes that make a share
)

// withoutVoters plays the stories without voters, each gateway by its own evidence: all must fail.
var withoutVoters = flag.Bool("without", false, "play the stories without voters: they must fail")

// scenario is a world with something in common that is calm, and clients that ask.
type scenario struct {
	*Environment
	*VoterCluster
	stopLoad  func()
	startedAt time.Time
	t         *testing.T
}

// startScenario starts all of it, and waits until a plan is in force everywhere and tasks are pushed near.
func startScenario(t *testing.T) *scenario {
	t.Helper()
	return startScenarioWith(t, failoverTerms)
}

func startScenarioWith(t *testing.T, terms string) *scenario {
	t.Helper()
	s := startEnvironment(t, terms, terms, mixedRequests)
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, "routing: plan in force", 1)
	}
	s.startedAt = time.Now()
	for _, zone := range s.Zones {
		s.waitForFraction(zone, zone, minLocalFraction, 1)
	}
	return s
}

// startEnvironment starts all of it with parts' terms, and has clients ask for what is drawn in each hall.
func startEnvironment(t *testing.T, gateways, voters string, draw func(zone int) func(*rand.Rand) Request) *scenario {
	t.Helper()
	env := newThreeZones(t)
	s := &scenario{Environment: env, VoterCluster: env.AddVoters(gateways, voters), t: t}
	t.Cleanup(func() {
		for i := 0; i < len(env.Gateways) && t.Failed(); i += 2 {
			t.Logf("%s:\n%s", env.Gateways[i].Name, env.Gateways[i].Log.String())
		}
	})
	if !*withoutVoters {
		s.VoterCluster.Start()
	}
	env.Start(env.Gateways...)
	s.stopLoad = env.offerLoad(requestRate, draw)
	return s
}

// waitForLog waits until a process has said words so often.
func (s *scenario) waitForLog(p *Process, phrase string, times int) {
	s.t.Helper()
	if *withoutVoters {
		return
	}
	fakes.Eventually(s.t, p.Name+" says "+phrase, func() bool { return p.Log.Count(phrase) >= times })
}

// routeFraction is the part of the pushes of a hall's tasks, in the last second or since a time if that is later, that went to a
// hall; -1 where there are few.
func (s *scenario) routeFraction(from, to string, since time.Time) float64 {
	if second := time.Now().Add(-time.Second); second.After(since) {
		since = second
	}
	flow, all := s.Recorder.AttemptsByRoute(since), 0
	for _, zone := range s.Zones {
		all += flow[[2]string{from, zone}]
	}
	if all < minSample {
		return -1
	}
	return float64(flow[[2]string{from, to}]) / float64(all)
}

// waitForFraction waits until, of the pushes from here on, such a part of one hall's goes to another.
func (s *scenario) waitForFraction(from, to string, minFraction, maxFraction float64) {
	s.t.Helper()
	since, is := time.Now(), 0.0
	defer func() {
		if s.t.Failed() {
			s.t.Logf("from %s to %s: %.2f; all: %v", from, to, is, s.Recorder.AttemptsByRoute(time.Now().Add(-time.Second)))
		}
	}()
	fakes.Eventually(s.t, fmt.Sprintf("%.2f to %.2f of the tasks of %s in %s", minFraction, maxFraction, from, to), func() bool {
		is = s.routeFraction(from, to, since)
		return is >= minFraction && is <= maxFraction
	})
}

// waitForLoad waits until servers of a hall get at least such a part of what clients ask of another in a second from here
// on.
func (s *scenario) waitForLoad(from, to string, minFraction float64) {
	s.t.Helper()
	since, n := time.Now(), 0
	fakes.Eventually(s.t, fmt.Sprintf("%.2f of what is asked in %s served in %s", minFraction, from, to), func() bool {
		now := time.Now()
		if now.Sub(since) > time.Second {
			since = now.Add(-time.Second)
		}
		n = s.Recorder.AttemptsByRoute(since)[[2]string{from, to}]
		return float64(n) >= minFraction*requestRate*float64(len(s.GatewaysIn(from)))
	})
}

// expectNoAttempts wants no push from a hall to another since a time.
func (s *scenario) expectNoAttempts(from, to string, since time.Time) {
	s.t.Helper()
	if n := s.Recorder.AttemptsByRoute(since)[[2]string{from, to}]; n > 0 {
		s.t.Errorf("%d pushes from %s to %s", n, from, to)
	}
}

// finish waits for the answers, and wants no rule broken and no hall pushed over what it bears.
func (s *scenario) finish() {
	s.t.Helper()
	s.stopLoad()
	if wrong := s.Recorder.Violations(); len(wrong) > 0 {
		s.t.Errorf("%v; ends %v", wrong, s.Recorder.ResultCounts())
	}
	units := map[string]float64{}
	for _, attempt := range s.Recorder.Attempts() {
		units[fmt.Sprintf("%s in seconds %d", attempt.Zone, attempt.ReceivedAt.Unix()/loadWindowSeconds)] += attempt.Units / loadWindowSeconds
	}
	for zone, n := range units {
		if n > zoneCapacity {
			s.t.Errorf("%s: %.0f units a second, and it bears %d", zone, n, zoneCapacity)
		}
	}
	all := []*Process{}
	for _, g := range s.Gateways {
		all = append(all, g.Process)
	}
	for _, v := range s.Voters {
		all = append(all, v.Process)
	}
	for _, p := range all {
		for _, phrase := range []string{"panic", "DATA RACE", "malformed plan"} {
			if p.Log.Count(phrase) > 0 {
				s.t.Errorf("%s has %q in its log:\n%s", p.Name, phrase, p.Log.String())
			}
		}
	}
}

// failZone has a hall's servers die, and waits until its tasks are in another.
func (s *scenario) failZone(zone, to string) {
	s.t.Helper()
	s.SetZoneBehavior(zone, Down)
	s.waitForFraction(zone, to, minMovedFraction, 1)
	s.waitForLoad(zone, to, minServedFraction)
}
