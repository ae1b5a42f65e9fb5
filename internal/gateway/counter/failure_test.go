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

// unreachableAddress returns an address where dials hang because the backlog of its listener is
// full.
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
	if err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	name, ok := bound.(*unix.SockaddrInet4)
	if err != nil || !ok {
		t.Fatalf("bound to %v, %v", bound, err)
	}
	addr := (&net.TCPAddr{IP: name.Addr[:], Port: name.Port}).String()
	fakes.Eventually(t, "a dial that hangs", func() bool {
		dialed, err := (&net.Dialer{Timeout: 50 * time.Millisecond}).DialContext(t.Context(), "tcp", addr)
		if err == nil {
			t.Cleanup(func() { _ = dialed.Close() })
		}
		return err != nil
	})
	return addr
}

// waitForDial waits until the shard of a name is dialing.
func (c *caller) waitForDial(name uint64) {
	c.Helper()
	s := c.client.shards[name%shardCount]
	fakes.Eventually(c, "a dial", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.cancelDial != nil
	})
}

// Guards against the failure of calls that wait for a dial while the address changes.
func TestSetAddress_queuedCallsGoToTheNewAddress(t *testing.T) {
	first, second, to := unreachableAddress(t), unreachableAddress(t), fakes.NewCounter(t)
	c := newCallerWith(t, first, time.Hour, zap.NewNop())
	c.add(8, 1)
	c.waitForDial(8)
	c.add(8, 2)
	c.client.SetAddress(second)
	c.client.SetAddress(first) // back to the address that was dialed first
	c.waitForDial(8)
	c.client.SetAddress(to.Addr)
	c.expectResult(result{0, 1, policy.Answered})
	c.expectResult(result{1, 3, policy.Answered})
}

// An incomplete answer is no answer: the call ends with TimedOut, because its units may have been
// added, and the next call uses a new connection.
func TestAdd_incompleteAnswerTimesOut(t *testing.T) {
	for name, after := range map[string]func(accepted *net.TCPConn){
		"then silence": func(*net.TCPConn) {},
		"then the end": func(accepted *net.TCPConn) { _ = accepted.CloseWrite() },
		"then a reset": func(accepted *net.TCPConn) { _, _ = accepted.SetLinger(0), accepted.Close() },
		"then a byte at a time": func(accepted *net.TCPConn) {
			for {
				if _, err := accepted.Write([]byte("0")); err != nil { // closed by the client
					return
				}
				time.Sleep(time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := fakes.Listen(t)
			c := newCaller(t, listener.Addr().String())
			c.add(8, 1)
			accepted := acceptCall(t, listener)
			_, _ = io.WriteString(accepted, "ok 7")
			after(accepted)
			c.expectResult(result{0, 0, policy.TimedOut})
			c.expectNextCallAnswered(listener)
		})
	}
}

// Guards against a log line for every call when the counter accepts connections and closes each
// after its first call.
func TestLossLog_counterThatEndsEveryConnectionIsLoggedOnce(t *testing.T) {
	listener := fakes.Listen(t)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			if tcp, ok := accepted.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			var first [1]byte
			_, _ = accepted.Read(first[:]) // the call was written
			_ = accepted.Close()
		}
	}()
	core, logs := observer.New(zap.InfoLevel)
	c := newCallerWith(t, listener.Addr().String(), time.Second, zap.New(core))
	for i := range 50 {
		c.add(8, 1)
		c.expectResult(result{i, 0, policy.TimedOut})
	}
	if n := logs.FilterMessage("counter: connection lost").Len(); n != 1 {
		t.Errorf("logged %d times", n)
	}
}

// Guards against goroutines and connections that outlive a closed client.
func TestClose_endsAllCallsAndLeavesNoGoroutine(t *testing.T) {
	pending := func(c *caller, listener net.Listener) {
		c.add(8, 1)
		acceptCall(c.T, listener)
	}
	for name, row := range map[string]struct {
		reachable bool
		call      func(c *caller, listener net.Listener)
		outcome   policy.Outcome
	}{
		"pending calls": {true, pending, policy.TimedOut},
		"pending calls at an earlier address": {true, func(c *caller, listener net.Listener) {
			pending(c, listener)
			c.client.SetAddress("127.0.0.1:1")
		}, policy.TimedOut},
		"calls that wait for a dial": {false, func(c *caller, _ net.Listener) {
			c.add(8, 1)
			c.waitForDial(8)
			c.add(8, 1)
		}, policy.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			listener := fakes.Listen(t)
			addr := listener.Addr().String()
			if !row.reachable {
				addr = unreachableAddress(t)
			}
			before := goleak.IgnoreCurrent()
			caller := newCallerWith(t, addr, time.Hour, zap.NewNop())
			row.call(caller, listener)
			caller.client.Close()
			for number := range caller.calls {
				caller.expectResult(result{number, 0, row.outcome})
			}
			caller.add(8, 1)
			caller.expectResult(result{caller.calls - 1, 0, policy.ConnectFailed})
			goleak.VerifyNone(t, before)
		})
	}
}
