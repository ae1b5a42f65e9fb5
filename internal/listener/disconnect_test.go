package listener

import (
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/resp"
	"harrierhoist/internal/testing/fakes"
)

// disconnectBound is what an end may take to be noticed. It is to be 0.1 s, which goneLook keeps; the rest is for a machine that is
// busy with other tests. What goes wrong takes 14 s, the tasks' deadline.
const disconnectBound = commandTimeout / 2

// disconnects is how a client leaves.
var disconnects = map[string]func(*testClient){
	"closes":      func(c *testClient) { _ = c.Close() },
	"half closes": func(c *testClient) { _ = c.CloseWrite() },
	"resets":      func(c *testClient) { _, _ = c.SetLinger(0), c.Close() },
}

// A client's end is noticed whatever the reader does with what the client sent before: each task of it is given up.
func TestDisconnect_isNoticedBehindUnreadBytes(t *testing.T) {
	for name, send := range map[string]struct {
		behind string
		inHand int // commands
		begun  int // tasks
	}{
		"nothing more":           {"", 1, 1},
		"more than is in hand":   {strings.Repeat("look", 60), maxInFlightPerConn + 1, maxInFlightPerConn},
		"words that are none":    {"*x\r\n", 2, 1},
		"much that is no words":  {"*x\r\n" + strings.Repeat("y", 100<<10), 2, 1},
		"bad words in a row":     {strings.Repeat(fakes.FormatCommand("FOO"), 300), maxInFlightPerConn + 1, 1},
		"a value that is long":   {"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$65537\r\n" + strings.Repeat("y", 65537), 2, 1},
		"half a command":         {"*4\r\n$9\r\nSVC.Q", 2, 1},
		"half a value":           {"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$9000\r\nyy", 2, 1},
		"a command and half one": {"look*4\r\n$9\r\nSVC.Q", 3, 2},
	} {
		for way, leave := range disconnects {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				server := fakes.NewServer(t, answerNothing)
				s := newFixture(t, 0, slices.Repeat([]*fakes.Server{server}, 8)...).start() // it takes a few tasks under each of its names
				c := s.dial()
				c.send(queryCommand())
				for rest, more := send.behind, true; more; {
					var text string
					if text, rest, more = strings.Cut(rest, "look"); more {
						text += queryCommand()
					}
					c.send(text)
				}
				fakes.Eventually(t, "all in hand", func() bool { return s.inHand() == send.inHand })
				fakes.Eventually(t, "the attempts", func() bool { return server.PendingCommands() == send.begun })
				checkDisconnect(t, s, server, func() { leave(c) })
			})
		}
	}
}

// checkDisconnect checks that a client that leaves is soon noticed, and that its tasks, whose attempts then fail at the server, are not
// tried again: each had one attempt.
func checkDisconnect(t *testing.T, s *fixture, server *fakes.Server, leave func()) {
	t.Helper()
	tasks, left := server.PendingCommands(), time.Now()
	leave()
	fakes.Eventually(t, "the end", func() bool { return s.clientCount() == 0 })
	if took := time.Since(left); took > disconnectBound {
		t.Errorf("noticed after %v", took)
	}
	for server.ConnCount() > 0 {
		_ = server.NextConn(t).Close()
	}
	s.awaitEmpty()
	if n := server.PendingCommands(); n != tasks {
		t.Errorf("%d attempts for %d tasks", n, tasks)
	}
}

// Commands that stand before the end of a client who is gone already are not begun.
func TestDisconnect_pipelinedRequestsAreNotStarted(t *testing.T) {
	for name, leave := range map[string]func(*testClient){
		"closed": func(c *testClient) { _ = c.Close() }, "half closed": func(c *testClient) { _ = c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := fakes.NewServer(t, answerNothing)
			s := newFixture(t, 0, server)
			c := s.dial()
			c.send(queryCommand() + queryCommand() + submitCommand("body") + fakes.FormatCommand("FOO") + queryCommand())
			leave(c)
			over := make(chan struct{})
			s.start(func(conn *net.TCPConn) net.Conn {
				fakes.Eventually(t, "the end", resp.NewConn(conn).IsPeerClosed)
				return closeNotifier{conn, sync.OnceFunc(func() { close(over) })}
			})
			<-over
			s.awaitEmpty()
			if n := server.ConnCount() + server.PendingCommands(); n != 0 {
				t.Errorf("%d begun", n)
			}
		})
	}
}

// closeNotifier is a connection that tells of its close.
type closeNotifier struct {
	*net.TCPConn
	closed func()
}

func (c closeNotifier) Close() error {
	c.closed()
	return c.TCPConn.Close()
}
