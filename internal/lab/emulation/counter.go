package emulation

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"harrierhoist/internal/lab/scenario"
)

// The words of a call that counts, by their place.
const (
	verbOfCall = iota
	nameOfCall
	unitsOfCall
	lifetimeOfCall // in milliseconds
	callWords
)

// totalDigits is the number of significant digits of a total in an answer.
const totalDigits = 7

// float64Bits is the size of the numbers of the protocol.
const float64Bits = 64

// Counter is an emulated counter. It serves calls one after the other; a call that would wait too
// long is rejected.
type Counter struct {
	Addr  string
	Calls atomic.Int64 // well-formed ones

	listener    net.Listener
	serviceTime time.Duration // of a call
	maxWait     time.Duration // for the calls before it

	mu     sync.Mutex
	names  map[string]count
	freeAt time.Time // when the calls accepted so far are served
}

// count is the number under a name.
type count struct {
	total     float64
	expiresAt time.Time
}

func newCounter(ctx context.Context, spec *scenario.Scenario) (*Counter, error) {
	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	c := &Counter{
		Addr: listener.Addr().String(), listener: listener, names: map[string]count{},
		serviceTime: time.Duration(float64(time.Second) / spec.Counter.Rate), maxWait: spec.Counter.MaxWait.D(),
	}
	go c.accept()
	return c, nil
}

func (c *Counter) close() error { return c.listener.Close() }

func (c *Counter) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return // closed
		}
		go c.serve(conn)
	}
}

func (c *Counter) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing is left to be written
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		answer, wait := c.handleCall(lines.Text())
		time.Sleep(wait)
		if _, err := conn.Write([]byte(answer + "\r\n")); err != nil {
			return
		}
	}
}

// handleCall returns the answer to a call, and how long it takes.
func (c *Counter) handleCall(text string) (answer string, wait time.Duration) {
	if text == "ping" {
		return "pong", 0
	}
	words := strings.Fields(text)
	if len(words) != callWords || words[verbOfCall] != "incr" {
		return "error", 0
	}
	name := words[nameOfCall]
	units, unitsErr := strconv.ParseFloat(words[unitsOfCall], float64Bits)
	lifetimeMs, lifetimeErr := strconv.Atoi(words[lifetimeOfCall])
	if errors.Join(unitsErr, lifetimeErr) != nil {
		return "error", 0
	}
	c.Calls.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	wait = max(c.freeAt.Sub(now), 0)
	if wait > c.maxWait {
		return "busy", 0
	}
	if c.freeAt.Before(now) {
		c.freeAt = now
	}
	c.freeAt = c.freeAt.Add(c.serviceTime)
	n := c.names[name]
	if now.After(n.expiresAt) {
		n = count{expiresAt: now.Add(time.Duration(lifetimeMs) * time.Millisecond)}
	}
	n.total += units
	c.names[name] = n
	return "ok " + strconv.FormatFloat(n.total, 'g', totalDigits, float64Bits), wait + c.serviceTime
}
