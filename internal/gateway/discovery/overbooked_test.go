package discovery

import (
	"io"
	"net"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// overbookedAgent takes a call each turn, and rejects what would wait for its turn longer than its
// timeout: 2 s, or what a watch says. A call that is given up uses its turn.
type overloadedAgent struct {
	turn                    time.Duration
	exemptsContinuedWatches bool          // a continued watch takes no turn, and no call waits for over 2 s
	changed                 chan struct{} // closed with version 2, in which s-2 replaces s-1

	mu               sync.Mutex
	nextTurn         time.Time
	lastWatchAnswers map[int]time.Time // by connection, when a watch was last answered on it
}

// continuationTime is how soon after an answer the next call continues the watch.
const maxWatchGap = 200 * time.Millisecond

func newOverloadedAgent(turn time.Duration, exemptsContinuedWatches bool) *overloadedAgent {
	return &overloadedAgent{
		turn: turn, exemptsContinuedWatches: exemptsContinuedWatches, changed: make(chan struct{}), lastWatchAnswers: map[int]time.Time{},
	}
}

// isContinued tells whether a call continues a watch.
func (a *overloadedAgent) continuesWatch(call agentCall) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.lastWatchAnswers[call.connection]
	return a.exemptsContinuedWatches && call.isWatch() && ok && time.Since(at) <= maxWatchGap
}

// waitForTurn waits for a call's turn, and returns false if the call is rejected.
func (a *overloadedAgent) waitForTurn(limit time.Duration) bool {
	startedAt := time.Now()
	a.mu.Lock()
	if a.nextTurn.Before(startedAt) {
		a.nextTurn = startedAt
	}
	wait := a.nextTurn.Sub(startedAt)
	if wait > limit {
		a.mu.Unlock()
		return false
	}
	a.nextTurn = a.nextTurn.Add(a.turn)
	a.mu.Unlock()
	time.Sleep(wait)
	return true
}

func (a *overloadedAgent) handle(call agentCall, conn net.Conn) {
	query, _ := url.ParseQuery(call.query)
	limit := 2 * time.Second
	if ms, err := strconv.Atoi(query.Get("timeout_ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	longestWait := limit
	if a.exemptsContinuedWatches {
		longestWait = min(limit, 2*time.Second)
	}
	startedAt := time.Now()
	if !a.continuesWatch(call) && !a.waitForTurn(longestWait) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if call.isWatch() {
		defer func() {
			a.mu.Lock()
			a.lastWatchAnswers[call.connection] = time.Now()
			a.mu.Unlock()
		}()
	}
	switch query.Get("since") {
	case "2":
		time.Sleep(time.Until(startedAt.Add(limit)))
		writeAnswer(conn, fakes.FormatList(2, false))
		return
	case "1":
		select {
		case <-a.changed:
		case <-time.After(time.Until(startedAt.Add(limit))):
			writeAnswer(conn, fakes.FormatList(1, false))
			return
		}
	}
	select {
	case <-a.changed:
		writeFull(conn, 2, "s-2")
	default:
		writeFull(conn, 1, "s-1")
	}
}

// startFleet starts a number of watchers that poll one agent, with seeds from 1.
func startFleet(t *testing.T, addr string, gateways int) []*testWatcher {
	t.Helper()
	var watchers []*testWatcher
	for i := range gateways {
		opts := options{isPolled: true, known: fullList(1, "s-1"), seed: int64(i) + 1}
		watchers = append(watchers, startWatcher(t, addr, opts))
	}
	return watchers
}

// discardCalls takes calls until the test ends: more come than the channel holds.
func discardCalls(t *testing.T, calls chan agentCall) {
	t.Helper()
	for {
		select {
		case <-calls:
		case <-t.Context().Done():
			return
		}
	}
}

// Guards against calls that are given up in their turn, and so overbook a polled discovery.
func TestRun_allGatewaysReadAnOverloadedDiscovery(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 2300 * time.Millisecond, 9 * time.Second} {
		runVirtual(t, "a change after "+after.String(), func(t *testing.T) {
			t.Cleanup(func() { time.Sleep(10 * time.Second) }) // calls that wait for a turn end
			agent := newOverloadedAgent(300*time.Millisecond, false)
			addr, _ := scriptedAgent(listen(t), agent.handle)
			watchers := startFleet(t, addr, 6)
			time.Sleep(after)
			close(agent.changed)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			for i, w := range watchers {
				w.wantServer("gateway "+strconv.Itoa(i)+" after 6 s", "s-2")
			}
		})
	}
}

// Guards against rejected watches of a fleet that take two turns, so that some gateways get none.
func TestRun_rejectedWatchesOfAFleetTakeTurns(t *testing.T) {
	for _, gateways := range []int{3, 12, 32, 300} {
		runVirtual(t, strconv.Itoa(gateways)+" gateways", func(t *testing.T) {
			t.Cleanup(func() { time.Sleep(10 * time.Second) }) // calls that wait for a turn end
			agent := newOverloadedAgent(8*time.Second/time.Duration(gateways), true)
			addr, calls := scriptedAgent(listen(t), agent.handle)
			go discardCalls(t, calls)
			watchers := startFleet(t, addr, gateways)
			time.Sleep(14 * time.Second)
			close(agent.changed)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			lateGateways := 0
			for _, w := range watchers {
				if chosenServer(w.dispatcher) != "s-2" {
					lateGateways++
				}
			}
			if lateGateways > 0 {
				t.Errorf("%d of %d gateways have not applied the change after 6 s", lateGateways, gateways)
			}
		})
	}
}

// A rejected call is repeated as it was: a watch from its version, and within maxRejectedPause
// where discovery is polled; a call for the full list as another one.
func TestRun_rejectedCallIsRepeatedAsItWas(t *testing.T) {
	runVirtualInEachMode(t, "rejected", func(t *testing.T, isPolled bool) {
		addr, calls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			if call.number == 2 {
				writeFull(conn, 7, "s-1")
				return
			}
			agentFailures["503"](conn)
		})
		startWatcher(t, addr, options{isPolled: isPolled})
		if first, second := nextCall(t, calls), nextCall(t, calls); first.isWatch() || second.isWatch() {
			t.Error("a watch was begun before there was a list")
		}
		previous := nextCall(t, calls)
		for range 20 {
			call := nextCall(t, calls)
			if !call.isWatchFrom(7) {
				t.Fatalf("after a rejected watch %q was requested", call.query)
			}
			if pause := call.at.Sub(previous.at); isPolled && pause > maxRejectedPause {
				t.Errorf("called again after %v", pause)
			}
			previous = call
		}
	})
}
