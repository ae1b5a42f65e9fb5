package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestEndpoints_drainWhileARequestAwaitsItsCount(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.counterDown = true
	h.request(1, 0, 0, 1)
	h.gateway.HandleEndpoints(h.now, ListDelta, []Endpoint{{Server: 1, State: Draining}})
	h.counterDown = false
	h.answerCounter()
	if len(h.attempts) != 1 || h.attempts[0].server != 2 {
		t.Errorf("attempts %v, want one at server 2", h.attempts)
	}
	h.gateway.HandleEndpoints(h.now, ListFull, []Endpoint{{Server: 3, State: Ready}})
	h.request(2, 0, 0, 1)
	if last := h.attempts[len(h.attempts)-1]; last.server != 3 {
		t.Errorf("sent to server %d, which is not in the full list", last.server)
	}
}

func TestPlacement_waitsForAServer(t *testing.T) {
	h := newHarness(t, testSettings(), 0)
	h.request(1, 0, 0, 1)
	h.wantAttempts(1, 0)
	h.advance(50 * ms)
	h.gateway.HandleEndpoints(h.now, ListDelta, []Endpoint{{Server: 1, State: Ready}})
	h.advance(20 * ms)
	h.wantAttempts(1, 1)
	h = newHarness(t, testSettings(), 0)
	h.request(1, 0, 0, 1)
	h.advance(600 * ms)
	h.wantLogged("reject 1, retry after 125ms", 1)
}

// Guards against attempts for a client of which it is not known whether it is still connected.
func TestPlacement_waitsForAConnectedClient(t *testing.T) {
	for name, c := range map[string]struct {
		before, after Presence
		wait          time.Duration
		wantAttempts  int
		wantRejected  int
	}{
		"connected later":            {ClientUnknown, ClientConnected, 300 * ms, 1, 0},
		"disconnect not yet noticed": {ClientDisconnected, ClientDisconnected, 300 * ms, 0, 0},
		"unknown until the end":      {ClientUnknown, ClientUnknown, 300 * ms, 0, 1},
		"unverifiable":               {ClientUnverifiable, ClientUnverifiable, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 1)
			presence := c.before
			h.send(Request{ID: 1, Customer: 1, Units: 1, Presence: func() Presence { return presence }})
			h.answerCounter()
			h.wantAttempts(1, 0)
			h.advance(c.wait)
			presence = c.after
			h.advance(20 * ms)
			h.wantAttempts(1, c.wantAttempts)
			if presence == ClientUnknown {
				h.advance(300 * ms)
			}
			h.wantLogged("reject 1, retry after 125ms", c.wantRejected)
		})
	}
}

func TestSlowStart_deploymentLeavesNoWarmServer(t *testing.T) {
	for _, kind := range []ListKind{ListDelta, ListFull} {
		h := newHarness(t, testSettings(), 4)
		id := uint32(0)
		serveForASecond := func() {
			for range 100 {
				id++
				h.request(id, 0, 0, 1)
				h.advance(10 * ms)
				h.finishAttempt(id, Answered)
			}
		}
		serveForASecond()
		for late := uint32(900); late < 904; late++ {
			h.request(late, 0, 0, 1)
		}
		h.gateway.HandleEndpoints(h.now, kind, []Endpoint{{Server: 9, State: Ready, StartedAt: h.now}})
		for late := uint32(900); late < 904; late++ {
			h.finishAttempt(late, Answered) // answers of removed servers must not count as answers of warm ones
		}
		serveForASecond()
		warming := h.attemptsTo(9, 0)
		// Each warm server got 25 attempts per second. The warming server has a fifth of the
		// capacity and a little more as it warms up, so about 6 attempts are due.
		if warming < 2 || warming > 8 {
			t.Errorf("list kind %d: the warming server got %d attempts in its first second, want 2 to 8", kind, warming)
		}
	}
}

func TestPlacement_limitsAttemptsInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serveInTurn(40, 0, 1, 20*ms)
	before := len(h.attempts)
	for id := uint32(100); id < 160; id++ {
		h.request(id, 0, 0, 1)
	}
	inFlight := len(h.attempts) - before
	if inFlight > 16 {
		t.Errorf("%d attempts in flight at two servers that answer 50 per second, want at most 16", inFlight)
	}
	h.finishAttempt(h.attempts[len(h.attempts)-1].request, Answered)
	h.advance(20 * ms)
	if len(h.attempts) != before+inFlight+1 {
		t.Errorf("%d requests were sent after one answer, want 1", len(h.attempts)-before-inFlight)
	}
	h.advance(200 * ms)
	for id := uint32(100); id < 160; id++ {
		if h.attemptsOf(id)+h.occurrences(fmt.Sprintf("reject %d, retry after 125ms", id)) == 0 {
			t.Errorf("request %d was neither sent nor rejected", id)
		}
	}
}

