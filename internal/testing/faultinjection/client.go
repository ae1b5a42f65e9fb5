package faultinjection

import (
	"bufio"
	"context"
	"errors"
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

// answerGrace is what a client waits beyond its timeout: by the operators' page an answer half a
// second late is not lost, and as much again is for a machine that is busy with other tests.
const answerGrace = time.Second

// Request is what a client asks for.
type Request struct {
	Class, Plan string
	Customer    uint64
	Units       int
	Timeout     time.Duration
}

// Clients send requests to gateways at a rate that does not depend on answers, and record how each
// ended.
type Clients struct {
	recorder   *Recorder
	mustAnswer func(addr string, since time.Time) bool
	lastID     atomic.Uint64
	pending    sync.WaitGroup // loads and requests

	mu   sync.Mutex
	idle map[string][]net.Conn // by gateway's address
}

// NewClients makes clients. MustAnswer reports whether the gateway at an address has been running
// since a time: others need not answer in time.
func NewClients(recorder *Recorder, mustAnswer func(addr string, since time.Time) bool) *Clients {
	return &Clients{recorder: recorder, mustAnswer: mustAnswer, idle: map[string][]net.Conn{}}
}

// OfferLoad sends requests to one gateway at a rate per second until the context ends. Draw returns
// each request, from random numbers of the seed. Wait waits for the answers.
func (c *Clients) OfferLoad(
	ctx context.Context, addr string, rate float64, seed uint64, draw func(*rand.Rand) Request,
) {
	random := rand.New(rand.NewPCG(seed, 1))
	c.pending.Go(func() {
		due := time.Now()
		for {
			due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			timer := time.NewTimer(time.Until(due))
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			request := draw(random)
			c.pending.Go(func() { c.Send(addr, request) })
		}
	})
}

// Wait waits until all loads and requests have ended.
func (c *Clients) Wait() { c.pending.Wait() }

// Send sends one request, and waits for its result.
func (c *Clients) Send(addr string, request Request) Result {
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	startedAt := time.Now()
	result := c.exchange(addr, id, request, startedAt.Add(request.Timeout+answerGrace))
	if result == Unanswered && !c.mustAnswer(addr, startedAt) {
		result = Disconnected
	}
	c.recorder.RecordResult(id, result)
	return result
}

// exchange sends a request on an idle connection or a new one, and keeps it if there was an answer.
func (c *Clients) exchange(addr, id string, request Request, deadline time.Time) Result {
	conn, err := c.acquireConn(addr)
	if err != nil {
		return Disconnected
	}
	result := exchangeOn(conn, id, request, deadline)
	if result == Disconnected || result == Unanswered {
		_ = conn.Close() // it is of no more use
	} else {
		c.releaseConn(addr, conn)
	}
	return result
}

// exchangeOn sends a request and reads its answer.
func exchangeOn(conn net.Conn, id string, request Request, deadline time.Time) Result {
	if conn.SetDeadline(deadline) != nil {
		return Disconnected
	}
	if _, err := io.WriteString(conn, formatRequest(id, request)); err != nil {
		return Disconnected
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	var netError net.Error
	switch {
	case errors.As(err, &netError) && netError.Timeout():
		return Unanswered
	case err != nil:
		return Disconnected
	case strings.HasPrefix(line, "$"):
		if _, err := reader.ReadString('\n'); err != nil { // the value
			return Disconnected
		}
		return Served
	case strings.HasPrefix(line, "-BUSY"):
		return Rejected
	}
	return Terminated
}

func formatRequest(id string, request Request) string {
	customer := fmt.Sprintf("%016x", request.Customer)
	attributes := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d", request.Class, request.Plan, request.Timeout.Milliseconds(),
		request.Units)
	if request.Class == IdempotentClass {
		return fakes.FormatCommand("SVC.QUERY", customer, id, attributes)
	}
	return fakes.FormatCommand("SVC.SUBMIT", customer, id, attributes, "body")
}

func (c *Clients) acquireConn(addr string) (net.Conn, error) {
	if conn := c.takeIdle(addr); conn != nil {
		return conn, nil
	}
	return net.DialTimeout("tcp", addr, answerGrace)
}

// takeIdle returns the connection released last, nil if there is none.
func (c *Clients) takeIdle(addr string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c.idle[addr] = conns[:last]
	return conns[last]
}

// releaseConn keeps a connection for another request.
func (c *Clients) releaseConn(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[addr] = append(c.idle[addr], conn)
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idle {
		for _, conn := range conns {
			_ = conn.Close() // the gateway may have gone
		}
	}
	clear(c.idle)
}
