package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// crowd is a number of clients, each of which connects anew when its connection ends.
type crowd struct {
	addr    string
	use     func(c *crowd, conn net.Conn) // uses a connection until it ends
	ended   atomic.Bool
	running sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{} // open connections; stop closes them
}

// startCrowd starts clients, which the end of the test stops.
func startCrowd(t *testing.T, addr string, clients int, use func(c *crowd, conn net.Conn)) *crowd {
	t.Helper()
	c := &crowd{addr: addr, use: use, conns: map[net.Conn]struct{}{}}
	for range clients {
		c.running.Go(c.run)
	}
	t.Cleanup(c.stop)
	return c
}

// stop closes the connections and waits for the clients.
func (c *crowd) stop() {
	c.ended.Store(true)
	c.mu.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.running.Wait()
}

func (c *crowd) run() {
	for !c.ended.Load() {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		c.mu.Lock()
		c.conns[conn] = struct{}{}
		c.mu.Unlock()
		if !c.ended.Load() {
			c.use(c, conn)
		}
		_ = conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}
}

// discardAnswers reads until either side closes a connection.
func discardAnswers(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
