package counter

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// unreachableAddress is an address where no connection comes up: its one place for those not accepted is taken.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		t.Cleanup(func() { _ = unix.Close(fd) })
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	at, _ := unix.Getsockname(fd)
	name, ok := at.(*unix.SockaddrInet4)
	if err != nil || !ok {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: name.Addr[:], Port: name.Port}).String()
	fakes.Eventually(t, "an address that is deaf", func() bool {
		c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
		return err != nil
	})
	return addr
}

// waitForDial waits until a connection comes up on the line of a name.
func (c *caller) waitForDial(name uint64) {
	c.Helper()
	s := c.c.shards[name%shardCount]
	fakes.Eventually(c, "a connection that comes up", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.cancelDial != nil
	})
}

// A call that waited for a connection to a counter that says nothing was turned away as the counter moved, and so were
// those behind it; they waited for as long as a connection may take to come up before that.
func TestSetAddress_queuedCallsGoToTheNewAddress(t *testing.T) {
	from, to := unreachableAddress(t), fakes.NewCounter(t)
	c := &caller{T: t, c: New(from, time.Hour, zap.NewNop()), results: make(chan result, 100)}
	defer c.c.Close()
	c.add(8, 1)
	c.waitForDial(8)
	c.add(8, 2)
	c.c.SetAddress("127.0.0.1:1")
	c.c.SetAddress(from) // there and back again
	c.waitForDial(8)
	c.c.SetAddress(to.Addr)
	c.want(result{0, 1, policy.Answered})
	c.want(result{1, 3, policy.Answered})
}

// Half an answer is none, whether nothing follows, the connection ends or it is reset, and also one byte at a time: the call
// may have been added, and the next one goes on a connection of its own.
func TestAdd_incompleteAnswerTimesOut(t *testing.T) {
	for name, after := range map[string]func(conn *net.TCPConn){
		"nothing": func(*net.TCPConn) {},
		"the end": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
		"a reset": func(conn *net.TCPConn) { _, _ = conn.SetLinger(0), conn.Close() },
		"a byte at a time": func(conn *net.TCPConn) {
			for {
				if _, err := conn.Write([]byte("0")); err != nil { // the other side has given up
					return
				}
				time.Sleep(time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := fakes.Listen(t)
			c := &caller{T: t, c: New(l.Addr().String(), time.Second, zap.NewNop()), results: make(chan result, 100)}
			defer c.c.Close()
			called := func() *net.TCPConn {
				conn, err := l.Accept()
				if err == nil {
					t.Cleanup(func() { _ = conn.Close() })
					_, err = io.ReadFull(conn, make([]byte, len("incr 8 1 4000\r\n")))
				}
				if err != nil {
					t.Fatal(err)
				}
				return conn.(*net.TCPConn)
			}
			c.add(8, 1)
			conn := called()
			_, _ = io.WriteString(conn, "ok 7")
			after(conn)
			c.want(result{0, 0, policy.TimedOut})
			c.add(8, 1)
			_, _ = io.WriteString(called(), "ok 9\r\n")
			c.want(result{1, 9, policy.Answered})
		})
	}
}

// A counter that takes each connection and ends it had a line in the log for every call.
func TestLossLog_counterThatEndsEveryConnectionIsLoggedOnce(t *testing.T) {
	l := fakes.Listen(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			var first [1]byte
			_, _ = conn.Read(first[:]) // the call is out
			_ = conn.Close()
		}
	}()
	core, logs := observer.New(zap.InfoLevel)
	c := &caller{T: t, c: New(l.Addr().String(), time.Second, zap.New(core)), results: make(chan result, 100)}
	defer c.c.Close()
	for i := range 50 {
		c.add(8, 1)
		c.want(result{i, 0, policy.TimedOut})
	}
	if n := logs.FilterMessage("a connection to the counter is lost").Len(); n != 1 {
		t.Errorf("told %d times", n)
	}
}

// A closed counter had no way to end its goroutines and its connections, whatever its lines were at.
func TestClose_endsAllCallsAndLeavesNoGoroutine(t *testing.T) {
	for name, c := range map[string]struct {
		addr func(l net.Listener) string
		how  policy.Outcome
	}{
		"calls out":                   {func(l net.Listener) string { return l.Addr().String() }, policy.TimedOut},
		"calls out where it was":      {func(l net.Listener) string { return l.Addr().String() }, policy.TimedOut},
		"calls wait for a connection": {func(net.Listener) string { return unreachableAddress(t) }, policy.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			l := fakes.Listen(t)
			addr := c.addr(l)
			before := goleak.IgnoreCurrent()
			called := &caller{T: t, c: New(addr, time.Hour, zap.NewNop()), results: make(chan result, 100)}
			called.add(8, 1)
			if addr == l.Addr().String() {
				conn, err := l.Accept()
				if err == nil {
					defer conn.Close()
					_, err = io.ReadFull(conn, make([]byte, len("incr 8 1 4000\r\n")))
				}
				if err != nil {
					t.Fatal(err)
				}
				if name == "calls out where it was" {
					called.c.SetAddress("127.0.0.1:1")
				}
			} else {
				called.waitForDial(8)
				called.add(8, 1)
			}
			called.c.Close()
			for n := range called.calls {
				called.want(result{n, 0, c.how})
			}
			called.add(8, 1)
			called.want(result{called.calls - 1, 0, policy.ConnectFailed})
			goleak.VerifyNone(t, before)
		})
	}
}
