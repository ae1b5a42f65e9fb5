package policy

import (
	"slices"
	"testing"
	"time"
)

// lends starts a gateway with four servers of its own and two more, 5 and 6, that owner 9 lends for elective pushes.
func lends(t *testing.T) *story {
	s := begin(t, site(), 4)
	list := []Listed{{Server: 5, Stage: Ready, Power: 1, Cell: 7, Hall: 1, Owner: 9, Elective: true},
		{Server: 6, Stage: Ready, Power: 1, Cell: 7, Hall: 1, Owner: 9, Elective: true}}
	s.g.List(s.now, ListChanges, list)
	return s
}

func (s *story) prefers(id uint32, lane, owner int) {
	s.g.Take(s.now, Task{ID: id, Lane: lane, Width: s.width, Units: 1, Expires: s.now + 2*time.Second, Prefer: owner})
	s.counter()
}

// Only the first push of a pure task that prefers their owner goes to elective servers; its further pushes, other
// lanes' and other tasks never do.
func TestElectiveServersTakeElectivePushesAlone(t *testing.T) {
	for _, c := range []struct {
		lane, owner int
		elective    bool
	}{{0, 9, true}, {0, 0, false}, {0, 8, false}, {1, 9, false}, {2, 9, false}, {3, 9, false}} {
		s := lends(t)
		for id := range uint32(40) {
			s.prefers(id+1, c.lane, c.owner)
			first := s.pushes[len(s.pushes)-1].server
			if (first > 4) != c.elective {
				t.Fatalf("%+v: task %d pushed to %d", c, id+1, first)
			}
			s.end(id+1, []Outcome{Answered, Errored}[id/39]) // the last one is pushed again
			for s.pushes[len(s.pushes)-1].task == id+1 && !s.pushes[len(s.pushes)-1].ended {
				if again := s.pushes[len(s.pushes)-1].server; again > 4 {
					t.Fatalf("%+v: task %d pushed again, to %d", c, id+1, again)
				}
				s.end(id+1, Answered)
			}
			s.pass(time.Second)
		}
	}
}

// Where the lender has no room, is cold, or the fleet is pressed, the task goes where it would have gone.
func TestElectiveTaskGoesElsewhereWithoutRoom(t *testing.T) {
	for name, spoil := range map[string]func(*story){
		"gone": func(s *story) {
			s.g.List(s.now, ListChanges, []Listed{{Server: 5, Stage: Gone}, {Server: 6, Stage: Draining}})
		},
		"cold": func(s *story) {
			for _, n := range []uint32{5, 6} {
				s.g.List(s.now, ListChanges, []Listed{{Server: n, Stage: Ready, Power: 1, Hall: 1, Owner: 9,
					Elective: true, Since: s.now}})
			}
			s.pass(4 * time.Second) // one that is half warm is due a push of ordinary ones
		},
		"full": func(s *story) {
			for id := range uint32(60) { // none of them is answered
				s.prefers(100+id, 0, 9)
			}
		},
		"pressed": func(s *story) {
			for range 4 * boundLeast {
				s.g.fleet.took.add(samplesMany, spent{s.now + time.Hour, 50})
			}
		},
	} {
		s := lends(t)
		spoil(s)
		for id := uint32(1); id < 20; id++ {
			s.prefers(id, 0, 9)
			for _, p := range s.pushes {
				if p.task == id && p.server > 4 {
					t.Errorf("%s: task %d pushed to %d", name, id, p.server)
				}
			}
			s.end(id, Answered)
		}
	}
}

// With nobody to prefer, owners' marks change nothing, and nor do elective servers.
func TestWithNothingElectiveDecisionsAreTheSame(t *testing.T) {
	play := func(list []Listed) []string {
		s := begin(t, site(), 8)
		s.g.List(s.now, ListChanges, list)
		for id := range uint32(300) {
			s.take(id+1, int(id%4), 0, 1)
			s.pass(5 * ms)
			s.end(id/2+1, []Outcome{Answered, Answered, Errored, Full}[id%4])
		}
		return s.did
	}
	plain := play(nil)
	var marked []Listed
	for i := range 8 {
		marked = append(marked, Listed{Server: uint32(i + 1), Stage: Ready, Power: 1, Cell: i / 2, Owner: i % 3})
	}
	if !slices.Equal(plain, play(marked)) {
		t.Error("owners' marks change what is decided")
	}
}
