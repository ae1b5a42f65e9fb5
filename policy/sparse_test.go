package policy

import (
	"testing"
	"time"
)

// newSparseHarness returns a harness with 50 gateways for each customer, so that customers of the
// small plan are sparse.
func newSparseHarness(t *testing.T) *harness {
	t.Helper()
	settings := testSettings()
	settings.Gateways = 50
	world := newHarness(t, settings, 4)
	world.gatewayCount = 50
	return world
}

func TestSparse_chargeDoesNotWaitForTheNextCheck(t *testing.T) {
	world := newSparseHarness(t)
	world.request(1, 0, 1, 2)
	world.finishAttempt(1, Answered)
	if got := world.countedUnits(1); got != 2 {
		t.Errorf("the count is %v units, want the 2 of the answer", got)
	}
}

func TestSparse_windowStartsWithOverrunOfPreviousWindow(t *testing.T) {
	world := newSparseHarness(t)
	world.request(1, 0, 1, 1) // creates the customer's state
	world.finishAttempt(1, Answered)
	customer := world.gateway.admission.customerList[0]
	untilEdge := customer.windowStart(customer.windowAt(world.now)+1) - world.now
	world.advance(untilEdge - ms)
	world.chargeByOthers(1, 5+2*untilEdge.Seconds()) // 9 units were left, and 2 units per second are refilled
	world.advance(ms)
	world.request(2, 0, 1, 1)
	if got := world.countedUnits(1); got < 5.9 || got > 6.1 {
		t.Errorf("the new window starts with %v units, want the 6 that the bucket lacked", got)
	}
}

func TestSparse_usesAnEvenShareWithoutACount(t *testing.T) {
	world := newSparseHarness(t)
	world.counterDown = true
	for id := uint32(1); id <= 4; id++ {
		world.request(id, 0, 1, 2)
		world.advance(40 * ms)
		world.timeOutCounter()
	}
	world.wantAttempts(1, 1)
	world.wantAttempts(2, 0)
	world.wantAttempts(4, 0)
}

// overloadCounter sends requests of as many sparse customers while the counter accepts some calls
// and rejects the others. It returns the number of calls and of rejected calls in the second half.
func (h *harness) overloadCounter(requests int, accepts func(call int) bool) (calls, rejected int) {
	h.counterDown = true
	number := 0
	for i := range requests {
		id := uint32(1000 + i)
		h.send(Request{ID: id, Plan: 1, Customer: uint64(1000 + i), Units: 1})
		for len(h.calls) > 0 {
			call := h.calls[0]
			h.calls = h.calls[1:]
			number++
			outcome := Answered
			if !accepts(number) {
				outcome = Rejected
			}
			if i > requests/2 {
				calls++
				if outcome == Rejected {
					rejected++
				}
			}
			h.countResult(CountResult{Name: call.name, Latency: ms, Outcome: outcome})
		}
		h.advance(5 * ms)
		h.finishAttempt(id, Answered)
	}
	return calls, rejected
}

func TestCounter_callsSettleSlightlyAboveItsCapacity(t *testing.T) {
	world := newSparseHarness(t)
	// The counter has capacity for a call every 20 ms and a small burst. That is far below the two
	// calls for a request every 5 ms.
	var freeAt time.Duration
	calls, rejected := world.overloadCounter(4000, func(int) bool {
		if freeAt = max(freeAt, world.now-100*ms); freeAt > world.now {
			return false
		}
		freeAt += 20 * ms
		return true
	})
	if fraction := float64(rejected) / float64(calls); fraction > 0.2 || calls < 200 {
		t.Errorf("%d of %d calls rejected (%.2f), want 0.2 at most, and 200 calls or more", rejected, calls, fraction)
	}
}

func TestSparse_repeatsNeedACountWhileTheCounterIsOverloaded(t *testing.T) {
	world := newSparseHarness(t)
	world.overloadCounter(400, func(n int) bool { return n%3 != 0 })
	world.gateway.admission.callProbability = minCallProbability // hardly any call is made
	firstTries, repeats := 0, 0
	for i := range 100 {
		world.gateway.admission.fastAnswers = 1 // the counter answered a moment ago
		for _, repeat := range []bool{false, true} {
			id := uint32(5000 + 2*i)
			if repeat {
				id++
			}
			world.send(Request{ID: id, Plan: 1, Customer: uint64(9000 + i), Units: 1, Repeat: repeat})
			world.calls = nil
			n := world.attemptsOf(id)
			if world.finishAttempt(id, Answered); repeat {
				repeats += n
			} else {
				firstTries += n
			}
		}
		world.advance(100 * ms)
	}
	if firstTries < 85 || repeats > 10 {
		t.Errorf("forwarded %d of 100 first tries (want 85 or more) and %d of 100 repeats (want 10 at most)",
			firstTries, repeats)
	}
}

func TestSparse_acceptedChargesCompensateForRejectedOnes(t *testing.T) {
	world := newSparseHarness(t)
	world.overloadCounter(1500, func(n int) bool { return n%2 == 0 }) // half of all calls are rejected
	total, requests := 0.0, 3000
	for i := range requests {
		id := uint32(10000 + i)
		world.gateway.admission.callProbability, world.gateway.admission.acceptedFraction = 0.5, 0.5
		world.send(Request{ID: id, Plan: 1, Customer: uint64(20000 + i), Units: 1})
		world.calls = nil
		world.gateway.admission.callProbability, world.gateway.admission.acceptedFraction = 0.5, 0.5
		forwarded := world.attemptsOf(id)
		world.finishAttempt(id, Answered)
		for _, c := range world.calls {
			if world.gateway.random.Float64() < 0.5 {
				total += c.units
			}
		}
		world.calls = nil
		if forwarded == 0 {
			requests--
		}
		world.advance(2 * ms)
	}
	if fraction := total / float64(requests); fraction < 0.85 || fraction > 1.15 {
		t.Errorf("the count is %.2f of the units forwarded, want between 0.85 and 1.15", fraction)
	}
}

// Guards against repeats that use up the capacity of an overloaded counter, so that first tries get
// no calls.
func TestSparse_repeatsMakeNoCallsWhileSomeAreSkipped(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 40
	world := newHarness(t, settings, 4)
	world.gatewayCount, world.counterDown = 40, true
	world.request(1, 0, 1, 1)
	world.timeOutCounter()
	world.send(Request{ID: 2, Plan: 1, Customer: 1, Units: 1, Repeat: true})
	world.wantLogged("reject 2 away 125ms", 1)
	if len(world.calls) != 0 {
		t.Errorf("a repeat made %d calls", len(world.calls))
	}
}
