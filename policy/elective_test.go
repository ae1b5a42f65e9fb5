package policy

import (
	"slices"
	"testing"
	"time"
)

// newElectiveHarness starts a gateway with four servers of its own and two more, 5 and 6, that owner 9 lends for elective pushes.
func newElectiveHarness(t *testing.T) *harness {
	s := newHarness(t, testSettings(), 4)
	list := []Endpoint{{Server: 5, State: Ready, Capacity: 1, Rack: 7, Zone: 1, Owner: 9, Elective: true},
		{Server: 6, State: Ready, Capacity: 1, Rack: 7, Zone: 1, Owner: 9, Elective: true}}
	s.gateway.HandleEndpoints(s.now, ListDelta, list)
	return s
}

func (s *harness) requestPreferring(id uint32, class, owner int) {
	s.gateway.HandleRequest(s.now, Request{ID: id, Class: class, GatewayCount: s.gatewayCount, Units: 1, Deadline: s.now + 2*time.Second, PreferOwner: owner})
	s.answerCounter()
}

// Only the first push of a pure task that prefers their owner goes to elective servers; its further pushes, other
// lanes' and other tasks never do.
func TestElective_serversTakeElectiveAttemptsOnly(t *testing.T) {
	for _, c := range []struct {
		lane, owner int
		elective    bool
	}{{0, 9, true}, {0, 0, false}, {0, 8, false}, {1, 9, false}, {2, 9, false}, {3, 9, false}} {
		s := newElectiveHarness(t)
		for id := range uint32(40) {
			s.requestPreferring(id+1, c.lane, c.owner)
			first := s.attempts[len(s.attempts)-1].server
			if (first > 4) != c.elective {
				t.Fatalf("%+v: task %d pushed to %d", c, id+1, first)
			}
			s.finishAttempt(id+1, []Outcome{Answered, Errored}[id/39]) // the last one is pushed again
			for s.attempts[len(s.attempts)-1].request == id+1 && !s.attempts[len(s.attempts)-1].ended {
				if again := s.attempts[len(s.attempts)-1].server; again > 4 {
					t.Fatalf("%+v: task %d pushed again, to %d", c, id+1, again)
				}
				s.finishAttempt(id+1, Answered)
			}
			s.advance(time.Second)
		}
	}
}

// Where the lender has no room, is cold, or the fleet is pressed, the task goes where it would have gone.
func TestElective_requestGoesElsewhereWithoutCapacity(t *testing.T) {
	for name, spoil := range map[string]func(*harness){
		"gone": func(s *harness) {
			s.gateway.HandleEndpoints(s.now, ListDelta, []Endpoint{{Server: 5, State: Removed}, {Server: 6, State: Draining}})
		},
		"cold": func(s *harness) {
			for _, n := range []uint32{5, 6} {
				s.gateway.HandleEndpoints(s.now, ListDelta, []Endpoint{{Server: n, State: Ready, Capacity: 1, Zone: 1, Owner: 9,
					Elective: true, StartedAt: s.now}})
			}
			s.advance(4 * time.Second) // one that is half warm is due a push of ordinary ones
		},
		"full": func(s *harness) {
			for id := range uint32(60) { // none of them is answered
				s.requestPreferring(100+id, 0, 9)
			}
		},
		"pressed": func(s *harness) {
			for range 4 * minRateSamples {
				s.gateway.balancer.recentLatencies.add(latencySamples, latencySample{s.now + time.Hour, 50})
			}
		},
	} {
		s := newElectiveHarness(t)
		spoil(s)
		for id := uint32(1); id < 20; id++ {
			s.requestPreferring(id, 0, 9)
			for _, p := range s.attempts {
				if p.request == id && p.server > 4 {
					t.Errorf("%s: task %d pushed to %d", name, id, p.server)
				}
			}
			s.finishAttempt(id, Answered)
		}
	}
}

// With nobody to prefer, owners' marks change nothing, and nor do elective servers.
func TestElective_unusedChangesNoDecision(t *testing.T) {
	play := func(list []Endpoint) []string {
		s := newHarness(t, testSettings(), 8)
		s.gateway.HandleEndpoints(s.now, ListDelta, list)
		for id := range uint32(300) {
			s.request(id+1, int(id%4), 0, 1)
			s.advance(5 * ms)
			s.finishAttempt(id/2+1, []Outcome{Answered, Answered, Errored, Rejected}[id%4])
		}
		return s.log
	}
	plain := play(nil)
	var marked []Endpoint
	for i := range 8 {
		marked = append(marked, Endpoint{Server: uint32(i + 1), State: Ready, Capacity: 1, Rack: i / 2, Owner: i % 3})
	}
	if !slices.Equal(plain, play(marked)) {
		t.Error("owners' marks change what is decided")
	}
}
