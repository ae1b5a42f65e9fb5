package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// soakClient sends requests on one connection after the other: singly, in batches, or leaving
// before the answer.
type soakClient struct {
	*soak
	gateway *soakGateway
	random  *rand.Rand
	kind    soakKind
}

// soakKind is how a client of the soak behaves. Clients have them in turn.
type soakKind int

const (
	sendsSingly soakKind = iota
	sendsSinglyToo
	sendsBatches
	leavesEarly // before the answer, now and then
	repeatsIDs  // leaves before the answer and sends the request again
	soakKinds
)

// run goes on until the gateway has been asked to end, and its connection is closed.
func (c *soakClient) run() {
	for {
		conn, err := net.Dial("tcp", c.gateway.addr)
		switch {
		case err == nil && c.kind == repeatsIDs:
			c.repeatID(conn)
		case err == nil:
			reader := continuousClient{client: &client{Conn: conn, in: bufio.NewReader(conn)}}
			for !reader.isEnded() && c.sendBatch(conn, reader.in) {
				time.Sleep(time.Duration(c.random.IntN(50)) * time.Millisecond)
			}
			_ = conn.Close()
		}
		if c.gateway.termAt.Load() != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// sendBatch sends requests and reads their answers. It returns false once the connection is of no
// more use.
func (c *soakClient) sendBatch(conn net.Conn, in *bufio.Reader) bool {
	count, text := 1, ""
	if c.kind == sendsBatches {
		count += c.random.IntN(longestBatch)
	}
	batch := make([]*soakRequest, count)
	for i := range batch {
		batch[i] = c.newRequest()
		text += batch[i].command()
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return false // not written whole
	}
	previous := time.Now()
	_ = conn.SetReadDeadline(previous.Add(c.longest + 5*time.Second))
	isLeaving := c.kind == leavesEarly && c.random.IntN(3) == 0
	if isLeaving {
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
		_ = conn.Close()
	}
	var end error
	for _, request := range batch {
		request.sentAt = previous
		if isLeaving {
			request.leftAt = time.Now()
		}
	}
	for i, request := range batch {
		if i > 0 {
			request.sentAt, request.turnAt = batch[0].sentAt, batch[i-1].answeredAt
		}
		if end == nil && !isLeaving {
			request.answer, end = readSoakAnswer(in)
		}
		if end == nil && !isLeaving {
			request.answeredAt = time.Now()
		}
		c.enter(request, end)
	}
	return end == nil && !isLeaving
}

// enter puts a request into the ledger once nothing more happens to it.
func (c *soakClient) enter(request *soakRequest, end error) {
	request.end, request.endedAt = end, time.Now()
	if at := c.gateway.termAt.Load(); at != nil {
		request.termAt = *at
	}
	if at := c.gateway.killAt.Load(); at != nil && end != nil {
		request.killAt = *at
	}
	c.ledger.addRequest(request)
}

func (c *soakClient) newRequest() *soakRequest {
	verb := []string{"SVC.QUERY", "SVC.SUBMIT"}[c.random.IntN(2)]
	deadline := min(c.longest, time.Duration(100+c.random.IntN(9000))*time.Millisecond)
	return &soakRequest{id: nextRequestID(), verb: verb, deadline: deadline}
}

// command is the request as it is sent; submits are not idempotent.
func (r *soakRequest) command() string {
	if r.verb == "SVC.QUERY" {
		return fakes.FormatCommand(r.verb, "00000000b4d65521", r.id, queryListWith(r.deadline))
	}
	return fakes.FormatCommand(r.verb, "00000000b4d65521", r.id, "c=pay,t=wide,d="+milliseconds(r.deadline), "body")
}

// readSoakAnswer reads an answer and returns its first line.
func readSoakAnswer(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "$") {
		_, err = in.ReadString('\n') // values are of one line
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("no answer and no end: %w", err)
	}
	return line, err
}
