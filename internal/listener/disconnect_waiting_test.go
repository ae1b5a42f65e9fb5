package listener

import (
	"net"
	"slices"
	"sync"
	"testing"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// A client that leaves while its tasks wait, for a server or for the counter's total, has none of them begun once what they
// waited for is there.
func TestDisconnect_waitingRequestsAreNotStarted(t *testing.T) {
	for name, counted := range map[string]bool{"for a server": false, "for a total": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
			given, servers := testSettings(), []*fakes.Server(nil)
			var mu sync.Mutex
			var calls []countCallback
			var count func(countCallback)
			if counted {
				given.CountTimeout = given.Classes[0].Timeout
				servers = append(servers, server)
				count = func(told countCallback) {
					mu.Lock()
					defer mu.Unlock()
					calls = append(calls, told)
				}
			}
			s := newFixtureWith(t, given, count, 0, servers...).start()
			leaves, stays := s.dial(), s.dial()
			leaves.send(queryCommand() + submitCommand("body") + queryCommand())
			fakes.Eventually(t, "all in hand", func() bool { return s.inHand() == 3 })
			_ = leaves.Close()
			fakes.Eventually(t, "the end", func() bool { return s.clientCount() == 1 })
			if !counted {
				s.gate.HandleEndpoints(policy.ListFull, []dispatch.Server{{Name: "s-0", Address: server.Addr, Endpoint: policy.Endpoint{State: policy.Ready}}})
			}
			stays.send(queryCommand())
			fakes.Eventually(t, "the other", func() bool { // totals come, also for those that had left
				mu.Lock()
				all := calls
				calls = nil
				mu.Unlock()
				for _, told := range all {
					told(0, policy.Answered)
				}
				return server.PendingCommands() > 0
			})
			if line := stays.readAnswer(); line != "hello" {
				t.Errorf("the other: answered %q", line)
			}
			_ = stays.Close()
			s.awaitEmpty()
			if n := server.PendingCommands(); n != 1 {
				t.Errorf("%d begun", n)
			}
		})
	}
}

// The end of a client that takes nothing is seen while an answer is being written to it and tasks are behind that.
func TestDisconnect_isNoticedWhileAnswerIsWritten(t *testing.T) {
	for name, more := range map[string]int{"some behind": 2, "more than is in hand": 2 * maxInFlightPerConn} {
		for way, leave := range disconnects {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				server := fakes.NewServer(t, func(words []string) string {
					if words[2] == "first" {
						return fakes.FormatValue(longestBody, 1)
					}
					return ""
				})
				s := newFixture(t, 0, slices.Repeat([]*fakes.Server{server}, 8)...).start(func(conn *net.TCPConn) net.Conn {
					_ = conn.SetWriteBuffer(4 << 10) // far less than the answer
					return conn
				})
				c := s.dial()
				_ = c.SetReadBuffer(4 << 10)
				c.send(fakes.FormatCommand("SVC.QUERY", uniqueID(), "first", "c=look,t=wide,d=14000"))
				for range more {
					c.send(queryCommand())
				}
				begun := min(1+more, maxInFlightPerConn)
				fakes.Eventually(t, "the attempts", func() bool { return server.PendingCommands() == begun })
				fakes.Eventually(t, "the answer", func() bool {
					s.mu.Lock()
					defer s.mu.Unlock()
					_, open := s.openIDs["first"]
					return !open && len(s.openIDs) == begun-1
				})
				checkDisconnect(t, s, server, func() { leave(c) })
			})
		}
	}
}
