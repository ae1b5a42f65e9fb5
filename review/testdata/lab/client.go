package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// request is what a client asks for.
type request struct {
	class, plan, key string
	customer         uint64
	units            int
	timeout          time.Duration
	submit           bool
	gateways         int
}

// answer is how a request ended at its client.
type answer struct {
	id, text string // text: the first line of the answer, or how the connection ended
	served   bool
	value    string
	sentAt   time.Time
	endedAt  time.Time
}

// clients send requests over connections that they keep.
type clients struct {
	rec     *record
	lastID  atomic.Uint64
	pending sync.WaitGroup

	mu      sync.Mutex
	idle    map[string][]net.Conn
	answers []answer
}

func newClients(rec *record) *clients { return &clients{rec: rec, idle: map[string][]net.Conn{}} }

// patience is how long a client of a stand-in looks for an answer beyond its time.
const patience = 3 * time.Second

// send sends a request and waits for its end.
func (c *clients) send(addr string, r request) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x5eed000000000000+c.lastID.Add(1))}
	conn, err := c.conn(addr)
	if err != nil {
		a.text = "not reached: " + err.Error()
		c.rec.add("client id=%s %s", a.id, a.text)
		return a
	}
	a.sentAt = c.rec.add("sent id=%s class=%s key=%s d=%d to %s", a.id, r.class, r.key, r.timeout.Milliseconds(), addr)
	_ = conn.SetDeadline(time.Now().Add(r.timeout + patience))
	if _, err = io.WriteString(conn, format(a.id, r)); err == nil {
		err = readAnswer(conn, &a)
	}
	if err != nil {
		a.text = "no answer: " + err.Error()
		_ = conn.Close()
	} else {
		c.mu.Lock()
		c.idle[addr] = append(c.idle[addr], conn)
		c.mu.Unlock()
	}
	a.endedAt = c.rec.add("answer id=%s %s %s", a.id, a.text, a.value)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

func format(id string, r request) string {
	params := fmt.Sprintf("c=%s,t=%s,d=%d", r.class, r.plan, r.timeout.Milliseconds())
	if r.key != "" {
		params += ",k=" + r.key
	}
	params += fmt.Sprintf(",units=%d,spread=%d,first=0", max(r.units, 1), max(r.gateways, 1))
	customer := fmt.Sprintf("%016x", r.customer)
	if r.submit {
		return fakes.FormatCommand("SVC.SUBMIT", customer, id, params, "BODY")
	}
	return fakes.FormatCommand("SVC.QUERY", customer, id, params)
}

func readAnswer(conn net.Conn, a *answer) error { return readAnswerFrom(bufio.NewReader(conn), a) }

func readAnswerFrom(reader *bufio.Reader, a *answer) error {
	line, err := reader.ReadString('\n')
	if err != nil {
		return err
	}
	a.text = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "$") {
		return nil
	}
	size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || size < 0 {
		return err
	}
	value := make([]byte, size+2)
	if _, err := io.ReadFull(reader, value); err != nil {
		return err
	}
	a.served = true
	a.value = string(value[:size])
	return nil
}

func (c *clients) conn(addr string) (net.Conn, error) {
	c.mu.Lock()
	conns := c.idle[addr]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.idle[addr] = conns
		if alive(conn) {
			c.mu.Unlock()
			return conn, nil
		}
		_ = conn.Close()
	}
	c.mu.Unlock()
	return net.DialTimeout("tcp", addr, time.Second)
}

// alive reports whether a resting connection was not closed by the gateway.
func alive(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := conn.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// load sends requests at a rate until stop is closed.
func (c *clients) load(stop <-chan struct{}, addr string, perSecond float64, draw func(n int) request) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				r := draw(n)
				c.pending.Add(1)
				go func() {
					defer c.pending.Done()
					c.send(addr, r)
				}()
			}
		}
	}()
}
