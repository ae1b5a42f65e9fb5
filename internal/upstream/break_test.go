package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/resp"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// longCommand is a command that no buffer between narrow ends holds.
var longCommand = &Command{Verb: "SVC.SUBMIT", Customer: "01", ID: "02", ParamsBefore: strings.Repeat("x", 1<<20)}

// addNarrowIdle gives a fleet an idle connection whose buffers are small, and the server's end of it.
func (p *Pool) addNarrowIdle(t *testing.T) (key endpointKey, far *net.TCPConn) {
	t.Helper()
	near, other := fakes.ConnPair(t)
	_ = near.(*net.TCPConn).SetWriteBuffer(4 << 10)
	_ = other.(*net.TCPConn).SetReadBuffer(4 << 10)
	key = endpointKey{address: near.RemoteAddr().String()}
	p.open++
	p.putIdle(key, &connection{Conn: resp.NewConn(near)})
	p.idleConnections[key][0].lastUsed = time.Now().Add(-time.Second)
	return key, other.(*net.TCPConn)
}

// A connection that breaks before a command's last byte is written shows that it never ran, whoever breaks it and how
// much of it came; one that breaks right after it does not.
func TestAttempt_breakBeforeLastByteDiffersFromOneAfter(t *testing.T) {
	reset := func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }
	for name, c := range map[string]struct {
		parcel *Command
		span   time.Duration
		does   func(far *net.TCPConn, cancel func())
		want   policy.Outcome
	}{
		"reset within":      {longCommand, time.Minute, func(far *net.TCPConn, _ func()) { reset(far) }, policy.ConnectFailed},
		"no time within":    {longCommand, 100 * time.Millisecond, func(*net.TCPConn, func()) {}, policy.ConnectFailed},
		"called off within": {longCommand, time.Minute, func(_ *net.TCPConn, cancel func()) { cancel() }, policy.NotSent},
		"reset after":       {&Command{}, time.Minute, func(far *net.TCPConn, _ func()) { reset(far) }, policy.Reset},
		"end after":         {&Command{}, time.Minute, func(far *net.TCPConn, _ func()) { _ = far.CloseWrite() }, policy.Reset},
		"no time after":     {&Command{}, 100 * time.Millisecond, func(*net.TCPConn, func()) {}, policy.TimedOut},
		"called off after":  {&Command{}, time.Minute, func(_ *net.TCPConn, cancel func()) { cancel() }, policy.Cancelled},
		"reset in an answer": {&Command{}, time.Minute, func(far *net.TCPConn, _ func()) {
			_, _ = io.WriteString(far, "*3\r\n$1\r\nv\r\n")
			reset(far)
		}, policy.Reset},
		"end in an answer": {&Command{}, time.Minute, func(far *net.TCPConn, _ func()) {
			_, _ = io.WriteString(far, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r")
			_ = far.CloseWrite()
		}, policy.Reset},
		"called off in an answer": {&Command{}, time.Minute, func(far *net.TCPConn, cancel func()) {
			_, _ = io.WriteString(far, "*3\r\n$1\r\nv\r\n")
			cancel()
		}, policy.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for span := c.span; ; span *= 2 {
				p := New(time.Minute, time.Hour, nil, 10)
				key, far := p.addNarrowIdle(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				outcomes := make(chan policy.Outcome, 1)
				go func() {
					got, value := p.Attempt(newDecision(ctx, key.address, time.Now().Add(span)), c.parcel)
					value.Free()
					outcomes <- got.Outcome
				}()
				var err error
				if c.parcel == longCommand {
					_, err = io.ReadFull(far, make([]byte, 100)) // it is on its way, and cannot end
				} else {
					_, err = fakes.ReadCommand(bufio.NewReader(far))
				}
				if err != nil && span < time.Minute {
					continue // the time was over before it came so far
				}
				c.does(far, cancel)
				if got := <-outcomes; got != c.want || p.open != 0 || len(p.idleConnections[key]) != 0 {
					t.Errorf("ended %v, %d connections open", got, p.open)
				}
				return
			}
		})
	}
}

// An answer that never ends is given up in the time a connection may take to come up, also one that trickles: each byte
// more is no reason to wait longer.
func TestAttempt_tricklingAnswerIsAbandoned(t *testing.T) {
	p := New(200*time.Millisecond, time.Hour, nil, 10)
	key, far := p.addNarrowIdle(t)
	over := make(chan struct{})
	go func() {
		defer close(over)
		_, _ = fakes.ReadCommand(bufio.NewReader(far))
		_, err := io.WriteString(far, "*3\r\n$60000\r\n")
		for ; err == nil; time.Sleep(5 * time.Millisecond) {
			_, err = io.WriteString(far, "x")
		}
	}()
	got, _ := p.Attempt(decisionWithin(key.address, time.Hour), &Command{})
	if got.Outcome != policy.Reset || p.open != 0 {
		t.Errorf("ended %v, %d connections open", got.Outcome, p.open)
	}
	<-over // it was closed
}

