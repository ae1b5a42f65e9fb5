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

// maxUnanswered is how many calls of a connection are read while the counter is held.
const maxUnanswered = 1000

// Counter is a fake counter: it adds up the units of each name. While held it takes calls and
// answers none; once released it answers them all.
type Counter struct {
	Addr  string
	Calls chan string // each call as it came

	mu       sync.Mutex
	totals   map[string]float64
	observer atomic.Pointer[func(call string)]
}

// NewCounter starts a counter that ends with the test.
func NewCounter(tb testing.TB) *Counter {
	tb.Helper()
	listener := Listen(tb)
	c := &Counter{Addr: listener.Addr().String(), totals: map[string]float64{}, Calls: make(chan string, 10000)}
	serveConns(tb, listener, c.serve)
	return c
}

// serve reads calls, also while the counter is held, and answers them in order.
func (c *Counter) serve(conn net.Conn) {
	unanswered := make(chan string, maxUnanswered)
	defer close(unanswered)
	go func() {
		for call := range unanswered {
			c.answer(conn, call)
		}
	}()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		c.Calls <- lines.Text()
		if observe := c.observer.Load(); observe != nil {
			(*observe)(lines.Text())
		}
		unanswered <- lines.Text()
	}
}

// answer counts a call and answers it, unless the counter is held: then it waits.
func (c *Counter) answer(conn net.Conn, call string) {
	var name string
	var units float64
	var incarnation int
	_, err := fmt.Sscanf(call, "incr %s %g %d", &name, &units, &incarnation)
	c.mu.Lock()
	defer c.mu.Unlock()
	text := "error\r\n"
	if err == nil {
		c.totals[name] += units
		text = fmt.Sprintf("ok %g\r\n", c.totals[name])
	}
	_, _ = io.WriteString(conn, text) // the caller may have gone; what it sent before counts all the same
}

// Observe has a function called with each later call, before it is answered. The function must not
// wait.
func (c *Counter) Observe(observe func(call string)) { c.observer.Store(&observe) }

// NextCall returns the next call that came, and waits for one.
func (c *Counter) NextCall(tb testing.TB) string {
	tb.Helper()
	return receive(tb, c.Calls, "call")
}

// Hold makes the counter silent until the function returned is called.
func (c *Counter) Hold() (release func()) {
	c.mu.Lock()
	return c.mu.Unlock
}
