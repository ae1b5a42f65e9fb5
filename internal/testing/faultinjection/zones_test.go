package faultinjection

import (
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// minRecoveryTime is between the first step back and the last: two seconds by the terms, less the
// time between checks.
const minRecoveryTime = 1700 * time.Millisecond

// 1. A zone's servers go down at once. Its requests go to the zone of its region that has capacity,
// none to the other region; when it is back they come back by steps.
func TestZone_lostCompletely(t *testing.T) {
	s := startScenario(t)
	s.failZone("hall-a", "hall-b")
	s.waitForFraction("hall-b", "hall-b", minLocalFraction, 1)
	s.SetZoneBehavior("hall-a", Healthy)
	s.waitForFraction("hall-a", "hall-a", 0.3, 0.9)
	first := time.Now()
	s.waitForFraction("hall-a", "hall-a", minLocalFraction, 1)
	t.Logf("%v from the first step to the last", time.Since(first))
	if took := time.Since(first); took < minRecoveryTime {
		t.Errorf("all came back %v after the first step", took)
	}
	s.expectNoAttempts(Route{"hall-a", "hall-c"}, s.startedAt)
	s.finish()
}

// 2. Half of a zone's servers go down. It keeps what the others have capacity for, and only the
// rest moves.
func TestZone_atHalfCapacity(t *testing.T) {
	s := startScenario(t)
	n := 0
	for _, server := range s.Servers {
		if server.Zone == "hall-a" && n < 3 {
			must(t, server.SetBehavior(Down))
			n++
		}
	}
	s.waitForFraction("hall-a", "hall-a", 0.3, 0.7) // 80 of 160 units
	s.waitForFraction("hall-a", "hall-b", 0.3, 0.7)
	s.waitForFraction("hall-b", "hall-b", minLocalFraction, 1)
	s.expectNoAttempts(Route{"hall-a", "hall-c"}, s.startedAt)
	s.finish()
}

// 3. No gateway of a zone reaches any voter, while clients reach them: they serve in their own
// zone, and the zone is not taken to be lost. Another zone's loss is answered, with that one as
// receiver.
func TestZone_partitionedFromVotersOnly(t *testing.T) {
	s := startScenario(t)
	b := []string{"hall-b-g0", "hall-b-g1"}
	s.Isolate(b...)
	for _, g := range s.GatewaysIn("hall-b") {
		s.waitForLog(g.Process, "no plan in force", 2) // the first was before there was a plan
	}
	s.waitForFraction("hall-b", "hall-b", minLocalFraction, 1)
	s.failZone("hall-a", "hall-b")
	s.waitForFraction("hall-b", "hall-b", minLocalFraction, 1)
	s.waitForFraction("hall-c", "hall-c", minLocalFraction, 1)
	s.ClearFaults()
	for _, g := range s.GatewaysIn("hall-b") {
		s.waitForLog(g.Process, "routing: plan in force", 2)
		if n := g.Log.Count("follower: lease expired"); n != 1 {
			t.Errorf("%s logged %d times that its lease expired", g.Name, n)
		}
	}
	s.expectNoAttempts(Route{"hall-b", "hall-c"}, s.startedAt)
	s.expectNoAttempts(Route{"hall-a", "hall-c"}, s.startedAt)
	s.finish()
}

// 6. A zone, its voter and its gateways are partitioned from all others, and its servers go down.
// The minority keeps its last plan while its lease holds, then sends elsewhere no more than the
// plan had reserved for that.
func TestZone_minorityPartitionWithFailedZone(t *testing.T) {
	s := startScenario(t)
	apart := []string{"hall-c-g0", "hall-c-g1", "v3"}
	others := []string{"hall-a-g0", "hall-a-g1", "hall-b-g0", "hall-b-g1", "v1", "v2"}
	s.SetFault(apart, []string{"v1", "v2"}, dropRequests)
	s.SetFault(others, []string{"v3"}, dropRequests)
	s.SetZoneBehavior("hall-c", Down)
	for _, g := range s.GatewaysIn("hall-c") {
		s.waitForLog(g.Process, "no plan in force", 2)
	}
	from := time.Now()
	fakes.Eventually(t, "requests of hall-c in other zones", func() bool {
		counts := s.Recorder.AttemptsByRoute(from)
		return counts[Route{"hall-c", "hall-a"}]+counts[Route{"hall-c", "hall-b"}] >= minSample
	})
	for _, zone := range []string{"hall-a", "hall-b"} {
		s.waitForFraction(zone, zone, minLocalFraction, 1)
	}
	s.ClearFaults()
	for _, g := range s.GatewaysIn("hall-c") {
		s.waitForLog(g.Process, "hall-c is lost", 1)
	}
	s.expectNoAttempts(Route{"hall-c", "hall-c"}, time.Now().Add(-time.Second))
	s.finish()
}

// 9. Both zones of a region go down while the counter answers nothing. The other region takes what
// it has capacity for beside its own requests, and no more.
func TestZone_regionLostWhileCounterIsDown(t *testing.T) {
	s := startScenario(t)
	release := s.Counter.Hold()
	s.SetZoneBehavior("hall-a", Down)
	s.SetZoneBehavior("hall-b", Down)
	s.waitForFraction("hall-a", "hall-c", 0.9, 1) // of those that are attempted at all
	s.waitForFraction("hall-b", "hall-c", 0.9, 1)
	s.waitForLoad("hall-c", "hall-c", minServedFraction)
	s.waitForLoad("hall-a", "hall-c", 0.2) // half fits
	s.waitForLoad("hall-b", "hall-c", 0.2)
	s.waitForFraction("hall-c", "hall-c", minLocalFraction, 1)
	release()
	s.finish()
}

// 10. One gateway reaches no server of a zone that all others reach. Its observations move nothing.
func TestZone_failuresSeenByOneGatewayOnly(t *testing.T) {
	s := startScenario(t)
	isolated := s.Gateways[0]
	epoch := s.Read("failover").Epoch
	s.hideZone(isolated, "hall-a")
	s.waitForLog(isolated.Process, "policy: server ejected", 4)
	from := time.Now()
	fakes.Eventually(t, "three seconds and more requests", func() bool {
		return time.Since(from) > 3*time.Second &&
			s.Recorder.AttemptsByRoute(from)[Route{"hall-a", "hall-a"}] > minSample
	})
	if e := s.Read("failover").Epoch; e != epoch {
		t.Errorf("the plan went from epoch %d to %d", epoch, e)
	}
	s.waitForFraction("hall-b", "hall-b", minLocalFraction, 1)
	s.SetZoneBehavior("hall-c", Down) // a loss that others see is acted on
	s.waitForFraction("hall-c", "hall-c", 0, 1-minMovedFraction)
	for _, g := range s.GatewaysIn("hall-c") {
		s.waitForLog(g.Process, "hall-c is lost", 1)
	}
	s.finish()
}
