package policy

import (
	"slices"
	"testing"
	"time"
)

// newElectiveHarness has four servers of its own and two more, 5 and 6, that owner 9 offers for
// elective attempts.
func newElectiveHarness(t *testing.T) *harness {
	t.Helper()
	world := newHarness(t, testSettings(), 4)
	list := []Endpoint{
		{Server: 5, State: Ready, Capacity: 1, Rack: 7, Zone: 1, Owner: 9, Elective: true},
		{Server: 6, State: Ready, Capacity: 1, Rack: 7, Zone: 1, Owner: 9, Elective: true},
	}
	world.gateway.HandleEndpoints(world.now, ListDelta, list)
	return world
}

func (h *harness) requestPreferring(id uint32, class, owner int) {
	h.send(Request{ID: id, Class: class, Units: 1, PreferOwner: owner})
	h.answerCounter()
}

// Only the first attempt of an idempotent request that prefers their owner goes to elective
// servers; its retries, other classes' and other requests never do.
func TestElective_serversTakeElectiveAttemptsOnly(t *testing.T) {
	for _, test := range []struct {
		name         string
		class, owner int
		elective     bool
	}{
		{"idempotent, prefers the owner", 0, 9, true},
		{"prefers nobody", 0, 0, false},
		{"prefers another owner", 0, 8, false},
		{"keyed within a rack", 1, 9, false},
		{"non-idempotent", 2, 9, false},
		{"keyed", 3, 9, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newElectiveHarness(t)
			for id := range uint32(40) {
				world.requestPreferring(id+1, test.class, test.owner)
				first := world.attempts[len(world.attempts)-1].server
				if (first > 4) != test.elective {
					t.Fatalf("request %d sent to %d", id+1, first)
				}
				world.finishAttempt(id+1, []Outcome{Answered, Errored}[id/39]) // the last one is retried
				latest := world.attempts[len(world.attempts)-1]
				for latest.request == id+1 && !latest.ended {
					if latest.server > 4 {
						t.Fatalf("request %d retried at %d", id+1, latest.server)
					}
					world.finishAttempt(id+1, Answered)
					latest = world.attempts[len(world.attempts)-1]
				}
				world.advance(time.Second)
			}
		})
	}
}

// Where the owner's servers have no capacity or warm up, or under overload, the request goes where
// it would have gone.
func TestElective_requestGoesElsewhereWithoutCapacity(t *testing.T) {
	for name, spoil := range map[string]func(*harness){
		"removed": func(world *harness) {
			world.gateway.HandleEndpoints(world.now, ListDelta,
				[]Endpoint{{Server: 5, State: Removed}, {Server: 6, State: Draining}})
		},
		"warming up": func(world *harness) {
			for _, n := range []uint32{5, 6} {
				world.gateway.HandleEndpoints(world.now, ListDelta, []Endpoint{{
					Server: n, State: Ready, Capacity: 1, Zone: 1, Owner: 9,
					Elective: true, StartedAt: world.now,
				}})
			}
			world.advance(4 * time.Second) // one that is half warmed up may have an ordinary attempt
		},
		"full": func(world *harness) {
			for id := range uint32(60) { // none of them is answered
				world.requestPreferring(100+id, 0, 9)
			}
		},
		"overload": func(world *harness) {
			for range 4 * minRateSamples {
				world.gateway.balancer.recentLatencies.add(latencySamples, latencySample{world.now + time.Hour, 50})
			}
		},
	} {
		world := newElectiveHarness(t)
		spoil(world)
		for id := uint32(1); id < 20; id++ {
			world.requestPreferring(id, 0, 9)
			for _, p := range world.attempts {
				if p.request == id && p.server > 4 {
					t.Errorf("%s: request %d sent to %d", name, id, p.server)
				}
			}
			world.finishAttempt(id, Answered)
		}
	}
}

// With no owner to prefer, the owners of servers change nothing.
func TestElective_unusedChangesNoDecision(t *testing.T) {
	play := func(list []Endpoint) []string {
		world := newHarness(t, testSettings(), 8)
		world.gateway.HandleEndpoints(world.now, ListDelta, list)
		for id := range uint32(300) {
			world.request(id+1, int(id%4), 0, 1)
			world.advance(5 * ms)
			world.finishAttempt(id/2+1, []Outcome{Answered, Answered, Errored, Rejected}[id%4])
		}
		return world.log
	}
	plain := play(nil)
	var marked []Endpoint
	for i := range 8 {
		marked = append(marked, Endpoint{Server: uint32(i + 1), State: Ready, Capacity: 1, Rack: i / 2, Owner: i % 3})
	}
	if !slices.Equal(plain, play(marked)) {
		t.Error("the owners of servers change what is decided")
	}
}
