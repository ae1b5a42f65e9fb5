package listener

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// longestBody is a value of the maximum size.
var longestBody = strings.Repeat("b", 64<<10)

// blockingServer delays its answers until release is closed, and counts the requests that it has
// not answered.
type blockingServer struct {
	*fakes.Server
	release chan struct{}

	mu                    sync.Mutex // protects the fields below
	inFlight, maxInFlight int
}

func newBlockingServer(t *testing.T, answer string) *blockingServer {
	t.Helper()
	s := &blockingServer{release: make(chan struct{})}
	s.Server = fakes.NewServer(t, func([]string) string {
		s.addInFlight(1)
		<-s.release
		s.addInFlight(-1)
		return fakes.FormatValue(answer, 1)
	})
	return s
}

func (s *blockingServer) addInFlight(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
}

func (s *blockingServer) unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

func (m *memoryLimiter) usedBytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// awaitMemoryReleased waits until no memory is reserved.
func (f *fixture) awaitMemoryReleased() {
	f.Helper()
	fakes.Eventually(f, "all memory released", func() bool { return f.memory.usedBytes() == 0 })
}

// Clients send values of the maximum size concurrently, and the server answers late with values of
// the same size. The memory that all of them hold stays within the limit. Each request is answered
// once, and no rejected request was forwarded.
func TestMemoryLimit_boundsValuesInFlight(t *testing.T) {
	const clients, requestsEach, maxMemory = 12, 2, 1 << 20
	server := newBlockingServer(t, longestBody)
	f := newFixture(t, maxMemory, slices.Repeat([]*fakes.Server{server.Server}, 20)...).start()
	var served, rejected atomic.Int64
	var all sync.WaitGroup
	for range clients {
		c := f.dial()
		all.Go(func() {
			c.send(submitCommand(longestBody) + submitCommand(longestBody))
		})
		all.Go(func() {
			for range requestsEach {
				switch line := c.readAnswer(); {
				case line == longestBody:
					served.Add(1)
				case strings.HasPrefix(line, "-BUSY"):
					rejected.Add(1)
				default:
					t.Errorf("answered %.40q", line)
				}
			}
		})
	}
	maxInFlight := maxMemory / (maxRequestOverhead + len(longestBody))
	fakes.Eventually(t, "as many requests as there is memory for", func() bool {
		return server.unanswered() == maxInFlight
	})
	fakes.Eventually(t, "the others rejected", func() bool { return rejected.Load() >= int64(clients-maxInFlight) })
	close(server.release)
	all.Wait()
	if n := served.Load() + rejected.Load(); n != clients*requestsEach || served.Load() < int64(maxInFlight) {
		t.Errorf("%d served and %d rejected of %d", served.Load(), rejected.Load(), clients*requestsEach)
	}
	if n := server.PendingCommands(); int64(n) != served.Load() {
		t.Errorf("%d forwarded, %d served", n, served.Load())
	}
	if server.maxInFlight > maxInFlight {
		t.Errorf("%d requests in flight concurrently, with memory for %d", server.maxInFlight, maxInFlight)
	}
	f.awaitMemoryReleased()
}

// longSubmit is a submit with a value of the maximum size.
var longSubmit = fakes.FormatCommand("SVC.SUBMIT", uniqueID(), uniqueID(), "c=pay,t=wide,d=14000", longestBody)

