package policy

import (
	"testing"
	"time"
)

func TestRetry_byOutcomeAndEffect(t *testing.T) {
	const terminated, rejected = "terminate 1", "reject 1 away 125ms"
	for _, c := range []struct {
		lane   int
		ends   Outcome
		pushes int
		last   string
	}{
		{0, Errored, 3, rejected}, {0, TimedOut, 3, rejected}, {0, Rejected, 3, rejected},
		{1, Errored, 3, terminated}, {1, Reset, 3, terminated}, {1, ConnectFailed, 3, rejected},
		{2, Errored, 1, terminated}, {2, TimedOut, 1, terminated}, {2, Rejected, 3, rejected},
		{3, Errored, 3, rejected}, {3, Cancelled, 3, rejected},
	} {
		s := newHarness(t, testSettings(), 8)
		s.request(1, c.lane, 0, 1)
		for s.attemptsOf(1) < 3 {
			before := s.attemptsOf(1)
			s.finishAttempt(1, c.ends)
			if s.attemptsOf(1) == before {
				break
			}
		}
		if s.occurrences(terminated)+s.occurrences(rejected) == 0 {
			s.finishAttempt(1, c.ends)
		}
		s.wantAttempts(1, c.pushes)
		s.want(c.last, 1)
		if c.lane == 1 && c.ends != ConnectFailed {
			for _, p := range s.attempts {
				if (p.server-1)/2 != (s.attempts[0].server-1)/2 {
					t.Errorf("a receipted task that may have run left its cell: %v", s.attempts)
				}
			}
		}
	}
}

func TestRetry_keyedStaysWithinItsDedupWindow(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.request(1, 1, 0, 1)
	s.advance(310 * ms)
	s.finishAttempt(1, Errored)
	s.wantAttempts(1, 1)
	s.want("terminate 1", 1)
}

func TestFinalAnswer_beforeTheDeadline(t *testing.T) {
	for class, want := range []string{"reject 1 away 0s", "terminate 1", "terminate 1", "reject 1 away 0s"} {
		s := newHarness(t, testSettings(), 1)
		s.request(1, class, 0, 1)
		s.advance(1999 * ms)
		s.want(want, 1)
		s.finishAttempt(1, TimedOut)
		s.wantAttempts(1, 1)
		s.want(want, 1)
	}
}

func TestFinalAnswer_nothingFollows(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.down = true
	s.request(1, 0, 0, 1)
	s.gateway.HandleDisconnect(s.now, 1)
	s.down = false
	s.answerCounter()
	s.wantAttempts(1, 0)
	s.request(2, 0, 0, 1)
	s.gateway.HandleDisconnect(s.now, 2)
	s.finishAttempt(2, Errored)
	s.finishAttempt(2, Errored)
	s.gateway.HandleDisconnect(s.now, 99)
	s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: 99})
	s.gateway.HandleHealthCheck(s.now, 77, Answered, ms, nil)
	s.advance(3 * time.Second)
	s.wantAttempts(2, 1)
	s.want("reject 2 away 0s", 0)
}

func TestFinalAnswer_cancelsTheTimer(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.request(1, 0, 0, 1)
	if len(s.timers) != 1 {
		t.Fatalf("%d wakes while the task is out, want 1", len(s.timers))
	}
	s.finishAttempt(1, Answered)
	if len(s.timers) != 0 {
		t.Errorf("%d wakes left behind by a task that is over", len(s.timers))
	}
}

func TestRepeat_pastItsObjectiveIsRejectedAtOnce(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	task := Request{ID: 1, Customer: 1, GatewayCount: 2, Units: 1, Deadline: s.now + 1500*ms}
	s.gateway.HandleRequest(s.now, task)
	task.ID, task.Repeat = 2, true // given as much as a first try: nothing is known of its age
	s.gateway.HandleRequest(s.now, task)
	task.ID, task.Deadline = 3, s.now+1200*ms // the rest of two seconds' patience: it is 0.8 s old
	s.gateway.HandleRequest(s.now, task)
	s.answerCounter()
	s.wantAttempts(2, 1)
	s.wantAttempts(3, 0)
	s.want("reject 3 away 2s", 1)
}

func TestStandstill_lateRequestIsRejected(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.request(1, 0, 0, 1) // tells that clients of this lane give two seconds
	s.now += 1500 * ms
	late := Request{ID: 2, Customer: 1, GatewayCount: 2, Units: 1, Deadline: s.now + 500*ms} // came 1.5 s ago
	s.gateway.HandleRequest(s.now, late)
	s.answerCounter()
	s.wantAttempts(2, 0)
	s.want("reject 2 away 2s", 1)
}

func TestRepeat_withAllRemainingTimeMakesNoFirstTryLate(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	take := func(id uint32, repeat bool, given time.Duration) {
		s.gateway.HandleRequest(s.now, Request{ID: id, GatewayCount: 2, Units: 1, Deadline: s.now + given, Repeat: repeat})
		s.answerCounter()
		s.finishAttempt(id, Answered)
	}
	take(1, false, 1100*ms) // a part of the client's patience of two seconds
	take(2, true, 1980*ms)  // the last one has all that is left of it
	take(3, false, 1100*ms)
	take(4, true, 1100*ms) // how long ago its first try was, nothing tells
	take(5, true, 900*ms)  // the rest of the patience: the soft limit has passed
	for id, times := range []int{1: 1, 2: 1, 3: 1, 4: 1, 5: 0} {
		s.wantAttempts(uint32(id), times)
	}
}

// Clients of one plan that gave a try up early were taken for tasks that we had held while we stood still, and all
// rejected as late.
func TestStandstill_shortClientTimeoutIsNotLate(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.request(1, 0, 0, 1)
	s.finishAttempt(1, Answered)
	hasty := func(id uint32, plan int) {
		s.gateway.HandleRequest(s.now, Request{ID: id, Plan: plan, Customer: uint64(plan), GatewayCount: 2, Units: 1, Deadline: s.now + 200*ms})
		s.answerCounter()
	}
	s.advance(10 * ms)
	hasty(2, 0)
	s.wantAttempts(2, 1)
	s.advance(10 * ms)
	s.request(3, 0, 2, 1)
	s.now += 1900 * ms // no event for longer than what the next task lacks: we may have stood still
	hasty(4, 2)
	s.wantAttempts(4, 0)
}

// Clients that gave a try up after a third of the soft limit kept servers and limits busy with tasks that could not be
// answered in that time, and came again with as little, many times.
func TestDeadline_tooShortForItsUnitsIsRejectedAtOnce(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 5; id++ {
		s.request(id, 0, 0, 1)
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: id, Server: s.attempts[id-1].server, Outcome: Answered, Latency: 40 * ms, Final: true})
		s.advance(10 * ms)
	}
	for id, units := range map[uint32]float64{6: 4, 7: 6} {
		s.gateway.HandleRequest(s.now, Request{ID: id, Customer: 1, GatewayCount: 2, Units: units, Deadline: s.now + 200*ms})
		s.answerCounter()
	}
	s.wantAttempts(6, 1)
	s.wantAttempts(7, 0)
	s.want("reject 7 away 2s", 1)
}
