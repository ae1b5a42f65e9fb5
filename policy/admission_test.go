package policy

import (
	"testing"
	"time"
)

func TestQuota_chargeIsSentWithTheNextCall(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.request(1, 0, 0, 3)
	h.wantAttempts(1, 1)
	total := func() (sum float64) {
		for _, v := range h.count {
			sum += v
		}
		return sum
	}
	if total() != 0 {
		t.Errorf("the first call added %v units, want 0", total())
	}
	h.finishAttempt(1, Answered)
	if total() != 0 {
		t.Errorf("an answer added %v units without a call, want 0", total())
	}
	h.request(2, 0, 0, 1)
	if total() != 3 {
		t.Errorf("the next call added %v units, want the 3 of the answer", total())
	}
}

func TestQuota_actualUnitsAreChargedWithinAMinute(t *testing.T) {
	for wait, want := range map[time.Duration]float64{time.Second: 5, 61 * time.Second: 0} {
		h := newHarness(t, testSettings(), 2)
		h.request(1, 0, 0, 3)
		h.result(AttemptResult{RequestID: 1, Outcome: Answered, Final: true, ActualUnits: 5})
		h.advance(wait)
		h.counterDown = true
		h.request(2, 0, 0, 1)
		if got := h.calls[0].units; got != want {
			t.Errorf("charged %v after %v, want %v", got, wait, want)
		}
	}
}

func TestQuota_rejectsAtTheLimitWithRetryAfter(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serveInTurn(5, 1, 1.9, 0)
	h.request(6, 0, 1, 1.9)
	h.wantLogged("reject 6, retry after 950ms", 1)
	h.wantAttempts(6, 0)
}

func TestQuota_countsOtherGateways(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.request(1, 0, 1, 2)
	h.chargeByOthers(1, 8)
	h.request(2, 0, 1, 2)
	h.wantLogged("reject 2, retry after 1s", 1)
}

func TestQuota_isUsableAtTheEndOfAWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 7; id++ {
		h.request(id, 0, 1, 2)
		h.finishAttempt(id, Answered)
		h.wantAttempts(id, 1)
		h.advance(660 * ms)
	}
}

func TestQuota_reservesUncountedUnitsOfOthers(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.request(1, 0, 1, 1)
	latency := time.Second
	h.result(AttemptResult{RequestID: 1, Outcome: Answered, Final: true, Latency: latency})
	h.answerCounter()
	h.chargeByOthers(1, 5)
	h.request(2, 0, 1, 1)
	h.request(3, 0, 1, 2.9) // 3 units are left, but other gateways have uncharged units in flight
	h.wantAttempts(2, 1)
	h.wantAttempts(3, 0)
}

func TestQuota_exhaustedCustomerMakesNoCall(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serveInTurn(5, 1, 1.9, 0)
	h.request(6, 0, 1, 1.9) // its call carries the last charges
	before := len(h.log)
	h.request(7, 0, 1, 1.9)
	if got := h.log[before:]; len(got) != 1 || got[0] != "reject 7, retry after 950ms" {
		t.Errorf("request 7 led to %q, want a rejection and no call", got)
	}
}

func TestMaxInFlight_isHeld(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request(1, 0, 3, 1) // the limit is two over two gateways: one at this gateway
	h.request(2, 0, 3, 1)
	h.wantAttempts(2, 0)
	h.wantLogged("reject 2, retry after 0s", 1) // no latency is known yet
	h.finishAttempt(1, Answered)
	h.request(3, 0, 3, 1)
	h.wantAttempts(3, 1)
}

