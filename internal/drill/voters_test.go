package drill

import (
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/drill/relay"
)

var cut = relay.Fault{CutThere: true}

// 4. The leader's word arrives nowhere while others' arrives at it, or the other way round. Another leads, and a hall's
// loss is answered.
func TestOneWayCutOfTheLeader(t *testing.T) {
	for name, way := range map[string]func(s *story, leader string){
		"its calls":     func(s *story, leader string) { s.Between([]string{leader}, nil, cut) },
		"calls to it":   func(s *story, leader string) { s.Between(nil, []string{leader}, cut) },
		"their answers": func(s *story, leader string) { s.Between(nil, []string{leader}, relay.Fault{CutBack: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := begin(t)
			way(s, s.Leader().Name)
			s.lose("hall-a", "hall-b")
			s.Heal()
			s.Leader()
			s.share("hall-a", "hall-b", away, 1)
			s.over()
		})
	}
}

// 5. The leader stands still past its lease; meanwhile another plan comes into force. Awake, it still believes to lead
// and holds the old plan: no gateway goes back to it.
func TestLeaderAsleepPastItsLeaseThenAwake(t *testing.T) {
	s := begin(t)
	old := s.Leader()
	epoch := s.Read("failover").Epoch
	old.Signal(syscall.SIGSTOP)
	s.lose("hall-a", "hall-b")
	from := time.Now()
	old.Signal(syscall.SIGCONT)
	s.Leader()
	if e := s.Read("failover").Epoch; e <= epoch {
		t.Errorf("the plan stands at %d, and stood at %d", e, epoch)
	}
	s.share("hall-a", "hall-b", away, 1)
	if n := s.Ledger.Flow(from)[[2]string{"hall-a", "hall-a"}]; n > 0 {
		t.Errorf("%d pushes to the lost hall", n)
	}
	s.over()
}

// 7. All voters are killed at once when a hall's tasks have moved. Gateways go on; what was acknowledged is there when
// the voters are back, and the tasks are where they were.
func TestAllVotersKilledAtOnceInMidFailover(t *testing.T) {
	s := begin(t)
	s.lose("hall-a", "hall-b")
	epoch := s.Read("failover").Epoch
	for _, v := range s.Voters {
		v.Signal(syscall.SIGKILL)
	}
	for _, v := range s.Voters {
		v.Kill()
	}
	for _, g := range s.Gateways {
		s.says(g.Process, "no plan in force", 2)
	}
	s.share("hall-b", "hall-b", near, 1)
	s.honoured(100)
	s.Club.Start()
	if e := s.Read("failover").Epoch; e < epoch {
		t.Errorf("the plan stands at %d, and %d was acknowledged", e, epoch)
	}
	s.share("hall-a", "hall-b", away, 1)
	s.Become("hall-a", Well)
	s.share("hall-a", "hall-a", near, 1)
	s.over()
}

// 8. A voter's disk is lost and another takes its place, under a new number, while a hall comes back cold. The tasks
// come home by steps all the same.
func TestVoterReplacedWhileAHallReturnsCold(t *testing.T) {
	s := begin(t)
	s.lose("hall-a", "hall-b")
	old := s.Voters[1]
	old.Kill()
	s.Become("hall-a", Well)
	s.Replace(old, "v4", 4)
	s.Files()
	for _, v := range s.Voters {
		v.Signal(syscall.SIGHUP)
	}
	for _, g := range s.Gateways {
		g.Signal(syscall.SIGHUP)
	}
	s.Club.Start(s.Voters[1])
	s.says(s.Voters[1].Process, "this voter has begun", 1)
	s.share("hall-a", "hall-a", near, 1)
	s.Voters[0].Kill() // the new one counts: with it a majority stands
	s.lose("hall-b", "hall-a")
	s.over()
}

// 17. The leader's disk is full when it is to write the next plan. It stops, and says so; another leads and writes it.
// With room again, and started again, it is one of the three.
func TestFullDiskAtAVoter(t *testing.T) {
	s := begin(t)
	full := s.Leader()
	must(t, full.Fill(true))
	s.lose("hall-a", "hall-b")
	s.says(full.Process, "this voter has stopped", 1)
	full.Kill()
	s.Club.Start(full)
	s.Become("hall-a", Well)
	s.share("hall-a", "hall-a", near, 1)
	for _, v := range s.Voters {
		if v != full {
			v.Kill() // with the one that is back a majority stands
			break
		}
	}
	s.lose("hall-a", "hall-b")
	s.over()
}

// 18. All processes run on the old file, then half of them on a new one with other terms. Whichever file the leader
// has, a hall's loss is answered, and its return.
func TestHalfOfTheProcessesOnANewFile(t *testing.T) {
	s := begin(t)
	s.Terms = terms + "[failover.bears_by]\n\"hall-a\" = 120\n"
	s.VoterTerms = s.Terms
	half := map[string]*Process{"v1": s.Voters[0].Process, "hall-a-g0": s.Gateways[0].Process,
		"hall-b-g0": s.Gateways[2].Process,
		"hall-c-g0": s.Gateways[4].Process}
	for name, p := range half {
		s.Files(name)
		p.Signal(syscall.SIGHUP)
		s.says(p, "a new charter", 1)
	}
	s.lose("hall-a", "hall-b")
	s.Leader().Kill()
	s.Become("hall-a", Well)
	s.share("hall-a", "hall-a", near, 1)
	s.share("hall-b", "hall-b", near, 1)
	s.over()
}
