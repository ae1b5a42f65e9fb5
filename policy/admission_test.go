package policy

import (
	"testing"
	"time"
)

func TestQuota_checkAddsNothingAndChargesFollow(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.request(1, 0, 0, 3)
	s.wantAttempts(1, 1)
	total := func() (sum float64) {
		for _, v := range s.count {
			sum += v
		}
		return sum
	}
	if total() != 0 {
		t.Errorf("the first check added %v", total())
	}
	s.finishAttempt(1, Answered)
	if total() != 0 {
		t.Errorf("an answer alone added %v", total())
	}
	s.request(2, 0, 0, 1)
	if total() != 3 {
		t.Errorf("the next check added %v, want the 3 units of the answer", total())
	}
}

func TestQuota_actualUnitsAreChargedWithinAMinute(t *testing.T) {
	for wait, want := range map[time.Duration]float64{time.Second: 5, 61 * time.Second: 0} {
		s := newHarness(t, testSettings(), 2)
		s.request(1, 0, 0, 3)
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: 1, Outcome: Answered, Final: true, ActualUnits: 5})
		s.advance(wait)
		s.down = true
		s.request(2, 0, 0, 1)
		if got := s.calls[0].units; got != want {
			t.Errorf("charged %v after %v, want %v", got, wait, want)
		}
	}
}

func TestQuota_rejectsAtTheLimitWithRetryAfter(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 5; id++ {
		s.request(id, 0, 1, 1.9)
		s.finishAttempt(id, Answered)
	}
	s.request(6, 0, 1, 1.9)
	s.want("reject 6 away 950ms", 1)
	s.wantAttempts(6, 0)
}

func TestQuota_countsOtherGateways(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.request(1, 0, 1, 2)
	s.chargeByOthers(1, 8)
	s.request(2, 0, 1, 2)
	s.want("reject 2 away 1s", 1)
}

func TestQuota_isUsableAtTheEndOfAWindow(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 7; id++ {
		s.request(id, 0, 1, 2)
		s.finishAttempt(id, Answered)
		s.wantAttempts(id, 1)
		s.advance(660 * ms)
	}
}

func TestQuota_reservesUncountedUnitsOfOthers(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.request(1, 0, 1, 1)
	s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: 1, Outcome: Answered, Final: true, Latency: time.Second}) // answers take a second
	s.answerCounter()
	s.chargeByOthers(1, 5)
	s.request(2, 0, 1, 1)
	s.request(3, 0, 1, 2.9) // 3 units are left, but others have some out that are not charged yet
	s.wantAttempts(2, 1)
	s.wantAttempts(3, 0)
}

func TestQuota_noCallWhereNoCountCouldAdmit(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 5; id++ {
		s.request(id, 0, 1, 1.9)
		s.finishAttempt(id, Answered)
	}
	s.request(6, 0, 1, 1.9) // brings the last charges
	before := len(s.log)
	s.request(7, 0, 1, 1.9)
	if got := s.log[before:]; len(got) != 1 || got[0] != "reject 7 away 950ms" {
		t.Errorf("an eighth task led to %q, want a rejection and no call", got)
	}
}

func TestMaxInFlight_isHeld(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.request(1, 0, 3, 1) // two at once, over two gateways: one here
	s.request(2, 0, 3, 1)
	s.wantAttempts(2, 0)
	s.want("reject 2 away 0s", 1) // no answer has told yet how long one takes
	s.finishAttempt(1, Answered)
	s.request(3, 0, 3, 1)
	s.wantAttempts(3, 1)
}

