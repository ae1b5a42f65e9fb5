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
	maxSilenceRecovery = 3 * time.Second // from silence to a full list
	maxUpdateDelay     = 5 * time.Second // from when an agent could give its list to when it is applied
)

// agentCall is a call that came to an agent: when, on which connection, as which call there and as
// which of all calls, each from 1.
type agentCall struct {
	at                               time.Time
	connection, onConnection, number int
	path, query                      string
}

func (call agentCall) isWatchFrom(version int) bool {
	return strings.HasPrefix(call.query, fmt.Sprintf("since=%d&timeout_ms=", version))
}

func (call agentCall) isWatch() bool { return call.query != "" }

// watchFrom is isWatchFrom as a condition.
func watchFrom(version int) func(agentCall) bool {
	return func(call agentCall) bool { return call.isWatchFrom(version) }
}

// scriptedAgent stands in for an agent at a listener; a function answers each call.
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

// listThenAgent answers the first call on each connection with the full list, in the version of the
// connection's number, and later ones by a function.
func listThenAgent(t *testing.T, later func(connection int, conn net.Conn)) (addr string, calls chan agentCall) {
	t.Helper()
	return scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
		if call.onConnection == 1 {
			writeFull(conn, call.connection, "s-1")
		} else {
			later(call.connection, conn)
		}
	})
}

// fullListAgent answers calls for the full list with one server, and holds watches.
func fullListAgent(t *testing.T, version int, server string) (addr string, calls chan agentCall) {
	t.Helper()
	return scriptedAgent(listen(t), answerListHoldWatches(version, server))
}

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

// fullList is the full list of ready servers.
func fullList(version int, servers ...string) string {
	var hosts []string
	for _, name := range servers {
		hosts = append(hosts, readyHost(name))
	}
	return fakes.FormatList(version, true, hosts...)
}

func writeFull(conn io.Writer, version int, servers ...string) {
	writeAnswer(conn, fullList(version, servers...))
}

func writeAnswer(conn io.Writer, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// answering answers a call with a body.
func respondWith(body string) func(net.Conn) {
	return func(conn net.Conn) { writeAnswer(conn, body) }
}

// cutOff writes an answer that does not end, and closes the connection.
func respondTruncated(text string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// holdOpen leaves a call unanswered until its caller gives it up.
func holdOpen(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// resetConnection ends a connection as a process that dies does.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// trickle writes a head, and blanks after it until its caller gives it up.
func trickle(head string) func(net.Conn) {
	return func(conn net.Conn) {
		for _, err := io.WriteString(conn, head); err == nil; _, err = io.WriteString(conn, " ") {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// agentFailures are the ways in which a call to an agent fails.
var agentFailures = map[string]func(net.Conn){
	"silence": holdOpen,
	"reset":   resetConnection,
	"trickle": trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"),
	"503": func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	},
	"cut off":       respondTruncated("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + fullList(9, "s-9")[:60]),
	"empty":         respondWith(""),
	"changes":       respondWith(fakes.FormatList(9, false, readyHost("s-9"))),
	"wrong content": respondWith("<html><body>It works!</body></html>"),
	"never ends": func(conn net.Conn) {
		blanks := strings.Repeat(" ", 1<<16)
		for _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+fullList(9, "s-9")); err == nil; {
			_, err = io.WriteString(conn, blanks)
		}
	},
}

// nextCall is the next call that comes to an agent.
func nextCall(t *testing.T, calls chan agentCall) agentCall {
	t.Helper()
	select {
	case call := <-calls:
		return call
	case <-time.After(20 * time.Second):
		t.Fatal("no call came")
		panic("unreachable")
	}
}

// nextCallWhere is the next call for which a condition holds.
func nextCallWhere(t *testing.T, calls chan agentCall, condition func(agentCall) bool) agentCall {
	t.Helper()
	for {
		if call := nextCall(t, calls); condition(call) {
			return call
		}
	}
}
