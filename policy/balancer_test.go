package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestEndpoints_drainWhileARequestAwaitsItsCount(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	s.down = true
	s.request(1, 0, 0, 1)
	s.gateway.HandleEndpoints(s.now, ListDelta, []Endpoint{{Server: 1, State: Draining}})
	s.down = false
	s.answerCounter()
	if len(s.attempts) != 1 || s.attempts[0].server != 2 {
		t.Errorf("pushed %v, want one to server 2", s.attempts)
	}
	s.gateway.HandleEndpoints(s.now, ListFull, []Endpoint{{Server: 3, State: Ready}})
	s.request(2, 0, 0, 1)
	if last := s.attempts[len(s.attempts)-1]; last.server != 3 {
		t.Errorf("pushed to %d, which a whole list left out", last.server)
	}
}

func TestPlacement_waitsForAServer(t *testing.T) {
	s := newHarness(t, testSettings(), 0)
	s.request(1, 0, 0, 1)
	s.wantAttempts(1, 0)
	s.advance(50 * ms)
	s.gateway.HandleEndpoints(s.now, ListDelta, []Endpoint{{Server: 1, State: Ready}})
	s.advance(20 * ms)
	s.wantAttempts(1, 1)
	s = newHarness(t, testSettings(), 0)
	s.request(1, 0, 0, 1)
	s.advance(600 * ms)
	s.want("reject 1 away 125ms", 1)
}

func TestSlowStart_whereADeployLeavesNoWarmServer(t *testing.T) {
	for _, kind := range []ListKind{ListDelta, ListFull} {
		s := newHarness(t, testSettings(), 4)
		id := uint32(0)
		second := func() {
			for range 100 {
				id++
				s.request(id, 0, 0, 1)
				s.advance(10 * ms)
				s.finishAttempt(id, Answered)
			}
		}
		second()
		for late := uint32(900); late < 904; late++ {
			s.request(late, 0, 0, 1)
		}
		s.gateway.HandleEndpoints(s.now, kind, []Endpoint{{Server: 9, State: Ready, StartedAt: s.now}})
		for late := uint32(900); late < 904; late++ {
			s.finishAttempt(late, Answered) // answers of servers that are gone tell nothing of what warm ones bear
		}
		second()
		cold := s.attemptsTo(9, 0)
		// Warm servers get 25 a second; a fifth of that and a little more as it warms is 6, from a start by lot.
		if cold < 2 || cold > 8 {
			t.Errorf("list kind %d: a cold server got %d pushes in its first second, want about 6", kind, cold)
		}
	}
}

func TestPlacement_boundsInFlightAndTheRestWaitsOrIsRejected(t *testing.T) {
	s := newHarness(t, testSettings(), 2)
	for id := uint32(1); id <= 40; id++ {
		s.request(id, 0, 0, 1)
		s.advance(20 * ms)
		s.finishAttempt(id, Answered)
	}
	before := len(s.attempts)
	for id := uint32(100); id < 160; id++ {
		s.request(id, 0, 0, 1)
	}
	out := len(s.attempts) - before
	if out > 16 {
		t.Errorf("%d pushes out at two servers that answer 50 a second", out)
	}
	s.finishAttempt(s.attempts[len(s.attempts)-1].request, Answered)
	s.advance(20 * ms)
	if len(s.attempts) != before+out+1 {
		t.Errorf("%d tasks took a freed place, want one", len(s.attempts)-before-out)
	}
	s.advance(200 * ms)
	for id := uint32(100); id < 160; id++ {
		if s.attemptsOf(id)+s.occurrences(fmt.Sprintf("reject %d away 125ms", id)) == 0 {
			t.Errorf("task %d still waits", id)
		}
	}
}

func TestPlacement_firstBurstIsSharedOverTheGateways(t *testing.T) {
	d := testSettings()
	d.Gateways = 12
	s := newHarness(t, d, 6)
	for id := uint32(1); id <= 20; id++ {
		s.request(id, 0, 0, 1)
	}
	if len(s.attempts) != 5 {
		t.Errorf("%d pushes out at six unknown servers with eleven more gateways; want two, and chance", len(s.attempts))
	}
}

