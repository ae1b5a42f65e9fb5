package main

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Requests that hang at a server past SIGKILL are in hand at SIGTERM, as many as a connection may
// have. Those that arrive behind them after 0.7 s get their answers before SIGKILL all the same,
// and so those before them.
func TestTerminate_lateRequestsBehindHangingOnesAreAnswered(t *testing.T) {
	t.Parallel()
	for name, command := range map[string]func() string{
		"queries": func() string { return queryCommand(longQueryList) },
		"submits": func() string { return strings.Replace(submitCommand("b"), "d=5000", "d=9000", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const inHand, late = 16, 40
			gateway := startGateway(t, 1024, func([]string) string { return "" })
			c := gateway.connect()
			for range inHand {
				c.send(command())
			}
			gateway.server.NextCommand(t)
			time.Sleep(300 * time.Millisecond) // more follow, as many as the gateway lets one server have
			gateway.terminate()
			sigkill := gateway.killAfter(3700 * time.Millisecond)
			time.Sleep(time.Second)
			attempts := gateway.server.PendingCommands()
			for range late {
				c.send(command())
			}
			wantAnswersThenEnd(t, c, inHand+late, late)
			_ = c.Close()
			sigkill.wantEndBefore()
			if n := gateway.server.PendingCommands(); n > attempts && name == "submits" { // queries are retried
				t.Errorf("%d attempts of late requests", n-attempts)
			}
		})
	}
}

// wantAnswersThenEnd reads so many answers, of which so many at least are rejections, and then the
// end of the connection.
func wantAnswersThenEnd(t *testing.T, c *client, answers, rejections int) {
	t.Helper()
	reader := continuousClient{client: c}
	for range answers {
		if err := reader.readWholeAnswer(); err != nil && !strings.HasPrefix(err.Error(), "-") {
			t.Fatalf("%d answers, then %v", reader.answered, err)
		}
		reader.answered++
	}
	if reader.rejected < rejections {
		t.Errorf("%d of %d late requests were rejected", reader.rejected, rejections)
	}
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
}

// A client saw a reset in place of its answer: a request in hand at SIGTERM has a deadline past
// SIGKILL, and nothing follows it on its connection. It is answered as failed, also where the process
// is paused as SIGTERM comes, as SIGKILL counts from the signal.
func TestTerminate_requestWithDeadlinePastSigkillIsAnswered(t *testing.T) {
	t.Parallel()
	wantFailedBeforeSigkill(t, 0)
}

func TestTerminate_signalIsNoticedLate(t *testing.T) {
	t.Parallel()
	wantFailedBeforeSigkill(t, 900*time.Millisecond)
}

// wantFailedBeforeSigkill wants a failure in answer to a request that hangs, from a process that is
// stopped for a time as SIGTERM comes.
func wantFailedBeforeSigkill(t *testing.T, pausedFor time.Duration) {
	t.Helper()
	gateway := startGateway(t, 1024, func([]string) string { return "" })
	c := gateway.connect()
	c.send(queryCommand(longQueryList))
	gateway.server.NextCommand(t)
	time.Sleep(300 * time.Millisecond) // longer than the gateway takes to find out that it runs
	sigkill := gateway.terminatePaused(pausedFor, 3700*time.Millisecond)
	c.want("-ERR failed")
	c.wantClosed()
	_ = c.Close()
	sigkill.wantEndBefore()
}

// terminatePaused sends SIGTERM to the process, stopped for so long as the signal comes, and schedules
// SIGKILL. It returns once the process goes on.
func (g *gatewayUnderTest) terminatePaused(pausedFor, killAt time.Duration) scheduledKill {
	g.Helper()
	if pausedFor > 0 {
		g.signal(syscall.SIGSTOP)
	}
	g.signal(syscall.SIGTERM)
	sigkill := g.killAfter(killAt)
	if pausedFor > 0 {
		time.Sleep(pausedFor)
		g.signal(syscall.SIGCONT)
	}
	return sigkill
}
