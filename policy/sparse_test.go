package policy

import (
	"testing"
	"time"
)

// newSparseHarness has customers whose requests come through fifty gateways: those of the small
// plan are sparse.
func newSparseHarness(t *testing.T) *harness {
	t.Helper()
	d := testSettings()
	d.Gateways = 50
	world := newHarness(t, d, 4)
	world.gatewayCount = 50
	return world
}

func TestSparse_chargeDoesNotWaitForTheNextCheck(t *testing.T) {
	world := newSparseHarness(t)
	world.request(1, 0, 1, 2)
	world.finishAttempt(1, Answered)
	if got := world.countedUnits(1); got != 2 {
		t.Errorf("%v units stand in the count, want the 2 of the answer", got)
	}
}

func TestSparse_windowStartsWithTheOverrunOfTheEarlier(t *testing.T) {
	world := newSparseHarness(t)
	world.request(1, 0, 1, 1) // so that the customer has windows
	world.finishAttempt(1, Answered)
	customer := world.gateway.admission.customerList[0]
	rest := customer.windowStart(customer.windowAt(world.now)+1) - world.now
	world.advance(rest - ms)
	world.chargeByOthers(1, 5+2*rest.Seconds()) // of 9 that were left and 2 a second that came since
	world.advance(ms)
	world.request(2, 0, 1, 1)
	if got := world.countedUnits(1); got < 5.9 || got > 6.1 {
		t.Errorf("the new window starts with %v units, want the 6 that the bucket lacks", got)
	}
}

func TestSparse_keepsToAnEvenShareWithoutACount(t *testing.T) {
	world := newSparseHarness(t)
	world.down = true
	for id := uint32(1); id <= 4; id++ {
		world.request(id, 0, 1, 2)
		world.advance(40 * ms)
		world.timeOutCounter()
	}
	world.wantAttempts(1, 1)
	world.wantAttempts(2, 0)
	world.wantAttempts(4, 0)
}

// overloadCounter has the counter accept some calls and reject the others, and gives how often it
// was called and how often it rejected, in the second half. Each request is of a sparse customer of
// its own.
func (h *harness) overloadCounter(requests int, accepts func(call int) bool) (calls, refused int) {
	h.down = true
	n := 0
	for i := range requests {
		id := uint32(1000 + i)
		h.send(Request{ID: id, Plan: 1, Customer: uint64(1000 + i), Units: 1})
		for len(h.calls) > 0 {
			call := h.calls[0]
			h.calls = h.calls[1:]
			n++
			how := Answered
			if !accepts(n) {
				how = Rejected
			}
			if i > requests/2 {
				calls++
				if how == Rejected {
					refused++
				}
			}
			h.countResult(CountResult{Name: call.name, Latency: ms, Outcome: how})
		}
		h.advance(5 * ms)
		h.finishAttempt(id, Answered)
	}
	return calls, refused
}

func TestCounter_callsSettleSlightlyAboveItsCapacity(t *testing.T) {
	world := newSparseHarness(t)
	// The counter has capacity for a call each 20 ms, and a few at once: far less than the two for
	// a request each 5 ms.
	var free time.Duration
	calls, refused := world.overloadCounter(4000, func(int) bool {
		if free = max(free, world.now-100*ms); free > world.now {
			return false
		}
		free += 20 * ms
		return true
	})
	if part := float64(refused) / float64(calls); part > 0.2 || calls < 200 {
		t.Errorf("%d of %d calls rejected (%.2f), want under a fifth", refused, calls, part)
	}
}

func TestSparse_repeatsNeedACountWhileTheCounterIsOverloaded(t *testing.T) {
	world := newSparseHarness(t)
	world.overloadCounter(400, func(n int) bool { return n%3 != 0 })
	world.gateway.admission.callProbability = minCallProbability // nearly no call goes out
	first, again := 0, 0
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
				again += n
			} else {
				first += n
			}
		}
		world.advance(100 * ms)
	}
	if first < 85 || again > 10 {
		t.Errorf("%d first tries and %d repeats of a hundred each forwarded without a count", first, again)
	}
}

func TestSparse_acceptedChargesStandForRejectedOnes(t *testing.T) {
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
	if part := total / float64(requests); part < 0.85 || part > 1.15 {
		t.Errorf("the count has %.2f of the units forwarded", part)
	}
}

// Guards against repeats that take all calls of an overloaded counter from first tries.
func TestSparse_repeatsMakeNoCallsWhileSomeAreSkipped(t *testing.T) {
	d := testSettings()
	d.Gateways = 40
	world := newHarness(t, d, 4)
	world.gatewayCount, world.down = 40, true
	world.request(1, 0, 1, 1)
	world.timeOutCounter()
	world.send(Request{ID: 2, Plan: 1, Customer: 1, Units: 1, Repeat: true})
	world.want("reject 2 away 125ms", 1)
	if len(world.calls) != 0 {
		t.Errorf("a repeat made %d calls", len(world.calls))
	}
}