func TestSlowStart_noBurstOfHundredsOfGateways(t *testing.T) {
	pushed := 0
	for seed := range int64(100) {
		d := testSettings()
		d.Gateways = 100
		s := newHarness(t, d, 4)
		s.gateway.random.Seed(seed)
		s.gateway.HandleEndpoints(s.now, ListDelta, []Endpoint{{Server: 9, State: Ready, StartedAt: s.now}})
		for id := uint32(1); id <= 8; id++ { // a task a second of each gateway, over five servers
			s.request(id, 0, 0, 1)
			s.advance(500 * ms)
			s.finishAttempt(id, Answered)
		}
		pushed += s.attemptsTo(9, 0)
	}
	// Warm ones get 40 a second; a cold one a fifth and more of that: some 50 in four seconds, not 100 at once.
	if pushed < 5 || pushed > 80 {
		t.Errorf("a cold server got %d pushes of a hundred gateways", pushed)
	}
}

func TestLoadShedding_byLatencies(t *testing.T) {
	d := testSettings()
	d.Gateways = 50
	s := newHarness(t, d, 20)
	rejected := [2]int{}
	for id := uint32(1); id <= 200; id++ {
		s.request(id, 0, 0, 1)
		if s.attemptsOf(id) == 0 {
			rejected[min(id/101, 1)]++
		}
		s.advance(10 * ms)
		took := 50 * ms
		if id > 100 {
			took = 800 * ms // far beyond the soft limit of 500 ms, at every server
		}
		if n := len(s.attempts); n > 0 && s.attempts[n-1].request == id {
			s.attempts[n-1].ended = true
			s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: id, Server: s.attempts[n-1].server, Latency: took, Final: true})
		}
	}
	if rejected[0] > 0 || rejected[1] < 30 {
		t.Errorf("%v of 100 tasks rejected while the fleet is quick and slow", rejected)
	}
}

func TestLoadShedding_endsWithTheCongestion(t *testing.T) {
	d := testSettings()
	d.Gateways = 50
	s := newHarness(t, d, 20)
	id, rejected := uint32(0), 0
	take := func(then time.Duration) {
		id++
		s.gateway.HandleRequest(s.now, Request{ID: id, Customer: 1, GatewayCount: 2, Units: 1, Deadline: s.now + 20*time.Second})
		s.answerCounter()
		s.advance(then)
	}
	answer := func() {
		for i := range s.attempts {
			if p := &s.attempts[i]; !p.ended {
				p.ended = true
				s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: p.request, Server: p.server, Latency: s.now - p.at, Final: true})
			}
		}
	}
	for range 20 {
		take(50 * ms)
	}
	s.advance(5 * time.Second)
	answer() // what was sent into the jam comes back at once, five seconds late
	for range 200 {
		take(50 * ms)
		if s.attemptsOf(id) == 0 {
			rejected++
		}
		answer()
	}
	if rejected > 50 {
		t.Errorf("%d of 200 tasks rejected for a jam that is gone", rejected)
	}
}

// Pressed, all lanes were shed alike, though some gain a third of what others do for the same work.
func TestLoadShedding_shedsTheLowestWeightFirst(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 12; id++ { // answers take four fifths of the soft limit: pressed
		s.request(id, int(id%3), 0, 1)
		s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: id, Server: s.attempts[len(s.attempts)-1].server, Outcome: Answered, Latency: 400 * ms, Final: true})
	}
	pushed := map[int]int{}
	for id := uint32(13); id < 413; id++ {
		class := int(id%2) * 2
		before := len(s.attempts)
		s.request(id, class, 0, 1)
		if len(s.attempts) > before {
			pushed[class]++
			s.gateway.HandleAttemptResult(s.now, AttemptResult{RequestID: id, Server: s.attempts[before].server, Outcome: Answered, Latency: 400 * ms, Final: true})
		}
		s.advance(10 * ms)
	}
	if pushed[2] < 2*pushed[0] || pushed[0] == 0 {
		t.Errorf("pushed of the lane that gains 1: %d, of the one that gains 3: %d", pushed[0], pushed[2])
	}
}

// A gateway reckoned its pushes to a warm server as before when five times as many had come to share each.
func TestAttemptInterval_followsTheSharingGateways(t *testing.T) {
	s := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 40; id++ {
		s.request(id, 0, 0, 1)
		s.advance(20 * ms)
		s.finishAttempt(id, Answered)
	}
	before := s.gateway.balancer.attemptInterval()
	s.gateway.SetSharers(10)
	if now := s.gateway.balancer.attemptInterval(); (now - 5*before).Abs() > ms {
		t.Errorf("%v between pushes to a server that two share, %v where ten do", before, now)
	}
}
