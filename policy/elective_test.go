package policy

import (
	"slices"
	"testing"
	"time"
)

// newElectiveHarness returns a harness with four ordinary servers, and two elective servers of
// owner 9 with the IDs 5 and 6.
func newElectiveHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, testSettings(), 4)
	list := []Endpoint{
		{Server: 5, State: Ready, Capacity: 1, Rack: 7, Zone: 1, Owner: 9, Elective: true},
		{Server: 6, State: Ready, Capacity: 1, Rack: 7, Zone: 1, Owner: 9, Elective: true},
	}
	h.gateway.HandleEndpoints(h.now, ListDelta, list)
	return h
}

func (h *harness) requestPreferring(id uint32, class, owner int) {
	h.send(Request{ID: id, Class: class, Units: 1, PreferredOwner: owner})
	h.answerCounter()
}

// Elective servers get only first attempts of idempotent requests that prefer their owner: no
// retries, no requests of other classes and no other requests.
func TestElective_serversGetOnlyElectiveAttempts(t *testing.T) {
	for _, test := range []struct {
		name         string
		class, owner int
		elective     bool
	}{
		{"idempotent, prefers the owner", 0, 9, true},
		{"prefers no owner", 0, 0, false},
		{"prefers another owner", 0, 8, false},
		{"keyed within a rack", 1, 9, false},
		{"non-idempotent", 2, 9, false},
		{"keyed", 3, 9, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newElectiveHarness(t)
			for id := range uint32(40) {
				h.requestPreferring(id+1, test.class, test.owner)
				first := h.attempts[len(h.attempts)-1].server
				if (first > 4) != test.elective {
					t.Fatalf("request %d sent to server %d", id+1, first)
				}
				h.finishAttempt(id+1, []Outcome{Answered, Errored}[id/39]) // the last one is retried
				latest := h.attempts[len(h.attempts)-1]
				for latest.request == id+1 && !latest.ended {
					if latest.server > 4 {
						t.Fatalf("request %d retried at server %d", id+1, latest.server)
					}
					h.finishAttempt(id+1, Answered)
					latest = h.attempts[len(h.attempts)-1]
				}
				h.advance(time.Second)
			}
		})
	}
}

// A request goes to an ordinary server if the servers of its preferred owner have no capacity or
// are warming up, or if there is an overload.
func TestElective_requestGoesElsewhereWithoutCapacity(t *testing.T) {
	for name, disturb := range map[string]func(*harness){
		"removed": func(h *harness) {
			h.gateway.HandleEndpoints(h.now, ListDelta,
				[]Endpoint{{Server: 5, State: Removed}, {Server: 6, State: Draining}})
		},
		"warming up": func(h *harness) {
			for _, n := range []uint32{5, 6} {
				h.gateway.HandleEndpoints(h.now, ListDelta, []Endpoint{{
					Server: n, State: Ready, Capacity: 1, Zone: 1, Owner: 9,
					Elective: true, StartedAt: h.now,
				}})
			}
			h.advance(4 * time.Second) // a warming server may get ordinary attempts by now, but no elective ones
		},
		"full": func(h *harness) {
			for id := range uint32(60) { // none is answered
				h.requestPreferring(100+id, 0, 9)
			}
		},
		"overload": func(h *harness) {
			for range 4 * minRateSamples {
				h.gateway.balancer.recentLatencies.add(latencySamples, latencySample{h.now + time.Hour, 50})
			}
		},
	} {
		h := newElectiveHarness(t)
		disturb(h)
		for id := uint32(1); id < 20; id++ {
			h.requestPreferring(id, 0, 9)
			for _, attempt := range h.attempts {
				if attempt.request == id && attempt.server > 4 {
					t.Errorf("%s: request %d sent to server %d", name, id, attempt.server)
				}
			}
			h.finishAttempt(id, Answered)
		}
	}
}

// Owners of servers have no effect on requests that prefer no owner.
func TestElective_unusedChangesNoDecision(t *testing.T) {
	run := func(list []Endpoint) []string {
		h := newHarness(t, testSettings(), 8)
		h.gateway.HandleEndpoints(h.now, ListDelta, list)
		for id := range uint32(300) {
			h.request(id+1, int(id%4), 0, 1)
			h.advance(5 * ms)
			h.finishAttempt(id/2+1, []Outcome{Answered, Answered, Errored, Rejected}[id%4])
		}
		return h.log
	}
	withoutOwners := run(nil)
	var owned []Endpoint
	for i := range 8 {
		owned = append(owned, Endpoint{Server: uint32(i + 1), State: Ready, Capacity: 1, Rack: i / 2, Owner: i % 3})
	}
	if !slices.Equal(withoutOwners, run(owned)) {
		t.Error("the owners of servers change the decisions")
	}
}
