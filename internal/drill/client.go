package drill

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

	"harrierhoist/internal/standin"
)

// answerSlack is what a client waits beyond its patience: half a second is what the operators' page counts as not lost,
// and as much again is for a machine busy with other tests.
const answerSlack = time.Second

// Task is what a client asks for.
type Task struct {
	Lane, Plan string
	Customer   uint64
	Units      int
	Patience   time.Duration
}

// Clients send tasks to gateways, whether answers come or not, and write down how each ended.
type Clients struct {
	ledger *Ledger
	next   atomic.Uint64
	tasks  sync.WaitGroup

	mu   sync.Mutex
	idle map[string][]net.Conn // by gateway's address
	owes func(addr string, from time.Time) bool
}

// NewClients makes clients; owes tells whether the gateway at an address was awake and alive since a time: others owe
// no answer in time.
func NewClients(ledger *Ledger, owes func(addr string, from time.Time) bool) *Clients {
	return &Clients{ledger: ledger, idle: map[string][]net.Conn{}, owes: owes}
}

// Offer sends tasks to one gateway at a rate, each by itself, until the context ends. Draw gives each task; the seed
// makes its chance. Wait waits for the answers.
func (c *Clients) Offer(ctx context.Context, addr string, rate float64, seed uint64, draw func(*rand.Rand) Task) {
	chance := rand.New(rand.NewPCG(seed, 1))
	c.tasks.Go(func() {
		due := time.Now()
		for {
			due = due.Add(time.Duration(chance.ExpFloat64() / rate * float64(time.Second)))
			t := time.NewTimer(time.Until(due))
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
			task := draw(chance)
			c.tasks.Go(func() { c.Ask(addr, task) })
		}
	})
}

// Wait waits until every task has ended.
func (c *Clients) Wait() { c.tasks.Wait() }

// Ask sends one task and waits for how it ends.
func (c *Clients) Ask(addr string, t Task) Final {
	id := fmt.Sprintf("%016x", c.next.Add(1))
	began := time.Now()
	how := c.ask(addr, id, t, began)
	if how == Lost && !c.owes(addr, began) {
		how = Broken
	}
	c.ledger.Ended(id, how)
	return how
}

func (c *Clients) ask(addr, id string, t Task, began time.Time) Final {
	conn, err := c.take(addr)
	if err != nil {
		return Broken
	}
	_ = conn.SetDeadline(began.Add(t.Patience + answerSlack))
	words := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d", t.Lane, t.Plan, t.Patience.Milliseconds(), t.Units)
	text := standin.Command("SVC.QUERY", fmt.Sprintf("%016x", t.Customer), id, words)
	if t.Lane != "look" {
		text = standin.Command("SVC.SUBMIT", fmt.Sprintf("%016x", t.Customer), id, words, "body")
	}
	if _, err = io.WriteString(conn, text); err != nil {
		_ = conn.Close()
		return Broken
	}
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	switch {
	case err != nil:
		_ = conn.Close()
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return Lost
		}
		return Broken
	case strings.HasPrefix(line, "$"):
		if _, err = in.ReadString('\n'); err != nil {
			_ = conn.Close()
			return Broken
		}
		c.give(addr, conn)
		return Honoured
	case strings.HasPrefix(line, "-BUSY"):
		c.give(addr, conn)
		return Rejected
	}
	c.give(addr, conn)
	return Terminated
}

func (c *Clients) take(addr string) (net.Conn, error) {
	c.mu.Lock()
	all := c.idle[addr]
	if n := len(all); n > 0 {
		conn := all[n-1]
		c.idle[addr] = all[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return net.DialTimeout("tcp", addr, answerSlack)
}

// give keeps a connection for another task.
func (c *Clients) give(addr string, conn net.Conn) {
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