func TestCeiling_holdsWithoutCounterAndAcrossARestart(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	sent, id := 0.0, uint32(0)
	for incarnation := range 2 {
		if incarnation == 1 {
			g, _ := New(testSettings(), 8, h.fakeHost)
			h.gateway, h.counterDown = g, true
			g.HandleEndpoints(h.now, ListCached, []Endpoint{{Server: 1, State: Ready}, {Server: 2, State: Ready}})
		}
		for range 200 {
			id++
			h.request(id, 0, 2, 2)
			h.advance(30 * ms)
			h.timeOutCounter()
			if h.attemptsOf(id) > 0 {
				sent += 2
				h.finishAttempt(id, Answered)
			}
			// This gateway's half of the ceiling: a burst of 10 units, refilled at 5 units per
			// second.
			if most := 10 + 5*(h.now-time.Minute).Seconds(); sent > most {
				t.Fatalf("%v units forwarded by %v, over the share of %v", sent, h.now, most)
			}
		}
	}
	if sent < 40 {
		t.Errorf("only %v units forwarded in 12 s", sent)
	}
}

func TestCeiling_newCustomerHasItsUnusedShare(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.request(1, 0, 2, 2)
	h.wantLogged("reject 1, retry after 400ms", 1) // the share starts empty
	h.advance(5 * time.Second)
	h.send(Request{ID: 2, Plan: 2, Customer: 77, Units: 2})
	h.answerCounter()
	h.wantAttempts(2, 1)
}

// Guards against a limit on attempts in flight that the counter never counts, in a plan without a
// rate.
func TestMaxInFlight_isCountedOverAllGateways(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request(1, 0, 4, 1)
	h.wantAttempts(1, 1)
	h.chargeByOthers(4, 1)
	h.request(2, 0, 4, 1)
	h.wantAttempts(2, 0)
	if got := h.countedUnits(4); got != 2 {
		t.Errorf("the count is %v attempts in flight, want 2: ours and the other gateway's", got)
	}
	h.finishAttempt(1, Answered)
	if got := h.countedUnits(4); got != 1 {
		t.Errorf("the count is %v attempts in flight after ours ended, want 1", got)
	}
	h.advance(20 * ms)
	h.request(3, 0, 4, 1)
	h.wantAttempts(3, 1)
}

// Guards against a count that keeps the attempts of a crashed gateway beyond their window.
func TestMaxInFlight_lostAttemptLeavesTheCountWithItsWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request(1, 0, 4, 1)
	h.finishAttempt(1, Answered)
	h.chargeByOthers(4, 2)
	h.request(2, 0, 4, 1)
	h.wantAttempts(2, 0)
	h.advance(inFlightWindow)
	h.request(3, 0, 4, 1)
	h.wantAttempts(3, 1)
}

// Guards against a count below the attempts in flight, caused by releasing a claim that the counter
// never accepted.
func TestMaxInFlight_unacceptedClaimIsNotReleased(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.counterDown = true
	h.request(1, 0, 4, 1)
	h.countResult(CountResult{Name: h.calls[0].name, Outcome: Rejected})
	h.calls = nil
	h.wantAttempts(1, 1)
	h.finishAttempt(1, Answered)
	if len(h.calls) != 0 {
		t.Errorf("a claim that was not accepted was released: %v", h.calls)
	}
}

// A request is charged its units once a server has received a whole attempt, whatever the server
// did with it.
func TestQuota_requestThatReachedNoServerIsNotCharged(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []Outcome
		charged  float64
	}{
		{"never sent", []Outcome{NotSent, NotSent, NotSent}, 0},
		{"no connection", []Outcome{ConnectFailed, NotSent, ConnectFailed}, 0},
		{"rejected, then no connection", []Outcome{Rejected, ConnectFailed, ConnectFailed}, 3},
		{"no connection, then an error", []Outcome{ConnectFailed, NotSent, Errored}, 3},
		{"not sent, then an answer", []Outcome{NotSent, Answered}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 8)
			h.request(1, 0, 0, 3)
			for n, outcome := range test.outcomes {
				h.wantAttempts(1, n+1)
				h.finishAttempt(1, outcome)
			}
			h.advance(2 * time.Second)
			h.request(2, 0, 0, 1) // its call carries the pending charges
			h.wantAttempts(2, 1)
			if got := h.countedUnits(0); got != test.charged {
				t.Errorf("charged %g, want %g", got, test.charged)
			}
		})
	}
}
