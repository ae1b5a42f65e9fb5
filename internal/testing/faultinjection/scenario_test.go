package faultinjection

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

// failoverTerms has two regions with three zones. Clients ask for some 160 units per second in each
// zone. A zone's 4 servers have a capacity of 400, of which 320 are planned at most: it serves
// another zone's requests besides its own, and no third's.
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
	requestRate       = 40   // requests per second at each gateway, of two units on average
	zoneCapacity      = 400  // units per second, by the terms
	minLocalFraction  = 0.98 // of attempts are in their own zone while all is well
	minMovedFraction  = 0.8  // of a lost zone's attempts are elsewhere: the rest tries it
	minServedFraction = 0.6  // of a lost zone's requests are attempted elsewhere: those that try it are not
	// over which a zone's load is measured: over one second, chance alone exceeds it by a quarter
	loadWindowSeconds = 3
	minSample         = 20 // attempts that make a fraction
)

// withoutVoters runs the scenarios without voters, each gateway by its own observations: all must
// fail.
var withoutVoters = flag.Bool("without", false, "run the scenarios without voters: they must fail")

// scenario is an environment with voters, and clients that send requests.
type scenario struct {
	*Environment
	*VoterCluster
	stopLoad  func()
	startedAt time.Time
	t         *testing.T
}

// startScenario starts all processes, and waits until a plan is in force everywhere and attempts
// are in their own zones.
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

// startEnvironment starts all processes with the terms of gateways and voters, and has clients send
// requests.
func startEnvironment(t *testing.T, gatewayTerms, voterTerms string, draw drawFunc) *scenario {
	t.Helper()
	env := newThreeZones(t)
	s := &scenario{Environment: env, VoterCluster: env.AddVoters(gatewayTerms, voterTerms), t: t}
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

// waitForLog waits until a process has logged a text a number of times.
func (s *scenario) waitForLog(p *subprocess.Process, text string, times int) {
	s.t.Helper()
	if *withoutVoters {
		return
	}
	fakes.Eventually(s.t, p.Name+" logs "+text, func() bool { return p.Log.Count(text) >= times })
}

// routeFraction returns the fraction of a zone's attempts that are in a zone, in the last second or
// since a time if that is later; -1 where there are too few.
func (s *scenario) routeFraction(from, to string, since time.Time) float64 {
	if second := time.Now().Add(-time.Second); second.After(since) {
		since = second
	}
	counts, total := s.Recorder.AttemptsByRoute(since), 0
	for _, zone := range s.Zones {
		total += counts[Route{from, zone}]
	}
	if total < minSample {
		return -1
	}
	return float64(counts[Route{from, to}]) / float64(total)
}

// waitForFraction waits until the fraction of a zone's attempts from now on that are in a zone is
// within bounds.
func (s *scenario) waitForFraction(from, to string, minFraction, maxFraction float64) {
	s.t.Helper()
	since, fraction := time.Now(), 0.0
	defer func() {
		if s.t.Failed() {
			counts := s.Recorder.AttemptsByRoute(time.Now().Add(-time.Second))
			s.t.Logf("from %s to %s: %.2f; all: %v", from, to, fraction, counts)
		}
	}()
	what := fmt.Sprintf("%.2f to %.2f of the attempts of %s in %s", minFraction, maxFraction, from, to)
	fakes.Eventually(s.t, what, func() bool {
		fraction = s.routeFraction(from, to, since)
		return fraction >= minFraction && fraction <= maxFraction
	})
}

// waitForLoad waits until a zone gets, in a second from now on, at least a fraction of what clients
// ask for in a zone.
func (s *scenario) waitForLoad(from, to string, minFraction float64) {
	s.t.Helper()
	since := time.Now()
	fakes.Eventually(s.t, fmt.Sprintf("%.2f of the requests of %s served in %s", minFraction, from, to), func() bool {
		now := time.Now()
		if now.Sub(since) > time.Second {
			since = now.Add(-time.Second)
		}
		n := s.Recorder.AttemptsByRoute(since)[Route{from, to}]
		return float64(n) >= minFraction*requestRate*float64(len(s.GatewaysIn(from)))
	})
}

// expectNoAttempts fails where there was an attempt on a route since a time.
func (s *scenario) expectNoAttempts(route Route, since time.Time) {
	s.t.Helper()
	if n := s.Recorder.AttemptsByRoute(since)[route]; n > 0 {
		s.t.Errorf("%d attempts on route %v", n, route)
	}
}

// finish waits for the answers, and fails where a rule was broken, a zone overloaded, or a process
// logged what it must not.
func (s *scenario) finish() {
	s.t.Helper()
	s.stopLoad()
	if violations := s.Recorder.Violations(); len(violations) > 0 {
		s.t.Errorf("%v; results %v", violations, s.Recorder.ResultCounts())
	}
	s.checkLoad()
	s.checkLogs()
}

// window is a span of loadWindowSeconds in a zone.
type window struct {
	zone   string
	number int64
}

// checkLoad fails where a zone got more than its capacity.
func (s *scenario) checkLoad() {
	s.t.Helper()
	rates := map[window]float64{} // units per second
	for _, attempt := range s.Recorder.Attempts() {
		rates[window{attempt.Zone, attempt.ReceivedAt.Unix() / loadWindowSeconds}] += attempt.Units / loadWindowSeconds
	}
	for w, rate := range rates {
		if rate > zoneCapacity {
			s.t.Errorf("%s in window %d: %.0f units per second, and its capacity is %d", w.zone, w.number, rate,
				zoneCapacity)
		}
	}
}

// checkLogs fails where a process logged what no process may.
func (s *scenario) checkLogs() {
	s.t.Helper()
	var processes []*subprocess.Process
	for _, g := range s.Gateways {
		processes = append(processes, g.Process)
	}
	for _, v := range s.Voters {
		processes = append(processes, v.Process)
	}
	for _, p := range processes {
		for _, text := range []string{"panic", "DATA RACE", "malformed plan"} {
			if p.Log.Count(text) > 0 {
				s.t.Errorf("%s has %q in its log:\n%s", p.Name, text, p.Log.String())
			}
		}
	}
}

// failZone has a zone's servers go down, and waits until its requests are served in another.
func (s *scenario) failZone(zone, to string) {
	s.t.Helper()
	s.SetZoneBehavior(zone, Down)
	s.waitForFraction(zone, to, minMovedFraction, 1)
	s.waitForLoad(zone, to, minServedFraction)
}
