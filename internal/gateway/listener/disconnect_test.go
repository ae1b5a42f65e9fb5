package listener

import (
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/testing/fakes"
)

// disconnectBound is the time within which a test must see a disconnect. With
// disconnectPollInterval, detection takes less than 0.1 s; the rest allows for a busy machine. An
// undetected disconnect lasts until the deadline of the requests, 14 seconds.
const disconnectBound = commandTimeout / 2

// disconnectFuncs holds functions that disconnect a client, by name.
var disconnectFuncs = map[string]func(*testClient){
	"closes":      func(c *testClient) { _ = c.Close() },
	"half closes": func(c *testClient) { _ = c.CloseWrite() },
	"resets":      func(c *testClient) { _, _ = c.SetLinger(0), c.Close() },
}

// pipelinedInputs holds what a client sends after its first query; "look" stands for another query.
// inFlight and attempted are the resulting numbers of commands in flight and of requests attempted.
var pipelinedInputs = map[string]struct {
	text      string
	inFlight  int
	attempted int
}{
	"nothing":                             {"", 1, 1},
	"more requests than may be in flight": {strings.Repeat("look", 60), maxInFlightPerConn + 1, maxInFlightPerConn},
	"malformed command":                   {"*x\r\n", 2, 1},
	"long malformed command":              {"*x\r\n" + strings.Repeat("y", 100<<10), 2, 1},
	"many unknown commands":               {strings.Repeat(fakes.FormatCommand("FOO"), 300), maxInFlightPerConn + 1, 1},
	"value too long": {
		"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$65537\r\n" + strings.Repeat("y", 65537), 2, 1,
	},
	"partial command":                 {"*4\r\n$9\r\nSVC.Q", 2, 1},
	"partial value":                   {"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$9000\r\nyy", 2, 1},
	"request, then a partial command": {"look*4\r\n$9\r\nSVC.Q", 3, 2},
}

// A disconnect is detected whatever unread or partial input precedes it, and all requests of the
// client end.
func TestDisconnect_isDetectedAfterUnreadBytes(t *testing.T) {
	for name, sent := range pipelinedInputs {
		for way, disconnect := range disconnectFuncs {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				server := fakes.NewServer(t, answerNothing)
				// The server is listed under several names, each of which takes a few attempts.
				f := newFixture(t, 0, slices.Repeat([]*fakes.Server{server}, 8)...).start()
				c := f.dial()
				c.send(queryCommand())
				for rest, more := sent.text, true; more; {
					var text string
					if text, rest, more = strings.Cut(rest, "look"); more {
						text += queryCommand()
					}
					c.send(text)
				}
				fakes.Eventually(t, "all in flight", func() bool {
					return f.connections.unansweredCommands() == sent.inFlight
				})
				fakes.Eventually(t, "the attempts", func() bool { return server.PendingCommands() == sent.attempted })
				checkDisconnect(t, f, server, func() { disconnect(c) })
			})
		}
	}
}

// checkDisconnect checks that a client's disconnect is detected within disconnectBound, and that
// its requests are not retried when their attempts fail: each has had one attempt.
func checkDisconnect(t *testing.T, f *fixture, server *fakes.Server, disconnect func()) {
	t.Helper()
	attempts, disconnected := server.PendingCommands(), time.Now()
	disconnect()
	fakes.Eventually(t, "the connection's end", func() bool { return f.connectionCount() == 0 })
	if took := time.Since(disconnected); took > disconnectBound {
		t.Errorf("disconnect detected after %v", took)
	}
	for server.ConnCount() > 0 {
		_ = server.NextConn(t).Close()
	}
	f.awaitIdle()
	if n := server.PendingCommands(); n != attempts {
		t.Errorf("%d attempts for %d requests", n, attempts)
	}
}

// Commands are not started if the client has disconnected before they are read.
func TestDisconnect_pipelinedRequestsAreNotStarted(t *testing.T) {
	for _, way := range []string{"closes", "half closes"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			server := fakes.NewServer(t, answerNothing)
			f := newFixture(t, 0, server)
			c := f.dial()
			unknown := fakes.FormatCommand("FOO")
			c.send(queryCommand() + queryCommand() + submitCommand("body") + unknown + queryCommand())
			disconnectFuncs[way](c)
			closed := make(chan struct{})
			f.start(func(conn *net.TCPConn) net.Conn {
				fakes.Eventually(t, "the disconnect", resp.NewConn(conn).IsPeerClosed)
				return closeNotifier{conn, sync.OnceFunc(func() { close(closed) })}
			})
			<-closed
			f.awaitIdle()
			if n := server.ConnCount() + server.PendingCommands(); n != 0 {
				t.Errorf("%d connections and attempts at the server, want 0", n)
			}
		})
	}
}

// closeNotifier is a connection that calls onClose before it closes.
type closeNotifier struct {
	*net.TCPConn
	onClose func()
}

func (c closeNotifier) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}
