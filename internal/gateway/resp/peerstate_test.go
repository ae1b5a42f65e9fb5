package resp

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

func TestPeerStateReportsAgeOfUnreadBytes(t *testing.T) {
	c, far := connPair(t)
	age := func() time.Duration { return c.PeerState().ReceivedAgo }
	_, _ = io.WriteString(far, "x")
	fakes.Eventually(t, "an age of 50 ms", func() bool { return age() >= 50*time.Millisecond })
	if _, err := c.Read(make([]byte, 1)); err != nil || age() < 50*time.Millisecond {
		t.Errorf("after the read the age is %v (read error: %v)", age(), err)
	}
}

func TestIsPeerClosedBehindUnreadBytes(t *testing.T) {
	for name, closePeer := range map[string]func(c *Conn, far *net.TCPConn){
		"closed":      func(_ *Conn, far *net.TCPConn) { _ = far.Close() },
		"half closed": func(_ *Conn, far *net.TCPConn) { _ = far.CloseWrite() },
		"reset":       func(_ *Conn, far *net.TCPConn) { _, _ = far.SetLinger(0), far.Close() },
		"closed here": func(c *Conn, _ *net.TCPConn) { _ = c.Close() },
		"closed after this side's half close": func(c *Conn, far *net.TCPConn) {
			_, _ = c.Conn.(*net.TCPConn).CloseWrite(), far.Close()
		},
	} {
		c, far := connPair(t)
		_, _ = io.WriteString(far, strings.Repeat("x", 2*bufferSize))
		fakes.Eventually(t, "unread bytes", func() bool { return !c.IsIdle() })
		if c.IsPeerClosed() {
			t.Errorf("%s: reported as closed before the close", name)
		}
		closePeer(c, far.(*net.TCPConn))
		fakes.Eventually(t, name, c.IsPeerClosed)
	}
	c, _ := connPair(t)
	if _ = c.Conn.(*net.TCPConn).CloseWrite(); c.IsPeerClosed() {
		t.Error("the half close of this side is reported as the peer's")
	}
	if near, _ := net.Pipe(); NewConn(near).IsPeerClosed() {
		t.Error("reported as closed without a TCP state")
	}
}

// Guards against taking a peer for open whose system cannot send the close.
func TestPeerState_closeBehindAFullReceiveWindow(t *testing.T) {
	c, far := connPair(t)
	if openAgo := time.Since(c.PeerState().OpenAt); openAgo > time.Second {
		t.Errorf("before any byte, the peer was last open %v ago", openAgo)
	}
	_ = far.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	for blocked := false; !blocked; {
		_, err := io.WriteString(far, strings.Repeat("x", 1<<20))
		blocked = err != nil
	}
	hiddenSince := c.PeerState().OpenAt
	if time.Since(hiddenSince) < 100*time.Millisecond {
		t.Error("the peer counts as open although the receive window is full")
	}
	_, _ = io.WriteString(c.Conn, "answer")
	fakes.Eventually(t, "open when it received the answer", func() bool {
		return c.PeerState().OpenAt.After(hiddenSince)
	})
	_, _ = io.ReadFull(far, make([]byte, len("answer"))) // otherwise the close would be a reset
	_ = far.Close()
	if state := c.PeerState(); state.IsClosed {
		t.Error("the close is not hidden")
	}
	_, _ = io.WriteString(c.Conn, "answer")
	fakes.Eventually(t, "the close", c.IsPeerClosed)
	if state := c.PeerState(); !state.OpenAt.IsZero() {
		t.Errorf("the closed peer counts as open at %v", state.OpenAt)
	}
}

// A value that reserve rejects is discarded, and the command after it can be read.
func TestReadCommandDiscardsValueWithoutMemory(t *testing.T) {
	for _, size := range []int{0, 1, bufferSize, maxValueSize} {
		c := connOf(
			t,
			fakes.FormatCommand("SVC.SUBMIT", "01", "02", "c=a", strings.Repeat("x", size))+fakes.FormatCommand("PING"),
		)
		reserved := -1
		cmd, err := c.ReadCommand(4, func(size int) bool {
			reserved = size
			return false
		})
		if err != nil || cmd.Body != nil || !cmd.BodyDiscarded || len(cmd.Words) != 4 || reserved != size {
			t.Fatalf("size %d: got %+v, %v, reserved %d", size, cmd, err, reserved)
		}
		if err := c.Await(); err != nil {
			t.Fatal(err)
		}
		if ping, err := c.ReadCommand(4, nil); err != nil || ping.Words[0] != "PING" {
			t.Fatalf("next command: got %+v, %v", ping, err)
		}
	}
	for text, malformed := range map[string]bool{"$3\r\nabcd\r\n": true, "$3\r\nab": false, "$65537\r\n": true} {
		c := connOf(t, "*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n"+text)
		_, err := c.ReadCommand(4, func(int) bool { return false })
		if err == nil || errors.As(err, new(ProtocolError)) != malformed {
			t.Errorf("%q: got %v", text, err)
		}
	}
}
