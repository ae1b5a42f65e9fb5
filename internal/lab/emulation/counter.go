package emulation

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"harrierhoist/internal/lab/scenario"
)

// Counter is an emulated counter.
type Counter struct {
	Addr        string
	listener    net.Listener
	mu          sync.Mutex
	totals      map[string]float64
	expiresAt   map[string]time.Time
	freeAt      time.Time
	serviceTime time.Duration
	maxWait     time.Duration
	silent      atomic.Bool
	Calls       atomic.Int64
	Rejected    atomic.Int64
}

func newCounter(spec *scenario.Scenario) (*Counter, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	c := &Counter{
		Addr: listener.Addr().String(), listener: listener, totals: map[string]float64{}, expiresAt: map[string]time.Time{},
		serviceTime: time.Duration(float64(time.Second) / spec.Counter.Rate), maxWait: spec.Counter.MaxWait.D(),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

// Silence has the counter take calls and answer none.
func (c *Counter) SetSilent(on bool) { c.silent.Store(on) }

// Empty has it forget all.
func (c *Counter) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.totals)
	clear(c.expiresAt)
}

func (c *Counter) close() { _ = c.listener.Close() }

func (c *Counter) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewScanner(conn)
	for in.Scan() {
		line, wait := c.handleCall(in.Text())
		time.Sleep(wait)
		if c.silent.Load() {
			continue
		}
		if _, err := conn.Write([]byte(line + "\r\n")); err != nil {
			return
		}
	}
}

func (c *Counter) handleCall(text string) (line string, wait time.Duration) {
	if text == "ping" {
		return "pong", 0
	}
	words := strings.Fields(text)
	if len(words) != 4 || words[0] != "incr" {
		return "error", 0
	}
	units, err := strconv.ParseFloat(words[2], 64)
	ttl, err2 := strconv.Atoi(words[3])
	if errors.Join(err, err2) != nil {
		return "error", 0
	}
	c.Calls.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if wait = max(c.freeAt.Sub(now), 0); wait > c.maxWait {
		c.Rejected.Add(1)
		return "busy", 0
	}
	if c.freeAt.Before(now) {
		c.freeAt = now
	}
	c.freeAt = c.freeAt.Add(c.serviceTime)
	if now.After(c.expiresAt[words[1]]) {
		c.totals[words[1]] = 0
		c.expiresAt[words[1]] = now.Add(time.Duration(ttl) * time.Millisecond)
	}
	c.totals[words[1]] += units
	return "ok " + strconv.FormatFloat(c.totals[words[1]], 'g', 7, 64), wait + c.serviceTime
}
