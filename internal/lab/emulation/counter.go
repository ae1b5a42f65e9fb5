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
	Addr     string
	listener net.Listener
	mu       sync.Mutex
	totals   map[string]float64
	until    map[string]time.Time
	free     time.Time
	each     time.Duration
	queue    time.Duration
	silent   atomic.Bool
	Calls    atomic.Int64
	Refused  atomic.Int64
}

func newCounter(w *scenario.Scenario) (*Counter, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	c := &Counter{
		Addr: listener.Addr().String(), listener: listener, totals: map[string]float64{}, until: map[string]time.Time{},
		each: time.Duration(float64(time.Second) / w.Counter.Rate), queue: w.Counter.MaxWait.D(),
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
func (c *Counter) Silence(on bool) { c.silent.Store(on) }

// Empty has it forget all.
func (c *Counter) Empty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.totals)
	clear(c.until)
}

func (c *Counter) close() { _ = c.listener.Close() }

func (c *Counter) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewScanner(conn)
	for in.Scan() {
		line, wait := c.call(in.Text())
		time.Sleep(wait)
		if c.silent.Load() {
			continue
		}
		if _, err := conn.Write([]byte(line + "\r\n")); err != nil {
			return
		}
	}
}

func (c *Counter) call(text string) (line string, wait time.Duration) {
	if text == "ping" {
		return "pong", 0
	}
	words := strings.Fields(text)
	if len(words) != 4 || words[0] != "incr" {
		return "error", 0
	}
	units, err := strconv.ParseFloat(words[2], 64)
	life, err2 := strconv.Atoi(words[3])
	if errors.Join(err, err2) != nil {
		return "error", 0
	}
	c.Calls.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if wait = max(c.free.Sub(now), 0); wait > c.queue {
		c.Refused.Add(1)
		return "busy", 0
	}
	if c.free.Before(now) {
		c.free = now
	}
	c.free = c.free.Add(c.each)
	if now.After(c.until[words[1]]) {
		c.totals[words[1]] = 0
		c.until[words[1]] = now.Add(time.Duration(life) * time.Millisecond)
	}
	c.totals[words[1]] += units
	return "ok " + strconv.FormatFloat(c.totals[words[1]], 'g', 7, 64), wait + c.each
}
