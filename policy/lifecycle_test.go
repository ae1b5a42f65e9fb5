package policy

import (
	"testing"
	"time"
)

func TestRetry_byOutcomeAndEffect(t *testing.T) {
	const terminated, rejected = "terminate 1", "reject 1 away 125ms"
	for _, test := range []struct {
		name     string
		class    int
		outcome  Outcome
		attempts int
		final    string
	}{
		{"idempotent, error", 0, Errored, 3, rejected},
		{"idempotent, timeout", 0, TimedOut, 3, rejected},
		{"idempotent, rejected", 0, Rejected, 3, rejected},
		{"keyed within a rack, error", 1, Errored, 3, terminated},
		{"keyed within a rack, reset", 1, Reset, 3, terminated},
		{"keyed within a rack, no connection", 1, ConnectFailed, 3, rejected},
		{"non-idempotent, error", 2, Errored, 1, terminated},
		{"non-idempotent, timeout", 2, TimedOut, 1, terminated},
		{"non-idempotent, rejected", 2, Rejected, 3, rejected},
		{"keyed, error", 3, Errored, 3, rejected},
		{"keyed, cancelled", 3, Cancelled, 3, rejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newHarness(t, testSettings(), 8)
			world.request(1, test.class, 0, 1)
			world.finishAllAttempts(1, test.outcome)
			if world.occurrences(terminated)+world.occurrences(rejected) == 0 {
				world.finishAttempt(1, test.outcome)
			}
			world.wantAttempts(1, test.attempts)
			world.wantLogged(test.final, 1)
			if test.class == 1 && test.outcome != ConnectFailed {
				world.wantAttemptsInOneRack()
			}
		})
	}
}

// finishAllAttempts ends a request's attempts one after the other, until it has had three or gets
// no new one.
func (h *harness) finishAllAttempts(id uint32, outcome Outcome) {
	h.Helper()
	for h.attemptsOf(id) < 3 {
		before := h.attemptsOf(id)
		h.finishAttempt(id, outcome)
		if h.attemptsOf(id) == before {
			return
		}
	}
}

// wantAttemptsInOneRack checks that all attempts went to the rack of the first.
func (h *harness) wantAttemptsInOneRack() {
	h.Helper()
	for _, attempt := range h.attempts {
		if (attempt.server-1)/2 != (h.attempts[0].server-1)/2 {
			h.Errorf("a keyed request that may have run was retried outside its rack: %v", h.attempts)
		}
	}
}

func TestRetry_keyedStaysWithinItsDedupWindow(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.request(1, 1, 0, 1)
	world.advance(310 * ms)
	world.finishAttempt(1, Errored)
	world.wantAttempts(1, 1)
	world.wantLogged("terminate 1", 1)
}

func TestFinalAnswer_beforeTheDeadline(t *testing.T) {
	for class, want := range []string{"reject 1 away 0s", "terminate 1", "terminate 1", "reject 1 away 0s"} {
		world := newHarness(t, testSettings(), 1)
		world.request(1, class, 0, 1)
		world.advance(1999 * ms)
		world.wantLogged(want, 1)
		world.finishAttempt(1, TimedOut)
		world.wantAttempts(1, 1)
		world.wantLogged(want, 1)
	}
}

func TestFinalAnswer_nothingFollows(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.counterDown = true
	world.request(1, 0, 0, 1)
	world.gateway.HandleDisconnect(world.now, 1)
	world.counterDown = false
	world.answerCounter()
	world.wantAttempts(1, 0)
	world.request(2, 0, 0, 1)
	world.gateway.HandleDisconnect(world.now, 2)
	world.finishAttempt(2, Errored)
	world.finishAttempt(2, Errored)
	world.gateway.HandleDisconnect(world.now, 99)
	world.result(AttemptResult{RequestID: 99})
	world.gateway.HandleHealthCheck(world.now, 77, Answered, ms, nil)
	world.advance(3 * time.Second)
	world.wantAttempts(2, 1)
	world.wantLogged("reject 2 away 0s", 0)
}