func TestPlacement_firstBurstIsSharedAmongGateways(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 12
	h := newHarness(t, settings, 6)
	for id := uint32(1); id <= 20; id++ {
		h.request(id, 0, 0, 1)
	}
	if len(h.attempts) != 5 {
		t.Errorf("%d attempts in flight at 6 servers of unknown rate that 12 gateways share, want 5",
			len(h.attempts))
	}
}

func TestSlowStart_noBurstOfHundredsOfGateways(t *testing.T) {
	forwarded := 0
	for seed := range int64(100) {
		settings := testSettings()
		settings.Gateways = 100
		h := newHarness(t, settings, 4)
		h.gateway.random.Seed(seed)
		h.gateway.HandleEndpoints(h.now, ListDelta, []Endpoint{{Server: 9, State: Ready, StartedAt: h.now}})
		h.serveInTurn(8, 0, 1, 500*ms) // two requests per second from each gateway to five servers
		forwarded += h.attemptsTo(9, 0)
	}
	// Each warm server gets 40 attempts per second from all gateways. A warming server has a fifth
	// of the capacity or more, so about 50 attempts are due in four seconds.
	if forwarded < 5 || forwarded > 80 {
		t.Errorf("the warming server got %d attempts from 100 gateways, want 5 to 80", forwarded)
	}
}

func TestLoadShedding_byLatencies(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 50
	h := newHarness(t, settings, 20)
	rejected := [2]int{}
	for id := uint32(1); id <= 200; id++ {
		h.request(id, 0, 0, 1)
		if h.attemptsOf(id) == 0 {
			rejected[min(id/101, 1)]++
		}
		h.advance(10 * ms)
		latency := 50 * ms
		if id > 100 {
			latency = 800 * ms // well over the objective of 500 ms, at every server
		}
		if n := len(h.attempts); n > 0 && h.attempts[n-1].request == id {
			h.attempts[n-1].ended = true
			h.answer(id, h.attempts[n-1].server, latency)
		}
	}
	if rejected[0] > 0 || rejected[1] < 30 {
		t.Errorf("%v of 100 requests rejected while the servers were fast and slow, want 0 and at least 30", rejected)
	}
}

func TestLoadShedding_endsWithTheCongestion(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 50
	h := newHarness(t, settings, 20)
	id, rejected := uint32(0), 0
	sendThenAdvance := func(interval time.Duration) {
		id++
		h.send(Request{ID: id, Customer: 1, Units: 1, Deadline: h.now + 20*time.Second})
		h.answerCounter()
		h.advance(interval)
	}
	answerAll := func() {
		for i := range h.attempts {
			if sent := &h.attempts[i]; !sent.ended {
				sent.ended = true
				h.answer(sent.request, sent.server, h.now-sent.at)
			}
		}
	}
	for range 20 {
		sendThenAdvance(50 * ms)
	}
	h.advance(5 * time.Second)
	answerAll() // all attempts of the congestion are answered together, five seconds late
	for range 200 {
		sendThenAdvance(50 * ms)
		if h.attemptsOf(id) == 0 {
			rejected++
		}
		answerAll()
	}
	if rejected > 50 {
		t.Errorf("%d of 200 requests rejected after the congestion ended, want at most 50", rejected)
	}
}

// Guards against load shedding that ignores the weights of the classes.
func TestLoadShedding_shedsTheLowestWeightFirst(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for id := uint32(1); id <= 12; id++ { // latencies of four fifths of the objective mean overload
		h.request(id, int(id%3), 0, 1)
		h.answer(id, h.attempts[len(h.attempts)-1].server, 400*ms)
	}
	forwarded := map[int]int{}
	for id := uint32(13); id < 413; id++ {
		class := int(id%2) * 2
		before := len(h.attempts)
		h.request(id, class, 0, 1)
		if len(h.attempts) > before {
			forwarded[class]++
			h.answer(id, h.attempts[before].server, 400*ms)
		}
		h.advance(10 * ms)
	}
	if forwarded[2] < 2*forwarded[0] || forwarded[0] == 0 {
		t.Errorf("forwarded %d requests of weight 1 and %d of weight 3, want at least twice as many of weight 3",
			forwarded[0], forwarded[2])
	}
}

// Guards against an attempt interval that is not updated when the number of gateways that share a
// server changes.
func TestAttemptInterval_followsTheSharingGateways(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.serveInTurn(40, 0, 1, 20*ms)
	before := h.gateway.balancer.attemptInterval()
	h.gateway.SetSharingGateways(10)
	if now := h.gateway.balancer.attemptInterval(); (now - 5*before).Abs() > ms {
		t.Errorf("%v between attempts at a server that two gateways share, %v with ten", before, now)
	}
}
