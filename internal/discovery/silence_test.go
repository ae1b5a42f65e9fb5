package discovery

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// An agent that fell silent in mid-watch was asked again 6.5 s after the watch was opened, with a waiting call. Silence
// may begin in the moment at which a watch is opened: the whole list is had within 3 s of that, on a new connection.
func TestWatch_silenceIsFollowedByAFullListAtOnce(t *testing.T) {
	for name, later := range map[string]func(net.Conn){
		"says nothing":            func(net.Conn) {},
		"trickles a list":         trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"),
		"trickles without an end": trickle("HTTP/1.1 200 OK\r\n\r\n"),
		"trickles a head":         trickle("HTTP/1.1 200 OK\r\nX:"),
		"stops within a list": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,")
		},
	} {
		runVirtual(t, name, func(t *testing.T) {
			addr, calls := listThenAgent(t, func(_ int, c net.Conn) { later(c) })
			if _, err := startWatcher(t, addr, "null"); err != nil {
				t.Fatal(err)
			}
			open, anew, next := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls), nextCallWhere(t, calls, agentCall.isWatch)
			if !open.isWatchFrom(open.connection) || anew.isWatch() || anew.connection <= open.connection || !next.isWatchFrom(next.connection) || next.connection == open.connection {
				t.Fatalf("asked %+v, then %+v, then %+v", open, anew, next)
			}
			if took := next.at.Sub(open.at); took > maxSilence {
				t.Errorf("the whole list was had after %v", took)
			}
			var wait time.Duration // of the watch
			_, _ = fmt.Sscanf(open.query, fmt.Sprintf("since=%d&timeout_ms=%%d", open.connection), &wait)
			if pause := anew.at.Sub(open.at) - wait*time.Millisecond - watchGrace; pause > firstBackoff*3/4 {
				t.Errorf("asked anew after a pause of %v", pause)
			}
		})
	}
}

// holdingAgent is a discovery that holds every watch without a word, and every other call as well while it is silent.
func holdingAgent(t *testing.T) (addr string, calls chan agentCall, silent *atomic.Bool) {
	t.Helper()
	silent = &atomic.Bool{}
	addr, calls = scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
		if silent.Load() || a.isWatch() {
			holdOpen(c)
			return
		}
		writeAnswer(c, fakes.FormatList(7, true, readyHost("s-1")))
	})
	return addr, calls, silent
}

// A discovery silent to the call after a silent watch as well is asked again after a drawn pause, never with a waiting
// call; its first answer ends the run, and the next is a watch.
func TestRun_lastingSilenceIsPolledWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, calls, silent := holdingAgent(t)
		if _, err := startWatcherInMode(t, true, addr, "null"); err != nil {
			t.Fatal(err)
		}
		<-calls
		open := <-calls
		silent.Store(true)
		first, second := <-calls, <-calls
		if !open.isWatchFrom(7) || first.query != "" || second.query != "" {
			t.Fatalf("asked %+v, %+v, %+v", open, first, second)
		}
		if pause := second.at.Sub(first.at) - listTimeout; pause < firstBackoff/2 {
			t.Errorf("asked again after a pause of %v", pause)
		}
		silent.Store(false)
		if third, next := <-calls, <-calls; third.query != "" || !next.isWatchFrom(7) {
			t.Errorf("asked %+v, %+v", third, next)
		}
	})
}

// Forty watches that fall silent at once, as on a herd day: each is asked anew once without a pause, then with
// growing ones: three calls each in six seconds. Asked on without pauses they made five.
func TestRun_silentFleetBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, lasting = 40, 6 * time.Second
		addr, calls, silent := holdingAgent(t)
		for range gateways {
			if _, err := startWatcherInMode(t, true, addr, "null"); err != nil {
				t.Fatal(err)
			}
		}
		for watches := 0; watches < gateways; {
			if a := <-calls; a.isWatchFrom(7) {
				watches++
			}
		}
		silent.Store(true)
		time.Sleep(lasting)
		if each := float64(len(calls)) / gateways; each > 4 || each < 2 {
			t.Errorf("%.1f calls a gateway in %v", each, lasting)
		}
	})
}

// An agent that lists are pushed to was down for 8 s, into a release: it had a drain from when it was back, while gateways
// still paused for up to 12 s, and pushed to the server over a second on. It is found again within the second
// that a drain leaves, and is not asked on without pauses meanwhile.
func TestRun_pushedAgentIsFoundAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lasting, drain = 6 * time.Second, time.Second
		addr, calls, silent := holdingAgent(t)
		if _, err := startWatcherInMode(t, false, addr, "null"); err != nil {
			t.Fatal(err)
		}
		<-calls
		<-calls
		silent.Store(true)
		time.Sleep(lasting)
		silent.Store(false)
		back, n := time.Now(), len(calls)
		for range n {
			<-calls
		}
		for a := range calls {
			if a.isWatchFrom(7) {
				if took := a.at.Sub(back); took > drain {
					t.Errorf("the list was had %v after the agent was back", took)
				}
				break
			}
		}
		if most := int(3 * lasting / time.Second); n > most || n < 4 {
			t.Errorf("%d calls in %v", n, lasting)
		}
	})
}
