package policy

import (
	"testing"
	"time"
)

func TestEjection_serverThatRejectsAll(t *testing.T) {
	world := newHarness(t, testSettings(), 3)
	bad := 0
	for id := uint32(1); id <= 100; id++ {
		world.request(id, 0, 0, 1)
		world.advance(ms)
		for n := 0; world.attemptsOf(id) > n; {
			n = world.attemptsOf(id)
			if last := world.attempts[len(world.attempts)-1]; last.server != 3 {
				bad++ // two of three servers reject everything, at once
				world.finishAttempt(id, Rejected)
			} else {
				world.finishAttempt(id, Answered)
			}
		}
	}
	if bad > 20 {
		t.Errorf("%d attempts went to servers that reject all", bad)
	}
}

func TestEjection_silentServerIsTriedAgain(t *testing.T) {
	world := newHarness(t, testSettings(), 3)
	for id := uint32(1); id <= 600; id++ {
		world.request(id, 0, 0, 1)
		world.advance(10 * ms)
		for i := range world.attempts {
			if p := world.attempts[i]; !p.ended && p.server != 1 {
				world.finishAttempt(p.request, Answered) // server 1 never answers
			}
		}
	}
	late := world.attemptsTo(1, time.Minute+time.Second)
	if late < 1 || late > 8 {
		t.Errorf("%d attempts at a silent server in 5 s after its first, want one now and then", late)
	}
}

func TestEjection_silenceInOneClassEjectsForThatClassOnly(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.serveInTurn(8, 0, 1, 0) // both serve those that look
	world.request(9, 2, 0, 1)
	world.advance(2 * time.Second) // those that pay get no answer
	silent := world.gateway.balancer.servers[world.attempts[8].server-1]
	bad := silent.isEjectedFor(world.requestOfClass(2))
	good := silent.isEjectedFor(world.requestOfClass(0))
	if !bad || good {
		t.Errorf("ejected for the silent class: %v, for the good one: %v", bad, good)
	}
	for id := uint32(10); id <= 13; id++ {
		world.request(id, 2, 0, 1)
		world.finishAttempt(id, Answered)
		if got := world.attempts[len(world.attempts)-1].server; got == silent.Server {
			t.Errorf("request %d of the silent class went there again", id)
		}
	}
}

func TestEjection_needsMoreWhereFailuresAreEverywhere(t *testing.T) {
	world := newHarness(t, testSettings(), 6)
	for id := uint32(1); id <= 300; id++ { // one answer in six fails, at each server alike
		world.request(id, 2, 0, 1)
		if p := &world.attempts[len(world.attempts)-1]; p.server == id%6+1 {
			world.finishAttempt(id, Reset)
		} else {
			world.finishAttempt(id, Answered)
		}
		world.advance(20 * ms)
	}
	ejected := 0
	for _, server := range world.gateway.balancer.ready {
		if server.isEjectedFor(world.requestOfClass(2)) {
			ejected++
		}
	}
	if ejected > 1 {
		t.Errorf("%d of six servers are ejected", ejected)
	}
	for range 3 { // one that does nothing else is ejected
		failing := world.gateway.balancer.ready[0]
		request := world.requestOfClass(2)
		request.attempts = []attempt{{server: failing}}
		failing.handleResult(&attemptEnded{request, AttemptResult{Outcome: Reset}})
	}
	if !world.gateway.balancer.ready[0].isEjectedFor(world.requestOfClass(2)) {
		t.Error("a server that always fails is not ejected")
	}
}

// requestOfClass is a request of a class, of the first plan.
func (h *harness) requestOfClass(class int) *requestState {
	return &requestState{Request: Request{Class: class}, class: &h.gateway.classes[class]}
}

// Guards against a server that rejects one plan and is never ejected, as it answers another.
func TestEjection_serverThatRejectsOnePlan(t *testing.T) {
	world := newHarness(t, testSettings(), 3)
	id, rejected := uint32(0), 0
	for range 40 {
		for _, plan := range []int{0, 3} {
			id++
			world.request(id, 0, plan, 1)
			if world.attempts[len(world.attempts)-1].server == 1 && plan == 3 {
				rejected++
				world.finishAttempt(id, Rejected) // what is retried is answered
			}
			world.finishAttempt(id, Answered)
			world.advance(10 * ms)
		}
	}
	if rejected > 2 {
		t.Errorf("the server got %d requests of the plan that it rejects", rejected)
	}
	if n := world.attemptsTo(1, 0); n < 10 {
		t.Errorf("the server got %d requests in all, though it serves the other plan", n)
	}
}

// Guards against a silent server that stays in use because its attempts end cancelled.
func TestEjection_cancelledAfterSilenceIsAFailure(t *testing.T) {
	for took, ejected := range map[time.Duration]bool{20 * ms: false, 1900 * ms: true} {
		d := testSettings()
		d.CanCancel = true
		world := newHarness(t, d, 4)
		world.request(1, 0, 0, 1)
		server := world.gateway.balancer.servers[world.attempts[0].server-1]
		world.result(AttemptResult{RequestID: 1, Server: server.Server, Outcome: Cancelled, Latency: took})
		if server.isEjectedFor(world.requestOfClass(0)) != ejected {
			t.Errorf("cancelled after %v: ejected %v, want %v", took, !ejected, ejected)
		}
	}
}

// Guards against a silence timeout that large requests make too long for small ones.
func TestSilenceTimeout_growsWithTheUnits(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 4; id++ {
		world.request(id, 0, 0, 8)
		world.answer(id, world.attempts[id-1].server, 1600*ms)
	}
	small, large := world.requestOfClass(0), world.requestOfClass(0)
	small.Units, large.Units = 1, 8
	if small.silenceTimeout() != 800*ms || large.silenceTimeout() != 6400*ms {
		t.Errorf("silence of one unit %v, of eight %v; want four latencies of each",
			small.silenceTimeout(), large.silenceTimeout())
	}
}

// Guards against picking the slower of two servers as often as the faster.
func TestPlacement_slowerServerIsPickedLess(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 200; id++ {
		world.request(id, 0, 0, 1)
		p := world.attempts[len(world.attempts)-1]
		world.answer(id, p.server, time.Duration(20*p.server)*ms)
		world.advance(10 * ms)
	}
	if fast, slow := world.attemptsTo(1, 0), world.attemptsTo(2, 0); fast < 2*slow {
		t.Errorf("%d attempts at the fast server, %d at one half as fast", fast, slow)
	}
}
