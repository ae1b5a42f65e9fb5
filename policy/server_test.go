package policy

import (
	"testing"
	"time"
)

func TestEjection_serverThatRejectsAll(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	misdirected := 0
	for id := uint32(1); id <= 100; id++ {
		h.request(id, 0, 0, 1)
		h.advance(ms)
		for n := 0; h.attemptsOf(id) > n; {
			n = h.attemptsOf(id)
			if last := h.attempts[len(h.attempts)-1]; last.server != 3 {
				misdirected++ // two of three servers reject everything immediately
				h.finishAttempt(id, Rejected)
			} else {
				h.finishAttempt(id, Answered)
			}
		}
	}
	if misdirected > 20 {
		t.Errorf("%d attempts went to servers that reject all, want at most 20", misdirected)
	}
}

func TestEjection_silentServerIsTriedAgain(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	for id := uint32(1); id <= 600; id++ {
		h.request(id, 0, 0, 1)
		h.advance(10 * ms)
		for i := range h.attempts {
			if sent := h.attempts[i]; !sent.ended && sent.server != 1 {
				h.finishAttempt(sent.request, Answered) // server 1 never answers
			}
		}
	}
	late := h.attemptsTo(1, time.Minute+time.Second)
	if late < 1 || late > 8 {
		t.Errorf("%d attempts at a silent server in the last 5 s, want 1 to 8", late)
	}
}

func TestEjection_silenceInOneClassEjectsForThatClassOnly(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serveInTurn(8, 0, 1, 0) // both servers answer class 0
	h.request(9, 2, 0, 1)
	h.advance(2 * time.Second) // the request of class 2 is not answered
	silent := h.gateway.balancer.servers[h.attempts[8].server-1]
	ejectedForSilent := silent.isEjectedFor(h.requestOfClass(2))
	ejectedForAnswered := silent.isEjectedFor(h.requestOfClass(0))
	if !ejectedForSilent || ejectedForAnswered {
		t.Errorf("ejected for the silent class: %v, for the answered class: %v; want true and false",
			ejectedForSilent, ejectedForAnswered)
	}
	for id := uint32(10); id <= 13; id++ {
		h.request(id, 2, 0, 1)
		h.finishAttempt(id, Answered)
		if got := h.attempts[len(h.attempts)-1].server; got == silent.Server {
			t.Errorf("request %d of the silent class was sent to the silent server", id)
		}
	}
}

func TestEjection_needsMoreFailuresWhenWidespread(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	for id := uint32(1); id <= 300; id++ { // one attempt in six fails, regardless of the server
		h.request(id, 2, 0, 1)
		if sent := &h.attempts[len(h.attempts)-1]; sent.server == id%6+1 {
			h.finishAttempt(id, Reset)
		} else {
			h.finishAttempt(id, Answered)
		}
		h.advance(20 * ms)
	}
	ejected := 0
	for _, server := range h.gateway.balancer.ready {
		if server.isEjectedFor(h.requestOfClass(2)) {
			ejected++
		}
	}
	if ejected > 1 {
		t.Errorf("%d of 6 servers are ejected, want at most 1", ejected)
	}
	for range 3 { // consecutive failures of one server eject it even now
		failing := h.gateway.balancer.ready[0]
		request := h.requestOfClass(2)
		request.attempts = []attempt{{server: failing}}
		failing.handleResult(&attemptEnded{request, AttemptResult{Outcome: Reset}})
	}
	if !h.gateway.balancer.ready[0].isEjectedFor(h.requestOfClass(2)) {
		t.Error("a server that always fails is not ejected")
	}
}

// requestOfClass returns a request of a class and the first plan.
func (h *harness) requestOfClass(class int) *requestState {
	return &requestState{Request: Request{Class: class}, class: &h.gateway.classes[class]}
}

// Guards against a server that rejects one plan and is not ejected for it, as it answers another.
func TestEjection_serverThatRejectsOnePlan(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	id, rejected := uint32(0), 0
	for range 40 {
		for _, plan := range []int{0, 3} {
			id++
			h.request(id, 0, plan, 1)
			if h.attempts[len(h.attempts)-1].server == 1 && plan == 3 {
				rejected++
				h.finishAttempt(id, Rejected) // the retry is answered below
			}
			h.finishAttempt(id, Answered)
			h.advance(10 * ms)
		}
	}
	if rejected > 2 {
		t.Errorf("the server got %d requests of the plan that it rejects, want at most 2", rejected)
	}
	if n := h.attemptsTo(1, 0); n < 10 {
		t.Errorf("the server got %d attempts of both plans, want at least 10 as it serves one of them", n)
	}
}

// Guards against a silent server that is never ejected because its attempts end as cancelled.
func TestEjection_cancelledAfterSilenceIsAFailure(t *testing.T) {
	for latency, ejected := range map[time.Duration]bool{20 * ms: false, 1900 * ms: true} {
		settings := testSettings()
		settings.CanCancel = true
		h := newHarness(t, settings, 4)
		h.request(1, 0, 0, 1)
		server := h.gateway.balancer.servers[h.attempts[0].server-1]
		h.result(AttemptResult{RequestID: 1, Server: server.Server, Outcome: Cancelled, Latency: latency})
		if server.isEjectedFor(h.requestOfClass(0)) != ejected {
			t.Errorf("cancelled after %v: ejected %v, want %v", latency, !ejected, ejected)
		}
	}
}

// Guards against a silence timeout that is too long for small requests after answers to large ones.
func TestSilenceTimeout_growsWithTheUnits(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 4; id++ {
		h.request(id, 0, 0, 8)
		h.answer(id, h.attempts[id-1].server, 1600*ms)
	}
	small, large := h.requestOfClass(0), h.requestOfClass(0)
	small.Units, large.Units = 1, 8
	if small.silenceTimeout() != 800*ms || large.silenceTimeout() != 6400*ms {
		t.Errorf("silence timeout of 1 unit %v, of 8 units %v; want 800ms and 6.4s",
			small.silenceTimeout(), large.silenceTimeout())
	}
}

// Guards against a placement that picks the slower of two servers as often as the faster one.
func TestPlacement_slowerServerIsPickedLess(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 200; id++ {
		h.request(id, 0, 0, 1)
		sent := h.attempts[len(h.attempts)-1]
		h.answer(id, sent.server, time.Duration(20*sent.server)*ms)
		h.advance(10 * ms)
	}
	if fast, slow := h.attemptsTo(1, 0), h.attemptsTo(2, 0); fast < 2*slow {
		t.Errorf("%d attempts at the fast server, %d at one half as fast; want at least twice as many at the fast one",
			fast, slow)
	}
}
