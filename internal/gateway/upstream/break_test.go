package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// longCommand is a command that does not fit into the socket buffers of addIdleWithSmallBuffers.
var longCommand = &Command{Verb: "SVC.SUBMIT", Customer: "01", ID: "02", ParamsBefore: strings.Repeat("x", 1<<20)}

// addIdleWithSmallBuffers adds an idle connection with small socket buffers to the pool. It returns
// the connection's key and the server's end of it.
func (p *Pool) addIdleWithSmallBuffers(t *testing.T) (key endpointKey, serverConn *net.TCPConn) {
	t.Helper()
	clientConn, peer := fakes.ConnPair(t)
	_ = clientConn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	_ = peer.(*net.TCPConn).SetReadBuffer(4 << 10)
	key = keyOfAddress(clientConn.RemoteAddr().String())
	p.connections.open++
	p.connections.putIdle(key, &connection{Conn: resp.NewConn(clientConn)})
	p.connections.idle[key][0].lastUsed = time.Now().Add(-time.Second)
	return key, peer.(*net.TCPConn)
}

// breakTest disrupts a connection while a command or its answer is being transferred.
type breakTest struct {
	name    string
	command *Command
	timeout time.Duration
	disrupt func(serverConn *net.TCPConn, cancel func())
	want    policy.Outcome
}

func reset(serverConn *net.TCPConn, _ func()) { _, _ = serverConn.SetLinger(0), serverConn.Close() }

func closeWrite(serverConn *net.TCPConn, _ func()) { _ = serverConn.CloseWrite() }

func cancelAttempt(_ *net.TCPConn, cancel func()) { cancel() }

func doNothing(*net.TCPConn, func()) {}

// afterPartOf returns a disruption that sends a part of an answer before act.
func afterPartOf(answer string, act func(*net.TCPConn, func())) func(*net.TCPConn, func()) {
	return func(serverConn *net.TCPConn, cancel func()) {
		_, _ = io.WriteString(serverConn, answer)
		act(serverConn, cancel)
	}
}

// A command whose last byte was not written never ran, regardless of which side breaks the
// connection and how many bytes the server received. Once the last byte is written, the command may
// have run.
func TestAttempt_outcomeDependsOnWhetherLastByteWasWritten(t *testing.T) {
	const valueOnly, allButLastByte = "*3\r\n$1\r\nv\r\n", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r"
	for _, test := range []breakTest{
		{"reset before last byte", longCommand, time.Minute, reset, policy.ConnectFailed},
		{"timeout before last byte", longCommand, 100 * time.Millisecond, doNothing, policy.ConnectFailed},
		{"cancelled before last byte", longCommand, time.Minute, cancelAttempt, policy.NotSent},
		{"reset after last byte", &Command{}, time.Minute, reset, policy.Reset},
		{"close after last byte", &Command{}, time.Minute, closeWrite, policy.Reset},
		{"timeout after last byte", &Command{}, 100 * time.Millisecond, doNothing, policy.TimedOut},
		{"cancelled after last byte", &Command{}, time.Minute, cancelAttempt, policy.Cancelled},
		{"reset within answer", &Command{}, time.Minute, afterPartOf(valueOnly, reset), policy.Reset},
		{"close within answer", &Command{}, time.Minute, afterPartOf(allButLastByte, closeWrite), policy.Reset},
		{"cancelled within answer", &Command{}, time.Minute, afterPartOf(valueOnly, cancelAttempt), policy.Cancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			timeout := test.timeout
			for !test.run(t, timeout) {
				timeout *= 2
			}
		})
	}
}

// run makes one attempt and checks its outcome. It returns false, without checking, if a short
// timeout passed before the server received what the test requires; the caller then retries.
func (b *breakTest) run(t *testing.T, timeout time.Duration) bool {
	t.Helper()
	pool := New(time.Minute, time.Hour, nil, 10)
	key, serverConn := pool.addIdleWithSmallBuffers(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	outcomes := make(chan policy.Outcome, 1)
	go func() {
		got, value := pool.Attempt(newDecision(ctx, key.address, time.Now().Add(timeout)), b.command)
		value.Free()
		outcomes <- got.Outcome
	}()
	var err error
	if b.command == longCommand {
		_, err = io.ReadFull(serverConn, make([]byte, 100)) // the rest does not fit into the buffers
	} else {
		_, err = fakes.ReadCommand(bufio.NewReader(serverConn))
	}
	if err != nil && timeout < time.Minute {
		return false
	}
	b.disrupt(serverConn, cancel)
	if got := <-outcomes; got != b.want || pool.connections.open != 0 || len(pool.connections.idle[key]) != 0 {
		t.Errorf("outcome %v, want %v, with %d connections open", got, b.want, pool.connections.open)
	}
	return true
}

// An answer must be complete within the connect timeout after its first byte. Further bytes must
// not extend that time, so an answer that trickles in forever is abandoned too.
func TestAttempt_tricklingAnswerIsAbandoned(t *testing.T) {
	pool := New(200*time.Millisecond, time.Hour, nil, 10)
	key, serverConn := pool.addIdleWithSmallBuffers(t)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = fakes.ReadCommand(bufio.NewReader(serverConn))
		_, err := io.WriteString(serverConn, "*3\r\n$60000\r\n")
		for ; err == nil; time.Sleep(5 * time.Millisecond) {
			_, err = io.WriteString(serverConn, "x")
		}
	}()
	got, _ := pool.Attempt(decisionWithin(key.address, time.Hour), &Command{})
	if got.Outcome != policy.Reset || pool.connections.open != 0 {
		t.Errorf("outcome %v, %d connections open", got.Outcome, pool.connections.open)
	}
	<-closed
}