// memoryHoldingClients holds the behaviour of clients that might keep memory reserved, by name.
var memoryHoldingClients = map[string]func(c *testClient, f *fixture, server *blockingServer){
	"sends one byte at a time": func(c *testClient, f *fixture, _ *blockingServer) {
		c.send(longSubmit[:len(longSubmit)/2])
		fakes.Eventually(c, "memory reserved", func() bool { return f.memory.usedBytes() > 0 })
		// Write until the connection is closed.
		for _, err := c.Write([]byte("b")); err == nil; _, err = c.Write([]byte("b")) {
			time.Sleep(commandTimeout / 8) // simulates a slow client
		}
	},
	"value without its end": func(c *testClient, _ *fixture, _ *blockingServer) {
		c.send(longSubmit[:len(longSubmit)-2] + "xx")
		if line := c.readAnswer(); line != "-ERR a value does not end where it says" {
			c.Errorf("answered %.40q", line)
		}
	},
	"unknown class": func(c *testClient, _ *fixture, _ *blockingServer) {
		c.send(strings.Replace(longSubmit, "c=pay", "c=nay", 1))
		if line := c.readAnswer(); line != "-ERR unknown, no number or out of range: c" {
			c.Errorf("answered %.40q", line)
		}
	},
	"pipelines many and disconnects": func(c *testClient, _ *fixture, server *blockingServer) {
		submits := strings.Repeat(submitCommand(longestBody), 40)
		go func() { _, _ = c.Write([]byte(submits)) }() // fails when the connection is closed
		fakes.Eventually(c, "the first request", func() bool { return server.unanswered() > 0 })
		_, _ = c.SetLinger(0), c.Close()
	},
	"reads no answer": func(c *testClient, f *fixture, server *blockingServer) {
		c.send(queryCommand() + queryCommand() + queryCommand())
		fakes.Eventually(c, "the last request", func() bool { return server.unanswered() == 3 })
		close(server.release)
		fakes.Eventually(c, "the connection's end", func() bool { return f.connectionCount() == 0 })
	},
}

// All memory is released after a client was slow, sent invalid input or disconnected.
func TestMemoryLimit_isReleasedAfterClientFailures(t *testing.T) {
	for name, act := range memoryHoldingClients {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newBlockingServer(t, longestBody)
			f := newFixture(t, 4<<20, slices.Repeat([]*fakes.Server{server.Server}, 8)...).start(withSmallWriteBuffer)
			c := f.dial()
			_ = c.SetReadBuffer(4 << 10)
			act(c, f, server)
			_ = c.Close()
			select {
			case <-server.release:
			default:
				close(server.release)
			}
			f.awaitIdle()
			f.awaitMemoryReleased()
		})
	}
}

// If no memory is free, a request waits for memoryTimeout and is rejected. A command that needs no
// memory is answered immediately, and the disconnect of a waiting client is detected.
func TestMemoryLimit_rejectsWithoutCapacity(t *testing.T) {
	server := fakes.NewServer(t, answerHello)
	f := newFixture(t, 4<<20, server).start()
	client, leaving := f.dial(), f.dial()
	check := func(command, want string) {
		t.Helper()
		client.send(command)
		if line := client.readAnswer(); line != want {
			t.Errorf("answered %.40q, want %q", line, want)
		}
	}
	check(queryCommand(), "hello")
	fakes.Eventually(t, "all memory reserved", func() bool { return f.memory.acquire(f.memory.limit, false) == nil })
	check(queryCommand(), "-BUSY")
	check(submitCommand(longestBody), "-BUSY")
	check(pingCommand, "-ERR not ready")
	if n := server.PendingCommands(); n != 1 {
		t.Errorf("%d forwarded, want 1", n)
	}
	fakes.Eventually(t, "all answered", func() bool { return f.connections.unansweredCommands() == 0 })
	leaving.send(submitCommand("body"))
	fakes.Eventually(t, "the leaving client's request", func() bool { return f.connections.unansweredCommands() == 1 })
	disconnected := time.Now()
	_ = leaving.Close()
	fakes.Eventually(t, "the connection's end", func() bool { return f.connectionCount() == 1 })
	if took := time.Since(disconnected); took > memoryTimeout*3/5 {
		t.Errorf("disconnect detected after %v", took)
	}
	client.send(submitCommand(longestBody) + queryCommand())
	fakes.Eventually(t, "the waiting request", func() bool { return f.connections.unansweredCommands() == 1 })
	f.memory.release(f.memory.limit)
	for range 2 {
		if line := client.readAnswer(); line != "hello" {
			t.Errorf("after memory was released: answered %.40q", line)
		}
	}
	f.awaitMemoryReleased()
}
