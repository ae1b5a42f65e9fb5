package policy

import (
	"testing"
	"time"
)

func TestQuota_checkAddsNothingAndChargesFollow(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.request(1, 0, 0, 3)
	world.wantAttempts(1, 1)
	total := func() (sum float64) {
		for _, v := range world.count {
			sum += v
		}
		return sum
	}
	if total() != 0 {
		t.Errorf("the first check added %v", total())
	}
	world.finishAttempt(1, Answered)
	if total() != 0 {
		t.Errorf("an answer alone added %v", total())
	}
	world.request(2, 0, 0, 1)
	if total() != 3 {
		t.Errorf("the next check added %v, want the 3 units of the answer", total())
	}
}

func TestQuota_actualUnitsAreChargedWithinAMinute(t *testing.T) {
	for wait, want := range map[time.Duration]float64{time.Second: 5, 61 * time.Second: 0} {
		world := newHarness(t, testSettings(), 2)
		world.request(1, 0, 0, 3)
		world.result(AttemptResult{RequestID: 1, Outcome: Answered, Final: true, ActualUnits: 5})
		world.advance(wait)
		world.counterDown = true
		world.request(2, 0, 0, 1)
		if got := world.calls[0].units; got != want {
			t.Errorf("charged %v after %v, want %v", got, wait, want)
		}
	}
}

func TestQuota_rejectsAtTheLimitWithRetryAfter(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.serveInTurn(5, 1, 1.9, 0)
	world.request(6, 0, 1, 1.9)
	world.wantLogged("reject 6 away 950ms", 1)
	world.wantAttempts(6, 0)
}

func TestQuota_countsOtherGateways(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.request(1, 0, 1, 2)
	world.chargeByOthers(1, 8)
	world.request(2, 0, 1, 2)
	world.wantLogged("reject 2 away 1s", 1)
}

func TestQuota_isUsableAtTheEndOfAWindow(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 7; id++ {
		world.request(id, 0, 1, 2)
		world.finishAttempt(id, Answered)
		world.wantAttempts(id, 1)
		world.advance(660 * ms)
	}
}

func TestQuota_reservesUncountedUnitsOfOthers(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.request(1, 0, 1, 1)
	latency := time.Second
	world.result(AttemptResult{RequestID: 1, Outcome: Answered, Final: true, Latency: latency})
	world.answerCounter()
	world.chargeByOthers(1, 5)
	world.request(2, 0, 1, 1)
	world.request(3, 0, 1, 2.9) // 3 units are left, but other gateways have uncharged units in flight
	world.wantAttempts(2, 1)
	world.wantAttempts(3, 0)
}

func TestQuota_exhaustedCustomerMakesNoCall(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.serveInTurn(5, 1, 1.9, 0)
	world.request(6, 0, 1, 1.9) // its call carries the last charges
	before := len(world.log)
	world.request(7, 0, 1, 1.9)
	if got := world.log[before:]; len(got) != 1 || got[0] != "reject 7 away 950ms" {
		t.Errorf("request 7 led to %q, want a rejection and no call", got)
	}
}

func TestMaxInFlight_isHeld(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.request(1, 0, 3, 1) // the limit is two over two gateways: one at this gateway
	world.request(2, 0, 3, 1)
	world.wantAttempts(2, 0)
	world.wantLogged("reject 2 away 0s", 1) // no latency is known yet
	world.finishAttempt(1, Answered)
	world.request(3, 0, 3, 1)
	world.wantAttempts(3, 1)
}

func TestCeiling_holdsWithoutCounterAndAcrossARestart(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	sent, id := 0.0, uint32(0)
	for incarnation := range 2 {
		if incarnation == 1 {
			g, _ := New(testSettings(), 8, world.fakeHost)
			world.gateway, world.counterDown = g, true
			g.HandleEndpoints(world.now, ListCached, []Endpoint{{Server: 1, State: Ready}, {Server: 2, State: Ready}})
		}
		for range 200 {
			id++
			world.request(id, 0, 2, 2)
			world.advance(30 * ms)
			world.timeOutCounter()
			if world.attemptsOf(id) > 0 {
				sent += 2
				world.finishAttempt(id, Answered)
			}
			// This gateway's half of the ceiling: a burst of 10 units, refilled at 5 units per
			// second.
			if most := 10 + 5*(world.now-time.Minute).Seconds(); sent > most {
				t.Fatalf("%v units forwarded by %v, over the share of %v", sent, world.now, most)
			}
		}
	}
	if sent < 40 {
		t.Errorf("only %v units forwarded in 12 s", sent)
	}
}

func TestCeiling_newCustomerHasItsUnusedShare(t *testing.T) {
	world := newHarness(t, testSettings(), 2)
	world.request(1, 0, 2, 2)
	world.wantLogged("reject 1 away 400ms", 1) // the share starts empty
	world.advance(5 * time.Second)
	world.send(Request{ID: 2, Plan: 2, Customer: 77, Units: 2})
	world.answerCounter()
	world.wantAttempts(2, 1)
}

// Guards against a limit on attempts in flight that the counter never counts, in a plan without a
// rate.
func TestMaxInFlight_isCountedOverAllGateways(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.request(1, 0, 4, 1)
	world.wantAttempts(1, 1)
	world.chargeByOthers(4, 1)
	world.request(2, 0, 4, 1)
	world.wantAttempts(2, 0)
	if got := world.countedUnits(4); got != 2 {
		t.Errorf("the count is %v attempts in flight, want 2: ours and the other gateway's", got)
	}
	world.finishAttempt(1, Answered)
	if got := world.countedUnits(4); got != 1 {
		t.Errorf("the count is %v attempts in flight after ours ended, want 1", got)
	}
	world.advance(20 * ms)
	world.request(3, 0, 4, 1)
	world.wantAttempts(3, 1)
}

// Guards against a count that keeps the attempts of a crashed gateway beyond their window.
func TestMaxInFlight_lostAttemptLeavesTheCountWithItsWindow(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.request(1, 0, 4, 1)
	world.finishAttempt(1, Answered)
	world.chargeByOthers(4, 2)
	world.request(2, 0, 4, 1)
	world.wantAttempts(2, 0)
	world.advance(inFlightWindow)
	world.request(3, 0, 4, 1)
	world.wantAttempts(3, 1)
}

// Guards against a count below the attempts in flight, caused by releasing a claim that the counter
// never accepted.
func TestMaxInFlight_unacceptedClaimIsNotReturned(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.counterDown = true
	world.request(1, 0, 4, 1)
	world.countResult(CountResult{Name: world.calls[0].name, Outcome: Rejected})
	world.calls = nil
	world.wantAttempts(1, 1)
	world.finishAttempt(1, Answered)
	if len(world.calls) != 0 {
		t.Errorf("a claim that was not accepted was released: %v", world.calls)
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
		{"cancelled, then an answer", []Outcome{NotSent, Answered}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newHarness(t, testSettings(), 8)
			world.request(1, 0, 0, 3)
			for n, outcome := range test.outcomes {
				world.wantAttempts(1, n+1)
				world.finishAttempt(1, outcome)
			}
			world.advance(2 * time.Second)
			world.request(2, 0, 0, 1) // its call carries the pending charges
			world.wantAttempts(2, 1)
			if got := world.countedUnits(0); got != test.charged {
				t.Errorf("charged %g, want %g", got, test.charged)
			}
		})
	}
}
