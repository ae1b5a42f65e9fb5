package standin

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
	Addr   string
	mu     sync.Mutex
	totals map[string]float64
	Calls  chan string
	seen   atomic.Pointer[func(call string)]
}

// NewCounter starts a counter.
func NewCounter(t testing.TB) *Counter {
	l := Listen(t)
	c := &Counter{Addr: l.Addr().String(), totals: map[string]float64{}, Calls: make(chan string, 10000)}
	accept(t, l, func(conn net.Conn) {
		in := bufio.NewScanner(conn)
		for in.Scan() {
			c.Calls <- in.Text()
			if seen := c.seen.Load(); seen != nil {
				(*seen)(in.Text())
			}
			var name string
			var units float64
			var life int
			_, err := fmt.Sscanf(in.Text(), "incr %s %g %d", &name, &units, &life)
			c.mu.Lock()
			if err != nil {
				_, _ = io.WriteString(conn, "error\r\n")
			} else {
				c.totals[name] += units
				_, _ = fmt.Fprintf(conn, "ok %g\r\n", c.totals[name])
			}
			c.mu.Unlock()
		}
	})
	return c
}

// Watch has a function called with each call that comes from now on, before it is answered; it must not wait.
func (c *Counter) Watch(seen func(call string)) { c.seen.Store(&seen) }

// Call is the next call that came.
func (c *Counter) Call(t testing.TB) string { return next(t, c.Calls, "call") }

// Hold makes it silent until the function given back is called.
func (c *Counter) Hold() (letGo func()) {
	c.mu.Lock()
	return c.mu.Unlock
}