func TestCeiling_holdsWithoutCounterAndAcrossARestart(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	sent, id := 0.0, uint32(0)
	for life := range 2 {
		if life == 1 {
			g, _ := New(testSettings(), 8, s.fakeHost)
			s.gateway, s.down = g, true
			g.HandleEndpoints(s.now, ListCached, []Endpoint{{Server: 1, State: Ready}, {Server: 2, State: Ready}})
		}
		for range 200 {
			id++
			s.request(id, 0, 2, 2)
			s.advance(30 * ms)
			s.timeOutCounter()
			if s.attemptsOf(id) > 0 {
				sent += 2
				s.finishAttempt(id, Answered)
			}
			// This gateway's half of the ceiling: 10 units, filling at 5 a second.
			if most := 10 + 5*(s.now-time.Minute).Seconds(); sent > most {
				t.Fatalf("%v units sent on by %v, over the share of %v", sent, s.now, most)
			}
		}
	}
	if sent < 40 {
		t.Errorf("only %v units sent on in 12 s", sent)
	}
}

func TestCeiling_newCustomerHasItsUnusedShare(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.request(1, 0, 2, 2)
	s.want("reject 1 away 400ms", 1) // nothing has come yet
	s.advance(5 * time.Second)
	s.gateway.HandleRequest(s.now, Request{ID: 2, Plan: 2, Customer: 77, GatewayCount: 2, Units: 2, Deadline: s.now + 2*time.Second})
	s.answerCounter()
	s.wantAttempts(2, 1)
}

// A customer with a limit on pushes out and no rate never reached the counter, and each gateway of its set let one
// through.
func TestMaxInFlight_isCountedOverAllGateways(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.request(1, 0, 4, 1)
	s.wantAttempts(1, 1)
	s.chargeByOthers(4, 1)
	s.request(2, 0, 4, 1)
	s.wantAttempts(2, 0)
	if got := s.countedUnits(4); got != 2 {
		t.Errorf("the count says %v pushes out, want ours and the other gateway's", got)
	}
	s.finishAttempt(1, Answered)
	if got := s.countedUnits(4); got != 1 {
		t.Errorf("the count says %v pushes out after ours ended, want 1", got)
	}
	s.advance(20 * ms)
	s.request(3, 0, 4, 1)
	s.wantAttempts(3, 1)
}

// What is lost of the count of pushes out goes with its window: a gateway that died took two places for good.
func TestMaxInFlight_lostAttemptLeavesTheCountWithItsWindow(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.request(1, 0, 4, 1)
	s.finishAttempt(1, Answered)
	s.chargeByOthers(4, 2)
	s.request(2, 0, 4, 1)
	s.wantAttempts(2, 0)
	s.advance(inFlightWindow)
	s.request(3, 0, 4, 1)
	s.wantAttempts(3, 1)
}

// A claim that the counter did not take is not given back: the count would fall below what is out.
func TestMaxInFlight_unacceptedClaimIsNotReturned(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.down = true
	s.request(1, 0, 4, 1)
	s.gateway.HandleCount(s.now, CountResult{Name: s.calls[0].name, Outcome: Rejected})
	s.calls = nil
	s.wantAttempts(1, 1)
	s.finishAttempt(1, Answered)
	if len(s.calls) != 0 {
		t.Errorf("a claim not taken was given back: %v", s.calls)
	}
}

// A task takes its units once an attempt came whole to a server, whatever became of it there.
func TestQuota_whatReachedNoServerIsNotCharged(t *testing.T) {
	for _, c := range []struct {
		name    string
		ends    []Outcome
		charged float64
	}{
		{"never sent", []Outcome{NotSent, NotSent, NotSent}, 0},
		{"no connection", []Outcome{ConnectFailed, NotSent, ConnectFailed}, 0},
		{"turned away, then none", []Outcome{Rejected, ConnectFailed, ConnectFailed}, 3},
		{"none, then an error", []Outcome{ConnectFailed, NotSent, Errored}, 3},
		{"called off, then an answer", []Outcome{NotSent, Answered}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, testSettings(), 8)
			s.request(1, 0, 0, 3)
			for n, how := range c.ends {
				s.wantAttempts(1, n+1)
				s.finishAttempt(1, how)
			}
			s.advance(2 * time.Second)
			s.request(2, 0, 0, 1) // brings what is pending
			s.wantAttempts(2, 1)
			if got := s.countedUnits(0); got != c.charged {
				t.Errorf("charged %g, want %g", got, c.charged)
			}
		})
	}
}
