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

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
)

const maxSilence = 3 * time.Second // from silence to a whole answer

// agentCall is a call that came to an agent: when, on which of its connections, as which call there, and as which of
// all, each from 1.
type agentCall struct {
	at                    time.Time
	connection, call, all int
	path, query           string
}

func (a agentCall) isWatchFrom(seq int) bool {
	return strings.HasPrefix(a.query, fmt.Sprintf("since=%d&timeout_ms=", seq))
}

func (a agentCall) isWatch() bool { return a.query != "" }

// scriptedAgent stands in for discovery's agent at a listener, by a function for every call.
func scriptedAgent(l net.Listener, answers func(a agentCall, c net.Conn)) (addr string, calls chan agentCall) {
	calls = make(chan agentCall, 1000)
	var mu sync.Mutex
	all := 0
	serve := func(number int, c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for call := 1; ; call++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			mu.Lock()
			all++
			a := agentCall{time.Now(), number, call, all, req.URL.Path, req.URL.RawQuery}
			calls <- a
			mu.Unlock()
			answers(a, c)
		}
	}
	go func() {
		for number := 1; ; number++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(number, c)
		}
	}()
	return l.Addr().String(), calls
}

// listThenAgent answers the first call on each connection with the whole list in the version of the connection's number, and
// later ones by the function.
func listThenAgent(t *testing.T, later func(conn int, c net.Conn)) (addr string, calls chan agentCall) {
	t.Helper()
	return scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
		if a.call == 1 {
			writeAnswer(c, fakes.FormatList(a.connection, true, readyHost("s-1")))
		} else {
			later(a.connection, c)
		}
	})
}

func readyHost(name string) string { return fakes.FormatHost(name, "127.0.0.1:9", "in_service") }

func writeAnswer(c io.Writer, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// holdOpen leaves a call without a word until its caller gives it up.
func holdOpen(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// resetConnection ends a connection as a process that dies does.
func resetConnection(c net.Conn) {
	if c, ok := c.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// trickle writes a head, and blanks after it until its caller gives it up.
func trickle(head string) func(net.Conn) {
	return func(c net.Conn) {
		for _, err := io.WriteString(c, head); err == nil; _, err = io.WriteString(c, " ") {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// nextCall is the next that comes to an agent.
func nextCall(t *testing.T, calls chan agentCall) agentCall {
	t.Helper()
	select {
	case a := <-calls:
		return a
	case <-time.After(20 * time.Second):
		t.Fatal("no call came")
		panic("unreachable")
	}
}

// nextCallWhere is the first call that is seen.
func nextCallWhere(t *testing.T, calls chan agentCall, seen func(agentCall) bool) agentCall {
	t.Helper()
	for {
		if a := nextCall(t, calls); seen(a) {
			return a
		}
	}
}

// chosenServer names the server that a task is pushed to; none: "".
func chosenServer(dispatcher *dispatch.Dispatcher) string {
	e := dispatcher.Admit(dispatch.RequestSpec{Class: 0, Plan: 0, Customer: 5, Units: 1, GatewayCount: 1, Timeout: 2 * time.Second})
	if c := e.Next(); c.Action == dispatch.Forward {
		return c.Server.Name
	}
	return ""
}
