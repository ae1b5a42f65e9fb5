package discovery

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a watch that falls silent and is followed by the full list after maxSilence.
func TestWatch_timeoutIsFollowedByAFullListImmediately(t *testing.T) {
	for name, respond := range map[string]func(net.Conn){
		"no answer":               func(net.Conn) {},
		"trickles a list":         trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"),
		"trickles without an end": trickle("HTTP/1.1 200 OK\r\n\r\n"),
		"trickles a head":         trickle("HTTP/1.1 200 OK\r\nX:"),
		"stops within a list": func(conn net.Conn) {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,")
		},
	} {
		runVirtual(t, name, func(t *testing.T) {
			addr, calls := listThenAgent(t, func(_ int, conn net.Conn) { respond(conn) })
			startWatcher(t, addr, options{})
			watch, full := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls)
			next := nextCallWhere(t, calls, agentCall.isWatch)
			if !watch.isWatchFrom(watch.connection) || full.isWatch() || full.connection <= watch.connection ||
				!next.isWatchFrom(next.connection) || next.connection == watch.connection {
				t.Fatalf("called %+v, then %+v, then %+v", watch, full, next)
			}
			if elapsed := next.at.Sub(watch.at); elapsed > maxSilenceRecovery {
				t.Errorf("the full list was there after %v", elapsed)
			}
			var timeout int64 // of the watch, in ms
			format := fmt.Sprintf("since=%d&timeout_ms=%%d", watch.connection)
			if _, err := fmt.Sscanf(watch.query, format, &timeout); err != nil {
				t.Fatal(err)
			}
			givenUpAt := watch.at.Add(time.Duration(timeout)*time.Millisecond + watchGrace)
			if pause := full.at.Sub(givenUpAt); pause > initialBackoff*3/4 {
				t.Errorf("full list requested after a pause of %v", pause)
			}
		})
	}
}

// silenceableAgent holds every watch, and every other call as well while it is silent.
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

// A discovery that stays silent is called for the full list after a drawn pause each time; its
// first answer is followed by a watch.
func TestRun_lastingSilenceIsPolledWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, calls, silent := silenceableAgent(t)
		startWatcher(t, addr, options{isPolled: true})
		<-calls
		watch := <-calls
		silent.Store(true)
		first, second := <-calls, <-calls
		if !watch.isWatchFrom(7) || first.isWatch() || second.isWatch() {
			t.Fatalf("called %+v, %+v, %+v", watch, first, second)
		}
		if pause := second.at.Sub(first.at) - listTimeout; pause < initialBackoff/2 {
			t.Errorf("called again after a pause of %v", pause)
		}
		silent.Store(false)
		if third, next := <-calls, <-calls; third.isWatch() || !next.isWatchFrom(7) {
			t.Errorf("called %+v, %+v", third, next)
		}
	})
}

// Guards against a fleet whose watches fall silent at once and that calls without pauses.
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
			t.Errorf("%.1f calls a gateway in %v", callsPerGateway, duration)
		}
	})
}

// Guards against requests to a draining server after an outage of a notified agent.
func TestRun_notifiedAgentIsReadSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration, drain = 6 * time.Second, time.Second
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
				if elapsed := call.at.Sub(recoveredAt); elapsed > drain {
					t.Errorf("the list was there %v after the agent was back", elapsed)
				}
				break
			}
		}
		if most := int(3 * duration / time.Second); callsDuringOutage > most || callsDuringOutage < 4 {
			t.Errorf("%d calls in %v", callsDuringOutage, duration)
		}
	})
}
