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
	h := newHarness(t, settings, 4)
	h.gatewayCount = 50
	return h
}

func TestSparse_chargeDoesNotWaitForTheNextCall(t *testing.T) {
	h := newSparseHarness(t)
	h.request(1, 0, 1, 2)
	h.finishAttempt(1, Answered)
	if got := h.countedUnits(1); got != 2 {
		t.Errorf("the count is %v units, want the 2 of the answer", got)
	}
}

func TestSparse_windowStartsWithOverrunOfPreviousWindow(t *testing.T) {
	h := newSparseHarness(t)
	h.request(1, 0, 1, 1) // creates the customer's state
	h.finishAttempt(1, Answered)
	customer := h.gateway.admission.customerList[0]
	untilEdge := customer.windowStart(customer.windowAt(h.now)+1) - h.now
	h.advance(untilEdge - ms)
	h.chargeByOthers(1, 5+2*untilEdge.Seconds()) // 9 units were left, and 2 units per second are refilled
	h.advance(ms)
	h.request(2, 0, 1, 1)
	if got := h.countedUnits(1); got < 5.9 || got > 6.1 {
		t.Errorf("the new window starts with %v units, want the 6 that the bucket lacked", got)
	}
}

func TestSparse_usesAnEvenShareWithoutACount(t *testing.T) {
	h := newSparseHarness(t)
	h.counterDown = true
	for id := uint32(1); id <= 4; id++ {
		h.request(id, 0, 1, 2)
		h.advance(40 * ms)
		h.timeOutCounter()
	}
	h.wantAttempts(1, 1)
	h.wantAttempts(2, 0)
	h.wantAttempts(4, 0)
}

// overloadCounter sends requests, each of a different sparse customer, while the counter accepts
// some calls and rejects the others. It returns the number of calls and of rejected calls in the
// second half.
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
	h := newSparseHarness(t)
	// The counter has capacity for a call every 20 ms and a small burst. That is far below the two
	// calls for a request every 5 ms.
	var freeAt time.Duration
	calls, rejected := h.overloadCounter(4000, func(int) bool {
		if freeAt = max(freeAt, h.now-100*ms); freeAt > h.now {
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
	h := newSparseHarness(t)
	h.overloadCounter(400, func(n int) bool { return n%3 != 0 })
	h.gateway.admission.callProbability = minCallProbability // hardly any call is made
	firstTries, repeats := 0, 0
	for i := range 100 {
		h.gateway.admission.fastAnswers = 1 // the counter answered a moment ago
		for _, repeat := range []bool{false, true} {
			id := uint32(5000 + 2*i)
			if repeat {
				id++
			}
			h.send(Request{ID: id, Plan: 1, Customer: uint64(9000 + i), Units: 1, Repeat: repeat})
			h.calls = nil
			n := h.attemptsOf(id)
			if h.finishAttempt(id, Answered); repeat {
				repeats += n
			} else {
				firstTries += n
			}
		}
		h.advance(100 * ms)
	}
	if firstTries < 85 || repeats > 10 {
		t.Errorf("forwarded %d of 100 first tries (want 85 or more) and %d of 100 repeats (want 10 at most)",
			firstTries, repeats)
	}
}

func TestSparse_acceptedChargesCompensateForRejectedOnes(t *testing.T) {
	h := newSparseHarness(t)
	h.overloadCounter(1500, func(n int) bool { return n%2 == 0 }) // half of all calls are rejected
	total, requests := 0.0, 3000
	for i := range requests {
		id := uint32(10000 + i)
		h.gateway.admission.callProbability, h.gateway.admission.acceptedFraction = 0.5, 0.5
		h.send(Request{ID: id, Plan: 1, Customer: uint64(20000 + i), Units: 1})
		h.calls = nil
		h.gateway.admission.callProbability, h.gateway.admission.acceptedFraction = 0.5, 0.5
		forwarded := h.attemptsOf(id)
		h.finishAttempt(id, Answered)
		for _, c := range h.calls {
			if h.gateway.random.Float64() < 0.5 {
				total += c.units
			}
		}
		h.calls = nil
		if forwarded == 0 {
			requests--
		}
		h.advance(2 * ms)
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
	h := newHarness(t, settings, 4)
	h.gatewayCount, h.counterDown = 40, true
	h.request(1, 0, 1, 1)
	h.timeOutCounter()
	h.send(Request{ID: 2, Plan: 1, Customer: 1, Units: 1, Repeat: true})
	h.wantLogged("reject 2, retry after 125ms", 1)
	if len(h.calls) != 0 {
		t.Errorf("a repeat made %d calls", len(h.calls))
	}
}
