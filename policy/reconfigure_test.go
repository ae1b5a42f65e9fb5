package policy

import (
	"errors"
	"testing"
	"time"
)

// otherSettings have classes and plans in another order, some of each missing and one new, other
// limits, no Retry-After.
func otherSettings() Settings {
	settings := testSettings()
	settings.Classes = []TrafficClass{
		{Name: "read", LatencyObjective: 300 * ms, Timeout: time.Second, Weight: 1, Effect: Idempotent},
		{
			Name: "mark", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 2, Effect: Keyed,
			Group: GroupZone, DedupWindow: 300 * ms,
		},
		{Name: "look", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 1, Effect: Idempotent},
	}
	settings.Plans = []Plan{
		{Name: "out", MaxInFlight: 1},
		{Name: "new", Rate: 5, Burst: 10},
		{Name: "small", Rate: 4, Burst: 4},
		{Name: "wide", MaxInFlight: 2},
	}
	settings.RetryAfter, settings.UsageSpan = false, time.Second
	return settings
}

func (h *harness) reconfigure(d Settings) Settings {
	h.Helper()
	now, err := h.gateway.Reconfigure(h.now, d)
	if err != nil {
		h.Fatal(err)
	}
	return now
}

func TestReconfigure_classesAndPlansKeepTheirIndexByName(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	there := world.reconfigure(otherSettings())
	for i, want := range []string{"look", "hold", "pay", "mark", "read"} {
		if l := there.Classes[i]; l.Name != want || l.Retired != (want == "hold" || want == "pay") {
			t.Errorf("class %d is %s, retired %v", i, l.Name, l.Retired)
		}
	}
	back := world.reconfigure(testSettings())
	if len(back.Classes) != 5 || back.Classes[1].Retired || !back.Classes[4].Retired || back.Plans[0].Rate != 1000 {
		t.Errorf("the way back gives %+v", back)
	}
	if again := world.reconfigure(otherSettings()); len(again.Classes) != 5 || len(again.Plans) != len(there.Plans) {
		t.Errorf("a second time the classes and plans grew: %d, %d", len(again.Classes), len(again.Plans))
	}
}

func TestReconfigure_requestInFlightKeepsItsClass(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.request(1, 2, 0, 1) // pays, which is missing in the new settings
	world.reconfigure(otherSettings())
	world.finishAttempt(1, Reset) // it may have run: it must not be retried, nor be called harmless to repeat
	world.wantAttempts(1, 1)
	world.want("terminate 1", 1)
	world.request(2, 0, 0, 1)
	world.finishAttempt(2, Answered)
	world.reconfigure(testSettings())
	world.request(3, 2, 0, 1)
	world.finishAttempt(3, Reset)
	world.want("terminate 3", 1)
}

func TestReconfigure_attemptsInFlightCountAgainstANewLimit(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 3; id++ {
		world.request(id, 0, 0, 1)
		world.wantAttempts(id, 1)
	}
	world.reconfigure(otherSettings()) // two attempts in flight now; three are out
	world.request(4, 0, 0, 1)
	world.wantAttempts(4, 0)
	world.want("reject 4 away 0s", 1) // and no Retry-After is to be given
	for id := uint32(1); id <= 3; id++ {
		world.finishAttempt(id, Answered)
	}
	world.request(5, 0, 0, 1)
	world.wantAttempts(5, 1)
}

func TestReconfigure_countOfAnOldWindowIsIgnored(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.down = true
	world.request(1, 0, 1, 2) // waits for the count of its plan as it was
	d := testSettings()
	d.Plans[1] = Plan{Name: "small", Rate: 4, Burst: 6}
	world.reconfigure(d)
	farOver := 100.0 // were it of this window
	world.countResult(CountResult{Name: world.calls[0].name, Total: farOver, Latency: ms})
	world.calls = nil
	world.wantAttempts(1, 1)
	customer := world.gateway.admission.customerList[0]
	if customer.available < 0 || customer.available > 4 || customer.samples[0].window != -1 {
		t.Errorf("the customer has %v units left and samples %v", customer.available, customer.samples)
	}
}

func TestReconfigure_ejectionForAPlanStays(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.request(1, 3, 4, 1)
	server := world.gateway.balancer.servers[world.attempts[0].server-1]
	world.finishAttempt(1, Rejected)
	world.reconfigure(otherSettings())
	marked := &requestState{Request: Request{Class: 3, Plan: 4}, class: &world.gateway.classes[3]}
	fresh := &requestState{Request: Request{Class: 4, Plan: 5}, class: &world.gateway.classes[4]}
	if old, other := server.isEjectedFor(marked), server.isEjectedFor(fresh); !old || other {
		t.Errorf("ejected for what it rejected: %v, for a new class and plan: %v", old, other)
	}
}

func TestReconfigure_invalidSettingsChangeNothing(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	for name, bad := range map[string]func(*Settings){
		"no class":   func(d *Settings) { d.Classes = nil },
		"no gateway": func(d *Settings) { d.Gateways = 0 },
	} {
		d := otherSettings()
		bad(&d)
		_, err := world.gateway.Reconfigure(world.now, d)
		if inForce := &world.gateway.settings; !errors.Is(err, ErrIncompleteSettings) || inForce.Classes[1].Retired ||
			!inForce.RetryAfter {
			t.Errorf("%s: %v, and in force %+v", name, err, world.gateway.settings)
		}
	}
}

func TestReconfigure_removedCounterLeavesNoRequestWaiting(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.down = true
	world.request(1, 0, 0, 1)
	world.wantAttempts(1, 0)
	d := testSettings()
	d.HasCounter = false
	world.reconfigure(d)
	world.advance(200 * ms)
	world.wantAttempts(1, 1)
	before := len(world.calls)
	world.request(2, 0, 0, 1)
	world.wantAttempts(2, 1)
	if len(world.calls) != before {
		t.Error("a counter that is not configured was called")
	}
}

// A plan with neither rate nor limit is unlimited: its customers have no windows, nor those that
// had some before, and what comes late or twice for them counts once.
func TestReconfigure_planWithoutRateAndLimitIsUnlimited(t *testing.T) {
	world := newHarness(t, testSettings(), 4)
	world.down = true
	world.request(1, 0, 4, 1) // claims in a window
	d := testSettings()
	d.Plans[4] = Plan{Name: "out"}
	world.reconfigure(d)
	world.down = false
	world.answerCounter() // the count asked for before
	world.wantAttempts(1, 1)
	for range 2 {
		world.answer(1, world.attempts[0].server, 20*ms)
	}
	world.answerCounter()
	if out := world.gateway.admission.customerList[0].inFlight; out != 0 || len(world.gateway.requests) != 0 {
		t.Errorf("%d in flight and %d requests after their end came twice", out, len(world.gateway.requests))
	}
	for id := uint32(2); id <= 9; id++ {
		world.request(id, 0, 4, 8)
		world.finishAttempt(id, Answered)
		world.wantAttempts(id, 1)
	}
	world.reconfigure(testSettings())
	world.request(10, 0, 4, 1)
	world.wantAttempts(10, 1)
}
