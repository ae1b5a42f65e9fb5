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

// execute does what the clients of a process, its servers and the other gateways do in a action,
// and waits for the first event that follows.
func (p *processTarget) execute(todo action) {
	p.t.Helper()
	switch todo.verb {
	case actionRequest:
		p.sendRequest(todo)
	case actionAnswer:
		p.await(fmt.Sprintf("attempt %d", todo.request), 0)
		p.answerChannel(todo.request) <- todo.units
		p.await(fmt.Sprintf("answered %d", todo.request), 0)
	case actionOthers:
		p.chargeAsOthers(todo.units)
	case actionCounter:
		p.silenceCounter(todo.argument == counterSilent)
	case actionWait:
		time.Sleep(todo.duration)
	case actionEdge:
		time.Sleep(p.windows.untilNext(wallClock()) + clockMargin)
	case actionMarker:
		p.events.add("marker " + todo.argument)
	case actionConnections:
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

// sendRequest sends a request from a client of its own and waits for its first event: with a silent
// counter the call, else the attempt or the final answer.
func (p *processTarget) sendRequest(todo action) {
	p.t.Helper()
	customer := todo.customer
	if customer == 0 {
		customer = p.windows.customer
	}
	c := classes[todo.class]
	arguments := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=0", c.name, p.plan, c.timeout.Milliseconds(),
		todo.units, p.gatewayCount)
	command := fakes.FormatCommand("SVC.QUERY", fmt.Sprintf("%016x", customer), fmt.Sprintf("%016x", todo.request),
		arguments)
	before := len(p.events.since(0))
	go func() { p.events.add(fmt.Sprintf("%s %d", answerEvent(p.sendCommand(command)), todo.request)) }()
	if p.releaseCounter != nil {
		p.await("count * *", before)
		return
	}
	p.await(fmt.Sprintf("* %d", todo.request), before)
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

// sendCommand sends a command on a connection of its own and returns the first line of the answer;
// "" if there is none.
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

// chargeAsOthers charges the case's customer as another gateway would.
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
