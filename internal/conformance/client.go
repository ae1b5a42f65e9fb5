package conformance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// This file is what the clients of a process, and the other gateways at its counter, do and wait for.

func (p *processTarget) execute(s step) {
	p.t.Helper()
	switch s.verb {
	case "task":
		p.sendRequest(s)
	case "answer":
		p.await(fmt.Sprintf("push %d", s.request), 0)
		p.answerChannel(s.request) <- s.units
		p.await(fmt.Sprintf("answered %d", s.request), 0)
	case "others":
		p.chargeAsOthers(s.units)
	case "counter":
		if p.releaseCounter != nil {
			p.releaseCounter()
			p.releaseCounter = nil
		}
		if s.argument == "silent" {
			p.releaseCounter = sync.OnceFunc(p.counter.Hold())
			p.t.Cleanup(p.releaseCounter)
		}
	case "wait":
		time.Sleep(s.duration)
	case "edge":
		time.Sleep(p.windows.untilNext(wallClock()) + clockMargin)
	case "mark":
		p.events.add("mark " + s.argument)
	case "talks":
		p.recordConnections()
	}
}

// send sends a task from a client of its own and waits for what comes of it first: with a silent counter its call,
// else its push or its final answer.
func (p *processTarget) sendRequest(s step) {
	p.t.Helper()
	who := s.customer
	if who == 0 {
		who = p.windows.customer
	}
	l := classes[s.class]
	list := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=0", l.name, p.plan, l.timeout.Milliseconds(),
		s.units, p.gatewayCount)
	before := len(p.events.since(0))
	go func() {
		line := p.sendCommand(fakes.FormatCommand("SVC.QUERY", fmt.Sprintf("%016x", who), fmt.Sprintf("%016x", s.request), list))
		how := "no answer"
		switch {
		case strings.HasPrefix(line, "$"):
			how = "answered"
		case strings.HasPrefix(line, "-BUSY"):
			how = "rejected"
		case strings.HasPrefix(line, "-ERR"):
			how = "terminated"
		}
		p.events.add(fmt.Sprintf("%s %d", how, s.request))
	}()
	if p.releaseCounter != nil {
		p.await("count * *", before)
		return
	}
	p.await(fmt.Sprintf("* %d", s.request), before)
}

// ask sends a command on a connection of its own and gives the first line of the answer; "" where none comes.
func (p *processTarget) sendCommand(command string) string {
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * classes[1].timeout))
	if _, err := io.WriteString(c, command); err != nil {
		return ""
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

// others charges the row's customer as another gateway would.
func (p *processTarget) chargeAsOthers(units float64) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.counter.Addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	name := p.windows.counterName(p.windows.index(wallClock()))
	_, _ = fmt.Fprintf(c, "incr %d %g %s\r\n", name, units, otherGatewaysTTL)
	if line, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "ok ") {
		p.t.Fatalf("the counter says %q, %v", line, err)
	}
}

// await waits until a pattern was seen after the first n.
func (p *processTarget) await(pattern string, n int) {
	p.t.Helper()
	p.waitUntil(func(lines [][]string) bool {
		for _, l := range lines[n:] {
			if matches(l, pattern) {
				return true
			}
		}
		return false
	})
}

func (p *processTarget) waitUntil(enough func([][]string) bool) {
	wait := eventTimeout
	if os.Getenv(overlayVariable) != "" {
		wait = changedEventTimeout
	}
	for end := time.Now().Add(wait); !enough(p.events.since(0)) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// settled waits until what was seen is enough, and then until nothing more is.
func (p *processTarget) awaitEvents(enough func([][]string) bool) *eventLog {
	p.waitUntil(enough)
	for n := -1; n != len(p.events.since(0)); time.Sleep(quietPeriod) {
		n = len(p.events.since(0))
	}
	return &p.events
}
