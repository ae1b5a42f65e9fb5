package discovery

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// restartedAgent starts an agent that serves s-1 in version 41. The function respond answers its
// first watch, and later watches stay unanswered. After the first watch, the agent answers a call
// for the full list with s-2 in version 3, as soon as release is closed.
func restartedAgent(t *testing.T, respond func(net.Conn)) (addr string, calls chan agentCall, release chan bool) {
	t.Helper()
	release = make(chan bool)
	var restarted atomic.Bool
	addr, calls = scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
		switch {
		case !call.isWatch() && !restarted.Load():
			writeFull(conn, 41, "s-1")
		case !call.isWatch():
			<-release
			writeFull(conn, 3, "s-2")
		case restarted.Swap(true):
			holdOpen(conn)
		default:
			respond(conn)
		}
	})
	return addr, calls, release
}

// An invalid answer to a watch may come from an agent that restarted and lost its list. Nothing of
// such an answer is applied. The full list is requested on a new connection, and the next watch
// starts from its version. A watch is sent only on the connection that delivered the list, because
// a restarted agent might leave it unanswered.
func TestWatch_answerOfRestartedAgentIsIgnored(t *testing.T) {
	terminatingHost := fakes.FormatHost("s-1", "127.0.0.1:9", "terminating")
	for name, respond := range map[string]func(conn net.Conn){
		"changes in a lower version":      respondWith(fakes.FormatList(3, false, terminatingHost)),
		"changes in the version in force": respondWith(fakes.FormatList(41, false, terminatingHost)),
		"no changes in a lower version":   respondWith(fakes.FormatList(3, false)),
		"reset":                           resetConnection,
		"closed":                          func(conn net.Conn) { _ = conn.Close() },
		"answered after it timed out": func(conn net.Conn) {
			holdOpen(conn)
			writeAnswer(conn, fakes.FormatList(42, false, terminatingHost))
		},
		"a change in a truncated list": respondThenClose("HTTP/1.1 200 OK\r\n\r\n" +
			fakes.FormatList(42, false, terminatingHost, readyHost("s-3"))[:190]),
		"a change and a malformed entry": respondWith(fakes.FormatList(42, false, terminatingHost,
			fakes.FormatHost("s-3", "", "in_service"))),
		"a list without the key whole": respondWith(`{"seq":42,"hosts":[` + terminatingHost + `]}`),
	} {
		runVirtualInEachMode(t, name, func(t *testing.T, isPolled bool) {
			addr, calls, release := restartedAgent(t, respond)
			w := startWatcher(t, addr, options{isPolled: isPolled})
			watch, full := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls)
			if !watch.isWatchFrom(41) || full.isWatch() || full.connection == watch.connection {
				t.Fatalf("got calls %+v, then %+v", watch, full)
			}
			maxElapsed := maxSilenceRecovery
			if isPolled { // the watch itself may take longer
				maxElapsed = maxPolledWatchWait + watchGrace + time.Millisecond
			}
			if elapsed := full.at.Sub(watch.at); elapsed > maxElapsed {
				t.Errorf("full list requested after %v", elapsed)
			}
			w.wantServer("before the full list", "s-1")
			close(release)
			next := nextCallWhere(t, calls, agentCall.isWatch)
			if !next.isWatchFrom(3) || next.onConnection == 1 {
				t.Errorf("got next watch %+v", next)
			}
			w.wantServer("after the full list", "s-2")
			w.wantLogged("", 1)
		})
	}
}

// Guards against net/http retrying a watch on a new connection, which may lead to a restarted
// agent.
func TestWatch_isNeverSentOnANewConnection(t *testing.T) {
	runVirtualInEachMode(t, "closed after the list", func(t *testing.T, isPolled bool) {
		addr, calls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			switch {
			case call.isWatch():
				holdOpen(conn)
			case call.number == 1:
				writeFull(conn, 41, "s-1")
				_ = conn.Close()
			default:
				writeFull(conn, 3, "s-2")
			}
		})
		startWatcher(t, addr, options{isPolled: isPolled})
		if watch := nextCallWhere(t, calls, agentCall.isWatch); !watch.isWatchFrom(3) || watch.onConnection == 1 {
			t.Errorf("got next watch %+v", watch)
		}
	})
}

// An agent that closes the connection after each answer, and announces it, can be watched.
func TestWatch_agentThatClosesEachConnectionIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var version atomic.Int64
		addr, calls := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
			text := fullList(7, "s-1")
			if call.isWatch() {
				text = fakes.FormatList(7+int(version.Add(1)), false, readyHost("s-1"))
			}
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n"+text)
			_ = conn.Close()
		})
		startWatcher(t, addr, options{})
		for version := 7; version < 12; version++ {
			if watch := nextCallWhere(t, calls, agentCall.isWatch); !watch.isWatchFrom(version) {
				t.Fatalf("got watch %+v, want one from version %d", watch, version)
			}
		}
	})
}

// An agent stops during a watch and refuses connections. After its restart it serves another list
// in a lower version.
func TestWatch_restartedAgentIsFollowed(t *testing.T) {
	runVirtualInEachMode(t, "stopped, then restarted", func(t *testing.T, isPolled bool) {
		first := listen(t)
		addr, calls := scriptedAgent(first, func(call agentCall, conn net.Conn) {
			if !call.isWatch() {
				writeFull(conn, 41, "s-1")
				return
			}
			_ = first.Close() // new connections are refused before this one is reset
			resetConnection(conn)
		})
		w := startWatcher(t, addr, options{isPolled: isPolled})
		nextCallWhere(t, calls, watchFrom(41))
		fakes.Eventually(t, "a warning", func() bool {
			return w.logs.FilterMessageSnippet("discovery: no valid answer").Len() == 1
		})
		w.wantServer("while the agent is stopped", "s-1")
		second := listenAt(t, addr)
		restartedAt := time.Now()
		_, calls = scriptedAgent(second, answerListHoldWatches(3, "s-2"))
		next := nextCallWhere(t, calls, agentCall.isWatch)
		if elapsed := next.at.Sub(restartedAt); !next.isWatchFrom(3) || elapsed > maxUpdateDelay {
			t.Errorf("got watch %+v %v after the restart", next, elapsed)
		}
		w.wantServer("after the restart", "s-2")
	})
}

// Only the agent serves lists, and only at its own address and path. A redirect counts as a
// rejection.
func TestFetchFull_redirectIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other, otherCalls := scriptedAgent(listen(t), func(_ agentCall, conn net.Conn) { writeFull(conn, 9, "s-9") })
		for _, location := range []string{"http://" + other + "/api/targets", "/elsewhere"} {
			addr, calls := scriptedAgent(listen(t), func(_ agentCall, conn net.Conn) {
				redirect := http.Response{
					StatusCode: http.StatusFound, ProtoMajor: 1, ProtoMinor: 1,
					Header: http.Header{"Location": {location}},
				}
				_ = redirect.Write(conn)
			})
			startWatcher(t, addr, options{isPolled: true, known: fullList(1, "s-1")})
			for range 3 {
				if call := nextCall(t, calls); call.path != "/api/targets" {
					t.Errorf("got a call for path %s", call.path)
				}
			}
		}
		if n := len(otherCalls); n != 0 {
			t.Errorf("%d calls to the target of the redirect", n)
		}
	})
}
