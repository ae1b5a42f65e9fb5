package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// Counter adds. While it is held it takes calls and answers none; once let go it answers them all.
type Counter struct {
	Addr     string
	mu       sync.Mutex
	totals   map[string]float64
	Calls    chan string
	observer atomic.Pointer[func(call string)]
}

// NewCounter starts a counter.
func NewCounter(t testing.TB) *Counter {
	listener := Listen(t)
	c := &Counter{Addr: listener.Addr().String(), totals: map[string]float64{}, Calls: make(chan string, 10000)}
	serveConns(t, listener, c.serve)
	return c
}

// serve reads calls, also while the counter is held, and answers them in order.
func (c *Counter) serve(conn net.Conn) {
	calls := make(chan string, 1000)
	defer close(calls)
	go func() {
		for call := range calls {
			c.answer(conn, call)
		}
	}()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		c.Calls <- lines.Text()
		if seen := c.observer.Load(); seen != nil {
			(*seen)(lines.Text())
		}
		calls <- lines.Text()
	}
}

// answer waits while the counter is held.
func (c *Counter) answer(conn net.Conn, call string) {
	var name string
	var units float64
	var lifetime int
	_, err := fmt.Sscanf(call, "incr %s %g %d", &name, &units, &lifetime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		_, _ = io.WriteString(conn, "error\r\n")
		return
	}
	c.totals[name] += units
	_, _ = fmt.Fprintf(conn, "ok %g\r\n", c.totals[name])
}

// Observe has a function called with each call that comes from now on, before it is answered; it must not wait.
func (c *Counter) Observe(seen func(call string)) { c.observer.Store(&seen) }

// NextCall is the next call that came.
func (c *Counter) NextCall(t testing.TB) string { return receive(t, c.Calls, "call") }

// Hold makes it silent until the function given back is called.
func (c *Counter) Hold() (release func()) {
	c.mu.Lock()
	return c.mu.Unlock
}