// slowAbortConn is a connection on which giving up takes until it is let go.
type slowAbortConn struct {
	net.Conn
	aborting, resume chan struct{}
}

func (s *slowAbortConn) SetDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		close(s.aborting)
		<-s.resume
	}
	return s.Conn.SetDeadline(t)
}

// Of an answer and a giving up in the same instant one holds: here the answer comes between the giving up and what that
// does to the connection. It counts, once; the connection serves nobody else, as it would be aborted under the next task.
func TestAttempt_answerAtTheInstantOfCancelling(t *testing.T) {
	near, far := fakes.ConnPair(t)
	c := &slowAbortConn{near, make(chan struct{}), make(chan struct{})}
	p := New(time.Minute, time.Hour, nil, 10)
	key := endpointKey{address: "there"}
	p.open++
	p.idleConnections[key] = []*connection{{Conn: resp.NewConn(near), lastUsed: time.Now().Add(-time.Second)}}
	p.idleConnections[key][0].Conn.Conn = c // beneath, it is looked at as before
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = fakes.ReadCommand(bufio.NewReader(far))
		cancel()
		<-c.aborting
		_, _ = io.WriteString(far, fakes.FormatValue("hello", 1))
	}()
	got, value := p.Attempt(newDecision(ctx, key.address, time.Now().Add(time.Minute)), &Command{})
	if got.Outcome != policy.Answered || value.String() != "hello" {
		t.Errorf("ended %v, value %v", got.Outcome, value)
	}
	value.Free()
	if p.open != 0 || len(p.idleConnections[key]) != 0 {
		t.Errorf("%d connections open", p.open)
	}
	close(c.resume)
}

// Whatever comes on a resting connection, and its end, is seen before it is used: half a line, a reset, an end.
func TestIdle_connectionWithUnreadBytesIsNotUsed(t *testing.T) {
	for name, act := range map[string]func(far *net.TCPConn){
		"half a line": func(far *net.TCPConn) { _, _ = io.WriteString(far, "-ERR fai") },
		"an end":      func(far *net.TCPConn) { _ = far.CloseWrite() },
		"a reset":     func(far *net.TCPConn) { _, _ = far.SetLinger(0), far.Close() },
	} {
		s := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
		p := New(time.Minute, time.Hour, nil, 10)
		old, far := p.addNarrowIdle(t)
		key := endpointKey{address: s.Addr}
		p.idleConnections[key] = p.idleConnections[old]
		delete(p.idleConnections, old)
		act(far)
		fakes.Eventually(t, name, func() bool { return !p.idleConnections[key][0].IsQuiet() })
		if attemptOnce(t, p, s, policy.Answered); p.open != 1 || s.ConnCount() != 1 {
			t.Errorf("%s: %d connections open", name, p.open)
		}
	}
}

// Every way that a connection can go is counted once: as many are open as are idle when nothing is out.
func TestPool_countsOpenConnectionsOnEveryPath(t *testing.T) {
	s := fakes.NewServer(t, func(words []string) string {
		if words[0] == "INFO" {
			return "$10\r\ninflight=2\r\n"
		}
		return words[2] // the command says what it is to be answered
	})
	silent := fakes.Listen(t)
	p := New(100*time.Millisecond, time.Hour, []string{"inflight"}, 2)
	unreachable := dispatch.Server{Address: fakes.NewSaturatedServer(t).Addr}
	soonDecision := func(address string) dispatch.Decision { return decisionWithin(address, 100*time.Millisecond) }
	for range 3 {
		good := fakes.FormatValue("a", 1)
		for _, answer := range []string{good, "-BUSY\r\n", "nonsense\r\n", fakes.CloseConn, good + "-ERR"} {
			_, value := p.Attempt(soonDecision(s.Addr), &Command{ID: answer})
			value.Free()
		}
		p.CheckHealth(dispatch.Server{Address: s.Addr}, func(dispatch.Result) {})
		p.CheckHealth(unreachable, func(dispatch.Result) {})
		p.CheckHealth(dispatch.Server{Address: silent.Addr().String()}, func(dispatch.Result) {})
		_, _ = p.Attempt(soonDecision(silent.Addr().String()), &Command{})
		_, _ = p.Attempt(soonDecision(unreachable.Address), &Command{})
		never := soonDecision(s.Addr)
		never.Begin = func() bool { return false }
		_, _ = p.Attempt(never, &Command{})
	}
	idle := 0
	fakes.Eventually(t, "one that is kept", func() bool {
		_, value := p.Attempt(decisionWithin(s.Addr, time.Minute), &Command{ID: fakes.FormatValue("a", 1)})
		value.Free()
		for _, connections := range p.idleConnections {
			idle += len(connections)
		}
		return idle > 0
	})
	if p.open != idle || idle == 0 || idle > 2 {
		t.Errorf("%d open, %d idle", p.open, idle)
	}
	for key := range p.idleConnections {
		p.closeIdleBefore(key, time.Now().Add(time.Hour))
	}
	if p.open != 0 {
		t.Errorf("%d open after all were dropped", p.open)
	}
}
