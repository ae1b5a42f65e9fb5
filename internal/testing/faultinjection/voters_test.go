package faultinjection

import (
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/faultinjection/faultproxy"
	"harrierhoist/internal/testing/subprocess"
)

// 4. The leader's calls arrive nowhere while others' arrive at it, or the other way round. Another
// leads, and a zone's loss is answered.
func TestVoters_leaderWithOneWayPartition(t *testing.T) {
	for name, way := range map[string]func(s *scenario, leader string){
		"its calls":   func(s *scenario, leader string) { s.SetFault([]string{leader}, nil, dropRequests) },
		"calls to it": func(s *scenario, leader string) { s.SetFault(nil, []string{leader}, dropRequests) },
		"their answers": func(s *scenario, leader string) {
			s.SetFault(nil, []string{leader}, faultproxy.Fault{DropResponses: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startScenario(t)
			way(s, s.Leader().Name)
			s.failZone("hall-a", "hall-b")
			s.ClearFaults()
			s.Leader()
			s.waitForFraction("hall-a", "hall-b", minMovedFraction, 1)
			s.finish()
		})
	}
}

// 5. The leader is paused past its lease; meanwhile another plan comes into force. Resumed, it
// still believes that it leads and has the old plan: no gateway goes back to that.
func TestVoters_leaderPausedPastLeaseThenResumed(t *testing.T) {
	s := startScenario(t)
	old := s.Leader()
	epoch := s.Read("failover").Epoch
	old.Signal(syscall.SIGSTOP)
	s.failZone("hall-a", "hall-b")
	from := time.Now()
	old.Signal(syscall.SIGCONT)
	s.Leader()
	if e := s.Read("failover").Epoch; e <= epoch {
		t.Errorf("the plan is at epoch %d, and was at %d", e, epoch)
	}
	s.waitForFraction("hall-a", "hall-b", minMovedFraction, 1)
	if n := s.Recorder.AttemptsByRoute(from)[Route{"hall-a", "hall-a"}]; n > 0 {
		t.Errorf("%d attempts in the lost zone", n)
	}
	s.finish()
}

// 7. All voters are killed at once after a zone's requests have moved. Gateways go on; what was
// acknowledged is there when the voters are back, and the requests are where they were.
func TestVoters_allKilledDuringFailover(t *testing.T) {
	s := startScenario(t)
	s.failZone("hall-a", "hall-b")
	epoch := s.Read("failover").Epoch
	for _, v := range s.Voters {
		v.Signal(syscall.SIGKILL)
	}
	for _, v := range s.Voters {
		v.Kill()
	}
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, "no plan in force", 2)
	}
	s.waitForFraction("hall-b", "hall-b", minLocalFraction, 1)
	s.waitForServed(100)
	s.VoterCluster.Start()
	if e := s.Read("failover").Epoch; e < epoch {
		t.Errorf("the plan is at epoch %d, and %d was acknowledged", e, epoch)
	}
	s.waitForFraction("hall-a", "hall-b", minMovedFraction, 1)
	s.SetZoneBehavior("hall-a", Healthy)
	s.waitForFraction("hall-a", "hall-a", minLocalFraction, 1)
	s.finish()
}

// 8. A voter's disk is lost and another takes its place, under a new number, while a zone comes
// back and warms up. Its requests come back by steps all the same.
func TestVoters_replacedWhileZoneRecovers(t *testing.T) {
	s := startScenario(t)
	s.failZone("hall-a", "hall-b")
	old := s.Voters[1]
	old.Kill()
	s.SetZoneBehavior("hall-a", Healthy)
	s.Replace(old, "v4", 4)
	s.WriteConfigs()
	for _, v := range s.Voters {
		v.Signal(syscall.SIGHUP)
	}
	for _, g := range s.Gateways {
		g.Signal(syscall.SIGHUP)
	}
	s.VoterCluster.Start(s.Voters[1])
	s.waitForLog(s.Voters[1].Process, "coordination: voter started", 1)
	s.waitForFraction("hall-a", "hall-a", minLocalFraction, 1)
	s.Voters[0].Kill() // the new one counts: with it a majority stands
	s.failZone("hall-b", "hall-a")
	s.finish()
}

// 17. The leader's disk is full when it is to write the next plan. It stops, and logs it; another
// leads and writes the plan. With space again, and started again, it is one of the three.
func TestVoters_leaderWithFullDisk(t *testing.T) {
	s := startScenario(t)
	full := s.Leader()
	must(t, full.SetDiskFull(true))
	s.failZone("hall-a", "hall-b")
	s.waitForLog(full.Process, "voter: stopped after a failure", 1)
	full.Kill()
	s.VoterCluster.Start(full)
	s.SetZoneBehavior("hall-a", Healthy)
	s.waitForFraction("hall-a", "hall-a", minLocalFraction, 1)
	for _, v := range s.Voters {
		if v != full {
			v.Kill() // with the one that is back a majority stands
			break
		}
	}
	s.failZone("hall-a", "hall-b")
	s.finish()
}

// 18. All processes run on the old configuration, then half of them on a new one with other terms.
// Whichever the leader has, a zone's loss is answered, and its return.
func TestVoters_halfOfProcessesOnNewConfig(t *testing.T) {
	s := startScenario(t)
	s.GatewayTerms = failoverTerms + "[failover.bears_by]\n\"hall-a\" = 120\n"
	s.VoterTerms = s.GatewayTerms
	half := map[string]*subprocess.Process{
		"v1": s.Voters[0].Process, "hall-a-g0": s.Gateways[0].Process, "hall-b-g0": s.Gateways[2].Process,
		"hall-c-g0": s.Gateways[4].Process,
	}
	for name, p := range half {
		s.WriteConfigs(name)
		p.Signal(syscall.SIGHUP)
		s.waitForLog(p, "coordination: new configuration in force", 1)
	}
	s.failZone("hall-a", "hall-b")
	s.Leader().Kill()
	s.SetZoneBehavior("hall-a", Healthy)
	s.waitForFraction("hall-a", "hall-a", minLocalFraction, 1)
	s.waitForFraction("hall-b", "hall-b", minLocalFraction, 1)
	s.finish()
}
