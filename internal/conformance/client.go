package conformance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// execute does what the clients of a process, its servers and the other gateways do in a step, and waits for the first
// event that follows.
func (p *processTarget) execute(s step) {
	p.t.Helper()
	switch s.verb {
	case stepRequest:
		p.sendRequest(s)
	case stepAnswer:
		p.await(fmt.Sprintf("attempt %d", s.request), 0)
		p.answerChannel(s.request) <- s.units
		p.await(fmt.Sprintf("answered %d", s.request), 0)
	case stepOthers:
		p.chargeAsOthers(s.units)
	case stepCounter:
		p.silenceCounter(s.argument == counterSilent)
	case stepWait:
		time.Sleep(s.duration)
	case stepEdge:
		time.Sleep(p.windows.untilNext(wallClock()) + clockMargin)
	case stepMark:
		p.events.add("mark " + s.argument)
	case stepConnections:
		p.recordConnections()
	}
}

// silenceCounter has the counter answer no calls, or answer all again.
func (p *processTarget) silenceCounter(silent bool) {
	if p.releaseCounter != nil {
		p.releaseCounter()
		p.releaseCounter = nil
	}
	if silent {
		p.releaseCounter = sync.OnceFunc(p.counter.Hold())
		p.t.Cleanup(p.releaseCounter)
	}
}

// sendRequest sends a request from a client of its own and waits for its first event: with a silent counter the call,
// else the attempt or the final answer.
func (p *processTarget) sendRequest(s step) {
	p.t.Helper()
	customer := s.customer
	if customer == 0 {
		customer = p.windows.customer
	}
	c := classes[s.class]
	arguments := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=0", c.name, p.plan, c.timeout.Milliseconds(),
		s.units, p.gatewayCount)
	command := fakes.FormatCommand("SVC.QUERY", fmt.Sprintf("%016x", customer), fmt.Sprintf("%016x", s.request), arguments)
	before := len(p.events.since(0))
	go func() { p.events.add(fmt.Sprintf("%s %d", answerEvent(p.sendCommand(command)), s.request)) }()
	if p.releaseCounter != nil {
		p.await("count * *", before)
		return
	}
	p.await(fmt.Sprintf("* %d", s.request), before)
}

// answerEvent names the event of an answer, by its first line.
func answerEvent(line string) string {
	switch {
	case strings.HasPrefix(line, "$"):
		return "answered"
	case strings.HasPrefix(line, "-BUSY"):
		return "rejected"
	case strings.HasPrefix(line, "-ERR"):
		return "terminated"
	}
	return "no answer"
}

// sendCommand sends a command on a connection of its own and returns the first line of the answer; "" if there is none.
func (p *processTarget) sendCommand(command string) string {
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }() // it was only for this answer
	if err := conn.SetDeadline(time.Now().Add(2 * classes[1].timeout)); err != nil {
		return ""
	}
	if _, err := io.WriteString(conn, command); err != nil {
		return ""
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimSpace(line)
}

// chargeAsOthers charges the row's customer as another gateway would.
func (p *processTarget) chargeAsOthers(units float64) {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.counter.Addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // it was only for this call
	name := p.windows.counterName(p.windows.index(wallClock()))
	if _, err := fmt.Fprintf(conn, "incr %d %g %s\r\n", name, units, otherGatewaysTTL); err != nil {
		p.t.Fatal(err)
	}
	if line, err := bufio.NewReader(conn).ReadString('\n'); !strings.HasPrefix(line, "ok ") {
		p.t.Fatalf("the counter answered %q, %v", line, err)
	}
}
