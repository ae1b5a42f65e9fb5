package faultinjection

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// answerGrace is what a client waits beyond its patience: half a second is what the operators' page counts as not lost,
// and as much again is for a machine busy with other tests.
const answerGrace = time.Second

// Request is what a client asks for.
type Request struct {
	Class, Plan string
	Customer    uint64
	Units       int
	Timeout     time.Duration
}

// Clients send tasks to gateways, whether answers come or not, and write down how each ended.
type Clients struct {
	recorder *Recorder
	lastID   atomic.Uint64
	pending  sync.WaitGroup

	mu         sync.Mutex
	idle       map[string][]net.Conn // by gateway's address
	mustAnswer func(addr string, from time.Time) bool
}

// NewClients makes clients; owes tells whether the gateway at an address was awake and alive since a time: others owe
// no answer in time.
func NewClients(recorder *Recorder, mustAnswer func(addr string, from time.Time) bool) *Clients {
	return &Clients{recorder: recorder, idle: map[string][]net.Conn{}, mustAnswer: mustAnswer}
}

// OfferLoad sends tasks to one gateway at a rate, each by itself, until the context ends. Draw gives each task; the seed
// makes its chance. Wait waits for the answers.
func (c *Clients) OfferLoad(ctx context.Context, addr string, rate float64, seed uint64, draw func(*rand.Rand) Request) {
	random := rand.New(rand.NewPCG(seed, 1))
	c.pending.Go(func() {
		due := time.Now()
		for {
			due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			t := time.NewTimer(time.Until(due))
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
			request := draw(random)
			c.pending.Go(func() { c.Send(addr, request) })
		}
	})
}

// Wait waits until every task has ended.
func (c *Clients) Wait() { c.pending.Wait() }

// Send sends one task and waits for how it ends.
func (c *Clients) Send(addr string, request Request) Result {
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	began := time.Now()
	result := c.exchange(addr, id, request, began)
	if result == Unanswered && !c.mustAnswer(addr, began) {
		result = Disconnected
	}
	c.recorder.RecordResult(id, result)
	return result
}

func (c *Clients) exchange(addr, id string, request Request, began time.Time) Result {
	conn, err := c.acquireConn(addr)
	if err != nil {
		return Disconnected
	}
	_ = conn.SetDeadline(began.Add(request.Timeout + answerGrace))
	phrase := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d", request.Class, request.Plan, request.Timeout.Milliseconds(), request.Units)
	text := fakes.FormatCommand("SVC.QUERY", fmt.Sprintf("%016x", request.Customer), id, phrase)
	if request.Class != "look" {
		text = fakes.FormatCommand("SVC.SUBMIT", fmt.Sprintf("%016x", request.Customer), id, phrase, "body")
	}
	if _, err = io.WriteString(conn, text); err != nil {
		_ = conn.Close()
		return Disconnected
	}
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	switch {
	case err != nil:
		_ = conn.Close()
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return Unanswered
		}
		return Disconnected
	case strings.HasPrefix(line, "$"):
		if _, err = in.ReadString('\n'); err != nil {
			_ = conn.Close()
			return Disconnected
		}
		c.releaseConn(addr, conn)
		return Served
	case strings.HasPrefix(line, "-BUSY"):
		c.releaseConn(addr, conn)
		return Rejected
	}
	c.releaseConn(addr, conn)
	return Terminated
}

func (c *Clients) acquireConn(addr string) (net.Conn, error) {
	c.mu.Lock()
	all := c.idle[addr]
	if n := len(all); n > 0 {
		conn := all[n-1]
		c.idle[addr] = all[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return net.DialTimeout("tcp", addr, answerGrace)
}

// releaseConn keeps a connection for another task.
func (c *Clients) releaseConn(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[addr] = append(c.idle[addr], conn)
}

// Close closes what is idle.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, all := range c.idle {
		for _, conn := range all {
			_ = conn.Close()
		}
	}
	clear(c.idle)
}
