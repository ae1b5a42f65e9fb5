package policy

import (
	"testing"
	"time"
)

// otherSettings is the settings of another shape: lanes and plans in another order, one of each gone and one new, other
// limits, no time to come back.
func otherSettings() Settings {
	d := testSettings()
	d.Classes = []TrafficClass{
		{Name: "read", LatencyObjective: 300 * ms, Timeout: time.Second, Weight: 1, Effect: Idempotent},
		{Name: "mark", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 2, Effect: Keyed, Group: GroupZone, DedupWindow: 300 * ms},
		{Name: "look", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 1, Effect: Idempotent},
	}
	d.Plans = []Plan{{Name: "out", MaxInFlight: 1}, {Name: "new", Rate: 5, Burst: 10}, {Name: "small", Rate: 4, Burst: 4},
		{Name: "wide", MaxInFlight: 2}}
	d.RetryAfter, d.UsageSpan = false, time.Second
	return d
}

func (s *harness) reconfigure(d Settings) Settings {
	s.Helper()
	now, err := s.gateway.Reconfigure(s.now, d)
	if err != nil {
		s.Fatal(err)
	}
	return now
}

func TestReconfigure_classesAndPlansKeepTheirIndexByName(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	there := s.reconfigure(otherSettings())
	for i, want := range []string{"look", "hold", "pay", "mark", "read"} {
		if l := there.Classes[i]; l.Name != want || l.Retired != (want == "hold" || want == "pay") {
			t.Errorf("lane %d is %s, closed %v", i, l.Name, l.Retired)
		}
	}
	back := s.reconfigure(testSettings())
	if len(back.Classes) != 5 || back.Classes[1].Retired || !back.Classes[4].Retired || back.Plans[0].Rate != 1000 {
		t.Errorf("the way back gives %+v", back)
	}
	if again := s.reconfigure(otherSettings()); len(again.Classes) != 5 || len(again.Plans) != len(there.Plans) {
		t.Errorf("a second time the lanes and plans grew: %d, %d", len(again.Classes), len(again.Plans))
	}
}

func TestReconfigure_requestInFlightKeepsItsClass(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.request(1, 2, 0, 1) // pays, which is gone in the new settings
	s.reconfigure(otherSettings())
	s.finishAttempt(1, Reset) // it may have run: it must not go out again, nor be called harmless to repeat
	s.wantAttempts(1, 1)
	s.want("terminate 1", 1)
	s.request(2, 0, 0, 1)
	s.finishAttempt(2, Answered)
	s.reconfigure(testSettings())
	s.request(3, 2, 0, 1)
	s.finishAttempt(3, Reset)
	s.want("terminate 3", 1)
}

func TestReconfigure_attemptsInFlightCountAgainstANewLimit(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 3; id++ {
		s.request(id, 0, 0, 1)
		s.wantAttempts(id, 1)
	}
	s.reconfigure(otherSettings()) // two pushes at once now; three are out
	s.request(4, 0, 0, 1)
	s.wantAttempts(4, 0)
	s.want("reject 4 away 0s", 1) // and no time to come back is to be named
	for id := uint32(1); id <= 3; id++ {
		s.finishAttempt(id, Answered)
	}
	s.request(5, 0, 0, 1)
	s.wantAttempts(5, 1)
}

func TestReconfigure_countOfAnOldWindowIsIgnored(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.down = true
	s.request(1, 0, 1, 2) // waits for the total of its plan as it was
	d := testSettings()
	d.Plans[1] = Plan{Name: "small", Rate: 4, Burst: 6}
	s.reconfigure(d)
	s.gateway.HandleCount(s.now, CountResult{Name: s.calls[0].name, Total: 100, Latency: ms}) // far over, if it were of this window
	s.calls = nil
	s.wantAttempts(1, 1)
	if customer := s.gateway.admission.customerList[0]; customer.available < 0 || customer.available > 4 || customer.samples[0].window != -1 {
		t.Errorf("the book has %v left and looks %v", customer.available, customer.samples)
	}
}

func TestReconfigure_ejectionForAPlanStays(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.request(1, 3, 4, 1)
	server := s.gateway.balancer.servers[s.attempts[0].server-1]
	s.finishAttempt(1, Rejected)
	s.reconfigure(otherSettings())
	marked := &requestState{Request: Request{Class: 3, Plan: 4}, class: &s.gateway.classes[3]}
	fresh := &requestState{Request: Request{Class: 4, Plan: 5}, class: &s.gateway.classes[4]}
	if !server.isEjectedFor(marked) || server.isEjectedFor(fresh) {
		t.Errorf("set aside for what it turned away: %v, for a new lane and plan: %v", server.isEjectedFor(marked), server.isEjectedFor(fresh))
	}
}

func TestReconfigure_invalidSettingsChangeNothing(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	for name, bad := range map[string]func(*Settings){
		"no lane":    func(d *Settings) { d.Classes = nil },
		"no gateway": func(d *Settings) { d.Gateways = 0 },
	} {
		d := otherSettings()
		bad(&d)
		if _, err := s.gateway.Reconfigure(s.now, d); err == nil || s.gateway.settings.Classes[1].Retired || !s.gateway.settings.RetryAfter {
			t.Errorf("%s: %v, and in force %+v", name, err, s.gateway.settings)
		}
	}
}

func TestReconfigure_removedCounterLeavesNoRequestWaiting(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.down = true
	s.request(1, 0, 0, 1)
	s.wantAttempts(1, 0)
	d := testSettings()
	d.HasCounter = false
	s.reconfigure(d)
	s.advance(200 * ms)
	s.wantAttempts(1, 1)
	before := len(s.calls)
	s.request(2, 0, 0, 1)
	s.wantAttempts(2, 1)
	if len(s.calls) != before {
		t.Error("a counter that is not there was called")
	}
}

// A plan with neither rate nor limit is unlimited: its customers have no windows, also those that had some before, and
// what comes late or twice for them counts once.
func TestReconfigure_planWithoutRateAndLimitIsUnlimited(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	s.down = true
	s.request(1, 0, 4, 1) // claims in a window
	d := testSettings()
	d.Plans[4] = Plan{Name: "out"}
	s.reconfigure(d)
	s.down = false
	s.answerCounter() // the total asked for before
	s.wantAttempts(1, 1)
	for range 2 {
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: 1, Server: s.attempts[0].server, Outcome: Answered, Latency: 20 * ms, Final: true})
	}
	s.answerCounter()
	if out := s.gateway.admission.customerList[0].inFlight; out != 0 || len(s.gateway.requests) != 0 {
		t.Errorf("%d out and %d tasks after their end came twice", out, len(s.gateway.requests))
	}
	for id := uint32(2); id <= 9; id++ {
		s.request(id, 0, 4, 8)
		s.finishAttempt(id, Answered)
		s.wantAttempts(id, 1)
	}
	s.reconfigure(testSettings())
	s.request(10, 0, 4, 1)
	s.wantAttempts(10, 1)
}
