package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// request is a request of a client, with what became of it.
type request struct {
	id       string
	deadline time.Duration // d of the request
	firstAt  time.Time     // when its first piece was written
	sentAt   time.Time     // when its last byte was written
	answer   string
	answerAt time.Time // zero: no answer
	ended    error     // what ended the connection before an answer
	endedAt  time.Time
}

var requestNumber atomic.Uint64

// newRequest returns a request, and its words. Its customer is one of a few hundred.
func newRequest(class, plan string, deadline time.Duration, units int) (*request, []string) {
	n := requestNumber.Add(1)
	r := &request{id: fmt.Sprintf("%016x", 0x9b1f03aa00000000+n), deadline: deadline}
	parameters := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=%d,first=0", class, plan, deadline.Milliseconds(), units,
		gateways)
	return r, []string{"SVC.QUERY", fmt.Sprintf("%016x", 0xb4d60000+n%400), r.id, parameters}
}

// client is a client's connection. Answers come in the order of the requests.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	rec    *record
	all    sync.WaitGroup // counts the requests that wait for their answer

	mu      sync.Mutex
	waiting []*request
	reading bool
}

func dial(address string, rec *record) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn), rec: rec}, nil
}

// send writes a request in pieces, with a pause before each but the first.
func (c *client) send(r *request, words []string, pieces int, pause time.Duration) error {
	text := encode(words...)
	for i := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := c.conn.Write(text[i*len(text)/pieces : (i+1)*len(text)/pieces]); err != nil {
			c.rec.now("unsent   %s, its last byte was not written: %v", r.id, err)
			return err
		}
		if i == 0 {
			r.firstAt = time.Now()
		}
	}
	r.sentAt = time.Now()
	c.rec.at(r.sentAt, "sent     %s, d=%d", r.id, r.deadline.Milliseconds())
	c.expect(r)
	return nil
}

// expect has the answer of a request read behind those of earlier ones.
func (c *client) expect(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all.Add(1)
	c.waiting = append(c.waiting, r)
	if !c.reading {
		c.reading = true
		go c.read()
	}
}

func (c *client) read() {
	for {
		c.mu.Lock()
		if len(c.waiting) == 0 {
			c.reading = false
			c.mu.Unlock()
			return
		}
		r := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.mu.Unlock()
		answer, err := readAnswer(c.reader)
		if err != nil {
			r.ended = err
			r.endedAt = time.Now()
			c.rec.now("ended    %s without an answer: %v", r.id, err)
		} else {
			r.answer = answer
			r.answerAt = time.Now()
			c.rec.at(r.answerAt, "answered %s: %s", r.id, answer)
		}
		c.all.Done()
	}
}

// await waits until all requests have an answer or their connection has ended, or until a limit.
func (c *client) await(limit time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	c.all.Wait()
	_ = c.conn.SetReadDeadline(time.Time{})
}

// ask sends a request at once and waits for its answer.
func (c *client) ask(r *request, words []string) {
	if c.send(r, words, 1, 0) == nil {
		c.await(r.deadline + 2*time.Second)
	}
}

// drainAnswers reads what comes for a time and then closes the connection.
func (c *client) drainAnswers(span time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(span))
	_, _ = io.Copy(io.Discard, c.conn)
	_ = c.conn.Close()
}