func TestFinalAnswer_cancelsTheTimer(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.request(1, 0, 0, 1)
	if len(world.timers) != 1 {
		t.Fatalf("%d timers while the request is in flight, want 1", len(world.timers))
	}
	world.finishAttempt(1, Answered)
	if len(world.timers) != 0 {
		t.Errorf("%d timers left after the final answer, want 0", len(world.timers))
	}
}

func TestRepeat_pastItsObjectiveIsRejectedImmediately(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	request := Request{ID: 1, Customer: 1, GatewayCount: 2, Units: 1, Deadline: world.now + 1500*ms}
	world.send(request)
	request.ID, request.Repeat = 2, true // as much time as a first try: its age is unknown
	world.send(request)
	request.ID, request.Deadline = 3, world.now+1200*ms // the rest of a timeout of 2 s, so it is 0.8 s old
	world.send(request)
	world.answerCounter()
	world.wantAttempts(2, 1)
	world.wantAttempts(3, 0)
	world.wantLogged("reject 3 away 2s", 1)
}

func TestStandstill_lateRequestIsRejected(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.request(1, 0, 0, 1) // shows that clients of this class have a timeout of 2 s
	world.now += 1500 * ms
	late := Request{ID: 2, Customer: 1, GatewayCount: 2, Units: 1, Deadline: world.now + 500*ms} // arrived 1.5 s ago
	world.send(late)
	world.answerCounter()
	world.wantAttempts(2, 0)
	world.wantLogged("reject 2 away 2s", 1)
}

func TestRepeat_withLongTimeoutDoesNotMakeFirstTriesLate(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	sendAndFinish := func(id uint32, repeat bool, timeLeft time.Duration) {
		world.send(Request{ID: id, Units: 1, Deadline: world.now + timeLeft, Repeat: repeat})
		world.answerCounter()
		world.finishAttempt(id, Answered)
	}
	sendAndFinish(1, false, 1100*ms) // part of the client's timeout of 2 s
	sendAndFinish(2, true, 1980*ms)  // the last try gets the rest of the timeout
	sendAndFinish(3, false, 1100*ms)
	sendAndFinish(4, true, 1100*ms) // the age of its first try is unknown
	sendAndFinish(5, true, 900*ms)  // the rest of the timeout: the objective has passed
	for id, attempts := range []int{1: 1, 2: 1, 3: 1, 4: 1, 5: 0} {
		world.wantAttempts(uint32(id), attempts)
	}
}

// Guards against rejecting requests as late only because their clients have short timeouts.
func TestStandstill_shortClientTimeoutIsNotLate(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.request(1, 0, 0, 1)
	world.finishAttempt(1, Answered)
	sendWithShortTimeout := func(id uint32, plan int) {
		world.send(Request{ID: id, Plan: plan, Customer: uint64(plan), Units: 1, Deadline: world.now + 200*ms})
		world.answerCounter()
	}
	world.advance(10 * ms)
	sendWithShortTimeout(2, 0)
	world.wantAttempts(2, 1)
	world.advance(10 * ms)
	world.request(3, 0, 2, 1)
	world.now += 1900 * ms // no event for so long that a standstill explains the next request's short time
	sendWithShortTimeout(4, 2)
	world.wantAttempts(4, 0)
}

// Guards against attempts for clients that time out before any answer can arrive, and then send
// many repeats.
func TestDeadline_tooShortForItsUnitsIsRejectedImmediately(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 5; id++ {
		world.request(id, 0, 0, 1)
		world.answer(id, world.attempts[id-1].server, 40*ms)
		world.advance(10 * ms)
	}
	for id, units := range map[uint32]float64{6: 4, 7: 6} {
		world.send(Request{ID: id, Customer: 1, Units: units, Deadline: world.now + 200*ms})
		world.answerCounter()
	}
	world.wantAttempts(6, 1)
	world.wantAttempts(7, 0)
	world.wantLogged("reject 7 away 2s", 1)
}
