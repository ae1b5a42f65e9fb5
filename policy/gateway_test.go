package policy

import (
	"slices"
	"testing"
	"time"
)

func TestModule_isDeterministic(t *testing.T) {
	var runs [2][]string
	for i := range runs {
		s := newHarness(t, testSettings(), 6)
		for id := uint32(1); id <= 200; id++ {
			s.request(id, int(id%4), int(id%3), 1)
			s.advance(time.Duration(id%7) * ms)
			if s.attemptsOf(id) > 0 && id%5 > 0 {
				s.finishAttempt(id, []Outcome{Answered, Answered, Errored, Rejected}[id%4])
			}
		}
		runs[i] = s.log
	}
	if !slices.Equal(runs[0], runs[1]) {
		t.Error("the same events led to other actions")
	}
}

func TestNew_unusualSettings(t *testing.T) {
	if _, err := New(Settings{Gateways: 1}, 1, &fakeHost{}); err == nil {
		t.Error("a gateway without lanes and plans started")
	}
	d := testSettings()
	d.HasCounter, d.PollList, d.Plans[0].Rate = false, true, 0
	s := newHarness(t, d, 1)
	s.want("watch", 1)
	s.gateway.HandleEndpoints(s.now, ListFailed, nil)
	s.advance(time.Second)
	s.want("watch", 2)
	s.request(1, 2, 0, 1)
	s.wantAttempts(1, 1)
}
