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

// overbookedAgent takes a call every 0.3 s, and rejects what would wait for its turn longer than its timeout: 2 s, or what
// a watch says. A call that is given up uses its turn.
type overbookedAgent struct {
	mu       sync.Mutex
	nextTurn time.Time
	changed  chan struct{} // closed with version 2, in which s-2 replaces s-1
}

// waitForTurn waits for a call's turn, and returns false if the call is rejected.
func (a *overbookedAgent) waitForTurn(limit time.Duration) bool {
	begun := time.Now()
	a.mu.Lock()
	if a.nextTurn.Before(begun) {
		a.nextTurn = begun
	}
	wait := a.nextTurn.Sub(begun)
	if wait > limit {
		a.mu.Unlock()
		return false
	}
	a.nextTurn = a.nextTurn.Add(300 * time.Millisecond)
	a.mu.Unlock()
	time.Sleep(wait)
	return true
}

func (a *overbookedAgent) handle(call agentCall, conn net.Conn) {
	query, _ := url.ParseQuery(call.query)
	limit := 2 * time.Second
	if ms, err := strconv.Atoi(query.Get("timeout_ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	begun := time.Now()
	if !a.waitForTurn(limit) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if query.Get("since") == "1" {
		select {
		case <-a.changed:
		case <-time.After(time.Until(begun.Add(limit))):
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

// Where discovery is polled, six gateways that start together overbook it for a while. With calls given up after a second,
// and watches of 1.2 to 1.5 s, they went on overbooking it: some had no list for 20 s.
func TestRun_overbookedDiscoveryIsReadByAll(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 2300 * time.Millisecond, 9 * time.Second} {
		runVirtual(t, "a change after "+after.String(), func(t *testing.T) {
			t.Cleanup(func() { time.Sleep(10 * time.Second) }) // calls that wait for a turn end
			agent := &overbookedAgent{changed: make(chan struct{})}
			addr, _ := scriptedAgent(listen(t), agent.handle)
			var watchers []*watched
			for seed := range int64(6) {
				watchers = append(watchers, startWatcher(t, addr, options{isPolled: true, known: fullList(1, "s-1"), seed: seed + 1}))
			}
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
