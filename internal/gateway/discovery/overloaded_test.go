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

// overloadedAgent handles one call per turn. It rejects a call that would wait for its turn longer
// than the call's timeout, which is 2 s or the timeout of the watch. A call that its caller cancels
// still uses its turn.
type overloadedAgent struct {
	turn                    time.Duration
	exemptsContinuedWatches bool          // a continued watch needs no turn, and no call waits longer than 2 s
	changed                 chan struct{} // closed when s-2 replaces s-1, in version 2

	mu               sync.Mutex
	nextTurn         time.Time
	lastWatchAnswers map[int]time.Time // time of the latest answer to a watch, by connection
}

// maxWatchGap is the maximum time from the answer to a watch until a call that continues the watch.
const maxWatchGap = 200 * time.Millisecond

func newOverloadedAgent(turn time.Duration, exemptsContinuedWatches bool) *overloadedAgent {
	return &overloadedAgent{
		turn: turn, exemptsContinuedWatches: exemptsContinuedWatches, changed: make(chan struct{}),
		lastWatchAnswers: map[int]time.Time{},
	}
}

// continuesWatch reports whether a call continues a watch and therefore needs no turn.
func (a *overloadedAgent) continuesWatch(call agentCall) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.lastWatchAnswers[call.connection]
	return a.exemptsContinuedWatches && call.isWatch() && ok && time.Since(at) <= maxWatchGap
}

// waitForTurn waits for a call's turn. It returns false immediately if the wait would be longer
// than the limit, in which case the call is rejected.
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

// handle answers a call to the agent.
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

// startFleet starts one watcher per gateway, with the seeds 1, 2, 3 and so on. All call the same
// agent, which stands for a polled discovery that the gateways share.
func startFleet(t *testing.T, addr string, gateways int) []*testWatcher {
	t.Helper()
	var watchers []*testWatcher
	for i := range gateways {
		opts := options{isPolled: true, known: fullList(1, "s-1"), seed: int64(i) + 1}
		watchers = append(watchers, startWatcher(t, addr, opts))
	}
	return watchers
}

// discardCalls receives calls until the test ends, because the agent receives more calls than the
// channel can buffer.
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

// Guards against calls that are canceled during their turn. They keep a polled discovery
// overloaded.
func TestRun_allGatewaysReadAnOverloadedDiscovery(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 2300 * time.Millisecond, 9 * time.Second} {
		runVirtual(t, "a change after "+after.String(), func(t *testing.T) {
			t.Cleanup(func() { time.Sleep(10 * time.Second) }) // lets calls that wait for a turn end
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

// Guards against a fleet whose rejected watches use two turns each, so that some gateways get no
// turn.
func TestRun_rejectedWatchesOfAFleetTakeTurns(t *testing.T) {
	for _, gateways := range []int{3, 12, 32, 300} {
		runVirtual(t, strconv.Itoa(gateways)+" gateways", func(t *testing.T) {
			t.Cleanup(func() { time.Sleep(10 * time.Second) }) // lets calls that wait for a turn end
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

// A rejected call is repeated unchanged: a watch from the same version, and a call for the full
// list as such. If discovery is polled, a watch is repeated within maxRejectedPause.
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
			t.Error("watch began before there was a list")
		}
		previous := nextCall(t, calls)
		for range 20 {
			call := nextCall(t, calls)
			if !call.isWatchFrom(7) {
				t.Fatalf("call after a rejected watch has query %q", call.query)
			}
			if pause := call.at.Sub(previous.at); isPolled && pause > maxRejectedPause {
				t.Errorf("watch repeated after %v", pause)
			}
			previous = call
		}
	})
}
