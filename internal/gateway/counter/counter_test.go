package counter

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// result is the result of a call.
type result struct {
	call    int
	total   float64
	outcome policy.Outcome
}

// caller makes calls, numbered from 0, and collects their results.
type caller struct {
	*testing.T
	client  *Counter
	results chan result
	calls   int
}

func newCaller(t *testing.T, addr string) *caller {
	t.Helper()
	return newCallerWith(t, addr, time.Second, zap.NewNop())
}

func newCallerWith(t *testing.T, addr string, timeout time.Duration, log *zap.Logger) *caller {
	t.Helper()
	c := &caller{T: t, client: New(addr, timeout, log), results: make(chan result, 100)}
	t.Cleanup(c.client.Close)
	return c
}

func (c *caller) add(name uint64, units float64) {
	number := c.calls
	c.calls++
	c.client.Add(name, units, 4*time.Second, func(total float64, outcome policy.Outcome) {
		c.results <- result{number, total, outcome}
	})
}

func (c *caller) expectResult(want result) {
	c.Helper()
	select {
	case got := <-c.results:
		if got != want {
			c.Errorf("got %+v, want %+v", got, want)
		}
	case <-time.After(10 * time.Second):
		c.Fatalf("no result, want %+v", want)
	}
}

// acceptCall accepts a connection and reads the call "incr 8 1 4000" from it.
func acceptCall(t *testing.T, listener net.Listener) *net.TCPConn {
	t.Helper()
	const want = "incr 8 1 4000\r\n"
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	got := make([]byte, len(want))
	if _, err := io.ReadFull(accepted, got); err != nil || string(got) != want {
		t.Fatalf("called %q, %v", got, err)
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		t.Fatalf("accepted %T", accepted)
	}
	return tcp
}

func TestAdd_writesAndAnswersCallsInOrder(t *testing.T) {
	server := fakes.NewCounter(t)
	c := newCaller(t, server.Addr)
	c.add(7, 2.5)
	c.add(7, -0.5)
	c.add(7, 0)
	c.expectResult(result{0, 2.5, policy.Answered})
	c.expectResult(result{1, 2, policy.Answered})
	c.expectResult(result{2, 2, policy.Answered})
	if got := server.NextCall(t); got != "incr 7 2.5 4000" {
		t.Errorf("called %q", got)
	}
}

func TestAdd_lateAnswerGoesToItsOwnCall(t *testing.T) {
	server := fakes.NewCounter(t)
	c := newCaller(t, server.Addr)
	release := server.Hold()
	c.add(8, 5)
	server.NextCall(t)
	c.add(8, 1)
	release()
	c.expectResult(result{0, 5, policy.Answered})
	c.expectResult(result{1, 6, policy.Answered})
}

// expectNextCallAnswered makes a second call. It expects a new connection, answers the call on it
// and expects the answer.
func (c *caller) expectNextCallAnswered(listener net.Listener) {
	c.Helper()
	c.add(8, 1)
	_, _ = io.WriteString(acceptCall(c.T, listener), "ok 9\r\n")
	c.expectResult(result{1, 9, policy.Answered})
}

func TestAdd_lostConnectionTimesOutAndIsReplaced(t *testing.T) {
	listener := fakes.Listen(t)
	c := newCaller(t, listener.Addr().String())
	c.add(8, 1)
	_ = acceptCall(t, listener).Close()
	c.expectResult(result{0, 0, policy.TimedOut})
	c.expectNextCallAnswered(listener)
}

func TestAdd_refusedConnectionIsConnectFailed(t *testing.T) {
	listener := fakes.Listen(t)
	_ = listener.Close()
	c := newCaller(t, listener.Addr().String())
	c.add(8, 1)
	c.expectResult(result{0, 0, policy.ConnectFailed})
}

func TestAdd_silentConnectionTimesOut(t *testing.T) {
	server := fakes.NewCounter(t)
	c := newCaller(t, server.Addr)
	release := server.Hold()
	c.add(8, 5)
	c.expectResult(result{0, 0, policy.TimedOut}) // without a later call
	release()
	c.add(8, 1)
	c.expectResult(result{1, 6, policy.Answered})
}

func TestParseAnswer_busyAndErrorAreRejected(t *testing.T) {
	for line, want := range map[string]struct {
		total   float64
		outcome policy.Outcome
	}{"busy": {0, policy.Rejected}, "error": {0, policy.Rejected}, "ok 4.5": {4.5, policy.Answered}} {
		t.Run(line, func(t *testing.T) {
			total, outcome, valid := parseAnswer(line + "\r\n")
			if !valid || outcome != want.outcome || total != want.total {
				t.Errorf("got %v, %v, %v", total, outcome, valid)
			}
		})
	}
}

func TestAdd_malformedAnswerTimesOutAndEndsItsConnection(t *testing.T) {
	for name, malformed := range map[string]string{
		"no total": "ok\r\n", "no number": "ok x\r\n", "NaN": "ok nan\r\n", "no carriage return": "ok 7\n",
		"two words in one": "busybusy\r\n", "an empty line": "\r\n",
		"longer than the buffer": strings.Repeat("k", 9000),
	} {
		t.Run(name, func(t *testing.T) {
			listener := fakes.Listen(t)
			c := newCaller(t, listener.Addr().String())
			c.add(8, 1)
			// An answer that precedes the call would close a connection without pending calls.
			accepted := acceptCall(t, listener)
			_, _ = io.WriteString(accepted, malformed)
			c.expectResult(result{0, 0, policy.TimedOut})
			if _, err := io.Copy(io.Discard, accepted); err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection: %v", err)
			}
		})
	}
}

func TestSetAddress_pendingCallsStayAndNewOnesMove(t *testing.T) {
	previous, next := fakes.NewCounter(t), fakes.NewCounter(t)
	c := newCaller(t, previous.Addr)
	release := previous.Hold()
	c.add(8, 5)
	previous.NextCall(t)
	c.client.SetAddress(next.Addr)
	c.add(8, 1)
	c.expectResult(result{1, 1, policy.Answered})
	release()
	c.expectResult(result{0, 5, policy.Answered})
	if next.NextCall(t) != "incr 8 1 4000" || len(previous.Calls) != 0 {
		t.Error("the old counter was called again")
	}
}
