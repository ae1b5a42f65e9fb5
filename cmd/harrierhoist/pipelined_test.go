package main

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// pipelinedCase is a client that writes many requests around SIGTERM without waiting for answers.
type pipelinedCase struct {
	name             string
	sentAt           time.Duration // after SIGTERM
	requests         int
	isSentSingly     bool
	isNew            bool // it connects only then
	deadline, killAt time.Duration
	command          func(list string) string
}

// Each request that has come whole before the gateway ends the connection gets its answer, in
// order, and the connection then ends without a reset, before SIGKILL comes at its earliest.
func TestTerminate_pipelinedRequestsAreAnswered(t *testing.T) {
	const long, killAfterLong = 4800 * time.Millisecond, 3700 * time.Millisecond
	const short, killAfterShort = 400 * time.Millisecond, 1100 * time.Millisecond
	submit := func(list string) string {
		return fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(),
			strings.Replace(list, "c=look", "c=pay", 1),
			strings.Repeat("b", 2000))
	}
	for _, row := range []pipelinedCase{
		{"in one piece before", -60 * time.Millisecond, 48, false, false, long, killAfterLong, queryCommand},
		{"in one piece at once", 0, 48, false, false, long, killAfterLong, queryCommand},
		{"in one piece after", 300 * time.Millisecond, 48, false, false, long, killAfterLong, queryCommand},
		{"singly", 0, 90, true, false, long, killAfterLong, queryCommand},
		{"on a new connection", 350 * time.Millisecond, 48, false, true, long, killAfterLong, queryCommand},
		{"submits with bodies", 0, 48, false, false, long, killAfterLong, submit},
		{"submits after", 300 * time.Millisecond, 48, true, false, long, killAfterLong, submit},
		{"short deadlines", 300 * time.Millisecond, 48, false, false, short, killAfterShort, queryCommand},
		{"short deadlines, submits", 0, 90, true, false, short, killAfterShort, submit},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			row.play(t)
		})
	}
}

func (p pipelinedCase) play(t *testing.T) {
	t.Helper()
	gateway := startGateway(t, 1024, func([]string) string {
		time.Sleep(250 * time.Millisecond)
		return fakes.FormatValue("hello", 1)
	})
	gateway.reload(strings.ReplaceAll(gateway.configuration(), `"DeadlineMs":9000`,
		`"DeadlineMs":`+milliseconds(p.deadline)), "gateway: configuration reloaded")
	var c *client
	if !p.isNew {
		c = gateway.connect()
		c.query(queryListWith(p.deadline), "hello")
	}
	if p.sentAt < 0 {
		p.send(t, c)
		time.Sleep(-p.sentAt)
	}
	gateway.signal(syscall.SIGTERM)
	sigkill := gateway.killAfter(p.killAt)
	if p.sentAt >= 0 {
		time.Sleep(p.sentAt)
		if p.isNew {
			c = gateway.connect()
		}
		p.send(t, c)
	}
	reader := continuousClient{client: c}
	for range p.requests {
		if err := reader.readWholeAnswer(); err != nil && !strings.HasPrefix(err.Error(), "-") {
			t.Fatalf("%d of %d requests were answered, then %v", reader.answered, p.requests, err)
		}
		reader.answered++
	}
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
	_ = c.Close()
	sigkill.wantEndBefore()
}

// scheduledKill is a SIGKILL that is due at its earliest.
type scheduledKill struct {
	gateway *gatewayUnderTest
	timer   *time.Timer
	dueAt   time.Time
}

// killAfter schedules a SIGKILL.
func (g *gatewayUnderTest) killAfter(delay time.Duration) scheduledKill {
	g.Helper()
	timer := time.AfterFunc(delay, func() { _ = g.process.Process.Kill() })
	g.Cleanup(func() { timer.Stop() })
	return scheduledKill{g, timer, time.Now().Add(delay)}
}

// wantEndBefore checks that the process ends by itself before the SIGKILL. Built with the race
// detector it sleeps for a second more at its end: there it has to be done with all clients by
// then, which its log tells.
func (k scheduledKill) wantEndBefore() {
	k.gateway.Helper()
	fakes.Eventually(k.gateway, "the gateway stopping",
		func() bool { return k.gateway.log.Count("gateway: stopped") > 0 })
	if late := time.Since(k.dueAt); late > 0 || !k.timer.Stop() {
		k.gateway.Errorf("stopped %v after SIGKILL was due", late)
	}
	k.gateway.waitForCleanExit()
}

// send writes all requests.
func (p pipelinedCase) send(t *testing.T, c *client) {
	t.Helper()
	all := ""
	for range p.requests {
		command := p.command(queryListWith(p.deadline))
		if p.isSentSingly {
			c.send(command)
		} else {
			all += command
		}
	}
	c.send(all)
}
