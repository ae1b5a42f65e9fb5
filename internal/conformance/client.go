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

func (p *process) do(s step) {
	p.t.Helper()
	switch s.verb {
	case "task":
		p.send(s)
	case "answer":
		p.await(fmt.Sprintf("push %d", s.task), 0)
		p.answer(s.task) <- s.units
		p.await(fmt.Sprintf("answered %d", s.task), 0)
	case "others":
		p.others(s.units)
	case "counter":
		if p.letGo != nil {
			p.letGo()
			p.letGo = nil
		}
		if s.word == "silent" {
			p.letGo = sync.OnceFunc(p.counter.Hold())
			p.t.Cleanup(p.letGo)
		}
	case "wait":
		time.Sleep(s.span)
	case "edge":
		time.Sleep(p.windows.edge(clock()) + beyond)
	case "mark":
		p.seen.add("mark " + s.word)
	case "talks":
		p.talks()
	}
}

// send sends a task from a client of its own and waits for what comes of it first: with a silent counter its call,
// else its push or its final answer.
func (p *process) send(s step) {
	p.t.Helper()
	who := s.customer
	if who == 0 {
		who = p.windows.customer
	}
	l := lanes[s.lane]
	list := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=0", l.name, p.plan, l.patience.Milliseconds(),
		s.units, p.width)
	before := len(p.seen.from(0))
	go func() {
		line := p.ask(fakes.FormatCommand("SVC.QUERY", fmt.Sprintf("%016x", who), fmt.Sprintf("%016x", s.task), list))
		how := "no answer"
		switch {
		case strings.HasPrefix(line, "$"):
			how = "answered"
		case strings.HasPrefix(line, "-BUSY"):
			how = "rejected"
		case strings.HasPrefix(line, "-ERR"):
			how = "terminated"
		}
		p.seen.add(fmt.Sprintf("%s %d", how, s.task))
	}()
	if p.letGo != nil {
		p.await("count * *", before)
		return
	}
	p.await(fmt.Sprintf("* %d", s.task), before)
}

// ask sends a command on a connection of its own and gives the first line of the answer; "" where none comes.
func (p *process) ask(command string) string {
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * lanes[1].patience))
	if _, err := io.WriteString(c, command); err != nil {
		return ""
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

// others charges the row's customer as another gateway would.
func (p *process) others(units float64) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.counter.Addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	name := p.windows.name(p.windows.number(clock()))
	_, _ = fmt.Fprintf(c, "incr %d %g %s\r\n", name, units, othersKey)
	if line, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "ok ") {
		p.t.Fatalf("the counter says %q, %v", line, err)
	}
}

// await waits until a pattern was seen after the first n.
func (p *process) await(pattern string, n int) {
	p.t.Helper()
	p.until(func(lines [][]string) bool {
		for _, l := range lines[n:] {
			if fits(l, pattern) {
				return true
			}
		}
		return false
	})
}

func (p *process) until(enough func([][]string) bool) {
	wait := soonest
	if os.Getenv(overlayAt) != "" {
		wait = changedWait
	}
	for end := time.Now().Add(wait); !enough(p.seen.from(0)) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// settled waits until what was seen is enough, and then until nothing more is.
func (p *process) settled(enough func([][]string) bool) *seen {
	p.until(enough)
	for n := -1; n != len(p.seen.from(0)); time.Sleep(quiet) {
		n = len(p.seen.from(0))
	}
	return &p.seen
}
