package policy

import (
	"slices"
	"testing"
	"time"
)

func TestModule_isDeterministic(t *testing.T) {
	var runs [2][]string
	for i := range runs {
		h := newHarness(t, testSettings(), 6)
		for id := uint32(1); id <= 200; id++ {
			h.request(id, int(id%4), int(id%3), 1)
			h.advance(time.Duration(id%7) * ms)
			if h.attemptsOf(id) > 0 && id%5 > 0 {
				h.finishAttempt(id, []Outcome{Answered, Answered, Errored, Rejected}[id%4])
			}
		}
		runs[i] = h.log
	}
	if !slices.Equal(runs[0], runs[1]) {
		t.Error("two runs with the same events and seed logged different actions")
	}
}

func TestNew_unusualSettings(t *testing.T) {
	if _, err := New(Settings{Gateways: 1}, 1, &fakeHost{}); err == nil {
		t.Error("New accepted settings without classes and plans")
	}
	settings := testSettings()
	settings.HasCounter, settings.PollList, settings.Plans[0].Rate = false, true, 0
	h := newHarness(t, settings, 1)
	h.wantLogged("watch", 1)
	h.gateway.HandleEndpoints(h.now, ListFailed, nil)
	h.advance(time.Second)
	h.wantLogged("watch", 2)
	h.request(1, 2, 0, 1)
	h.wantAttempts(1, 1)
}
