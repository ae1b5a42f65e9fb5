package listener

import (
	"net"
	"slices"
	"sync"
	"testing"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// delayedCounter is a counter that holds calls until answer is called.
type delayedCounter struct {
	mu    sync.Mutex // protects calls
	calls []counterReply
}

func (c *delayedCounter) count(reply counterReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, reply)
}

// answer answers all held calls, including those for clients that have disconnected.
func (c *delayedCounter) answer() {
	c.mu.Lock()
	calls := c.calls
	c.calls = nil
	c.mu.Unlock()
	for _, reply := range calls {
		reply(0, policy.Answered)
	}
}

// A client disconnects while its requests wait for a server or for a count. No request is attempted
// when that becomes available.
func TestDisconnect_waitingRequestsAreNotStarted(t *testing.T) {
	t.Run("for a server", func(t *testing.T) {
		t.Parallel()
		server := fakes.NewServer(t, answerHello)
		f := newFixture(t, 0).start()
		checkWaitingRequests(t, f, server, func() {
			f.dispatcher.HandleEndpoints(policy.ListFull, endpointsOf([]*fakes.Server{server}))
		}, func() {})
	})
	t.Run("for a count", func(t *testing.T) {
		t.Parallel()
		server := fakes.NewServer(t, answerHello)
		settings, counter := testSettings(), &delayedCounter{}
		settings.LateCountAfter = settings.Classes[0].Timeout
		f := newFixtureWith(t, settings, counter.count, 0, server).start()
		checkWaitingRequests(t, f, server, func() {}, counter.answer)
	})
}

// checkWaitingRequests checks that the requests of a disconnected client are not attempted, and
// that those of another client are. After the disconnect, it calls provide once, and poll
// repeatedly until there is an attempt.
func checkWaitingRequests(t *testing.T, f *fixture, server *fakes.Server, provide, poll func()) {
	t.Helper()
	leaving, staying := f.dial(), f.dial()
	leaving.send(queryCommand() + submitCommand("body") + queryCommand())
	fakes.Eventually(t, "all in flight", func() bool { return f.connections.unansweredCommands() == 3 })
	_ = leaving.Close()
	fakes.Eventually(t, "the connection's end", func() bool { return f.connectionCount() == 1 })
	provide()
	staying.send(queryCommand())
	fakes.Eventually(t, "the other client's attempt", func() bool {
		poll()
		return server.PendingCommands() > 0
	})
	if line := staying.readAnswer(); line != "hello" {
		t.Errorf("other client: answered %q", line)
	}
	_ = staying.Close()
	f.awaitIdle()
	if n := server.PendingCommands(); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// A client that does not read disconnects while an answer is being written to it and further
// requests are in flight. The disconnect is detected.
func TestDisconnect_isDetectedWhileAnswerIsWritten(t *testing.T) {
	for name, pipelined := range map[string]int{
		"some pipelined":             2,
		"more than may be in flight": 2 * maxInFlightPerConn,
	} {
		for way, disconnect := range disconnectFuncs {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				server := fakes.NewServer(t, func(words []string) string {
					if words[2] == "first" {
						return fakes.FormatValue(longestBody, 1)
					}
					return ""
				})
				f := newFixture(t, 0, slices.Repeat([]*fakes.Server{server}, 8)...).start(withSmallWriteBuffer)
				client := f.dial()
				_ = client.SetReadBuffer(4 << 10)
				client.send(fakes.FormatCommand("SVC.QUERY", uniqueID(), "first", "c=look,t=wide,d=14000"))
				for range pipelined {
					client.send(queryCommand())
				}
				attempted := min(1+pipelined, maxInFlightPerConn)
				fakes.Eventually(t, "the attempts", func() bool { return server.PendingCommands() == attempted })
				fakes.Eventually(t, "the answer being written", func() bool {
					open := f.openIDs()
					_, isFirstOpen := open["first"]
					return !isFirstOpen && len(open) == attempted-1
				})
				checkDisconnect(t, f, server, func() { disconnect(client) })
			})
		}
	}
}

// withSmallWriteBuffer sets a write buffer that is far smaller than the longest answer.
func withSmallWriteBuffer(conn *net.TCPConn) net.Conn {
	_ = conn.SetWriteBuffer(4 << 10)
	return conn
}
