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

// restartedAgent gives s-1 in version 41, answers a watch once by a function, and then holds
// watches. Its next full list, of s-2 in version 3, waits for release.
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

// What comes in place of the answer to a watch may be of an agent that restarted and lost its list.
// None of it is applied: the full list is requested on a new connection, and the watch goes on from
// its version. A watch goes out only on the connection that its list came on: another agent may
// hold it.
func TestWatch_answerOfRestartedAgentIsIgnored(t *testing.T) {
	terminatingHost := fakes.FormatHost("s-1", "127.0.0.1:9", "terminating")
	for name, respond := range map[string]func(conn net.Conn){
		"changes of a lower version":      respondWith(fakes.FormatList(3, false, terminatingHost)),
		"changes of the version in force": respondWith(fakes.FormatList(41, false, terminatingHost)),
		"no changes in a lower version":   respondWith(fakes.FormatList(3, false)),
		"reset":                           resetConnection,
		"closed":                          func(conn net.Conn) { _ = conn.Close() },
		"answered once it is given up": func(conn net.Conn) {
			holdOpen(conn)
			writeAnswer(conn, fakes.FormatList(42, false, terminatingHost))
		},
		"a change in a list cut off": respondTruncated("HTTP/1.1 200 OK\r\n\r\n" +
			fakes.FormatList(42, false, terminatingHost, readyHost("s-3"))[:190]),
		"a change beside a malformed entry": respondWith(fakes.FormatList(42, false, terminatingHost,
			fakes.FormatHost("s-3", "", "in_service"))),
		"a list that says not whether it is full": respondWith(`{"seq":42,"hosts":[` + terminatingHost + `]}`),
	} {
		runVirtualInEachMode(t, name, func(t *testing.T, isPolled bool) {
			addr, calls, release := restartedAgent(t, respond)
			w := startWatcher(t, addr, options{isPolled: isPolled})
			watch, full := nextCallWhere(t, calls, agentCall.isWatch), nextCall(t, calls)
			if !watch.isWatchFrom(41) || full.isWatch() || full.connection == watch.connection {
				t.Fatalf("called %+v, then %+v", watch, full)
			}
			high := maxSilenceRecovery
			if isPolled { // the watch itself may wait longer
				high = maxPolledWatchWait + watchGrace + time.Millisecond
			}
			if elapsed := full.at.Sub(watch.at); elapsed > high {
				t.Errorf("full list requested after %v", elapsed)
			}
			w.wantServer("before the full list", "s-1")
			close(release)
			next := nextCallWhere(t, calls, agentCall.isWatch)
			if !next.isWatchFrom(3) || next.onConnection == 1 {
				t.Errorf("went on with %+v", next)
			}
			w.wantServer("after the full list", "s-2")
			w.wantLogged("", 1)
		})
	}
}

// Guards against net/http repeating a watch on another connection than its list came on.
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
			t.Errorf("went on with %+v", watch)
		}
	})
}

// An agent that announces the end of each connection is watched all the same.
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
				t.Fatalf("called %+v, not from %d", watch, version)
			}
		}
	})
}

// An agent that dies in a watch, refuses connections, and is back in a lower version with another
// list.
func TestWatch_restartedAgentIsFollowed(t *testing.T) {
	runVirtualInEachMode(t, "dead, then back", func(t *testing.T, isPolled bool) {
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
		w.wantServer("while the agent is dead", "s-1")
		second := listenAt(t, addr)
		restartedAt := time.Now()
		_, calls = scriptedAgent(second, answerListHoldWatches(3, "s-2"))
		next := nextCallWhere(t, calls, agentCall.isWatch)
		if elapsed := next.at.Sub(restartedAt); !next.isWatchFrom(3) || elapsed > maxUpdateDelay {
			t.Errorf("went on with %+v after %v", next, elapsed)
		}
		w.wantServer("once it is back", "s-2")
	})
}

// Only the agent gives lists, under its one address: a redirect counts as a rejection.
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
					t.Errorf("called %s", call.path)
				}
			}
		}
		if n := len(otherCalls); n != 0 {
			t.Errorf("%d calls elsewhere", n)
		}
	})
}
