package policy

import (
	"testing"
	"time"
)

func TestEjection_serverThatRejectsAll(t *testing.T) {
	s := newHarness(t, testSettings(), 3)
	bad := 0
	for id := uint32(1); id <= 100; id++ {
		s.request(id, 0, 0, 1)
		s.advance(ms)
		for n := 0; s.attemptsOf(id) > n; {
			n = s.attemptsOf(id)
			if last := s.attempts[len(s.attempts)-1]; last.server != 3 {
				bad++ // two of three servers turn everything away, at once
				s.finishAttempt(id, Rejected)
			} else {
				s.finishAttempt(id, Answered)
			}
		}
	}
	if bad > 20 {
		t.Errorf("%d pushes went to servers that turn all away", bad)
	}
}

func TestEjection_silentServerIsTriedAgain(t *testing.T) {
	s := newHarness(t, testSettings(), 3)
	for id := uint32(1); id <= 600; id++ {
		s.request(id, 0, 0, 1)
		s.advance(10 * ms)
		for i := range s.attempts {
			if p := s.attempts[i]; !p.ended && p.server != 1 {
				s.finishAttempt(p.request, Answered) // server 1 never answers
			}
		}
	}
	late := s.attemptsTo(1, time.Minute+time.Second)
	if late < 1 || late > 8 {
		t.Errorf("%d pushes to a silent server in 5 s after its first, want a trial now and then", late)
	}
}

func TestEjection_silenceInOneClassEjectsForThatClassOnly(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 8; id++ {
		s.request(id, 0, 0, 1)
		s.finishAttempt(id, Answered) // both serve who looks
	}
	s.request(9, 2, 0, 1)
	s.advance(2 * time.Second) // who pays hears nothing
	silent := s.gateway.balancer.servers[s.attempts[8].server-1]
	if !silent.isEjectedFor(s.requestOfClass(2)) || silent.isEjectedFor(s.requestOfClass(0)) {
		t.Errorf("set aside for the silent lane: %v, for the good one: %v", silent.isEjectedFor(s.requestOfClass(2)), silent.isEjectedFor(s.requestOfClass(0)))
	}
	for id := uint32(10); id <= 13; id++ {
		s.request(id, 2, 0, 1)
		s.finishAttempt(id, Answered)
		if got := s.attempts[len(s.attempts)-1].server; got == silent.Server {
			t.Errorf("task %d of the silent lane went there again", id)
		}
	}
}

func TestEjection_needsMoreWhereFailuresAreEverywhere(t *testing.T) {
	s := newHarness(t, testSettings(), 6)
	for id := uint32(1); id <= 300; id++ { // one answer in six is spoilt, at each server alike
		s.request(id, 2, 0, 1)
		if p := &s.attempts[len(s.attempts)-1]; p.server == id%6+1 {
			s.finishAttempt(id, Reset)
		} else {
			s.finishAttempt(id, Answered)
		}
		s.advance(20 * ms)
	}
	aside := 0
	for _, server := range s.gateway.balancer.ready {
		if server.isEjectedFor(s.requestOfClass(2)) {
			aside++
		}
	}
	if aside > 1 {
		t.Errorf("%d of six servers are set aside", aside)
	}
	for range 3 { // one that does nothing else is
		s.gateway.balancer.ready[0].handleResult(message{request: &requestState{Request: Request{Class: 2}, class: &s.gateway.classes[2], attempts: []attempt{{server: s.gateway.balancer.ready[0]}}},
			result: AttemptResult{Outcome: Reset}})
	}
	if !s.gateway.balancer.ready[0].isEjectedFor(s.requestOfClass(2)) {
		t.Error("a server that fails always is not set aside")
	}
}

// requestOfClass is a task of a lane, of the first plan.
func (s *harness) requestOfClass(class int) *requestState {
	return &requestState{Request: Request{Class: class}, class: &s.gateway.classes[class]}
}

// A server that turned one plan away and answered another was never set aside: each answer to the other wiped out what
// had been turned away.
func TestEjection_serverThatRejectsOnePlan(t *testing.T) {
	s := newHarness(t, testSettings(), 3)
	id, turned := uint32(0), 0
	for range 40 {
		for _, plan := range []int{0, 3} {
			id++
			s.request(id, 0, plan, 1)
			if s.attempts[len(s.attempts)-1].server == 1 && plan == 3 {
				turned++
				s.finishAttempt(id, Rejected) // what goes out again is answered
			}
			s.finishAttempt(id, Answered)
			s.advance(10 * ms)
		}
	}
	if turned > 2 {
		t.Errorf("the server got %d tasks of the plan that it turns away", turned)
	}
	if n := s.attemptsTo(1, 0); n < 10 {
		t.Errorf("the server got %d tasks in all, though it serves the other plan", n)
	}
}

// A push called off at its client's patience said nothing of its server, so one that took tasks and answered none stayed
// in use.
func TestEjection_cancelledAfterSilenceIsAFailure(t *testing.T) {
	for took, aside := range map[time.Duration]bool{20 * ms: false, 1900 * ms: true} {
		d := testSettings()
		d.CanCancel = true
		s := newHarness(t, d, 4)
		s.request(1, 0, 0, 1)
		server := s.gateway.balancer.servers[s.attempts[0].server-1]
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: 1, Server: server.Server, Outcome: Cancelled, Latency: took})
		if server.isEjectedFor(s.requestOfClass(0)) != aside {
			t.Errorf("called off after %v: set aside %v, want %v", took, !aside, aside)
		}
	}
}

// Answer times grow with the units: a task of eight units made its lane's silence long, and a lost push of one unit was
// noticed when its client had gone.
func TestSilenceTimeout_growsWithTheUnits(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 4; id++ {
		s.request(id, 0, 0, 8)
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: id, Server: s.attempts[id-1].server, Outcome: Answered, Latency: 1600 * ms, Final: true})
	}
	small, large := s.requestOfClass(0), s.requestOfClass(0)
	small.Units, large.Units = 1, 8
	if small.silenceTimeout() != 800*ms || large.silenceTimeout() != 6400*ms {
		t.Errorf("silence of one unit %v, of eight %v; want four answer times of each", small.silenceTimeout(), large.silenceTimeout())
	}
}

// Of two servers with as much out, the slower was taken as often.
func TestPlacement_slowerServerIsPickedLess(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 200; id++ {
		s.request(id, 0, 0, 1)
		p := s.attempts[len(s.attempts)-1]
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: id, Server: p.server, Outcome: Answered, Latency: time.Duration(20*p.server) * ms, Final: true})
		s.advance(10 * ms)
	}
	if fast, slow := s.attemptsTo(1, 0), s.attemptsTo(2, 0); fast < 2*slow {
		t.Errorf("%d pushes to the fast server, %d to one half as fast", fast, slow)
	}
}
