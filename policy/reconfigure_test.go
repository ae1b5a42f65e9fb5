package policy

import (
	"errors"
	"testing"
	"time"
)

// otherSettings returns testSettings with the classes and plans reordered, some of each missing and
// one new, with other limits and without Retry-After.
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
	settings.SendsRetryAfter, settings.UsageSpan = false, time.Second
	return settings
}

func (h *harness) reconfigure(settings Settings) Settings {
	h.Helper()
	inForce, err := h.gateway.Reconfigure(h.now, settings)
	if err != nil {
		h.Fatal(err)
	}
	return inForce
}

func TestReconfigure_classesAndPlansKeepTheirIndex(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	other := h.reconfigure(otherSettings())
	for i, want := range []string{"look", "hold", "pay", "mark", "read"} {
		if class := other.Classes[i]; class.Name != want || class.Retired != (want == "hold" || want == "pay") {
			t.Errorf("class %d is %s, retired %v, want %s", i, class.Name, class.Retired, want)
		}
	}
	back := h.reconfigure(testSettings())
	if len(back.Classes) != 5 || back.Classes[1].Retired || !back.Classes[4].Retired || back.Plans[0].Rate != 1000 {
		t.Errorf("settings after the change back: %+v", back)
	}
	if again := h.reconfigure(otherSettings()); len(again.Classes) != 5 || len(again.Plans) != len(other.Plans) {
		t.Errorf("the second change to the same settings left %d classes and %d plans, want 5 and %d",
			len(again.Classes), len(again.Plans), len(other.Plans))
	}
}

func TestReconfigure_requestInFlightKeepsItsClass(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request(1, 2, 0, 1) // of class pay, which is missing in the new settings
	h.reconfigure(otherSettings())
	h.finishAttempt(1, Reset) // it may have run, so it must be neither retried nor rejected
	h.wantAttempts(1, 1)
	h.wantLogged("terminate 1", 1)
	h.request(2, 0, 0, 1)
	h.finishAttempt(2, Answered)
	h.reconfigure(testSettings())
	h.request(3, 2, 0, 1)
	h.finishAttempt(3, Reset)
	h.wantLogged("terminate 3", 1)
}

func TestReconfigure_attemptsInFlightCountAgainstANewLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 3; id++ {
		h.request(id, 0, 0, 1)
		h.wantAttempts(id, 1)
	}
	h.reconfigure(otherSettings()) // the limit is now two; three attempts are in flight
	h.request(4, 0, 0, 1)
	h.wantAttempts(4, 0)
	h.wantLogged("reject 4, retry after 0s", 1) // without a Retry-After
	for id := uint32(1); id <= 3; id++ {
		h.finishAttempt(id, Answered)
	}
	h.request(5, 0, 0, 1)
	h.wantAttempts(5, 1)
}

func TestReconfigure_countOfAnOldWindowIsIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.counterDown = true
	h.request(1, 0, 1, 2) // waits for the count of its earlier plan
	settings := testSettings()
	settings.Plans[1] = Plan{Name: "small", Rate: 4, Burst: 6}
	h.reconfigure(settings)
	overBurst := 100.0 // would exhaust the bucket if it counted
	h.countResult(CountResult{Name: h.calls[0].name, Total: overBurst, Latency: ms})
	h.calls = nil
	h.wantAttempts(1, 1)
	customer := h.gateway.admission.customerList[0]
	if customer.available < 0 || customer.available > 4 || customer.samples[0].window != -1 {
		t.Errorf("the customer has %v units left and samples %v", customer.available, customer.samples)
	}
}

func TestReconfigure_ejectionForAPlanStays(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request(1, 3, 4, 1)
	server := h.gateway.balancer.servers[h.attempts[0].server-1]
	h.finishAttempt(1, Rejected)
	h.reconfigure(otherSettings())
	rejected := &requestState{Request: Request{Class: 3, Plan: 4}, class: &h.gateway.classes[3]}
	unaffected := &requestState{Request: Request{Class: 4, Plan: 5}, class: &h.gateway.classes[4]}
	if known, other := server.isEjectedFor(rejected), server.isEjectedFor(unaffected); !known || other {
		t.Errorf("ejected for the class and plan that it rejected: %v, for new ones: %v", known, other)
	}
}

func TestReconfigure_invalidSettingsChangeNothing(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for name, invalidate := range map[string]func(*Settings){
		"no class":   func(settings *Settings) { settings.Classes = nil },
		"no gateway": func(settings *Settings) { settings.Gateways = 0 },
	} {
		settings := otherSettings()
		invalidate(&settings)
		_, err := h.gateway.Reconfigure(h.now, settings)
		if inForce := &h.gateway.settings; !errors.Is(err, ErrIncompleteSettings) || inForce.Classes[1].Retired ||
			!inForce.SendsRetryAfter {
			t.Errorf("%s: error %v, settings in force %+v", name, err, h.gateway.settings)
		}
	}
}

func TestReconfigure_removedCounterLeavesNoRequestWaiting(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.counterDown = true
	h.request(1, 0, 0, 1)
	h.wantAttempts(1, 0)
	settings := testSettings()
	settings.HasCounter = false
	h.reconfigure(settings)
	h.advance(200 * ms)
	h.wantAttempts(1, 1)
	before := len(h.calls)
	h.request(2, 0, 0, 1)
	h.wantAttempts(2, 1)
	if len(h.calls) != before {
		t.Error("a counter that is not configured was called")
	}
}

// A plan with neither a rate nor a limit is unlimited. Its customers have no windows, even if their
// earlier plan had some. Late and duplicate results for them count once.
func TestReconfigure_planWithoutRateAndLimitIsUnlimited(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.counterDown = true
	h.request(1, 0, 4, 1) // its call adds it to a window's count
	settings := testSettings()
	settings.Plans[4] = Plan{Name: "out"}
	h.reconfigure(settings)
	h.counterDown = false
	h.answerCounter() // the call made before the change
	h.wantAttempts(1, 1)
	for range 2 {
		h.answer(1, h.attempts[0].server, 20*ms)
	}
	h.answerCounter()
	if inFlight := h.gateway.admission.customerList[0].inFlight; inFlight != 0 || len(h.gateway.requests) != 0 {
		t.Errorf("%d in flight and %d requests left after a duplicate result, want none",
			inFlight, len(h.gateway.requests))
	}
	for id := uint32(2); id <= 9; id++ {
		h.request(id, 0, 4, 8)
		h.finishAttempt(id, Answered)
		h.wantAttempts(id, 1)
	}
	h.reconfigure(testSettings())
	h.request(10, 0, 4, 1)
	h.wantAttempts(10, 1)
}
