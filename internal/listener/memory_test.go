package listener

import (
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// longestBody is the longest value.
var longestBody = strings.Repeat("b", 64<<10)

// blockingServer has a server hold its answers until it is let go, and counts the values that it was sent and has not answered.
type blockingServer struct {
	*fakes.Server
	release               chan struct{}
	mu                    sync.Mutex
	inFlight, maxInFlight int
}

func newBlockingServer(t *testing.T, answer string) *blockingServer {
	h := &blockingServer{release: make(chan struct{})}
	h.Server = fakes.NewServer(t, func([]string) string {
		h.mu.Lock()
		h.inFlight++
		h.maxInFlight = max(h.maxInFlight, h.inFlight)
		h.mu.Unlock()
		<-h.release
		h.mu.Lock()
		h.inFlight--
		h.mu.Unlock()
		return fakes.FormatValue(answer, 1)
	})
	return h
}

func (h *blockingServer) unanswered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

// Clients send the longest values at once, and the server answers late with as long ones. What all of them hold stays
// within the bound; each request gets one answer, and those that were refused were never sent on.
func TestMemoryLimit_boundsValuesInFlight(t *testing.T) {
	const clients, each, bytes = 12, 2, 1 << 20
	server := newBlockingServer(t, longestBody)
	s := newFixture(t, bytes, slices.Repeat([]*fakes.Server{server.Server}, 20)...).start()
	var answered, refused atomic.Int64
	var all sync.WaitGroup
	for range clients {
		c := s.dial()
		all.Go(func() {
			c.send(submitCommand(longestBody) + submitCommand(longestBody))
		})
		all.Go(func() {
			for range each {
				switch line := c.readAnswer(); {
				case line == longestBody:
					answered.Add(1)
				case strings.HasPrefix(line, "-BUSY"):
					refused.Add(1)
				default:
					t.Errorf("answered %.40q", line)
				}
			}
		})
	}
	most := bytes / (maxRequestOverhead + len(longestBody))
	fakes.Eventually(t, "as many as there is room for", func() bool { return server.unanswered() == most })
	fakes.Eventually(t, "the others refused", func() bool { return refused.Load() >= int64(clients-most) })
	close(server.release)
	all.Wait()
	if n := answered.Load() + refused.Load(); n != clients*each || answered.Load() < int64(most) {
		t.Errorf("%d answered and %d refused of %d", answered.Load(), refused.Load(), clients*each)
	}
	if n := server.PendingCommands(); int64(n) != answered.Load() {
		t.Errorf("%d sent on, %d answered", n, answered.Load())
	}
	if server.maxInFlight > most {
		t.Errorf("%d held at once, with room for %d", server.maxInFlight, most)
	}
	fakes.Eventually(t, "all given back", func() bool { return s.memory.usedBytes() == 0 })
}

func (r *memoryLimiter) usedBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// What clients hold up or leave behind takes no room, and nobody else waits for it.
func TestMemoryLimit_isReleasedWhateverClientsDo(t *testing.T) {
	long := fakes.FormatCommand("SVC.SUBMIT", uniqueID(), uniqueID(), "c=pay,t=wide,d=14000", longestBody)
	for name, do := range map[string]func(c *testClient, server *blockingServer){
		"one byte now and then": func(c *testClient, _ *blockingServer) {
			c.send(long[:len(long)/2])
			fakes.Eventually(c, "room taken", func() bool { return c.memory.usedBytes() > 0 })
			for _, err := c.Write([]byte("b")); err == nil; _, err = c.Write([]byte("b")) { // until it is closed
				time.Sleep(commandTimeout / 8)
			}
		},
		"no end where it says": func(c *testClient, _ *blockingServer) {
			c.send(long[:len(long)-2] + "xx")
			if line := c.readAnswer(); line != "-ERR a value does not end where it says" {
				c.Errorf("answered %.40q", line)
			}
		},
		"no task": func(c *testClient, _ *blockingServer) {
			c.send(strings.Replace(long, "c=pay", "c=nay", 1))
			if line := c.readAnswer(); line != "-ERR unknown, no number or out of range: c" {
				c.Errorf("answered %.40q", line)
			}
		},
		"much at once, and gone": func(c *testClient, server *blockingServer) {
			go func() { _, _ = c.Write([]byte(strings.Repeat(submitCommand(longestBody), 40))) }() // until it is closed
			fakes.Eventually(c, "the first", func() bool { return server.unanswered() > 0 })
			_, _ = c.SetLinger(0), c.Close()
		},
		"reads no answer": func(c *testClient, server *blockingServer) {
			c.send(queryCommand() + queryCommand() + queryCommand())
			fakes.Eventually(c, "the last", func() bool { return server.unanswered() == 3 })
			close(server.release)
			fakes.Eventually(c, "its end", func() bool { return c.clientCount() == 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newBlockingServer(t, longestBody)
			s := newFixture(t, 4<<20, slices.Repeat([]*fakes.Server{server.Server}, 8)...)
			s.start(func(conn *net.TCPConn) net.Conn {
				_ = conn.SetWriteBuffer(4 << 10)
				return conn
			})
			c := s.dial()
			_ = c.SetReadBuffer(4 << 10)
			do(c, server)
			_ = c.Close()
			select {
			case <-server.release:
			default:
				close(server.release)
			}
			s.awaitEmpty()
			fakes.Eventually(t, "all given back", func() bool { return s.memory.usedBytes() == 0 })
		})
	}
}

// Where there is no room, who asks for it waits a while and is refused; who needs none is answered at once, and the end
// of one that waits is seen.
func TestMemoryLimit_rejectsWithoutCapacity(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	s := newFixture(t, 4<<20, server).start()
	c, leaves := s.dial(), s.dial()
	ask := func(text, want string) {
		t.Helper()
		c.send(text)
		if line := c.readAnswer(); line != want {
			t.Errorf("answered %.40q, want %q", line, want)
		}
	}
	ask(queryCommand(), "hello")
	fakes.Eventually(t, "all the room", func() bool { return s.memory.acquire(s.memory.limit, false) == nil })
	ask(queryCommand(), "-BUSY")
	ask(submitCommand(longestBody), "-BUSY")
	ask(fakes.FormatCommand("PING"), "-ERR not ready")
	if n := server.PendingCommands(); n != 1 {
		t.Errorf("%d sent on", n)
	}
	fakes.Eventually(t, "all answered", func() bool { return s.inHand() == 0 })
	leaves.send(submitCommand("body"))
	fakes.Eventually(t, "the one that leaves", func() bool { return s.inHand() == 1 })
	left := time.Now()
	_ = leaves.Close()
	fakes.Eventually(t, "its end", func() bool { return s.clientCount() == 1 })
	if took := time.Since(left); took > memoryTimeout*3/5 {
		t.Errorf("noticed after %v", took)
	}
	c.send(submitCommand(longestBody) + queryCommand())
	fakes.Eventually(t, "the one that waits", func() bool { return s.inHand() == 1 })
	s.memory.release(s.memory.limit)
	for range 2 {
		if line := c.readAnswer(); line != "hello" {
			t.Errorf("with room again: answered %.40q", line)
		}
	}
	fakes.Eventually(t, "all given back", func() bool { return s.memory.usedBytes() == 0 })
}
