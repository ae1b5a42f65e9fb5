package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

const (
	maxSilenceRecovery = 3 * time.Second // maximum time from a watch that fails to the next full list
	maxUpdateDelay     = 5 * time.Second // maximum time from when an agent can serve its list until the list is applied
)

// agentCall is a call that an agent received. The field connection is the number of the connection,
// onConnection is the number of the call on that connection, and number is the number of the call
// among all calls to the agent. All three count from 1.
type agentCall struct {
	at                               time.Time
	connection, onConnection, number int
	path, query                      string
}

// isWatchFrom reports whether the call watches for changes after a version.
func (call agentCall) isWatchFrom(version int) bool {
	return strings.HasPrefix(call.query, fmt.Sprintf("since=%d&timeout_ms=", version))
}

func (call agentCall) isWatch() bool { return call.query != "" }

// watchFrom returns a condition for nextCallWhere: the call is a watch from the version.
func watchFrom(version int) func(agentCall) bool {
	return func(call agentCall) bool { return call.isWatchFrom(version) }
}

// scriptedAgent starts an agent at a listener. For each call that it receives, the agent sends the
// call to the returned channel and then runs respond.
func scriptedAgent(
	listener net.Listener, respond func(call agentCall, conn net.Conn),
) (addr string, calls chan agentCall) {
	calls = make(chan agentCall, 1000)
	var mu sync.Mutex
	total := 0
	serve := func(connection int, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for onConnection := 1; ; onConnection++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			mu.Lock()
			total++
			call := agentCall{time.Now(), connection, onConnection, total, request.URL.Path, request.URL.RawQuery}
			calls <- call
			mu.Unlock()
			respond(call, conn)
		}
	}
	go func() {
		for connection := 1; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection, conn)
		}
	}()
	return listener.Addr().String(), calls
}

// fullListFirstAgent starts an agent that answers the first call on each connection with the full
// list. The list's version is the number of the connection. The handler later answers other calls.
func fullListFirstAgent(t *testing.T, later func(connection int, conn net.Conn)) (addr string, calls chan agentCall) {
	t.Helper()
	return scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
		if call.onConnection == 1 {
			writeFull(conn, call.connection, "s-1")
		} else {
			later(call.connection, conn)
		}
	})
}

// fullListAgent starts an agent that answers calls for the full list with one server, and leaves
// watches unanswered.
func fullListAgent(t *testing.T, version int, server string) (addr string, calls chan agentCall) {
	t.Helper()
	return scriptedAgent(listen(t), answerListHoldWatches(version, server))
}

// answerListHoldWatches returns a handler that answers calls for the full list with one server, and
// leaves watches unanswered.
func answerListHoldWatches(version int, server string) func(agentCall, net.Conn) {
	return func(call agentCall, conn net.Conn) {
		if call.isWatch() {
			holdOpen(conn)
		} else {
			writeFull(conn, version, server)
		}
	}
}

func readyHost(name string) string { return fakes.FormatHost(name, "127.0.0.1:9", "in_service") }

// fullList formats a full list of ready servers.
func fullList(version int, servers ...string) string {
	var hosts []string
	for _, name := range servers {
		hosts = append(hosts, readyHost(name))
	}
	return fakes.FormatList(version, true, hosts...)
}

// writeFull answers a call with a full list of ready servers.
func writeFull(conn io.Writer, version int, servers ...string) {
	writeAnswer(conn, fullList(version, servers...))
}

// writeAnswer answers a call with the status 200 and the body.
func writeAnswer(conn io.Writer, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// respondWith returns a handler that answers a call with the body.
func respondWith(body string) func(net.Conn) {
	return func(conn net.Conn) { writeAnswer(conn, body) }
}

// respondThenClose returns a handler that writes the text of an answer and closes the connection.
func respondThenClose(text string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// holdOpen leaves a call unanswered until the caller closes the connection.
func holdOpen(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// resetConnection resets a connection, as the operating system does when a process is killed.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// trickle returns a handler that writes the beginning of an answer, and then spaces until the
// caller closes the connection.
func trickle(head string) func(net.Conn) {
	return func(conn net.Conn) {
		for _, err := io.WriteString(conn, head); err == nil; _, err = io.WriteString(conn, " ") {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// agentFailures contains a handler for each way in which a call to an agent can fail.
var agentFailures = map[string]func(net.Conn){
	"silence": holdOpen,
	"reset":   resetConnection,
	"trickle": trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"),
	"503": func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	},
	"truncated answer": respondThenClose("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + fullList(9, "s-9")[:60]),
	"empty body":       respondWith(""),
	"changes only":     respondWith(fakes.FormatList(9, false, readyHost("s-9"))),
	"HTML page":        respondWith("<html><body>It works!</body></html>"),
	"unbounded answer": func(conn net.Conn) {
		blanks := strings.Repeat(" ", 1<<16)
		for _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+fullList(9, "s-9")); err == nil; {
			_, err = io.WriteString(conn, blanks)
		}
	},
}

// nextCall returns the next call that an agent receives.
func nextCall(t *testing.T, calls chan agentCall) agentCall {
	t.Helper()
	select {
	case call := <-calls:
		return call
	case <-time.After(20 * time.Second):
		t.Fatal("agent received no call within 20 s")
		panic("unreachable")
	}
}

// nextCallWhere returns the next call that satisfies the condition, and discards those before it.
func nextCallWhere(t *testing.T, calls chan agentCall, condition func(agentCall) bool) agentCall {
	t.Helper()
	for {
		if call := nextCall(t, calls); condition(call) {
			return call
		}
	}
}
