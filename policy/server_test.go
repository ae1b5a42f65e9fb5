package policy

import (
	"testing"
	"time"
)

func TestServerThatTurnsAllAwayIsLeftAlone(t *testing.T) {
	s := begin(t, site(), 3)
	bad := 0
	for id := uint32(1); id <= 100; id++ {
		s.take(id, 0, 0, 1)
		s.pass(ms)
		for n := 0; s.pushed(id) > n; {
			n = s.pushed(id)
			if last := s.pushes[len(s.pushes)-1]; last.server != 3 {
				bad++ // two of three servers turn everything away, at once
				s.end(id, Full)
			} else {
				s.end(id, Answered)
			}
		}
	}
	if bad > 20 {
		t.Errorf("%d pushes went to servers that turn all away", bad)
	}
}

func TestSilentServerIsSetAsideAndTriedAgain(t *testing.T) {
	s := begin(t, site(), 3)
	for id := uint32(1); id <= 600; id++ {
		s.take(id, 0, 0, 1)
		s.pass(10 * ms)
		for i := range s.pushes {
			if p := s.pushes[i]; !p.ended && p.server != 1 {
				s.end(p.task, Answered) // server 1 never answers
			}
		}
	}
	late := s.sentTo(1, time.Minute+time.Second)
	if late < 1 || late > 8 {
		t.Errorf("%d pushes to a silent server in 5 s after its first, want a trial now and then", late)
	}
}

func TestServerSilentInOneLaneIsSetAsideForThatLaneAlone(t *testing.T) {
	s := begin(t, site(), 2)
	for id := uint32(1); id <= 8; id++ {
		s.take(id, 0, 0, 1)
		s.end(id, Answered) // both serve who looks
	}
	s.take(9, 2, 0, 1)
	s.pass(2 * time.Second) // who pays hears nothing
	silent := s.g.fleet.servers[s.pushes[8].server-1]
	if !silent.sick(s.of(2)) || silent.sick(s.of(0)) {
		t.Errorf("set aside for the silent lane: %v, for the good one: %v", silent.sick(s.of(2)), silent.sick(s.of(0)))
	}
	for id := uint32(10); id <= 13; id++ {
		s.take(id, 2, 0, 1)
		s.end(id, Answered)
		if got := s.pushes[len(s.pushes)-1].server; got == silent.Server {
			t.Errorf("task %d of the silent lane went there again", id)
		}
	}
}

func TestOneFailureTellsLittleWhereFailuresStrikeEverywhere(t *testing.T) {
	s := begin(t, site(), 6)
	for id := uint32(1); id <= 300; id++ { // one answer in six is spoilt, at each server alike
		s.take(id, 2, 0, 1)
		if p := &s.pushes[len(s.pushes)-1]; p.server == id%6+1 {
			s.end(id, Reset)
		} else {
			s.end(id, Answered)
		}
		s.pass(20 * ms)
	}
	aside := 0
	for _, server := range s.g.fleet.up {
		if server.sick(s.of(2)) {
			aside++
		}
	}
	if aside > 1 {
		t.Errorf("%d of six servers are set aside", aside)
	}
	for range 3 { // one that does nothing else is
		s.g.fleet.up[0].ended(note{job: &job{Task: Task{Lane: 2}, row: &s.g.lanes[2], pushes: []sent{{server: s.g.fleet.up[0]}}},
			push: Push{Outcome: Reset}})
	}
	if !s.g.fleet.up[0].sick(s.of(2)) {
		t.Error("a server that fails always is not set aside")
	}
}

// of is a task of a lane, of the first plan.
func (s *story) of(lane int) *job { return &job{Task: Task{Lane: lane}, row: &s.g.lanes[lane]} }

// A server that turned one plan away and answered another was never set aside: each answer to the other wiped out what
// had been turned away.
func TestAServerThatTurnsOnePlanAwayIsSetAsideForIt(t *testing.T) {
	s := begin(t, site(), 3)
	id, turned := uint32(0), 0
	for range 40 {
		for _, plan := range []int{0, 3} {
			id++
			s.take(id, 0, plan, 1)
			if s.pushes[len(s.pushes)-1].server == 1 && plan == 3 {
				turned++
				s.end(id, Full) // what goes out again is answered
			}
			s.end(id, Answered)
			s.pass(10 * ms)
		}
	}
	if turned > 2 {
		t.Errorf("the server got %d tasks of the plan that it turns away", turned)
	}
	if n := s.sentTo(1, 0); n < 10 {
		t.Errorf("the server got %d tasks in all, though it serves the other plan", n)
	}
}

// A push called off at its client's patience said nothing of its server, so one that took tasks and answered none stayed
// in use.
func TestAPushCalledOffAfterSilenceCountsAsAFailure(t *testing.T) {
	for took, aside := range map[time.Duration]bool{20 * ms: false, 1900 * ms: true} {
		d := site()
		d.Cancelling = true
		s := begin(t, d, 4)
		s.take(1, 0, 0, 1)
		server := s.g.fleet.servers[s.pushes[0].server-1]
		s.g.Ended(s.now, Push{Task: 1, Server: server.Server, Outcome: Cancelled, Took: took})
		if server.sick(s.of(0)) != aside {
			t.Errorf("called off after %v: set aside %v, want %v", took, !aside, aside)
		}
	}
}

// Answer times grow with the units: a task of eight units made its lane's silence long, and a lost push of one unit was
// noticed when its client had gone.
func TestSilenceGoesByTheUnits(t *testing.T) {
	s := begin(t, site(), 4)
	for id := uint32(1); id <= 4; id++ {
		s.take(id, 0, 0, 8)
		s.g.Ended(s.now, Push{Task: id, Server: s.pushes[id-1].server, Outcome: Answered, Took: 1600 * ms, Done: true})
	}
	small, large := s.of(0), s.of(0)
	small.Units, large.Units = 1, 8
	if small.silence() != 800*ms || large.silence() != 6400*ms {
		t.Errorf("silence of one unit %v, of eight %v; want four answer times of each", small.silence(), large.silence())
	}
}

// Of two servers with as much out, the slower was taken as often.
func TestASlowerServerIsTakenLess(t *testing.T) {
	s := begin(t, site(), 2)
	for id := uint32(1); id <= 200; id++ {
		s.take(id, 0, 0, 1)
		p := s.pushes[len(s.pushes)-1]
		s.g.Ended(s.now, Push{Task: id, Server: p.server, Outcome: Answered, Took: time.Duration(20*p.server) * ms, Done: true})
		s.pass(10 * ms)
	}
	if fast, slow := s.sentTo(1, 0), s.sentTo(2, 0); fast < 2*slow {
		t.Errorf("%d pushes to the fast server, %d to one half as fast", fast, slow)
	}
}