// slowAbortConn is a connection whose Abort closes the channel aborting, and then blocks until the
// channel resume is closed.
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

// An answer may arrive after the context is cancelled and before the connection is aborted. The
// answer must count, and the connection must be closed rather than reused, because the pending
// abort would otherwise affect the next request.
func TestAttempt_answerRacesWithCancellation(t *testing.T) {
	clientConn, serverConn := fakes.ConnPair(t)
	slow := &slowAbortConn{clientConn, make(chan struct{}), make(chan struct{})}
	pool := New(time.Minute, time.Hour, nil, 10)
	key := keyOfAddress("there")
	pool.connections.open++
	pool.connections.idle[key] = []*connection{{Conn: resp.NewConn(clientConn), lastUsed: time.Now().Add(-time.Second)}}
	pool.connections.idle[key][0].Conn.Conn = slow // the file descriptor is still the one of clientConn
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = fakes.ReadCommand(bufio.NewReader(serverConn))
		cancel()
		<-slow.aborting
		_, _ = io.WriteString(serverConn, fakes.FormatValue("hello", 1))
	}()
	got, value := pool.Attempt(newDecision(ctx, key.address, time.Now().Add(time.Minute)), &Command{})
	if got.Outcome != policy.Answered || value.String() != "hello" {
		t.Errorf("outcome %v, value %v", got.Outcome, value)
	}
	value.Free()
	if pool.connections.open != 0 || len(pool.connections.idle[key]) != 0 {
		t.Errorf("%d connections open", pool.connections.open)
	}
	close(slow.resume)
}

// An idle connection that has unread bytes, or that the server has closed, must not be reused.
func TestIdle_connectionThatIsClosedOrHasUnreadBytesIsNotReused(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn, func()){
		"half a line": afterPartOf("-ERR fai", doNothing),
		"close":       closeWrite,
		"reset":       reset,
	} {
		server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
		pool := New(time.Minute, time.Hour, nil, 10)
		smallBufferKey, serverConn := pool.addIdleWithSmallBuffers(t)
		key := keyOfAddress(server.Addr)
		pool.connections.idle[key] = pool.connections.idle[smallBufferKey]
		delete(pool.connections.idle, smallBufferKey)
		act(serverConn, nil)
		fakes.Eventually(t, name, func() bool { return !pool.connections.idle[key][0].IsIdle() })
		if attemptOnce(t, pool, server, policy.Answered); pool.connections.open != 1 || server.ConnCount() != 1 {
			t.Errorf("%s: %d connections open", name, pool.connections.open)
		}
	}
}

// Each connection must be counted and released exactly once on every path. When no attempt is in
// flight, the number of open connections must equal the number of idle ones.
func TestPool_countsOpenConnectionsOnEveryPath(t *testing.T) {
	server := fakes.NewServer(t, func(words []string) string {
		if words[0] == "INFO" {
			return "$10\r\ninflight=2\r\n"
		}
		return words[2] // the command's ID is the answer to send
	})
	silent := fakes.Listen(t)
	pool := New(100*time.Millisecond, time.Hour, []string{"inflight"}, 2)
	unreachable := dispatch.Server{Address: fakes.NewSaturatedServer(t).Addr}
	decisionSoon := func(address string) dispatch.Decision { return decisionWithin(address, 100*time.Millisecond) }
	for range 3 {
		wellFormed := fakes.FormatValue("a", 1)
		for _, answer := range []string{wellFormed, "-BUSY\r\n", "nonsense\r\n", fakes.CloseConn, wellFormed + "-ERR"} {
			_, value := pool.Attempt(decisionSoon(server.Addr), &Command{ID: answer})
			value.Free()
		}
		pool.CheckHealth(dispatch.Server{Address: server.Addr}, func(dispatch.Result) {})
		pool.CheckHealth(unreachable, func(dispatch.Result) {})
		pool.CheckHealth(dispatch.Server{Address: silent.Addr().String()}, func(dispatch.Result) {})
		_, _ = pool.Attempt(decisionSoon(silent.Addr().String()), &Command{})
		_, _ = pool.Attempt(decisionSoon(unreachable.Address), &Command{})
		notBegun := decisionSoon(server.Addr)
		notBegun.BeginSend = func() bool { return false }
		_, _ = pool.Attempt(notBegun, &Command{})
	}
	idle := 0
	fakes.Eventually(t, "an idle connection", func() bool {
		_, value := pool.Attempt(decisionWithin(server.Addr, time.Minute), &Command{ID: fakes.FormatValue("a", 1)})
		value.Free()
		for _, connections := range pool.connections.idle {
			idle += len(connections)
		}
		return idle > 0
	})
	if pool.connections.open != idle || idle == 0 || idle > 2 {
		t.Errorf("%d connections open, %d idle, want 1 or 2 and all idle", pool.connections.open, idle)
	}
	for key := range pool.connections.idle {
		pool.connections.closeIdleBefore(key, time.Now().Add(time.Hour))
	}
	if pool.connections.open != 0 {
		t.Errorf("%d connections open after all were closed", pool.connections.open)
	}
}
