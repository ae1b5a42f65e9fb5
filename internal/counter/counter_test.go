package counter

import (
	"bufio"
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

// result is one answer that a caller got.
type result struct {
	call    int
	total   float64
	outcome policy.Outcome
}

type caller struct {
	*testing.T
	c       *Counter
	results chan result
	calls   int
}

func newCaller(t *testing.T, addr string) *caller {
	c := &caller{T: t, c: New(addr, time.Second, zap.NewNop()), results: make(chan result, 100)}
	t.Cleanup(c.c.Close)
	return c
}

func (c *caller) add(name uint64, units float64) {
	n := c.calls
	c.calls++
	c.c.Add(name, units, 4*time.Second, func(total float64, outcome policy.Outcome) { c.results <- result{n, total, outcome} })
}

func (c *caller) want(want result) {
	c.Helper()
	select {
	case got := <-c.results:
		if got != want {
			c.Errorf("told %+v, want %+v", got, want)
		}
	case <-time.After(10 * time.Second):
		c.Fatalf("nothing told, want %+v", want)
	}
}

func TestAdd_writesCallsAndAnswersInOrder(t *testing.T) {
	s := fakes.NewCounter(t)
	c := newCaller(t, s.Addr)
	c.add(7, 2.5)
	c.add(7, -0.5)
	c.add(7, 0)
	c.want(result{0, 2.5, policy.Answered})
	c.want(result{1, 2, policy.Answered})
	c.want(result{2, 2, policy.Answered})
	if got := s.NextCall(t); got != "incr 7 2.5 4000" {
		t.Errorf("called %q", got)
	}
}

func TestAdd_lateAnswerGoesToItsOwnCall(t *testing.T) {
	s := fakes.NewCounter(t)
	c := newCaller(t, s.Addr)
	letGo := s.Hold()
	c.add(8, 5)
	s.NextCall(t)
	c.add(8, 1)
	letGo()
	c.want(result{0, 5, policy.Answered})
	c.want(result{1, 6, policy.Answered})
}

func TestAdd_lostConnectionTimesOutAndIsReplaced(t *testing.T) {
	l := fakes.Listen(t)
	c := newCaller(t, l.Addr().String())
	called := func() net.Conn { // a connection that has brought the call
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if line, _ := bufio.NewReader(conn).ReadString('\n'); line != "incr 8 1 4000\r\n" {
			t.Fatalf("called %q", line)
		}
		return conn
	}
	c.add(8, 1)
	_ = called().Close()
	c.want(result{0, 0, policy.TimedOut})
	c.add(8, 1)
	_, _ = io.WriteString(called(), "ok 9\r\n")
	c.want(result{1, 9, policy.Answered})
}

func TestAdd_refusedConnectionIsConnectFailed(t *testing.T) {
	l := fakes.Listen(t)
	_ = l.Close()
	c := newCaller(t, l.Addr().String())
	c.add(8, 1)
	c.want(result{0, 0, policy.ConnectFailed})
}

func TestAdd_silentConnectionTimesOut(t *testing.T) {
	s := fakes.NewCounter(t)
	c := newCaller(t, s.Addr)
	letGo := s.Hold()
	c.add(8, 5)
	c.want(result{0, 0, policy.TimedOut}) // with no other call behind it
	letGo()
	c.add(8, 1)
	c.want(result{1, 6, policy.Answered})
}

func TestParseAnswer_busyAndErrorAreRejected(t *testing.T) {
	for line, want := range map[string]policy.Outcome{"busy": policy.Rejected, "error": policy.Rejected, "ok 4.5": policy.Answered} {
		if total, outcome, valid := parseAnswer(line + "\r\n"); !valid || outcome != want || outcome == policy.Answered && total != 4.5 {
			t.Errorf("%q: got %v, %v, %v", line, total, outcome, valid)
		}
	}
}

func TestAdd_malformedAnswerTimesOutAndEndsItsConnection(t *testing.T) {
	for _, spoilt := range []string{"ok\r\n", "ok x\r\n", "ok nan\r\n", "ok 7\n", "busybusy\r\n", "\r\n", strings.Repeat("k", 9000)} {
		l := fakes.Listen(t)
		c := newCaller(t, l.Addr().String())
		c.add(8, 1)
		conn, err := l.Accept()
		if err == nil { // the call first: an answer that comes before it ends a connection with nothing out
			_, err = io.ReadFull(conn, make([]byte, len("incr 8 1 4000\r\n")))
		}
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, spoilt)
		c.want(result{0, 0, policy.TimedOut})
		if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%.9q: the connection: %v", spoilt, err)
		}
		_ = conn.Close()
	}
}

func TestSetAddress_pendingCallsStayAndNewOnesMove(t *testing.T) {
	old, next := fakes.NewCounter(t), fakes.NewCounter(t)
	c := newCaller(t, old.Addr)
	letGo := old.Hold()
	c.add(8, 5)
	old.NextCall(t)
	c.c.SetAddress(next.Addr)
	c.add(8, 1)
	c.want(result{1, 1, policy.Answered})
	letGo()
	c.want(result{0, 5, policy.Answered})
	if next.NextCall(t) != "incr 8 1 4000" || len(old.Calls) != 0 {
		t.Error("the old counter was called again")
	}
}
