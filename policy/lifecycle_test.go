package policy

import (
	"testing"
	"time"
)

func TestRetry_byOutcomeAndEffect(t *testing.T) {
	const terminated, rejected = "terminate 1", "reject 1, retry after 125ms"
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
			h := newHarness(t, testSettings(), 8)
			h.request(1, test.class, 0, 1)
			h.finishAllAttempts(1, test.outcome)
			if h.occurrences(terminated)+h.occurrences(rejected) == 0 {
				h.finishAttempt(1, test.outcome)
			}
			h.wantAttempts(1, test.attempts)
			h.wantLogged(test.final, 1)
			if test.class == 1 && test.outcome != ConnectFailed {
				h.wantAttemptsInOneRack()
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
	h := newHarness(t, testSettings(), 2)
	h.request(1, 1, 0, 1)
	h.advance(310 * ms)
	h.finishAttempt(1, Errored)
	h.wantAttempts(1, 1)
	h.wantLogged("terminate 1", 1)
}

func TestFinalAnswer_beforeTheDeadline(t *testing.T) {
	for class, want := range []string{
		"reject 1, retry after 0s", "terminate 1", "terminate 1", "reject 1, retry after 0s",
	} {
		h := newHarness(t, testSettings(), 1)
		h.request(1, class, 0, 1)
		h.advance(1999 * ms)
		h.wantLogged(want, 1)
		h.finishAttempt(1, TimedOut)
		h.wantAttempts(1, 1)
		h.wantLogged(want, 1)
	}
}

func TestFinalAnswer_nothingFollows(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.counterDown = true
	h.request(1, 0, 0, 1)
	h.gateway.HandleDisconnect(h.now, 1)
	h.counterDown = false
	h.answerCounter()
	h.wantAttempts(1, 0)
	h.request(2, 0, 0, 1)
	h.gateway.HandleDisconnect(h.now, 2)
	h.finishAttempt(2, Errored)
	h.finishAttempt(2, Errored)
	h.gateway.HandleDisconnect(h.now, 99)
	h.result(AttemptResult{RequestID: 99})
	h.gateway.HandleHealthCheck(h.now, 77, Answered, ms, nil)
	h.advance(3 * time.Second)
	h.wantAttempts(2, 1)
	h.wantLogged("reject 2, retry after 0s", 0)
}

func TestFinalAnswer_cancelsTheTimer(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.request(1, 0, 0, 1)
	if len(h.timers) != 1 {
		t.Fatalf("%d timers while the request is in flight, want 1", len(h.timers))
	}
	h.finishAttempt(1, Answered)
	if len(h.timers) != 0 {
		t.Errorf("%d timers left after the final answer, want 0", len(h.timers))
	}
}

func TestRepeat_pastItsObjectiveIsRejectedImmediately(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	request := Request{ID: 1, Customer: 1, GatewayCount: 2, Units: 1, Deadline: h.now + 1500*ms}
	h.send(request)
	request.ID, request.Repeat = 2, true // has as much time left as a first try, so its age is unknown
	h.send(request)
	request.ID, request.Deadline = 3, h.now+1200*ms // 1.2 s are left of a timeout of 2 s, so it is 0.8 s old
	h.send(request)
	h.answerCounter()
	h.wantAttempts(2, 1)
	h.wantAttempts(3, 0)
	h.wantLogged("reject 3, retry after 2s", 1)
}

func TestPause_lateRequestIsRejected(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.request(1, 0, 0, 1) // shows that clients of this class have a timeout of 2 s
	h.now += 1500 * ms
	late := Request{ID: 2, Customer: 1, GatewayCount: 2, Units: 1, Deadline: h.now + 500*ms} // arrived 1.5 s ago
	h.send(late)
	h.answerCounter()
	h.wantAttempts(2, 0)
	h.wantLogged("reject 2, retry after 2s", 1)
}

func TestRepeat_withLongTimeoutDoesNotMakeFirstTriesLate(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	sendAndFinish := func(id uint32, repeat bool, timeLeft time.Duration) {
		h.send(Request{ID: id, Units: 1, Deadline: h.now + timeLeft, Repeat: repeat})
		h.answerCounter()
		h.finishAttempt(id, Answered)
	}
	sendAndFinish(1, false, 1100*ms) // a first try gets only part of the client's timeout of 2 s
	sendAndFinish(2, true, 1980*ms)  // the last try gets the rest of the timeout
	sendAndFinish(3, false, 1100*ms)
	sendAndFinish(4, true, 1100*ms) // the age of its first try is unknown
	sendAndFinish(5, true, 900*ms)  // the rest of the timeout: the objective has passed
	for id, attempts := range []int{1: 1, 2: 1, 3: 1, 4: 1, 5: 0} {
		h.wantAttempts(uint32(id), attempts)
	}
}

// Guards against rejecting a request as late although its client only has a short timeout.
func TestPause_shortClientTimeoutIsNotLate(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request(1, 0, 0, 1)
	h.finishAttempt(1, Answered)
	sendWithShortTimeout := func(id uint32, plan int) {
		h.send(Request{ID: id, Plan: plan, Customer: uint64(plan), Units: 1, Deadline: h.now + 200*ms})
		h.answerCounter()
	}
	h.advance(10 * ms)
	sendWithShortTimeout(2, 0)
	h.wantAttempts(2, 1)
	h.advance(10 * ms)
	h.request(3, 0, 2, 1)
	h.now += 1900 * ms // no event for so long that a pause explains the short time left for the next request
	sendWithShortTimeout(4, 2)
	h.wantAttempts(4, 0)
}

// Guards against attempts for clients that time out before any answer can arrive, and then send
// many repeats.
func TestDeadline_tooShortForItsUnitsIsRejectedImmediately(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 5; id++ {
		h.request(id, 0, 0, 1)
		h.answer(id, h.attempts[id-1].server, 40*ms)
		h.advance(10 * ms)
	}
	for id, units := range map[uint32]float64{6: 4, 7: 6} {
		h.send(Request{ID: id, Customer: 1, Units: units, Deadline: h.now + 200*ms})
		h.answerCounter()
	}
	h.wantAttempts(6, 1)
	h.wantAttempts(7, 0)
	h.wantLogged("reject 7, retry after 2s", 1)
}
