package discovery

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a delay after a watch that times out. The full list must be requested without a
// pause and arrive within maxSilenceRecovery.
func TestWatch_timeoutIsFollowedByAFullListImmediately(t *testing.T) {
	for name, respond := range map[string]func(net.Conn){
		"no answer":                        func(net.Conn) {},
		"sends a list slowly":              trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"),
		"sends an unbounded answer slowly": trickle("HTTP/1.1 200 OK\r\n\r\n"),
		"sends a header slowly":            trickle("HTTP/1.1 200 OK\r\nX:"),
		"stops within a list": func(conn net.Conn) {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,")
		},
	} {
		runVirtual(t, name, func(t *testing.T) {
			addr, calls := fullListFirstAgent(t, func(_ int, conn net.Conn) { respond(conn) })
			startWatcher(t, addr, options{})
			watch, full := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls)
			next := nextCallWhere(t, calls, agentCall.isWatch)
			if !watch.isWatchFrom(watch.connection) || full.isWatch() || full.connection <= watch.connection ||
				!next.isWatchFrom(next.connection) || next.connection == watch.connection {
				t.Fatalf("got calls %+v, then %+v, then %+v", watch, full, next)
			}
			if elapsed := next.at.Sub(watch.at); elapsed > maxSilenceRecovery {
				t.Errorf("next watch %v after the watch that timed out", elapsed)
			}
			var timeout int64 // timeout of the watch in milliseconds
			format := fmt.Sprintf("since=%d&timeout_ms=%%d", watch.connection)
			if _, err := fmt.Sscanf(watch.query, format, &timeout); err != nil {
				t.Fatal(err)
			}
			timedOutAt := watch.at.Add(time.Duration(timeout)*time.Millisecond + watchGrace)
			if pause := full.at.Sub(timedOutAt); pause > initialBackoff*3/4 {
				t.Errorf("full list requested after a pause of %v", pause)
			}
		})
	}
}

// silenceableAgent starts an agent that leaves every watch unanswered. While silent is set, it
// leaves all other calls unanswered too.
func silenceableAgent(t *testing.T) (addr string, calls chan agentCall, silent *atomic.Bool) {
	t.Helper()
	silent = &atomic.Bool{}
	addr, calls = scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
		if silent.Load() {
			holdOpen(conn)
		} else {
			answerListHoldWatches(7, "s-1")(call, conn)
		}
	})
	return addr, calls, silent
}

// While a polled discovery does not answer, calls for the full list begin at least
// listTimeout + initialBackoff/2 apart. The first answer to such a call is followed by a watch.
func TestRun_silentPolledDiscoveryIsCalledWithDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, calls, silent := silenceableAgent(t)
		startWatcher(t, addr, options{isPolled: true})
		<-calls
		watch := <-calls
		silent.Store(true)
		first, second := <-calls, <-calls
		if !watch.isWatchFrom(7) || first.isWatch() || second.isWatch() {
			t.Fatalf("got calls %+v, %+v, %+v", watch, first, second)
		}
		if pause := second.at.Sub(first.at) - listTimeout; pause < initialBackoff/2 {
			t.Errorf("full list requested again %v after listTimeout had passed", pause)
		}
		synctest.Wait() // the agent holds the second call; it reports a call before it looks at silent
		silent.Store(false)
		if third, next := <-calls, <-calls; third.isWatch() || !next.isWatchFrom(7) {
			t.Errorf("got calls %+v, %+v", third, next)
		}
	})
}

// Guards against a fleet that calls without pauses after all of its watches timed out together.
func TestRun_silentFleetBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, duration = 40, 6 * time.Second
		addr, calls, silent := silenceableAgent(t)
		for range gateways {
			startWatcher(t, addr, options{isPolled: true})
		}
		for watches := 0; watches < gateways; {
			if call := <-calls; call.isWatchFrom(7) {
				watches++
			}
		}
		silent.Store(true)
		time.Sleep(duration)
		if callsPerGateway := float64(len(calls)) / gateways; callsPerGateway > 4 || callsPerGateway < 2 {
			t.Errorf("%.1f calls per gateway in %v", callsPerGateway, duration)
		}
	})
}

// Guards against requests to a drained server after an outage of a notified agent. The list must be
// read within the drain grace after the agent recovers.
func TestRun_notifiedAgentIsReadSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration, drainGrace = 6 * time.Second, time.Second
		addr, calls, silent := silenceableAgent(t)
		startWatcher(t, addr, options{})
		<-calls
		<-calls
		silent.Store(true)
		time.Sleep(duration)
		silent.Store(false)
		recoveredAt, callsDuringOutage := time.Now(), len(calls)
		for range callsDuringOutage {
			<-calls
		}
		for call := range calls {
			if call.isWatchFrom(7) {
				if elapsed := call.at.Sub(recoveredAt); elapsed > drainGrace {
					t.Errorf("list received %v after the agent recovered", elapsed)
				}
				break
			}
		}
		if maxCalls := int(3 * duration / time.Second); callsDuringOutage > maxCalls || callsDuringOutage < 4 {
			t.Errorf("%d calls in %v", callsDuringOutage, duration)
		}
	})
}
