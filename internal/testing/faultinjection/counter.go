package faultinjection

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
)

// Counter is a fake counter. While held it answers nothing.
type Counter struct {
	Addr string

	listener net.Listener
	held     sync.RWMutex // locked while held; read-locked by each answer

	mu     sync.Mutex
	totals map[string]float64
	calls  int
}

// NewCounter starts a counter.
func NewCounter() (*Counter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Counter{Addr: listener.Addr().String(), listener: listener, totals: map[string]float64{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *Counter) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the gateway may have closed it
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		c.answer(conn, lines.Text())
	}
}

func (c *Counter) answer(conn net.Conn, call string) {
	c.held.RLock()
	defer c.held.RUnlock()
	_, _ = io.WriteString(conn, c.add(call)) // the gateway may have gone; what it sent before counts all the same
}

// add counts a call and returns its answer.
func (c *Counter) add(call string) string {
	var name string
	var units float64
	var incarnation int
	if _, err := fmt.Sscanf(call, "incr %s %g %d", &name, &units, &incarnation); err != nil {
		return "error\r\n"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.totals[name] += units
	return fmt.Sprintf("ok %g\r\n", c.totals[name])
}

// Hold makes the counter silent until the function returned is called.
func (c *Counter) Hold() (release func()) {
	c.held.Lock()
	return c.held.Unlock
}

// Calls returns how many calls were counted.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Close ends the counter.
func (c *Counter) Close() { _ = c.listener.Close() } // nobody else closes it
